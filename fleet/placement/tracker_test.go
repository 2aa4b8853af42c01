package placement

import (
	"fmt"
	"testing"
	"time"

	"ryerill/fleet/membership"
)

// snapshotOf returns a snapshot of the replica a. Each of others is a sign for a status,
// followed by a name.
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
		steps   []Snapshot // one every 100 ms; the last one is repeated for 20 s
		want    string     // index/of/quota replicas/quota fraction before and after those 20 s
	}{
		{"alone, minimum of one", 1, []Snapshot{snapshotOf(0)}, "0/1/1/1 0/1/1/1"},
		{"fewer than the minimum", 4, []Snapshot{snapshotOf(0, "+b")}, "0/2/4/0.25 0/2/4/0.25"},
		{"dead replica counts for quotas, not in the ring", 2,
			[]Snapshot{snapshotOf(0, "+b", "+c", "+d"), snapshotOf(0, "+b", "+c", "-d")}, "0/4/4/0 0/3/4/0"},
		{"left replica does not count", 2,
			[]Snapshot{snapshotOf(0, "+b", "+c"), snapshotOf(0, "+b", ".c")}, "0/3/2/0.5 0/2/2/0.5"},
		{"replica that lost most others keeps the ring order", 4,
			[]Snapshot{snapshotOf(0, "+b", "+c", "+d"), snapshotOf(0, "+b", "-c", "-d")}, "0/4/4/0.25 0/4/4/0.25"},
		{"replica in poor health keeps the ring order", 4,
			[]Snapshot{snapshotOf(0, "+b", "+c", "+d"), snapshotOf(5, "+b", "+c", "-d")}, "0/4/4/0.25 0/4/4/0.25"},
		{"suspect stays in the ring", 3,
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
				t.Errorf("got %s, want %s", got, tc.want)
			}
		})
	}
}

// A flapping member does not change the ring order.
func TestFlappingMemberKeepsRingOrder(t *testing.T) {
	tracker := New(map[string]int{"main": 3})
	now := time.Duration(0)
	tracker.Update(now, snapshotOf(0, "+b", "+c"))
	for i := range 100 {
		now += 2 * time.Second
		tracker.Update(now, snapshotOf(0, "+b", []string{"+c", "-c"}[i%2]))
		if p := tracker.Position("main"); p.Of != 3 {
			t.Fatalf("step %d: got %+v, want Of 3", i, p)
		}
	}
}

// Beyond the configured minimum a replica has no quota fraction until all others count it. It then
// keeps the fraction through a partition, and loses it once displaced.
func TestQuotaFractionBeyondMinimum(t *testing.T) {
	tracker := New(map[string]int{"main": 2})
	s := snapshotOf(0, "+b", "+c")
	tracker.Update(0, s)
	if p := tracker.Position("main"); p.QuotaFraction() != 0 {
		t.Errorf("not counted: got %+v, want no quota fraction", p)
	}
	s.Members[1].ReplicaSetDigest = tracker.ReplicaSetDigest()
	tracker.Update(time.Second, s)
	if p := tracker.Position("main"); p.QuotaFraction() != 0 {
		t.Errorf("counted by one of two: got %+v, want no quota fraction", p)
	}
	s.Members[2].ReplicaSetDigest = tracker.ReplicaSetDigest()
	tracker.Update(2*time.Second, s)
	if p := tracker.Position("main"); p.QuotaFraction() < 0.33 {
		t.Errorf("counted by all: got %+v, want a quota fraction of 1/3", p)
	}
	tracker.Update(3*time.Second, snapshotOf(0, "-b", "-c"))
	if p := tracker.Position("main"); p.QuotaFraction() < 0.33 || p.QuotaReplicas != 3 {
		t.Errorf("partitioned: got %+v, want a quota fraction of 1/3 among 3", p)
	}
	s.Displaced = true
	tracker.Update(4*time.Second, s)
	if p := tracker.Position("main"); p.QuotaFraction() != 0 {
		t.Errorf("displaced: got %+v, want no quota fraction", p)
	}
}
