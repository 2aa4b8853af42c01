package balancer

import (
	"math"
	"time"
)

// halfLifeFactor is what is left of a quantity that halves every halfLife seconds, after a time.
func halfLifeFactor(after time.Duration, halfLife float64) float64 {
	return math.Exp2(-after.Seconds() / halfLife)
}

// moveTowards returns an exponentially weighted average once value has been added with a weight of gain.
func moveTowards(average, value, gain float64) float64 {
	return average + gain*(value-average)
}

// notStarted is the start of a decayingRate that has seen no event.
const notStarted time.Duration = -1

// decayingRate estimates how many events a second there are. Events count less the older they are, by a
// factor of e each span.
type decayingRate struct {
	span      float64 // seconds
	count     float64 // of events, as it was at updatedAt
	updatedAt time.Duration
	startedAt time.Duration // of the observation, or notStarted
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

// add counts n events now and returns the rate a second.
func (r *decayingRate) add(now time.Duration, n float64) float64 {
	r.count = r.count*math.Exp(-(now-r.updatedAt).Seconds()/r.span) + n
	r.updatedAt = now
	return r.count / r.span / max(1-math.Exp(-(now-r.startedAt).Seconds()/r.span), minObserved)
}

// restore sets the rate, as if it had been observed for long.
func (r *decayingRate) restore(now time.Duration, rate float64, longAgo time.Duration) {
	r.startedAt = min(r.startedAt, longAgo)
	r.count = rate * r.span
	r.updatedAt = now
}
