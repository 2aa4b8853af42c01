package metrics

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"ryerill/lab/load"
	"ryerill/lab/scenario"
)

// twentySeconds returns a scenario of one class and one tier.
func twentySeconds(faults ...scenario.Fault) *scenario.Scenario {
	return &scenario.Scenario{Length: 20 * time.Second, Classes: []scenario.Class{{Name: "read", LateWeight: 0.5, PriorityWeight: 1}},
		Tenants: []scenario.Tenant{{Name: "all"}}, Tiers: []scenario.Tier{{Name: "one"}}, Faults: faults}
}

// record records ten first tries a second, each with the outcome of its time.
func record(s *scenario.Scenario, outcome func(at time.Duration) Outcome) *Result {
	r := New(s)
	for at := time.Duration(0); at < s.Length; at += 100 * time.Millisecond {
		r.Final(&load.Request{At: at, Weight: 2}, outcome(at), 300*time.Millisecond)
	}
	return r.Result(nil, nil)
}

func TestGoodputIsWeighted(t *testing.T) {
	r := record(twentySeconds(), func(at time.Duration) Outcome {
		return []Outcome{OnTime, Late, Shed, OnTime}[int(at/(100*time.Millisecond))%4]
	})
	for name, want := range map[string]float64{"goodput": 0.625, "in_aim": 0.5, "late": 0.25, "refused": 0.25, "p50": 0.3, "class.read.goodput": 0.625} {
		if got := r.Metrics[name]; math.Abs(got-want) > 0.01 {
			t.Errorf("%s is %v, want %v", name, got, want)
		}
	}
}

func TestRecoveryIsTimedFromTheEndOfTheFault(t *testing.T) {
	fault := scenario.Fault{Kind: scenario.Slow, At: 4 * time.Second, For: 4 * time.Second}
	for _, tc := range []struct {
		name            string
		until           time.Duration // requests fail from the start of the fault until here
		recover, jammed float64
	}{
		{"at once", 8 * time.Second, 0, 0},
		{"three seconds later", 11 * time.Second, 3, 0},
		{"never", 20 * time.Second, 12, 1},
	} {
		r := record(twentySeconds(fault), func(at time.Duration) Outcome {
			if at >= fault.At && at < tc.until {
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
	s := twentySeconds()
	s.Warmup = 10 * time.Second
	r := record(s, func(at time.Duration) Outcome {
		if at < s.Warmup {
			return Failed
		}
		return OnTime
	})
	if r.Metrics["goodput"] != 1 || r.Metrics["firsts"] != 100 {
		t.Errorf("goodput %v of %v", r.Metrics["goodput"], r.Metrics["firsts"])
	}
}

// An oscillation is found where all move in step, and not in noise, in a trend, or in a constant series.
func TestOscillation(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	series := func(n int, at func(i float64) float64) (out []float64) {
		for i := range n {
			out = append(out, at(float64(i)))
		}
		return out
	}
	for name, tc := range map[string]struct {
		series    []float64
		lowest    float64
		highest   float64
		period    float64
		tolerance float64
	}{
		"saw teeth of 4 s": {series(90, func(i float64) float64 { return 100 + math.Mod(i, 8) + rng.NormFloat64() }), 0.4, 1, 4, 0.7},
		"noise":            {series(90, func(float64) float64 { return 100 + rng.NormFloat64() }), 0, 0.3, 0, 1e9},
		"a trend in noise": {series(90, func(i float64) float64 { return i + rng.NormFloat64() }), 0, 0.3, 0, 1e9},
		"constant":         {series(90, func(float64) float64 { return 7 }), 0, 0, 0, 0},
		"too short":        {series(9, func(i float64) float64 { return i }), 0, 0, 0, 0},
	} {
		if fraction, period := Oscillation(tc.series); fraction < tc.lowest || fraction > tc.highest || math.Abs(period-tc.period) > tc.tolerance {
			t.Errorf("%s: %.2f at %.1f s", name, fraction, period)
		}
	}
}
