package balancer

import "time"

// What may have been executed, and so what may be sent again, is decided in this file alone.
const (
	objectiveMargin  = 0.97 // attempts end shortly before the objective where later answers are worth nothing
	minTimeShare     = 0.3  // with less time left than this part of the typical latency nothing is sent
	idempotencyShare = 0.9  // of the window is used: what counts is when a repeat arrives
	quickErrorShare  = 0.25 // an error within this part of the typical latency comes from the tier itself
	minRetryAfter    = 0.25 // in latency objectives: the limit needs about half of one to adapt
	retryAfterSpread = 0.5  // jitter, in latency objectives: clients must not come back all at once
)

// requestArrived sends a new request, sheds it or lets it wait for its key.
func (b *Balancer) requestArrived(event *Event) {
	r := b.newRequest(event)
	b.requests[r.id] = r
	b.stats.errorRate[r.classIndex] *= 1 - averageGain/5 // a class that is hardly sent is tried again
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

// minTime is the time without which an attempt of r is not worth sending.
func (b *Balancer) minTime(r *request) time.Duration {
	return max(1, time.Duration(minTimeShare*b.stats.typicalLatency[r.classIndex]*float64(time.Second)))
}

// send sends the next attempt of r, if there is an endpoint for it and time for an answer.
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
	if b.limiter.ceiling < 1 { // quiet replicas pay back in full, and not in step
		b.limiter.burstCredit += b.random.float64() - 0.5
	}
	action := Action{Kind: Send, Request: r.id, Endpoint: e.ID, Timeout: timeout, WriteTimeout: timeout}
	if r.possiblyExecutedOn != nil && r.class.Effect == Keyed { // a connection may come up late
		action.WriteTimeout = min(timeout, r.idempotencyExpiry-b.now)
	}
	b.act(&action)
	return true
}

// attemptEnded records how an attempt ended and, if an answer is still owed, sends another or answers.
func (b *Balancer) attemptEnded(event *Event) {
	r := b.requests[event.Request]
	if r == nil || !r.open || event.Attempt != len(r.attempts)-1 {
		return
	}
	e := r.latest()
	r.open = false
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

// latencySample returns the sample that an ended attempt of r gives of the tier's latency, if any.
func (b *Balancer) latencySample(r *request, o Outcome, elapsed time.Duration) (time.Duration, bool) {
	objective := r.class.LatencyObjective
	switch o {
	case OK:
		return elapsed, true
	case Timeout, Cancelled: // cut short: a lower bound of the latency, useful beyond Lmax only
		return elapsed, float64(elapsed) > b.limiter.lmax*float64(objective)
	case Error: // if a deeper tier has shed it, the limit must be cut here
		quick := quickErrorShare * b.stats.typicalLatency[r.classIndex]
		return max(elapsed, objective), elapsed.Seconds() > quick
	case ConnectFailed:
		return max(elapsed, b.cfg.Limits.ConnectTimeout), true
	}
	return 0, false
}

// mayUse reports whether another attempt of r may go to e: never to an endpoint tried before and, for keyed
// work that may have been executed, only within its group and in time. Unsafe such work never gets here.
func (r *request) mayUse(e *endpoint, now time.Duration) bool {
	switch {
	case r.tried(e):
		return false
	case r.possiblyExecutedOn == nil || r.class.Effect == Safe:
		return true
	case r.class.Effect == Unsafe || now >= r.idempotencyExpiry:
		return false
	}
	return r.class.Group.holdsBoth(&e.Endpoint, r.possiblyExecutedOn)
}

// answer gives the final answer of r: it is shed where trying again is harmless, else it fails.
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
	b.act(&action)
	r.answered = true
}

// clientLeft cancels work that nobody waits for any more. No answer is owed.
func (b *Balancer) clientLeft(event *Event) {
	r := b.requests[event.Request]
	if r == nil {
		return
	}
	r.answered = true
	if r.open && b.cfg.Limits.AllowCancel {
		b.act(&Action{Kind: Cancel, Request: r.id, Attempt: len(r.attempts) - 1})
	}
	b.release(r)
	b.advance(r.key)
}
