package balancer

import (
	"math"
	"time"
)

// tokenBucket is an allowance that fills at a rate. The rate may differ from call to call.
type tokenBucket struct {
	tokens   float64
	filledAt time.Duration
}

// fill adds the tokens of the time since the last call, at a rate a second, up to a capacity, and returns
// how many there are.
func (t *tokenBucket) fill(now time.Duration, rate, capacity float64) float64 {
	t.tokens = min(t.tokens+rate*(now-t.filledAt).Seconds(), capacity)
	t.filledAt = now
	return t.tokens
}

// take fills the bucket and takes a token out. It reports false if there is no whole one.
func (t *tokenBucket) take(now time.Duration, rate, capacity float64) bool {
	if t.fill(now, rate, capacity) < 1 {
		return false
	}
	t.tokens--
	return true
}

// fillExpiring fills the bucket without a bound, has whole tokens expire if there are more than maxSaved and
// one, and returns how many there are.
func (t *tokenBucket) fillExpiring(now time.Duration, rate, maxSaved float64) float64 {
	tokens := t.fill(now, rate, math.Inf(1))
	if tokens > 1+maxSaved {
		t.tokens -= math.Floor(tokens - maxSaved)
	}
	return t.tokens
}
