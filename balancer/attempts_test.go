package balancer

import (
	"slices"
	"testing"
	"time"
)

// newAttempts returns a table and requests of class 0 with attempts in flight, sent a second apart to one endpoint.
func newAttempts(count int) (*attemptTable, *endpoint, []*request) {
	table := &attemptTable{byClass: make([]attemptList, 2)}
	class := &Class{LatencyObjective: time.Second}
	e := &endpoint{}
	var requests []*request
	for i := range count {
		r := &request{class: class}
		r.sendTo(e, time.Duration(i)*time.Second)
		table.start(r, e)
		requests = append(requests, r)
	}
	return table, e, requests
}

func (l *attemptList) all() (requests []*request) {
	for r := l.first; r != nil; r = r.next {
		requests = append(requests, r)
	}
	return requests
}

func TestAttemptListKeepsItsOrder(t *testing.T) {
	for removed := range 3 {
		table, e, requests := newAttempts(3)
		table.end(requests[removed], e)
		want := slices.Delete(slices.Clone(requests), removed, removed+1)
		list := &table.byClass[0]
		if !slices.Equal(list.all(), want) || list.first != want[0] || list.last != want[1] ||
			list.last.prev != want[0] {
			t.Errorf("after removing request %d got list %v, want %v", removed, list.all(), want)
		}
	}
}

func TestAttemptTableCounts(t *testing.T) {
	table, e, requests := newAttempts(2)
	table.siblingsInFlight = 3
	if table.inFlight != 2 || e.inFlight != 2 || table.busyEndpoints != 1 || table.occupied() != 5 {
		t.Errorf("with two attempts got table %+v, endpoint %+v, want 2 in flight at 1 endpoint", table, e)
	}
	for _, r := range requests {
		table.end(r, e)
	}
	if table.inFlight != 0 || e.inFlight != 0 || table.busyEndpoints != 0 || table.byClass[0].first != nil {
		t.Errorf("without attempts got table %+v, endpoint %+v, want none in flight", table, e)
	}
}

func TestAttemptsAreMarkedLateOnce(t *testing.T) {
	table, e, requests := newAttempts(4) // at 0 to 3 s
	for range 2 {
		table.markLate(4*time.Second, 2.5) // marks the attempts of 0 and 1 s
		if e.lateInFlight != 2 || table.lateEndpoints != 1 || !requests[1].late || requests[2].late {
			t.Fatalf("got %d late attempts at %d endpoints, want 2 at 1", e.lateInFlight, table.lateEndpoints)
		}
	}
	if newest := table.byClass[0].newestLate(); newest != requests[1] {
		t.Errorf("got newest late request %+v, want the second", newest)
	}
	table.end(requests[0], e)
	table.end(requests[1], e)
	if e.lateInFlight != 0 || table.lateEndpoints != 0 {
		t.Errorf("got %d late attempts at %d endpoints after their end, want 0 at 0",
			e.lateInFlight, table.lateEndpoints)
	}
	table.markLate(time.Minute, 2.5)
	if newest := table.byClass[0].newestLate(); newest != requests[3] {
		t.Errorf("with all attempts late got newest late request %+v, want the last", newest)
	}
}

func TestYoungestLateAttempts(t *testing.T) {
	table, e, _ := newAttempts(4) // at 0 to 3 s
	other := &request{class: &Class{LatencyObjective: 2 * time.Second}, classIndex: 1}
	other.sendTo(e, 0)
	table.start(other, e)
	table.markLate(5*time.Second, 2.4) // ages 5, 4, 3 of class 0 and 2.5 of class 1
	for _, c := range []struct {
		limit int
		want  []float64
	}{{9, []float64{2.5, 3, 4, 5}}, {4, []float64{2.5, 3, 4, 5}}, {2, []float64{2.5, 3}}, {0, nil}} {
		if got := table.youngestLate(5*time.Second, c.limit); !slices.Equal(got, c.want) {
			t.Errorf("limit %d: got ages %v, want %v", c.limit, got, c.want)
		}
	}
}
