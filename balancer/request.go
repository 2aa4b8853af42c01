package balancer

import "time"

// This file alone decides which requests are possibly executed and may be retried.
const (
	objectiveMargin  = 0.97 // part of the objective after which attempts end if late answers have no value
	minTimeShare     = 0.3  // minimum time left to send an attempt, as a part of the typical latency
	idempotencyShare = 0.9  // usable part of the idempotency window, which counts until a retry arrives
	quickErrorShare  = 0.25 // an error within this part of the typical latency comes from the tier itself
	minRetryAfter    = 0.25 // in latency objectives; the limit needs about half of one to adapt
	retryAfterSpread = 0.5  // jitter in latency objectives, so that clients don't return all at once
)

// requestArrived sends a new request, sheds it or queues it for its key.
func (b *Balancer) requestArrived(event *Event) {
	r := b.newRequest(event)
	b.requests[r.id] = r
	b.stats.errorRate[r.classIndex] *= 1 - averageGain/5 // so that a class that is mostly shed is tried again
	if r.class.OrderedByKey && event.Key != 0 && len(b.requests) < b.cfg.Limits.MaxOpenRequests {
		b.enqueue(r, event.Key)
		return
	}
	b.sendFirst(r)
}

func (b *Balancer) newRequest(event *Event) *request {
	index := b.cfg.classIndex(event.Class)
	class := &b.cfg.Classes[index]
	deadline := b.now + event.Remaining
	if class.LateWeight == 0 {
		work := max(class.ObjectivePerWork, 0) * float64(event.ExpectedWork)
		objective := time.Duration(objectiveMargin * (float64(class.LatencyObjective) + work))
		deadline = min(deadline, b.now+objective)
	}
	priority := class.PriorityWeight / b.maxPriority
	if b.overQuota(event.Tenant) {
		priority *= min(max(b.cfg.OverQuotaWeight, 0), 1)
	}
	r := b.pool.take()
	*r = request{id: event.Request, classIndex: index, class: class, priority: priority, deadline: deadline,
		attempts: r.attempts[:0]}
	return r
}

// sendFirst sends the first attempt of r, or sheds it at once.
func (b *Balancer) sendFirst(r *request) {
	if !b.admits(r) || !b.send(r) {
		b.answer(r)
		b.release(r)
	}
}

// minTime returns the minimum time left that justifies an attempt of r.
func (b *Balancer) minTime(r *request) time.Duration {
	return max(1, time.Duration(minTimeShare*b.stats.typicalLatency[r.classIndex]*float64(time.Second)))
}

// send sends the next attempt of r if an endpoint is available and enough time is left for an answer.
func (b *Balancer) send(r *request) bool {
	timeout := r.deadline - b.now
	if timeout < b.minTime(r) {
		return false
	}
	e := b.endpoints.pick(b.now, r, b.random.float64())
	if e == nil {
		return false
	}
	r.sendTo(e, b.now)
	b.attempts.start(r, e)
	if b.endpoints.loadShare(e, b.now) < 1 {
		e.warmUpBudget.tokens--
	}
	b.endpoints.updateRank(e, b.now)
	if b.limiter.ceiling < 1 { // mean 0: quiet replicas pay back in full, but not in step
		b.limiter.burstCredit += b.random.float64() - 0.5
	}
	action := Action{Kind: Send, Request: r.id, Endpoint: e.ID, Timeout: timeout, WriteTimeout: timeout}
	if r.possiblyExecutedOn != nil && r.class.Effect == Keyed { // the connection may take long
		action.WriteTimeout = min(timeout, r.idempotencyExpiry-b.now)
	}
	b.emit(&action)
	return true
}

// attemptEnded records the outcome of an attempt and retries or answers the request if it is unanswered.
func (b *Balancer) attemptEnded(event *Event) {
	r := b.requests[event.Request]
	if r == nil || !r.inFlight || event.Attempt != len(r.attempts)-1 {
		return
	}
	e := r.latest()
	r.inFlight = false
	b.attempts.end(r, e)
	if latency, ok := b.latencySample(r, event.Outcome, event.Elapsed); ok {
		b.limiter.window.addLatency(latency, r.class.LatencyObjective)
	}
	b.recordOutcome(e, r.classIndex, event.Outcome, event.Elapsed)
	if !event.Outcome.NeverRan() && r.possiblyExecutedOn == nil {
		r.setPossiblyExecuted(r.sentAt + time.Duration(idempotencyShare*float64(r.class.IdempotencyWindow)))
	}
	b.quarantineKey(r, event.Outcome)
	r.answered = r.answered || event.RequestClosed
	retry := !event.BodyConsumed && (r.possiblyExecutedOn == nil || r.class.Effect != Unsafe) &&
		len(r.attempts) < b.cfg.Limits.MaxAttempts
	if !r.answered && (!retry || !b.send(r)) {
		b.answer(r)
	}
	b.release(r)
	b.advance(r.key)
}

// latencySample returns the latency sample that an ended attempt of r gives for the tier, if any.
func (b *Balancer) latencySample(r *request, o Outcome, elapsed time.Duration) (time.Duration, bool) {
	objective := r.class.LatencyObjective
	switch o {
	case OK:
		return elapsed, true
	case Timeout, Cancelled: // elapsed is a lower bound of the latency, useful only above Lmax
		return elapsed, float64(elapsed) > b.limiter.lmax*float64(objective)
	case Error: // a deeper tier may have shed the request, so that the limit must be cut here
		quick := quickErrorShare * b.stats.typicalLatency[r.classIndex]
		return max(elapsed, objective), elapsed.Seconds() > quick
	case ConnectFailed:
		return max(elapsed, b.cfg.Limits.ConnectTimeout), true
	}
	return 0, false
}

// mayUse reports whether the next attempt of r may go to e, which must be untried. Possibly executed keyed
// requests stay in their group and idempotency window; possibly executed unsafe ones don't get here.
func (r *request) mayUse(e *endpoint, now time.Duration) bool {
	switch {
	case r.tried(e):
		return false
	case r.possiblyExecutedOn == nil || r.class.Effect == Safe:
		return true
	case r.class.Effect == Unsafe || now >= r.idempotencyExpiry:
		return false
	}
	return r.class.Group.sameGroup(&e.Endpoint, r.possiblyExecutedOn)
}

// answer emits the final answer of r: Shed if a retry by the client is harmless, Fail otherwise.
func (b *Balancer) answer(r *request) {
	action := Action{Kind: Fail, Request: r.id}
	class := r.class
	if r.possiblyExecutedOn == nil || class.Effect == Safe || class.Effect == Keyed && class.Group == GroupAll {
		action.Kind = Shed
		if b.cfg.Tier == 0 && b.cfg.Limits.SendRetryAfter {
			objectives := minRetryAfter + retryAfterSpread*b.random.float64()
			wait := time.Duration(objectives * float64(class.LatencyObjective))
			action.RetryAfter = min(wait, b.cfg.Limits.MaxRetryAfter)
		}
	}
	b.emit(&action)
	r.answered = true
}

// clientLeft cancels the attempt in flight of a request whose client has left.
func (b *Balancer) clientLeft(event *Event) {
	r := b.requests[event.Request]
	if r == nil {
		return
	}
	r.answered = true
	if r.inFlight && b.cfg.Limits.AllowCancel {
		b.emit(&Action{Kind: Cancel, Request: r.id, Attempt: len(r.attempts) - 1})
	}
	b.release(r)
	b.advance(r.key)
}
