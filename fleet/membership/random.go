package membership

import (
	"time"

	"ryerill/internal/seedrand"
)

// random draws the numbers of one List, in an order that follows from its events.
type random struct{ seedrand.Source }

// below draws a number from 0 to n-1; it is 0 if n is not positive.
func (r *random) below(n int) int { return int(r.Uint64() % uint64(max(n, 1))) }

// duration draws a duration below limit.
func (r *random) duration(limit time.Duration) time.Duration {
	return time.Duration(r.Float64() * float64(limit))
}

// newRandom seeds the numbers of a replica; replicas of one seed draw different ones.
func newRandom(seed uint64, name string) random {
	return random{seedrand.Source(seed ^ seedrand.HashName(name))}
}
