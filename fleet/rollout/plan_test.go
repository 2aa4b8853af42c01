package rollout

import (
	"errors"
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
