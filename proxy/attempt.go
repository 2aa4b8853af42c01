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

// attempt is one attempt to execute a request at an endpoint.
type attempt struct {
	upstream.Attempt
	request   *openRequest
	index     int // position among the request's attempts
	endpoint  balancer.EndpointID
	startedAt time.Duration    // by the core's clock; for a streamed request, when its last byte was written
	timeout   time.Duration    // for a streamed request, counted from its last byte
	outcome   balancer.Outcome // set once the attempt has ended
}

// startAttemptLocked starts the attempt that a Send action requests.
func (c *core) startAttemptLocked(action *balancer.Action) {
	r := c.requests.open[action.Request]
	if r == nil {
		return
	}
	a := &attempt{request: r, index: len(r.attempts), endpoint: action.Endpoint, startedAt: c.clock.now()}
	c.ends.attemptStarted(r.attempts, r.inFlight)
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
		deadline = r.deadline // the timeout starts at the last byte
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
	if r.Outgoing.Stream != nil && r.received {
		a.LimitDeadline(r.deadline)
	}
	go c.runAttempt(a)
}

// checkGraceLocked returns a callback for the time an attempt is sent, which checks that the endpoint was not withdrawn
// longer ago than the drain grace.
func (c *core) checkGraceLocked(a *attempt, endpoint *listedEndpoint) func(time.Time) {
	attempt := sentAttempt{
		endpoint: endpoint.name,
		index:    a.index,
		streamed: a.request.Outgoing.Stream != nil,
		grace:    c.settings.Balancer.Contract.DrainGrace,
	}
	return func(at time.Time) { c.graceCheck.checkSent(attempt, &endpoint.guard, at) }
}

// runAttempt executes an attempt and records its outcome.
func (c *core) runAttempt(a *attempt) {
	outcome, response := c.connections.Do(&a.Attempt)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endAttemptLocked(a, outcome, response)
}

// attemptWritten records that an attempt has been written completely. The timeout of an attempt of a streamed request
// starts at this point: it returns the attempt's new deadline, or zero if the request is not streamed.
func (c *core) attemptWritten(a *attempt) (deadline time.Time) {
	c.counters.attempts.Add(1)
	r := a.request
	if r.Outgoing.Stream == nil {
		return time.Time{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !r.done {
		c.bodyReceivedLocked(r, now)
	}
	a.startedAt = c.clock.now()
	return now.Add(min(a.timeout, resultTime(r.Remaining))) // the attempt's limit ends it with the client's time
}

// logAttemptLocked logs the end of an attempt at debug level.
func (c *core) logAttemptLocked(a *attempt) {
	if !c.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	retriedFor := "" // the outcome of the previous attempt
	if a.index > 0 {
		retriedFor = a.request.attempts[a.index-1].outcome.String()
	}
	connection := a.Connection()
	took := c.clock.now() - a.startedAt
	c.log.Debug("attempt ended", "request", a.request.Outgoing.Header.Get(http1.HeaderID), "attempt", a.index,
		"endpoint", a.EndpointName, "connection", connection.Number, "uses", connection.Uses,
		"rest", connection.Rest.Round(time.Microsecond), "outcome", a.outcome.String(),
		"after", took.Round(time.Microsecond), "retried_for", retriedFor)
}

// endAttemptLocked records the outcome of an attempt. The first successful response is sent to the client immediately
// and ends the request.
func (c *core) endAttemptLocked(a *attempt, outcome balancer.Outcome, response *message.Response) {
	r := a.request
	r.inFlight--
	a.outcome = outcome
	c.ends.attemptEnded(outcome)
	c.ends.uploadEnded(a.Upload())
	c.logAttemptLocked(a)
	if response != nil { // the cost of a response depends on its size
		c.resources.work.used.Add(int64(config.WorkUnits(response.Body.Len())))
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
