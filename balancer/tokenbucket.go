package balancer

import (
	"math"
	"time"
)

// tokenBucket is a token bucket whose rate may differ from call to call.
type tokenBucket struct {
	tokens   float64
	filledAt time.Duration
}

// fill adds the tokens for the time since the last call, at rate per second up to capacity, and returns the
// number of tokens.
func (t *tokenBucket) fill(now time.Duration, rate, capacity float64) float64 {
	t.tokens = min(t.tokens+rate*(now-t.filledAt).Seconds(), capacity)
	t.filledAt = now
	return t.tokens
}

// take fills the bucket and takes one token. It reports false if there is no whole token.
func (t *tokenBucket) take(now time.Duration, rate, capacity float64) bool {
	if t.fill(now, rate, capacity) < 1 {
		return false
	}
	t.tokens--
	return true
}

// fillExpiring fills the bucket without a bound, removes whole tokens above maxSaved if there are more than
// maxSaved+1, and returns the number of tokens.
func (t *tokenBucket) fillExpiring(now time.Duration, rate, maxSaved float64) float64 {
	tokens := t.fill(now, rate, math.Inf(1))
	if tokens > 1+maxSaved {
		t.tokens -= math.Floor(tokens - maxSaved)
	}
	return t.tokens
}
