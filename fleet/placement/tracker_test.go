package placement

import (
	"fmt"
	"testing"
	"time"

	"ryerill/fleet/membership"
)

// snapshotOf makes what a replica named a knows: others by a sign for their status and
// their name.
func snapshotOf(health int, others ...string) Snapshot {
	tags := &membership.Tags{Pools: []string{"main"}, Phase: membership.Serving}
	statuses := map[byte]membership.Status{
		'+': membership.Alive, '?': membership.Suspect, '-': membership.Dead, '.': membership.Left,
	}
	self := membership.Record{State: membership.State{Name: "a", Status: membership.Alive}, Tags: tags}
	s := Snapshot{Joined: true, Health: health, Members: []membership.MemberInfo{{Record: self, Self: true}}}
	for _, other := range others {
		state := membership.State{Name: other[1:], Status: statuses[other[0]]}
		s.Members = append(s.Members, membership.MemberInfo{
			Record: membership.Record{State: state, Tags: tags}, LastHeard: time.Hour,
		})
	}
	return s
}

func TestPositions(t *testing.T) {
	for _, tc := range []struct {
		name    string
		minimum int
		steps   []Snapshot // one each 100 ms; the last one goes on for 20 s
		want    string     // index/of/quota replicas/quota fraction before and after those 20 s
	}{
		{"alone, one configured", 1, []Snapshot{snapshotOf(0)}, "0/1/1/1 0/1/1/1"},
		{"fewer than configured", 4, []Snapshot{snapshotOf(0, "+b")}, "0/2/4/0.25 0/2/4/0.25"},
		{"a dead one counts for quotas, not in the ring", 2,
			[]Snapshot{snapshotOf(0, "+b", "+c", "+d"), snapshotOf(0, "+b", "+c", "-d")}, "0/4/4/0 0/3/4/0"},
		{"one that left counts nowhere", 2,
			[]Snapshot{snapshotOf(0, "+b", "+c"), snapshotOf(0, "+b", ".c")}, "0/3/2/0.5 0/2/2/0.5"},
		{"who lost most keeps the ring order", 4,
			[]Snapshot{snapshotOf(0, "+b", "+c", "+d"), snapshotOf(0, "+b", "-c", "-d")}, "0/4/4/0.25 0/4/4/0.25"},
		{"and so does one of poor health", 4,
			[]Snapshot{snapshotOf(0, "+b", "+c", "+d"), snapshotOf(5, "+b", "+c", "-d")}, "0/4/4/0.25 0/4/4/0.25"},
		{"a suspect is in the ring", 3,
			[]Snapshot{snapshotOf(0, "+b", "+c"), snapshotOf(0, "+b", "?c")}, "0/3/3/0.333 0/3/3/0.333"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tracker := New(map[string]int{"main": tc.minimum})
			now := time.Duration(0)
			update := func(s Snapshot) {
				tracker.Update(now, s)
				now += 100 * time.Millisecond
			}
			position := func() string {
				p := tracker.Position("main")
				return fmt.Sprintf("%d/%d/%d/%.3g", p.Index, p.Of, p.QuotaReplicas, p.QuotaFraction())
			}
			for _, s := range tc.steps {
				update(s)
			}
			got := position()
			for range 200 {
				update(tc.steps[len(tc.steps)-1])
			}
			got += " " + position()
			if got != tc.want {
				t.Errorf("%s, want %s", got, tc.want)
			}
		})
	}
}

// A member that flaps changes nobody's position.
func TestFlappingMemberChangesNoPosition(t *testing.T) {
	tracker := New(map[string]int{"main": 3})
	now := time.Duration(0)
	tracker.Update(now, snapshotOf(0, "+b", "+c"))
	for i := range 100 {
		now += 2 * time.Second
		tracker.Update(now, snapshotOf(0, "+b", []string{"+c", "-c"}[i%2]))
		if p := tracker.Position("main"); p.Of != 3 {
			t.Fatalf("step %d: %+v", i, p)
		}
	}
}

// Beyond the configured number a replica has no quota fraction until all others count it,
// and then keeps it whatever is lost.
func TestQuotaFractionBeyondTheMinimum(t *testing.T) {
	tracker := New(map[string]int{"main": 2})
	s := snapshotOf(0, "+b", "+c")
	tracker.Update(0, s)
	if p := tracker.Position("main"); p.QuotaFraction() != 0 {
		t.Errorf("not counted: %+v", p)
	}
	s.Members[1].ReplicaSetDigest = tracker.ReplicaSetDigest()
	tracker.Update(time.Second, s)
	if p := tracker.Position("main"); p.QuotaFraction() != 0 {
		t.Errorf("counted by one of two: %+v", p)
	}
	s.Members[2].ReplicaSetDigest = tracker.ReplicaSetDigest()
	tracker.Update(2*time.Second, s)
	if p := tracker.Position("main"); p.QuotaFraction() < 0.33 {
		t.Errorf("counted by all: %+v", p)
	}
	tracker.Update(3*time.Second, snapshotOf(0, "-b", "-c"))
	if p := tracker.Position("main"); p.QuotaFraction() < 0.33 || p.QuotaReplicas != 3 {
		t.Errorf("partitioned: %+v", p)
	}
	s.Displaced = true
	tracker.Update(4*time.Second, s)
	if p := tracker.Position("main"); p.QuotaFraction() != 0 {
		t.Errorf("displaced: %+v", p)
	}
}
