package rollout

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestPlansAreChecked(t *testing.T) {
	for key, p := range map[string]Plan{
		"id":              {Kind: Settings, Target: "x"},
		"kind":            {ID: "a", Target: "x"},
		"target":          {ID: "a", Kind: Settings},
		"stages[0].part":  {ID: "a", Kind: Settings, Target: "x", Stages: []Stage{{Fraction: 2}}},
		"stages[0]":       {ID: "a", Kind: Settings, Target: "x", Stages: []Stage{{Observation: time.Second}}},
		"away":            {ID: "a", Kind: Settings, Target: "x", MaxUnavailable: -1},
		"guards.goodput":  {ID: "a", Kind: Settings, Target: "x", Guardrails: Guardrails{Goodput: 7}},
		"settings":        {ID: "a", Kind: Settings, Target: "x", Settings: make([]byte, MaxSettings+1)},
		"stages[0].count": {ID: "a", Kind: Settings, Target: "x", Stages: []Stage{{Count: -1}}},
	} {
		p.Complete()
		var fault *KeyError
		if err := p.Check(); !errors.As(err, &fault) || fault.Key != key {
			t.Errorf("key %s: got error %v", key, err)
		}
	}
}

// The default stages are one replica, one per zone, and then growing fractions; stages never shrink. Replicas are
// changed alternating between zones, in an order that depends on the plan.
func TestStagesGrowAndSpreadOverZones(t *testing.T) {
	plan := Plan{ID: "p"}
	plan.Complete()
	for _, tc := range []struct {
		replicas, zones int
		want            []int
	}{
		{1, 1, []int{1, 1, 1, 1, 1, 1}},
		{3, 3, []int{1, 3, 3, 3, 3, 3}},
		{40, 3, []int{1, 3, 3, 10, 20, 40}},
		{300, 3, []int{1, 3, 15, 75, 150, 300}},
		{7, 10, []int{1, 7, 7, 7, 7, 7}}, // more zones than replicas
	} {
		var sizes []int
		for stage := range plan.Stages {
			sizes = append(sizes, plan.Size(stage, tc.replicas, tc.zones))
		}
		if !slices.Equal(sizes, tc.want) {
			t.Errorf("%d replicas in %d zones: got sizes %v, want %v", tc.replicas, tc.zones, sizes, tc.want)
		}
	}
	var all replicas
	for i := range 30 {
		all = append(all, Replica{Name: fmt.Sprintf("c%02d", i), Zone: fmt.Sprint("z", i/10)})
	}
	ordered := all.inChangeOrder("p")
	for i, replica := range ordered {
		if want := fmt.Sprint("z", i%3); replica.Zone != want {
			t.Errorf("replica at position %d of the order: got zone %s, want %s", i, replica.Zone, want)
		}
	}
	names := func(ordered []Replica) (names []string) {
		for _, replica := range ordered {
			names = append(names, replica.Name)
		}
		return names
	}
	if slices.Equal(names(ordered), names(all.inChangeOrder("q"))) {
		t.Error("got the same order for different plans")
	}
	if !slices.Equal(names(ordered), names(all.inChangeOrder("p"))) {
		t.Error("got different orders for the same plan")
	}
}
