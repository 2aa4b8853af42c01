package balancer

import "math"

// candidate is the best endpoint found so far for a request.
type candidate struct {
	request         *request
	from, size      int // index at which the scan starts, and length of the endpoint list
	endpoint        *endpoint
	rank            int
	relativeLatency float64
}

// newCandidate returns a candidate without an endpoint. Any endpoint is better than it.
func newCandidate(r *request, from, size int) candidate {
	return candidate{request: r, from: from, size: size, rank: math.MaxInt}
}

// set makes e the best endpoint.
func (c *candidate) set(e *endpoint, rank int, relativeLatency float64) {
	c.endpoint = e
	c.rank = rank
	c.relativeLatency = relativeLatency
}

// distance returns the distance of e from the start of the scan. It differs between any two endpoints.
func (c *candidate) distance(e *endpoint) int { return (e.index - c.from + c.size) % c.size }
