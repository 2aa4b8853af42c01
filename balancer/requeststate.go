package balancer

import (
	"slices"
	"time"
)

// request is what is known of a request from its arrival until it is answered and has no attempt in flight.
type request struct {
	id         RequestID
	classIndex int
	class      *Class
	priority   float64       // weight against the highest
	deadline   time.Duration // an answer after this is worth nothing
	attempts   []*endpoint   // of the attempts so far, in order; they may be forgotten since
	sentAt     time.Duration // when the latest attempt was sent
	sentTo     Endpoint      // as it was listed then

	answered bool
	open     bool // the latest attempt is in flight
	late     bool // and marked late

	// possiblyExecutedOn is the endpoint of the first attempt that may have been executed, as it was listed
	// when that was sent, or nil. Another attempt of keyed work may go to its group until idempotencyExpiry.
	possiblyExecutedOn *Endpoint
	firstExecutor      Endpoint // what possiblyExecutedOn points to
	idempotencyExpiry  time.Duration

	key     uint64        // where requests are ordered by key
	startBy time.Duration // a first attempt after this comes too late

	prev, next *request // in the attemptList of its class
}

// latest is the endpoint of the latest attempt.
func (r *request) latest() *endpoint { return r.attempts[len(r.attempts)-1] }

// tried reports whether an attempt went to e, which may have been forgotten and listed again since.
func (r *request) tried(e *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(tried *endpoint) bool { return tried.ID == e.ID })
}

// boundToGroup reports whether another attempt may go to the group of possiblyExecutedOn only.
func (r *request) boundToGroup() bool {
	return r.possiblyExecutedOn != nil && r.class.Effect == Keyed && r.class.Group != GroupAll
}

// age is how long the latest attempt has been in flight, in latency objectives of the class.
func (r *request) age(now time.Duration) float64 {
	return float64(now-r.sentAt) / float64(r.class.LatencyObjective)
}

// sendTo notes that an attempt is sent to e now.
func (r *request) sendTo(e *endpoint, now time.Duration) {
	r.attempts = append(r.attempts, e)
	r.sentAt = now
	r.sentTo = e.Endpoint
	r.open = true
}

// setPossiblyExecuted notes that the latest attempt may have been executed.
func (r *request) setPossiblyExecuted(idempotencyExpiry time.Duration) {
	r.firstExecutor = r.sentTo
	r.possiblyExecutedOn = &r.firstExecutor
	r.idempotencyExpiry = idempotencyExpiry
}

// release forgets r if it is answered and has no attempt in flight. Its fields stand until the next arrival.
func (b *Balancer) release(r *request) {
	if r.answered && !r.open && b.requests[r.id] == r {
		delete(b.requests, r.id)
		b.pool.put(r)
		b.queues.remove(r)
	}
}
