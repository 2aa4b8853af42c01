// Package reuse decides which connections to endpoints may carry another request, and whether a response that came on
// one can be believed to be the request's own. HTTP/1.1 does not say which request a response is for: what an endpoint
// sends late or twice would be taken for the response to whatever request is out on the connection.
package reuse

import "time"

const (
	// MinRest is how long a connection rests after a response before it carries another request: what follows the
	// response within that time is seen before.
	MinRest = 50 * time.Millisecond

	// longRest is the rest of connections to an endpoint that has sent something late.
	longRest = 500 * time.Millisecond

	// longRestPeriod is for how long such an endpoint's connections rest longer.
	longRestPeriod = 30 * time.Second

	// distrustPeriod is how long no connection to an endpoint is used twice once it has sent a copy in place of a
	// response.
	distrustPeriod = 10 * time.Second

	// declinePeriod is how long after a decline requests that may not simply be repeated get new connections: only
	// there a decline proves that it is for them.
	declinePeriod = time.Second

	// maxNotedEndpoints bounds the endpoints of which something is noted. Where there are more, all are distrusted.
	maxNotedEndpoints = 4096
)

// Policy decides for the connections of one pool. It is not safe for concurrent use. Its time is monotonic.
type Policy struct {
	Responses *Responses          // of all endpoints
	endpoints map[uint64]endpoint // those that have sent what nobody asked for
	// allDistrustedUntil is until when all endpoints are distrusted.
	allDistrustedUntil time.Time
	declinedAt         time.Time // when any endpoint declined a request last
}

// NewPolicy returns a policy that trusts all endpoints.
func NewPolicy() *Policy {
	return &Policy{Responses: NewResponses(), endpoints: make(map[uint64]endpoint)}
}

// endpoint is what is noted of one endpoint.
type endpoint struct {
	longRestUntil   time.Time
	distrustedUntil time.Time
}

func (e *endpoint) isForgotten(now time.Time) bool {
	return !now.Before(e.longRestUntil) && !now.Before(e.distrustedUntil)
}

// MayCarry reports whether a connection to an endpoint may carry another request after it has rested for a while.
func (p *Policy) MayCarry(id uint64, rest time.Duration, now time.Time) bool {
	return rest >= p.NeededRest(id, now) && p.Responses.Suffice() && p.MayKeep(id, now)
}

// NeededRest returns how long a connection to an endpoint has to rest.
func (p *Policy) NeededRest(id uint64, now time.Time) time.Duration {
	if now.Before(p.endpoints[id].longRestUntil) {
		return longRest
	}
	return MinRest
}

// MayKeep reports whether a connection to an endpoint may be used again at all.
func (p *Policy) MayKeep(id uint64, now time.Time) bool {
	return !now.Before(p.allDistrustedUntil) && !now.Before(p.endpoints[id].distrustedUntil)
}

// Declined records that an endpoint has declined a request.
func (p *Policy) Declined(now time.Time) { p.declinedAt = now }

// Declining reports whether endpoints have declined requests lately.
func (p *Policy) Declining(now time.Time) bool {
	return !p.declinedAt.IsZero() && now.Sub(p.declinedAt) < declinePeriod
}

// CameLate records that something has come in on a connection to an endpoint while it rested.
func (p *Policy) CameLate(id uint64, now time.Time) {
	p.note(id, now, func(e *endpoint) { e.longRestUntil = now.Add(longRestPeriod) })
}

// Distrust records that an endpoint has sent a copy in place of a response.
func (p *Policy) Distrust(id uint64, now time.Time) {
	p.note(id, now, func(e *endpoint) { e.distrustedUntil = now.Add(distrustPeriod) })
}

// note changes what is noted of an endpoint.
func (p *Policy) note(id uint64, now time.Time, change func(*endpoint)) {
	e, known := p.endpoints[id]
	if !known && len(p.endpoints) >= maxNotedEndpoints {
		p.forget(now)
		if len(p.endpoints) >= maxNotedEndpoints {
			p.allDistrustedUntil = now.Add(distrustPeriod)
			return
		}
	}
	change(&e)
	p.endpoints[id] = e
}

// forget removes the endpoints of which nothing holds any more.
func (p *Policy) forget(now time.Time) {
	for id, e := range p.endpoints {
		if e.isForgotten(now) {
			delete(p.endpoints, id)
		}
	}
}
