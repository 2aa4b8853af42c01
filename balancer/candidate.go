package balancer

import "math"

// candidate is the best endpoint found so far for a request.
type candidate struct {
	request         *request
	from, size      int // the scan starts at this index of the list, which has this size
	endpoint        *endpoint
	rank            int
	relativeLatency float64
}

// newCandidate returns a candidate that every endpoint ranks before.
func newCandidate(r *request, from, size int) candidate {
	return candidate{request: r, from: from, size: size, rank: math.MaxInt}
}

// set makes e the best endpoint.
func (c *candidate) set(e *endpoint, rank int, relativeLatency float64) {
	c.endpoint = e
	c.rank = rank
	c.relativeLatency = relativeLatency
}

// distance is how far e is from where the scan starts. No two endpoints of a list are equally far.
func (c *candidate) distance(e *endpoint) int { return (e.index - c.from + c.size) % c.size }
