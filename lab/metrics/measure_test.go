package metrics

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"ryerill/lab/load"
	"ryerill/lab/scenario"
)

func world20(troubles ...scenario.Fault) *scenario.Scenario {
	return &scenario.Scenario{Length: 20 * time.Second, Classes: []scenario.Class{{Name: "read", LateWeight: 0.5, PriorityWeight: 1}},
		Tenants: []scenario.Tenant{{Name: "all"}}, Tiers: []scenario.Tier{{Name: "one"}}, Faults: troubles}
}

// book books ten first tries a second, served as a time says.
func book(w *scenario.Scenario, verdict func(at time.Duration) Outcome) *Result {
	r := New(w)
	for at := time.Duration(0); at < w.Length; at += 100 * time.Millisecond {
		r.Final(&load.Request{At: at, Weight: 2}, verdict(at), 300*time.Millisecond)
	}
	return r.Result(nil, nil)
}

func TestWorthIsCounted(t *testing.T) {
	r := book(world20(), func(at time.Duration) Outcome {
		return []Outcome{OnTime, Late, Shed, OnTime}[int(at/(100*time.Millisecond))%4]
	})
	for name, want := range map[string]float64{"goodput": 0.625, "in_aim": 0.5, "late": 0.25, "refused": 0.25, "p50": 0.3, "class.read.goodput": 0.625} {
		if got := r.Metrics[name]; math.Abs(got-want) > 0.01 {
			t.Errorf("%s is %v, want %v", name, got, want)
		}
	}
}

func TestRecoveryIsTimedFromTheEndOfTheTrouble(t *testing.T) {
	tr := scenario.Fault{Kind: scenario.Slow, At: 4 * time.Second, For: 4 * time.Second}
	for _, tc := range []struct {
		name            string
		until           time.Duration // it fails from the trouble's start until here
		recover, jammed float64
	}{
		{"at once", 8 * time.Second, 0, 0},
		{"three seconds later", 11 * time.Second, 3, 0},
		{"never", 20 * time.Second, 12, 1},
	} {
		r := book(world20(tr), func(at time.Duration) Outcome {
			if at >= tr.At && at < tc.until {
				return Failed
			}
			return OnTime
		})
		if got := r.Metrics["recover"]; math.Abs(got-tc.recover) > 0.51 || r.Metrics["jammed"] != tc.jammed {
			t.Errorf("%s: recover %v, jammed %v", tc.name, got, r.Metrics["jammed"])
		}
	}
}

func TestWarmupIsNotCounted(t *testing.T) {
	w := world20()
	w.Warmup = 10 * time.Second
	r := book(w, func(at time.Duration) Outcome {
		if at < w.Warmup {
			return Failed
		}
		return OnTime
	})
	if r.Metrics["goodput"] != 1 || r.Metrics["firsts"] != 100 {
		t.Errorf("goodput %v of %v", r.Metrics["goodput"], r.Metrics["firsts"])
	}
}

// A beat is found where all move in step, and not in noise, in a trend, or in a series
// that stands still.
func TestBeat(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	series := func(n int, at func(i float64) float64) (out []float64) {
		for i := range n {
			out = append(out, at(float64(i)))
		}
		return out
	}
	for name, tc := range map[string]struct {
		series       []float64
		least, most  float64
		period, near float64
	}{
		"saw teeth of 4 s": {series(90, func(i float64) float64 { return 100 + math.Mod(i, 8) + rng.NormFloat64() }), 0.4, 1, 4, 0.7},
		"noise":            {series(90, func(float64) float64 { return 100 + rng.NormFloat64() }), 0, 0.3, 0, 1e9},
		"a trend in noise": {series(90, func(i float64) float64 { return i + rng.NormFloat64() }), 0, 0.3, 0, 1e9},
		"still":            {series(90, func(float64) float64 { return 7 }), 0, 0, 0, 0},
		"too short":        {series(9, func(i float64) float64 { return i }), 0, 0, 0, 0},
	} {
		if part, period := Beat(tc.series); part < tc.least || part > tc.most || math.Abs(period-tc.period) > tc.near {
			t.Errorf("%s: %.2f at %.1f s", name, part, period)
		}
	}
}
