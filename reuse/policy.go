// Package reuse decides which connections to endpoints may carry another request, and whether a response on a reused
// connection belongs to the request in flight. HTTP/1.1 responses do not identify their request: a response that an
// endpoint sends late or twice would be mistaken for the response to the request now in flight on the connection.
package reuse

import "time"

const (
	// MinRest is how long a connection rests after a response before it carries another request. Bytes that follow the
	// response within that time are detected before the next request.
	MinRest = 50 * time.Millisecond

	// longRest replaces MinRest for connections to an endpoint that has sent late bytes.
	longRest = 500 * time.Millisecond

	// longRestPeriod is how long longRest applies after late bytes.
	longRestPeriod = 30 * time.Second

	// distrustPeriod is how long no connection to an endpoint is reused after the endpoint has sent a copy of an
	// earlier response instead of a response.
	distrustPeriod = 10 * time.Second

	// declinePeriod is how long after a decline the requests that need proof before a retry get new connections. Only
	// on a new connection does a decline certainly belong to the request.
	declinePeriod = time.Second

	// maxTrackedEndpoints limits the number of endpoints with recorded state. Beyond it, all endpoints are distrusted.
	maxTrackedEndpoints = 4096
)

// Policy decides about the connections of one pool. It is not safe for concurrent use. Its methods expect times with a
// monotonic reading.
type Policy struct {
	Responses *Responses          // responses of all endpoints
	endpoints map[uint64]endpoint // endpoints that have sent unsolicited bytes
	// allDistrustedUntil is when the distrust of all endpoints ends.
	allDistrustedUntil time.Time
	declinedAt         time.Time // when an endpoint last declined a request
}

// NewPolicy returns a policy that trusts all endpoints.
func NewPolicy() *Policy {
	return &Policy{Responses: NewResponses(), endpoints: make(map[uint64]endpoint)}
}

// endpoint is the recorded state of one endpoint.
type endpoint struct {
	longRestUntil   time.Time
	distrustedUntil time.Time
}

func (e *endpoint) isExpired(now time.Time) bool {
	return !now.Before(e.longRestUntil) && !now.Before(e.distrustedUntil)
}

// MayCarry reports whether a connection to an endpoint may carry another request after the given rest.
func (p *Policy) MayCarry(id uint64, rest time.Duration, now time.Time) bool {
	return rest >= p.NeededRest(id, now) && p.Responses.Suffices() && p.MayKeep(id, now)
}

// NeededRest returns how long a connection to an endpoint must rest before another request.
func (p *Policy) NeededRest(id uint64, now time.Time) time.Duration {
	if now.Before(p.endpoints[id].longRestUntil) {
		return longRest
	}
	return MinRest
}

// MayKeep reports whether connections to an endpoint may be reused at all: neither it nor all endpoints are distrusted.
func (p *Policy) MayKeep(id uint64, now time.Time) bool {
	return !now.Before(p.allDistrustedUntil) && !now.Before(p.endpoints[id].distrustedUntil)
}

// RecordDecline records that an endpoint has declined a request.
func (p *Policy) RecordDecline(now time.Time) { p.declinedAt = now }

// DeclinedRecently reports whether any endpoint has declined a request within declinePeriod.
func (p *Policy) DeclinedRecently(now time.Time) bool {
	return !p.declinedAt.IsZero() && now.Sub(p.declinedAt) < declinePeriod
}

// RecordLateBytes records that an endpoint has sent bytes on a connection while it rested.
func (p *Policy) RecordLateBytes(id uint64, now time.Time) {
	p.update(id, now, func(e *endpoint) { e.longRestUntil = now.Add(longRestPeriod) })
}

// Distrust records that an endpoint has sent a copy of an earlier response instead of a response.
func (p *Policy) Distrust(id uint64, now time.Time) {
	p.update(id, now, func(e *endpoint) { e.distrustedUntil = now.Add(distrustPeriod) })
}

// update changes the state of an endpoint. If too many endpoints have state, it distrusts all endpoints instead.
func (p *Policy) update(id uint64, now time.Time, change func(*endpoint)) {
	e, known := p.endpoints[id]
	if !known && len(p.endpoints) >= maxTrackedEndpoints {
		p.removeExpired(now)
		if len(p.endpoints) >= maxTrackedEndpoints {
			p.allDistrustedUntil = now.Add(distrustPeriod)
			return
		}
	}
	change(&e)
	p.endpoints[id] = e
}

// removeExpired removes the endpoints whose periods are all over.
func (p *Policy) removeExpired(now time.Time) {
	for id, e := range p.endpoints {
		if e.isExpired(now) {
			delete(p.endpoints, id)
		}
	}
}
