package counter

import (
	"fmt"
	"math"
	"testing"
)

// Beyond the greatest number of replicas and zones further ones are not kept; those that are known go on.
func TestSendersBeyondTheBoundAreNotKept(t *testing.T) {
	r := New("r", "z", 1)
	for i := range MaxMembers + 10 {
		r.Merge(0, Update{Name: fmt.Sprint("c", i), Epoch: 1, Version: 1, Counts: map[Key]Counts{mainPool: {Arrivals: 1}}})
	}
	for i := range MaxZones + 10 {
		r.Merge(0, Update{Name: "x", Zone: fmt.Sprint("far", i), Epoch: 1, Version: 1, Members: 1})
	}
	if len(r.replicas.entries) != MaxMembers || len(r.zones.entries) != MaxZones {
		t.Errorf("%d replicas and %d zones are kept", len(r.replicas.entries), len(r.zones.entries))
	}
	if !r.Merge(0, Update{Name: "c0", Epoch: 1, Version: 2, Counts: map[Key]Counts{mainPool: {Arrivals: 2}}}) {
		t.Error("a later update of one that is known is refused")
	}
	if v := r.Sum(0, nil, arrivals); v.Estimate != MaxMembers+1 {
		t.Errorf("%+v", v)
	}
	for i := range 2 * maxExpired {
		r.Expire(fmt.Sprint("gone", i), 1)
	}
	if len(r.minEpochs) > maxExpired {
		t.Errorf("%d expired replicas are kept", len(r.minEpochs))
	}
}

// However many replicas an update claims to cover, the number that a sum covers stays one that can be true.
func TestImpossibleNumbersOfReplicasAreRefused(t *testing.T) {
	r := New("r", "z", 1)
	for i, members := range []int{-1, MaxMembers + 1, math.MaxInt} {
		if r.Merge(0, Update{Name: fmt.Sprint("c", i), Zone: fmt.Sprint("far", i), Epoch: 1, Version: 1, Members: members}) {
			t.Errorf("%d members: accepted", members)
		}
	}
	if v := r.Sum(0, nil, arrivals); v.Replicas != 1 || r.Invalid != 3 {
		t.Errorf("%+v, %d counted", v, r.Invalid)
	}
}
