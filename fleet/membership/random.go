package membership

import (
	"time"

	"ryerill/internal/seedrand"
)

// random is the random number source of one List. Equal sequences of events draw equal numbers.
type random struct{ seedrand.Source }

// below draws a number from 0 to n-1, or 0 if n is not positive.
func (r *random) below(n int) int { return int(r.Uint64() % uint64(max(n, 1))) }

// duration draws a duration below limit.
func (r *random) duration(limit time.Duration) time.Duration {
	return time.Duration(r.Float64() * float64(limit))
}

// newRandom seeds the source with seed and name, so that replicas with equal seeds draw different numbers.
func newRandom(seed uint64, name string) random {
	return random{seedrand.Source(seed ^ seedrand.HashName(name))}
}
