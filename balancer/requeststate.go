package balancer

import (
	"slices"
	"time"
)

// request is the state of a request from its arrival until it is answered and has no attempt in flight.
type request struct {
	id          RequestID
	classIndex  int
	class       *Class
	priority    float64       // priority weight relative to the highest of all classes
	deadline    time.Duration // an answer after this has no value
	attempts    []*endpoint   // endpoints of the attempts so far, in order; some may have been removed since
	sentAt      time.Duration // when the latest attempt was sent
	entryAtSend Endpoint      // list entry of the latest attempt's endpoint when the attempt was sent

	answered bool
	inFlight bool // the latest attempt is in flight
	late     bool // the latest attempt is in flight and marked late

	// possiblyExecutedOn is the list entry, at the time of sending, of the endpoint of the first attempt that
	// may have been executed, or nil. A keyed request may be retried in that endpoint's group until
	// idempotencyExpiry.
	possiblyExecutedOn *Endpoint
	firstExecutor      Endpoint // storage for possiblyExecutedOn
	idempotencyExpiry  time.Duration

	key     uint64        // set for classes that are ordered by key
	startBy time.Duration // latest useful time of the first attempt

	prev, next *request // links of the attemptList of its class
}

// latest returns the endpoint of the latest attempt.
func (r *request) latest() *endpoint { return r.attempts[len(r.attempts)-1] }

// tried reports whether an attempt was sent to e. It compares identifiers, since e may have been removed and
// listed again.
func (r *request) tried(e *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(tried *endpoint) bool { return tried.ID == e.ID })
}

// boundToGroup reports whether retries may only go to the group of possiblyExecutedOn.
func (r *request) boundToGroup() bool {
	return r.possiblyExecutedOn != nil && r.class.Effect == Keyed && r.class.Group != GroupAll
}

// age returns how long the latest attempt has been in flight, in latency objectives of the class.
func (r *request) age(now time.Duration) float64 {
	return float64(now-r.sentAt) / float64(r.class.LatencyObjective)
}

// sendTo records that an attempt is sent to e.
func (r *request) sendTo(e *endpoint, now time.Duration) {
	r.attempts = append(r.attempts, e)
	r.sentAt = now
	r.entryAtSend = e.Endpoint
	r.inFlight = true
}

// setPossiblyExecuted records that the latest attempt may have been executed.
func (r *request) setPossiblyExecuted(idempotencyExpiry time.Duration) {
	r.firstExecutor = r.entryAtSend
	r.possiblyExecutedOn = &r.firstExecutor
	r.idempotencyExpiry = idempotencyExpiry
}

// release removes r if it is answered and has no attempt in flight. Its fields stay valid until the next
// request arrives.
func (b *Balancer) release(r *request) {
	if r.answered && !r.inFlight && b.requests[r.id] == r {
		delete(b.requests, r.id)
		b.pool.put(r)
		b.queues.remove(r)
	}
}
