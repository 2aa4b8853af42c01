package proxy

import (
	"context"
	"log/slog"
	"time"

	"ryerill/balancer"
	"ryerill/config"
	"ryerill/internal/http1"
	"ryerill/message"
	"ryerill/upstream"
)

// attempt is one attempt of a request at an endpoint.
type attempt struct {
	upstream.Attempt
	request   *openRequest
	index     int // among the request's attempts
	endpoint  balancer.EndpointID
	startedAt time.Duration    // by the core's clock; of a request that streams, when its last byte was written
	timeout   time.Duration    // from its last byte on, of a request that streams
	outcome   balancer.Outcome // once it has ended
}

// startAttemptLocked starts the attempt of a Send action.
func (c *core) startAttemptLocked(action *balancer.Action) {
	r := c.requests.open[action.Request]
	if r == nil {
		return
	}
	a := &attempt{request: r, index: len(r.attempts), endpoint: action.Endpoint, startedAt: c.clock.now()}
	c.reasons.attemptStarted(r.attempts, r.inFlight)
	r.attempts = append(r.attempts, a)
	r.inFlight++
	endpoint := c.endpoints.byID[action.Endpoint]
	if r.done || endpoint == nil {
		c.endAttemptLocked(a, balancer.NotSent, nil)
		return
	}
	deadline := r.deadline
	if action.Timeout > 0 {
		if end := time.Now().Add(action.Timeout); end.Before(deadline) {
			deadline = end
		}
	}
	a.timeout = time.Until(deadline)
	if r.Outgoing.Stream != nil {
		deadline = r.deadline // the time-out counts from the last byte
	}
	a.Attempt = upstream.Attempt{
		Request:       r.Outgoing,
		Endpoint:      uint64(endpoint.id),
		EndpointName:  endpoint.name,
		Address:       endpoint.address,
		Deadline:      deadline,
		StreamTimeout: min(a.timeout, resultTime(r.Remaining)),
		WriteDeadline: time.Now().Add(action.WriteTimeout),
		NeedsProof:    c.classes.Effects[r.Class] != balancer.Safe,
		MaySend:       endpoint.guard.MaySend,
		OnSent:        c.checkGraceLocked(a, endpoint),
		OnWritten:     func() time.Time { return c.attemptWritten(a) },
	}
	go c.runAttempt(a)
}

// checkGraceLocked returns what checks, once an attempt is sent, that its endpoint was not withdrawn long before.
func (c *core) checkGraceLocked(a *attempt, endpoint *listedEndpoint) func(time.Time) {
	attempt := sentAttempt{
		endpoint: endpoint.name,
		index:    a.index,
		streamed: a.request.Outgoing.Stream != nil,
		grace:    c.settings.Balancer.Contract.DrainGrace,
	}
	return func(at time.Time) { c.graceCheck.sent(attempt, &endpoint.guard, at) }
}

// runAttempt makes an attempt and records its end.
func (c *core) runAttempt(a *attempt) {
	outcome, response := c.connections.Do(&a.Attempt)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endAttemptLocked(a, outcome, response)
}

// attemptWritten records that an attempt is written whole. For a request that streams
// it is only now that its time and the attempt's begin: it returns the attempt's
// new deadline, and zero for any other.
func (c *core) attemptWritten(a *attempt) (deadline time.Time) {
	c.counters.attempts.Add(1)
	r := a.request
	if r.Outgoing.Stream == nil {
		return time.Time{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !r.done {
		c.receivedLocked(r)
		r.deadline = time.Now().Add(resultTime(r.Remaining))
		r.expiry.Reset(resultTime(r.Remaining) + c.settings.Balancer.Contract.AnswerSlack)
	}
	a.startedAt = c.clock.now()
	return time.Now().Add(min(a.timeout, resultTime(r.Remaining)))
}

// logAttemptLocked logs the end of an attempt, where the log's level wants it.
func (c *core) logAttemptLocked(a *attempt) {
	if !c.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	before := "" // why it was made: the end of the attempt before
	if a.index > 0 {
		before = a.request.attempts[a.index-1].outcome.String()
	}
	use := a.Connection()
	took := c.clock.now() - a.startedAt
	c.log.Debug("attempt ended", "request", a.request.Outgoing.Header.Get(http1.HeaderID), "attempt", a.index,
		"endpoint", a.EndpointName, "connection", use.Number, "uses", use.Uses,
		"rest", use.Rest.Round(time.Microsecond), "outcome", a.outcome.String(),
		"after", took.Round(time.Microsecond), "retried_for", before)
}

// endAttemptLocked records how an attempt ended. The first response that served goes to
// the client at once and ends the request.
func (c *core) endAttemptLocked(a *attempt, outcome balancer.Outcome, response *message.Response) {
	r := a.request
	r.inFlight--
	a.outcome = outcome
	c.reasons.attemptEnded(outcome)
	c.logAttemptLocked(a)
	if response != nil { // what a response costs is known only now
		c.resources.work.used.Add(int64(config.Cost(response.Body.Len())))
	}
	if outcome != balancer.OK || !c.replyLocked(r, message.Result{Kind: message.Served, Response: response}) {
		response.Free()
	}
	c.activity.attemptEnded(a.endpoint, outcome)
	c.dispatchLocked(balancer.Event{
		Kind:          balancer.AttemptEnded,
		Request:       r.id,
		Attempt:       a.index,
		Endpoint:      a.endpoint,
		Outcome:       outcome,
		RequestClosed: r.done,
		BodyConsumed:  r.Outgoing.Stream != nil && r.Outgoing.Stream.Consumed(),
		Elapsed:       c.clock.now() - a.startedAt,
	})
	c.releaseLocked(r)
}
