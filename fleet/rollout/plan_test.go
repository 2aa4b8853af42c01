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
			t.Errorf("%s: %v", key, err)
		}
	}
}

// The default stages are one replica, one of each zone, and then growing parts; replicas of all zones are changed in
// turn, in an order of the plan's own, so that stages never shrink.
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
			t.Errorf("%d replicas in %d zones: %v, want %v", tc.replicas, tc.zones, sizes, tc.want)
		}
	}
	var all replicas
	for i := range 30 {
		all = append(all, Replica{Name: fmt.Sprintf("c%02d", i), Zone: fmt.Sprint("z", i/10)})
	}
	ordered := all.inChangeOrder("p")
	for i, replica := range ordered {
		if want := fmt.Sprint("z", i%3); replica.Zone != want {
			t.Errorf("the replica that is changed as number %d is in %s, want %s", i, replica.Zone, want)
		}
	}
	names := func(ordered []Replica) (names []string) {
		for _, replica := range ordered {
			names = append(names, replica.Name)
		}
		return names
	}
	if slices.Equal(names(ordered), names(all.inChangeOrder("q"))) {
		t.Error("each plan changes the same replicas first")
	}
	if !slices.Equal(names(ordered), names(all.inChangeOrder("p"))) {
		t.Error("the order of a plan is not always the same")
	}
}
