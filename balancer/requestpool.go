package balancer

// maxPooled is the maximum number of requests that are kept for reuse.
const maxPooled = 1024

// requestPool is a free list of requests.
type requestPool []*request

// take returns a request whose fields have unspecified values. A reused request keeps the capacity of
// attempts.
func (p *requestPool) take() *request {
	last := len(*p) - 1
	if last < 0 {
		return new(request)
	}
	r := (*p)[last]
	*p = (*p)[:last]
	return r
}

// put keeps a request for reuse and clears its references to endpoints, so that removed endpoints can be
// freed. Its other fields stay valid until the next take.
func (p *requestPool) put(r *request) {
	clear(r.attempts)
	r.possiblyExecutedOn = nil
	if len(*p) < maxPooled {
		*p = append(*p, r)
	}
}
