package rollout

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// What changed replicas cost is detected within an observation, and differences that were there earlier are not: a
// table of what two of twelve replicas report, earlier and since they were changed.
func TestEvaluatorFindsRegressions(t *testing.T) {
	for _, tc := range []struct {
		name    string
		change  func(r *Report, changed bool)
		verdict Assessment
		why     string
	}{
		{"nothing", func(*Report, bool) {}, Passed, "no lower goodput"},
		{"more attempts for each request", func(r *Report, changed bool) {
			if changed {
				r.Attempts *= 1.6
			}
		}, Regressed, "more calls to providers"},
		{"more memory", func(r *Report, changed bool) {
			if changed {
				r.Memory = 130
			}
		}, Regressed, "more memory"},
		{"more memory, but little", func(r *Report, changed bool) {
			if changed {
				r.Memory += 12
			}
		}, Passed, ""},
		{"a leak", func(r *Report, changed bool) {
			if changed {
				r.Memory += float64(r.Interval-40) * 2
			}
		}, Regressed, "more memory"},
		{"slower answers", func(r *Report, changed bool) {
			if changed {
				r.ResponseSeconds *= 1.7
			}
		}, Regressed, "slower"},
		{"lower goodput", func(r *Report, changed bool) {
			if changed {
				r.ServedWeight *= 0.9
			}
		}, Regressed, "goodput is lower"},
		{"goodput that was as low earlier", func(r *Report, _ bool) {
			if r.Name == "c00" || r.Name == "c05" {
				r.ServedWeight *= 0.85
			}
		}, Passed, ""},
		{"a fault that hits all alike", func(r *Report, _ bool) {
			if r.Interval > 50 && r.Interval < 70 {
				r.ServedWeight *= 0.5
				r.ResponseSeconds *= 4
			}
		}, Passed, ""},
		{"a fault of the zone of the first changed one", func(r *Report, _ bool) {
			r.Zone = "z1"
			if r.Name < "c03" { // the changed ones and another
				r.Zone = "z0"
			}
			if r.Interval > 40 && r.Zone == "z0" {
				r.ServedWeight *= 0.85
			}
		}, Passed, ""},
		{"load that doubles in the middle", func(r *Report, _ bool) {
			if r.Interval > 50 {
				r.OfferedWeight, r.ServedWeight = 2*r.OfferedWeight, 2*r.ServedWeight
			}
		}, Passed, ""},
		{"what costs once load doubles", func(r *Report, changed bool) {
			if r.Interval > 50 {
				r.OfferedWeight, r.ServedWeight = 2*r.OfferedWeight, 2*r.ServedWeight
			}
			if changed && r.Interval > 50 {
				r.ServedWeight *= 0.8
			}
		}, Regressed, "goodput is lower"},
		{"hardly any traffic", func(r *Report, _ bool) {
			r.OfferedWeight, r.ServedWeight = 0.02*r.OfferedWeight, 0.02*r.ServedWeight
			r.Responses, r.ResponseSeconds = 0.02*r.Responses, 0.02*r.ResponseSeconds
			r.Requests, r.Attempts = 0.02*r.Requests, 0.02*r.Attempts
		}, Undecided, ""},
		{"no traffic at the changed ones", func(r *Report, changed bool) {
			if changed {
				r.OfferedWeight, r.ServedWeight, r.Responses, r.ResponseSeconds, r.Requests, r.Attempts = 0, 0, 0, 0, 0, 0
			}
		}, Undecided, ""},
		{"invalid reports", func(r *Report, changed bool) {
			if changed {
				r.ServedWeight = -1
			}
		}, Undecided, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			baseline := NewBaseline()
			evaluator := (*Evaluator)(nil)
			for span := uint64(1); span < 100; span++ {
				if span == 40 {
					evaluator = NewEvaluator(Guardrails{}, []string{"c00", "c01"}, baseline)
				}
				for i := range 12 {
					asked := 40 + 10*rng.Float64()
					r := Report{Name: fmt.Sprintf("c%02d", i), Zone: fmt.Sprint("z", i%2), Pool: "main", Interval: span, OfferedWeight: asked, ServedWeight: asked * (0.96 + 0.02*rng.Float64()),
						Responses: asked, ResponseSeconds: asked * 0.02 * (0.9 + 0.2*rng.Float64()), Requests: asked, Attempts: asked * (1 + 0.1*rng.Float64()), Memory: 60 + 10*rng.Float64()}
					changed := evaluator != nil && i < 2
					tc.change(&r, changed)
					if evaluator != nil {
						evaluator.AddReport(0, r)
					}
					if !changed {
						baseline.AddReport(r)
					}
				}
				if evaluator == nil {
					continue
				}
				if v, why := evaluator.Assess(0); v == Regressed {
					if tc.verdict != Regressed || !strings.Contains(why, tc.why) {
						t.Errorf("after %d spans: %s", span-40, why)
					}
					return
				}
			}
			if v, why := evaluator.Assess(0); v != tc.verdict {
				t.Errorf("%v: %s", v, why)
			}
		})
	}
}

// A program that speaks no protocol level of some replica is refused when the plan starts.
func TestLevelsHaveToMeet(t *testing.T) {
	for _, tc := range []struct {
		minLevel, maxLevel, otherMin, otherMax uint8
		accepted                               bool
	}{{0, 0, 1, 1, true}, {1, 2, 1, 1, true}, {1, 2, 2, 3, true}, {2, 3, 1, 1, false}, {1, 1, 2, 3, false}, {1, 1, 0, 0, true}, {3, 2, 1, 9, false}} {
		r := New("a", 0)
		r.Tick(time.Second, []Replica{{Name: "a", Alive: true, MinLevel: tc.minLevel, MaxLevel: tc.maxLevel}, {Name: "b", Alive: true, MinLevel: tc.otherMin, MaxLevel: tc.otherMax}}, nil)
		p := Plan{ID: "p", Kind: Program, Target: "v2", MinLevel: tc.minLevel, MaxLevel: tc.maxLevel}
		p.Complete()
		err := r.Start(time.Second, p)
		if key := (*KeyError)(nil); (err == nil) != tc.accepted || err != nil && (!errors.As(err, &key) || key.Key != "speaks") {
			t.Errorf("%+v: %v", tc, err)
		}
	}
}
