package load

import (
	"math"
	"math/rand/v2"
	"time"

	"ryerill/lab/scenario"
)

// Shapes of the rate that vary.
const (
	waveShape   = "wave"
	burstyShape = "bursty"
)

// totalRate is the rate of first tries over time, of all classes and without bursts that are faults.
type totalRate struct {
	load  *scenario.Load
	phase float64 // of a wave
	spans []span  // of a bursty shape
	index int     // of the span that was used last
}

// span is a time with one rate, from the end of the span before it.
type span struct {
	end    time.Duration
	factor float64
}

// newTotalRate draws what a rate has that is random.
func newTotalRate(s *scenario.Scenario, rng *rand.Rand) *totalRate {
	r := &totalRate{load: &s.Load}
	if s.Load.Shape == burstyShape {
		for end := time.Duration(0); end < s.Length; {
			end += time.Duration(rng.ExpFloat64() * float64(s.Load.Period))
			r.spans = append(r.spans, span{end: end, factor: 1 + s.Load.Swing*(2*rng.Float64()-1)})
		}
	}
	r.phase = rng.Float64() * 2 * math.Pi
	return r
}

// at returns the rate at a time, in first tries a second.
func (r *totalRate) at(at time.Duration) float64 {
	rate := r.load.Rate
	switch r.load.Shape {
	case waveShape:
		rate *= 1 + r.load.Swing*math.Sin(r.phase+2*math.Pi*at.Seconds()/r.load.Period.Seconds())
	case burstyShape:
		rate *= r.spanFactor(at)
	}
	return rate * r.stepFactor(at)
}

// spanFactor is that of the span of a time. Times mostly increase from call to call, so the search goes on from the
// last span.
func (r *totalRate) spanFactor(at time.Duration) float64 {
	isLater := r.index > 0 && r.spans[r.index-1].end > at
	if r.index >= len(r.spans) || isLater {
		r.index = 0
	}
	for r.index < len(r.spans)-1 && r.spans[r.index].end <= at {
		r.index++
	}
	return r.spans[r.index].factor
}

// stepFactor is that of the last step up to a time.
func (r *totalRate) stepFactor(at time.Duration) float64 {
	factor := 1.0
	for _, step := range r.load.Steps {
		if at >= step.At {
			factor = step.Factor
		}
	}
	return factor
}

// hasBurst reports whether a class has a burst at all.
func hasBurst(s *scenario.Scenario, class int) bool {
	for i := range s.Faults {
		if isBurstOf(s, &s.Faults[i], class) {
			return true
		}
	}
	return false
}

// isBurstOf reports whether a fault is a burst of a class. Where tiers are parallel a burst is of one tier's classes.
func isBurstOf(s *scenario.Scenario, fault *scenario.Fault, class int) bool {
	if fault.Kind != scenario.Burst || fault.Factor <= 1 {
		return false
	}
	return !s.Parallel || fault.Tier == s.Classes[class].Tier
}

// burstFactor is what bursts multiply a class's rate by at a time.
func burstFactor(s *scenario.Scenario, class int, at time.Duration) float64 {
	factor := 1.0
	for i := range s.Faults {
		fault := &s.Faults[i]
		if isBurstOf(s, fault, class) && isActive(fault, at) {
			factor *= fault.Factor
		}
	}
	return factor
}
