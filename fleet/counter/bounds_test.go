package counter

import (
	"fmt"
	"math"
	"testing"
)

// A full set keeps no further replicas and zones, and still merges updates of known ones.
func TestFullSetKeepsNoFurtherSenders(t *testing.T) {
	r := New("r", "z", 1)
	for i := range MaxMembers + 10 {
		r.Merge(0, Update{Name: fmt.Sprint("c", i), Epoch: 1, Version: 1, Counts: map[Key]Counts{mainPool: {Arrivals: 1}}})
	}
	for i := range MaxZones + 10 {
		r.Merge(0, Update{Name: "x", Zone: fmt.Sprint("far", i), Epoch: 1, Version: 1, Members: 1})
	}
	if len(r.replicas.entries) != MaxMembers || len(r.zones.entries) != MaxZones {
		t.Errorf("got %d replicas and %d zones kept, want MaxMembers and MaxZones", len(r.replicas.entries), len(r.zones.entries))
	}
	if !r.Merge(0, Update{Name: "c0", Epoch: 1, Version: 2, Counts: map[Key]Counts{mainPool: {Arrivals: 2}}}) {
		t.Error("later update of a known replica: got refused, want merged")
	}
	if v := r.Sum(0, nil, arrivals); v.Estimate != MaxMembers+1 {
		t.Errorf("got %+v, want an estimate of MaxMembers+1", v)
	}
	for i := range 2 * maxExpired {
		r.Expire(fmt.Sprint("gone", i), 1)
	}
	if len(r.minEpochs) > maxExpired {
		t.Errorf("got %d expired replicas kept, want at most maxExpired", len(r.minEpochs))
	}
}

// An update with an impossible number of members is refused and doesn't change the replica count of a sum.
func TestImpossibleMemberCountsAreRefused(t *testing.T) {
	r := New("r", "z", 1)
	for i, members := range []int{-1, MaxMembers + 1, math.MaxInt} {
		if r.Merge(0, Update{Name: fmt.Sprint("c", i), Zone: fmt.Sprint("far", i), Epoch: 1, Version: 1, Members: members}) {
			t.Errorf("update with %d members: got accepted, want refused", members)
		}
	}
	if v := r.Sum(0, nil, arrivals); v.Replicas != 1 || r.Invalid != 3 {
		t.Errorf("got %+v and %d invalid updates, want 1 replica and 3 invalid updates", v, r.Invalid)
	}
}
