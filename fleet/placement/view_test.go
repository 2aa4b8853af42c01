package placement

import (
	"fmt"
	"testing"
	"time"

	"ryerill/fleet/membership"
)

// of makes what a copy named a knows: others by name and status.
func of(health int, others ...string) Snapshot {
	s := Snapshot{Joined: true, Health: health, Members: []membership.MemberInfo{{Record: membership.Record{State: membership.State{Name: "a", Status: membership.Alive},
		Tags: &membership.Tags{Pools: []string{"main"}, Phase: membership.Serving}}, Self: true}}}
	for _, o := range others {
		status := map[byte]membership.Status{'+': membership.Alive, '?': membership.Suspect, '-': membership.Dead, '.': membership.Left}[o[0]]
		s.Members = append(s.Members, membership.MemberInfo{Record: membership.Record{State: membership.State{Name: o[1:], Status: status},
			Tags: &membership.Tags{Pools: []string{"main"}, Phase: membership.Serving}}, LastHeard: time.Hour})
	}
	return s
}

func TestPlaces(t *testing.T) {
	for _, tc := range []struct {
		name  string
		floor int
		steps []Snapshot // one each 100 ms; the last one goes on for 20 s
		want  string     // number/of/among/part before and after those 20 s
	}{
		{"alone, one written", 1, []Snapshot{of(0)}, "0/1/1/1 0/1/1/1"},
		{"fewer than written", 4, []Snapshot{of(0, "+b")}, "0/2/4/0.25 0/2/4/0.25"},
		{"a dead one counts among budgets, not in the ring", 2, []Snapshot{of(0, "+b", "+c", "+d"), of(0, "+b", "+c", "-d")}, "0/4/4/0 0/3/4/0"},
		{"one that left counts nowhere", 2, []Snapshot{of(0, "+b", "+c"), of(0, "+b", ".c")}, "0/3/2/0.5 0/2/2/0.5"},
		{"who lost most keeps the places that it knew", 4, []Snapshot{of(0, "+b", "+c", "+d"), of(0, "+b", "-c", "-d")}, "0/4/4/0.25 0/4/4/0.25"},
		{"and so does one of poor health", 4, []Snapshot{of(0, "+b", "+c", "+d"), of(5, "+b", "+c", "-d")}, "0/4/4/0.25 0/4/4/0.25"},
		{"a suspect is there", 3, []Snapshot{of(0, "+b", "+c"), of(0, "+b", "?c")}, "0/3/3/0.333 0/3/3/0.333"},
	} {
		v, now := New(map[string]int{"main": tc.floor}), time.Duration(0)
		tell := func() string {
			p := v.Position("main")
			return fmt.Sprintf("%d/%d/%d/%.3g", p.Index, p.Of, p.QuotaReplicas, p.QuotaFraction())
		}
		for _, s := range tc.steps {
			v.Update(now, s)
			now += 100 * time.Millisecond
		}
		got := tell()
		for range 200 {
			v.Update(now, tc.steps[len(tc.steps)-1])
			now += 100 * time.Millisecond
		}
		if got += " " + tell(); got != tc.want {
			t.Errorf("%s: %s, want %s", tc.name, got, tc.want)
		}
	}
}

// A member that flaps moves nobody's place.
func TestFlappingMovesNobody(t *testing.T) {
	v, now := New(map[string]int{"main": 3}), time.Duration(0)
	v.Update(now, of(0, "+b", "+c"))
	for i := range 100 {
		now += 2 * time.Second
		if v.Update(now, of(0, "+b", []string{"+c", "-c"}[i%2])); v.Position("main").Of != 3 {
			t.Fatalf("step %d: %+v", i, v.Position("main"))
		}
	}
}

// Beyond the written number a copy has no part until all others count it, and then
// keeps it whatever is lost.
func TestPartBeyondTheFloor(t *testing.T) {
	v := New(map[string]int{"main": 2})
	s := of(0, "+b", "+c")
	v.Update(0, s)
	if p := v.Position("main"); p.QuotaFraction() != 0 {
		t.Errorf("uncounted: %+v", p)
	}
	s.Members[1].ReplicaSetDigest = v.ReplicaSetDigest()
	v.Update(time.Second, s)
	if p := v.Position("main"); p.QuotaFraction() != 0 {
		t.Errorf("counted by one of two: %+v", p)
	}
	s.Members[2].ReplicaSetDigest = v.ReplicaSetDigest()
	v.Update(2*time.Second, s)
	if p := v.Position("main"); p.QuotaFraction() < 0.33 {
		t.Errorf("counted by all: %+v", p)
	}
	v.Update(3*time.Second, of(0, "-b", "-c"))
	if p := v.Position("main"); p.QuotaFraction() < 0.33 || p.QuotaReplicas != 3 {
		t.Errorf("cut off: %+v", p)
	}
	s.Displaced = true
	if v.Update(4*time.Second, s); v.Position("main").QuotaFraction() != 0 {
		t.Errorf("replaced: %+v", v.Position("main"))
	}
}
