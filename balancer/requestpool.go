package balancer

// maxPooled bounds the requests that are kept to be used again.
const maxPooled = 1024

// requestPool holds requests that are over.
type requestPool []*request

// take returns a request whose fields may hold anything. The slice of its attempts has capacity.
func (p *requestPool) take() *request {
	last := len(*p) - 1
	if last < 0 {
		return new(request)
	}
	r := (*p)[last]
	*p = (*p)[:last]
	return r
}

// put keeps a request without its references to endpoints, so that those that leave can be freed. Its other
// fields stand until the next take.
func (p *requestPool) put(r *request) {
	clear(r.attempts)
	r.possiblyExecutedOn = nil
	if len(*p) < maxPooled {
		*p = append(*p, r)
	}
}
