// Package rolloutsim plays changes through a fleet many times: the real plan and the
// real judge over copies whose traffic and outcomes are drawn, against a plan with
// fixed waits and thresholds.
package rolloutsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"ryerill/fleet/rollout"
)

// Day is what else happens.
type Day string

// The days.
const (
	Calm   Day = "calm"
	Burst  Day = "burst"         // for 40 s every 2 minutes more comes than can be served
	Faulty Day = "slow provider" // one zone's goodput falls for a minute at a time
	Uneven Day = "uneven copies" // one copy in six always serves ten points less than others
)

// Result is how one rollout went.
type Result struct {
	Stopped bool
	Reached float64 // part of the copies that was changed when it ended
	Lost    float64 // worth lost by the change, in seconds of the whole fleet's traffic
	Took    time.Duration
	Unknown bool // it waits for a person: too little was known
}

const zones = 3

// world draws outcomes.
type world struct {
	rng    *rand.Rand
	day    Day
	phase  float64
	rate   float64   // requests a second a copy
	factor []float64 // by copy: traffic is uneven
	own    []float64 // by copy: it differs by itself
}

func newWorld(n int, day Day, seed uint64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 11)), day: day, rate: 20}
	w.phase = w.rng.Float64() * 120
	for range n {
		w.factor = append(w.factor, math.Exp(0.5*w.rng.NormFloat64()))
		w.own = append(w.own, 0.004*w.rng.NormFloat64())
		if day == Uneven && w.rng.IntN(6) == 0 {
			w.own[len(w.own)-1] -= 0.1
		}
	}
	return w
}

// goodput is that of a copy of a zone at a second, before the change's cost.
func (w *world) goodput(i int, at float64) float64 {
	g := 0.97 + w.own[i] + 0.003*w.rng.NormFloat64()
	t := math.Mod(at+w.phase, 120)
	switch {
	case w.day == Burst && t < 40:
		g -= 0.25
	case w.day == Faulty && t < 60 && i%zones == int(math.Mod((at+w.phase)/120, zones)):
		g -= 0.15
	}
	return g
}

// counts draws how many asked and how many of them were served in time.
func (w *world) counts(i int, at, cost float64) (asked, good float64) {
	mean := w.rate * w.factor[i]
	if w.day == Burst && math.Mod(at+w.phase, 120) < 40 {
		mean *= 1.8
	}
	asked = math.Round(max(mean+math.Sqrt(mean)*w.rng.NormFloat64(), 0))
	p := min(max(w.goodput(i, at)-cost, 0), 1)
	return asked, min(max(math.Round(asked*p+math.Sqrt(asked*p*(1-p))*w.rng.NormFloat64()), 0), asked)
}

// order has zones in turn, as a plan does.
func name(i int) string { return fmt.Sprintf("c%04d", i) }

// Play plays one rollout of a change that costs so much goodput.
func Play(n int, day Day, cost float64, seed uint64) (r Result) {
	w := newWorld(n, day, seed)
	p := rollout.Plan{ID: "x", Kind: rollout.Settings, Target: "t", MaxUnavailable: max(n/20, 1)}
	p.Complete()
	at, changed := 0.0, 0
	span := uint64(0)
	before := rollout.NewBaseline()
	second := func(j *rollout.Evaluator) {
		span++
		at++
		for i := range n {
			own := 0.0
			if i < changed { // copies are numbered with zones in turn
				own = cost
			}
			asked, good := w.counts(i, at, own)
			r.Lost += own * asked / (w.rate * float64(n))
			rep := rollout.Report{Name: name(i), Zone: fmt.Sprint("z", i%zones), Pool: "main", Interval: span, OfferedWeight: asked, ServedWeight: good, Responses: good, ResponseSeconds: 0.02 * good}
			if j != nil {
				j.AddReport(0, rep)
			}
			if i >= changed {
				before.AddReport(rep)
			}
		}
	}
	for watched := time.Duration(0); watched < p.Baseline || watched < p.Baseline+p.ExtraObservation && !before.Sufficient(p.Guardrails, name(0)); watched += time.Second {
		second(nil)
	}
	for stage := range p.Stages {
		for want := p.Size(stage, n, zones); changed < want; { // each takes a second to be ready
			changed = min(changed+p.MaxUnavailable, want)
			second(nil)
		}
		var names []string
		for i := range changed {
			names = append(names, name(i))
		}
		j := rollout.NewEvaluator(p.Guardrails, names, before)
		for soaked := time.Duration(0); ; soaked += time.Second {
			second(j)
			v, _ := j.Assess(0)
			if v == rollout.Regressed {
				return r.end(true, changed, n, at)
			}
			if soaked >= p.Stages[stage].Observation && (v == rollout.Passed || changed == n) {
				break
			}
			if soaked > p.Stages[stage].Observation+p.ExtraObservation {
				r.Unknown = true
				return r.end(true, changed, n, at)
			}
		}
	}
	return r.end(false, changed, n, at)
}

// Naive plays the same with fixed waits, and stops when changed copies' goodput lies
// below a fixed threshold or 3 points below what it was before.
func Naive(n int, day Day, cost float64, seed uint64) (r Result) {
	w := newWorld(n, day, seed)
	p := rollout.Plan{ID: "x", Kind: rollout.Settings, Target: "t", MaxUnavailable: max(n/20, 1)}
	p.Complete()
	at, changed := 0.0, 0
	second := func() float64 {
		at++
		asked, good := 0.0, 0.0
		for i := range n {
			own := 0.0
			if i < changed {
				own = cost
			}
			a, g := w.counts(i, at, own)
			r.Lost += own * a / (w.rate * float64(n))
			if i < max(changed, 1) {
				asked, good = asked+a, good+g
			}
		}
		return good / max(asked, 1)
	}
	before := 0.0
	for range 30 {
		before += second() / 30
	}
	for stage := range p.Stages {
		for want := p.Size(stage, n, zones); changed < want; {
			changed = min(changed+p.MaxUnavailable, want)
			second()
		}
		mean := 0.0
		soak := int(p.Stages[stage].Observation / time.Second)
		for range soak {
			mean += second() / float64(soak)
		}
		if mean < before-0.03 || mean < 0.9 {
			return r.end(true, changed, n, at)
		}
	}
	return r.end(false, changed, n, at)
}

func (r *Result) end(stopped bool, changed, n int, at float64) Result {
	r.Stopped, r.Reached, r.Took = stopped, float64(changed)/float64(n), time.Duration(at)*time.Second
	return *r
}
