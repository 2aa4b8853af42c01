package balancer

import (
	"math"
	"time"
)

// halfLifeFactor returns the fraction that remains, after a time, of a quantity that halves every halfLife
// seconds.
func halfLifeFactor(after time.Duration, halfLife float64) float64 {
	return math.Exp2(-after.Seconds() / halfLife)
}

// moveTowards adds value to an exponentially weighted moving average, with weight gain.
func moveTowards(average, value, gain float64) float64 {
	return average + gain*(value-average)
}

// notStarted is the startedAt of a decayingRate whose observation has not started.
const notStarted time.Duration = -1

// decayingRate estimates the number of events per second. The weight of an event decays by a factor of e per
// span.
type decayingRate struct {
	span      float64 // seconds
	count     float64 // decayed number of events as of updatedAt
	updatedAt time.Duration
	startedAt time.Duration // start of the observation, or notStarted
}

func newDecayingRate(span time.Duration) decayingRate {
	return decayingRate{span: span.Seconds(), startedAt: notStarted}
}

// started reports whether the observation has started.
func (r *decayingRate) started() bool { return r.startedAt >= 0 }

// start starts the observation.
func (r *decayingRate) start(now time.Duration) {
	r.startedAt = now
	r.updatedAt = now
}

// add counts n events at now and returns the rate per second.
func (r *decayingRate) add(now time.Duration, n float64) float64 {
	r.count = r.count*math.Exp(-(now-r.updatedAt).Seconds()/r.span) + n
	r.updatedAt = now
	return r.count / r.span / max(1-math.Exp(-(now-r.startedAt).Seconds()/r.span), minObservedShare)
}

// restore sets the rate as if it had been observed since a time in the past.
func (r *decayingRate) restore(now time.Duration, rate float64, observedSince time.Duration) {
	r.startedAt = min(r.startedAt, observedSince)
	r.count = rate * r.span
	r.updatedAt = now
}
