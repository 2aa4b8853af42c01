package rollout

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// Regressions of changed replicas are detected within an observation period; differences that existed before the change
// are not regressions. Each case sets the reports of two of twelve replicas before and after their change.
func TestEvaluatorDetectsRegressions(t *testing.T) {
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
						t.Errorf("got a decision after %d intervals: %s", span-40, why)
					}
					return
				}
			}
			if v, why := evaluator.Assess(0); v != tc.verdict {
				t.Errorf("got assessment %v: %s", v, why)
			}
		})
	}
}

// Pools are compared separately: a regression of one pool is detected although another pool hides it in the total, and
// replicas that serve a different mix of pools are not taken for regressions.
func TestEvaluatorComparesPoolsSeparately(t *testing.T) {
	for _, tc := range []struct {
		name    string
		goodput func(pool string, changed bool) float64
		want    Assessment
	}{
		{"a pool is hit, the other is better", func(pool string, changed bool) float64 {
			switch {
			case changed && pool == "small":
				return 0.7
			case changed:
				return 1
			default:
				return 0.96
			}
		}, Regressed},
		{"a pool is lost, the others are as before", func(pool string, changed bool) float64 {
			if changed && pool == "small" {
				return 0
			}
			return 0.96
		}, Regressed},
		{"a pool is always worse", func(pool string, _ bool) float64 {
			if pool == "small" {
				return 0.6
			}
			return 0.98
		}, Passed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			evaluator := NewEvaluator(Guardrails{}, []string{"c00", "c01"}, nil)
			for interval := uint64(1); interval < 60; interval++ {
				for i := range 12 {
					for pool, offered := range map[string]float64{"large": 200, "other": 200, "small": 20} {
						changed := i < 2
						if changed { // which serve more of the small pool
							offered = 60
						}
						evaluator.AddReport(0, Report{
							Name: fmt.Sprintf("c%02d", i), Zone: "z", Pool: pool, Interval: interval,
							OfferedWeight: offered, ServedWeight: offered * tc.goodput(pool, changed),
						})
					}
				}
				if assessment, _ := evaluator.Assess(0); assessment == Regressed {
					break
				}
			}
			if assessment, why := evaluator.Assess(0); assessment != tc.want {
				t.Errorf("got assessment %v: %s", assessment, why)
			}
		})
	}
}

// A plan whose program shares no protocol level with some replica is refused at its start.
func TestPlanWithoutCommonProtocolLevelIsRefused(t *testing.T) {
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
			t.Errorf("case %+v: got error %v", tc, err)
		}
	}
}

// A harmless change passes with many pools, however little traffic each of them has.
func TestEvaluatorPassesHarmlessChangesOfManyPools(t *testing.T) {
	const runs, pools, observed = 60, 12, 40
	regressed, undecided := 0, 0
	for seed := range uint64(runs) {
		rng := rand.New(rand.NewPCG(seed, 1))
		evaluator := NewEvaluator(Guardrails{}, []string{"c00", "c01"}, nil)
		assessment := Undecided
		for interval := uint64(1); interval <= 2*observed && assessment != Regressed; interval++ {
			for i := range 12 {
				for pool := range pools {
					offered, served := float64(2+3*pool), 0.0
					for range int(offered) {
						if rng.Float64() < 0.96 {
							served++
						}
					}
					evaluator.AddReport(0, Report{
						Name: fmt.Sprintf("c%02d", i), Zone: "z", Pool: fmt.Sprint("p", pool), Interval: interval,
						OfferedWeight: offered, ServedWeight: served,
					})
				}
			}
			if assessment, _ = evaluator.Assess(0); interval >= observed && assessment == Passed {
				break
			}
		}
		switch assessment {
		case Regressed:
			regressed++
		case Undecided:
			undecided++
		}
	}
	if regressed > 0 || undecided > 0 {
		t.Errorf("of %d runs: got %d regressed, %d undecided", runs, regressed, undecided)
	}
}
