package proxy

import (
	"errors"
	"io"
	"time"

	"ryerill/balancer"
	"ryerill/config"
	"ryerill/message"
)

// maxUpload bounds how long receiving a streamed request may take. The listener aborts slow uploads much earlier, by
// their rate.
const maxUpload = time.Hour

// retryAfterNoAllowance is the Retry-After for requests rejected because the pool has no allowance left. Resources are
// rebalanced several times within it.
const retryAfterNoAllowance = 500 * time.Millisecond

// noTicket is the ticket of a request that was answered immediately. Request ids start at 1.
const noTicket = 0

// openRequest is a request without a final result or with attempts in flight.
type openRequest struct {
	*message.Request
	id       balancer.RequestID
	deadline time.Time // for the result, before the client gives up
	attempts []*attempt
	inFlight int  // number of attempts in flight
	done     bool // it has its result or its client has left
	received bool // its last byte has been received
	// expiry answers the request if there is no decision in time, for any reason.
	expiry *time.Timer
}

// requestTable holds the open requests of a pool. It is guarded by its owner's mutex.
type requestTable struct {
	lastID   balancer.RequestID
	open     map[balancer.RequestID]*openRequest
	draining bool          // no requests are added any more
	drained  chan struct{} // closed once the table is draining and empty
	ended    bool          // drained is closed
}

func newRequestTable() requestTable {
	return requestTable{open: make(map[balancer.RequestID]*openRequest), drained: make(chan struct{})}
}

// add assigns an id to a request and adds it.
func (t *requestTable) add(r *openRequest) {
	t.lastID++
	r.id = t.lastID
	t.open[r.id] = r
}

// remove removes a request and reports whether it was in the table.
func (t *requestTable) remove(id balancer.RequestID) bool {
	if t.open[id] == nil {
		return false
	}
	delete(t.open, id)
	return true
}

// drain closes drained once the table is empty. Callers must not add requests afterwards.
func (t *requestTable) drain() {
	t.draining = true
	t.checkDrained()
}

// checkDrained closes drained if the table is draining and empty.
func (t *requestTable) checkDrained() {
	if t.draining && !t.ended && len(t.open) == 0 {
		t.ended = true
		close(t.drained)
	}
}

// Accept implements [message.Handler].
func (c *core) Accept(req *message.Request) (ticket uint64) {
	if !c.resources.work.Take(1+config.WorkUnits(req.Outgoing.Body.Len())) || !c.resources.openRequests.Take(1) {
		req.Outgoing.Free()
		c.classCounters[req.Class].ended(message.Shed)
		c.ends.requestEnded(endNoAllowance)
		req.Reply(message.Result{Kind: message.Shed, RetryAfter: retryAfterNoAllowance})
		return noTicket
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &openRequest{Request: req, deadline: req.ReceivedAt.Add(resultTime(req.Remaining))}
	c.requests.add(r)
	if req.Outgoing.Stream == nil {
		c.receivedLocked(r)
	} else {
		r.deadline = r.deadline.Add(maxUpload) // until bodyReceivedLocked
	}
	slack := c.settings.Balancer.Contract.AnswerSlack
	r.expiry = time.AfterFunc(time.Until(r.deadline)+slack, func() { c.expire(r) })
	c.activity.requestArrived(req.Class, req.Tenant)
	c.dispatchLocked(balancer.Event{
		Kind:        balancer.RequestArrived,
		Request:     r.id,
		Class:       req.Class,
		Tenant:      req.Tenant,
		Key:         req.Key,
		Remaining:   max(time.Until(r.deadline), 0),
		ClientRetry: req.ClientRetry,
		Write:       req.Write,
	})
	return uint64(r.id)
}

// ClientLeft implements [message.Handler].
func (c *core) ClientLeft(ticket uint64) (owed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests.open[balancer.RequestID(ticket)]
	if r == nil || r.done {
		return false
	}
	c.ends.requestEnded(endClientLeft)
	c.abandonLocked(r)
	return true
}

// BodyReceived implements [message.Handler].
func (c *core) BodyReceived(ticket uint64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests.open[balancer.RequestID(ticket)]
	if r != nil && !r.done {
		c.bodyReceivedLocked(r, at)
	}
}

// bodyReceivedLocked starts the client's time of a streamed request, once, at the time at which its last byte was
// received.
func (c *core) bodyReceivedLocked(r *openRequest, at time.Time) {
	if r.received {
		return
	}
	c.receivedLocked(r)
	r.deadline = at.Add(resultTime(r.Remaining))
	r.expiry.Reset(time.Until(r.deadline) + c.settings.Balancer.Contract.AnswerSlack)
	for _, a := range r.attempts {
		a.LimitDeadline(r.deadline)
	}
}

// Expire implements [message.Handler].
func (c *core) Expire(ticket uint64) {
	c.mu.Lock()
	r := c.requests.open[balancer.RequestID(ticket)]
	c.mu.Unlock()
	if r == nil {
		c.log.Warn("response still being passed on shortly before the kill")
		return
	}
	c.expire(r)
}

// expire answers a request that has reached its deadline.
func (c *core) expire(r *openRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.done {
		return
	}
	c.log.Warn("request timed out without a result")
	c.ends.requestEnded(endNoDecision)
	r.Reply(message.Result{Kind: message.TimedOut})
	c.abandonLocked(r)
}

// abandonLocked ends a request that needs no result any more. Attempts waiting for a connection are not sent, even if
// running attempts may not be cancelled.
func (c *core) abandonLocked(r *openRequest) {
	r.done = true
	c.recordEndLocked(r, message.Failed)
	for _, a := range r.attempts {
		a.Withdraw()
	}
	c.dispatchLocked(balancer.Event{Kind: balancer.ClientLeft, Request: r.id})
	c.releaseLocked(r)
}

// replyLocked sends a request's final result, unless it already has one or its client has left, and reports whether it
// did.
func (c *core) replyLocked(r *openRequest, result message.Result) bool {
	if r == nil || r.done {
		return false
	}
	r.done = true
	if result.Kind == message.Failed && !time.Now().Before(r.deadline) {
		result.Kind = message.TimedOut
	}
	c.ends.requestEnded(endReasonOf(result.Kind))
	if result.Response != nil && result.Response.Stream != nil {
		c.endWithStream(r, result.Response)
	} else {
		c.recordEndLocked(r, result.Kind)
	}
	r.Reply(result)
	c.releaseLocked(r)
	return true
}

// receivedLocked records that a request's last byte has been received.
func (c *core) receivedLocked(r *openRequest) {
	if !r.received {
		r.received = true
		c.counters.inFlight.Add(1)
	}
}

// recordEndLocked counts the end of a request. It must be called once per request.
func (c *core) recordEndLocked(r *openRequest, kind message.ResultKind) {
	if r.received {
		c.counters.inFlight.Add(-1)
	}
	c.classCounters[r.Class].ended(kind)
	if c.activity != nil {
		class := &c.settings.Balancer.Classes[r.Class]
		c.activity.requestEnded(class, kind == message.Served, time.Since(r.ReceivedAt))
	}
}

// releaseLocked removes a request that has its result and no attempt in flight.
func (c *core) releaseLocked(r *openRequest) {
	if !r.done {
		return
	}
	r.expiry.Stop()
	if r.inFlight > 0 || !c.requests.remove(r.id) {
		return
	}
	r.Outgoing.Free()
	c.resources.openRequests.Give(1)
	c.requests.checkDrained()
}

// trackedStream counts the bytes of a streamed response as the client side reads it.
type trackedStream struct {
	io.ReadCloser
	bytes    int
	complete bool // its end has been read
}

// Read implements [io.Reader].
func (s *trackedStream) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	s.bytes += n
	s.complete = errors.Is(err, io.EOF)
	return n, err
}

// endWithStream counts the end of a request with a streamed response when the response is freed, at the end of the
// stream. The response must be freed without holding mu.
func (c *core) endWithStream(r *openRequest, response *message.Response) {
	stream := &trackedStream{ReadCloser: response.Stream}
	response.Stream = stream
	onFree := response.OnFree
	response.OnFree = func() {
		if onFree != nil {
			onFree()
		}
		c.resources.work.used.Add(int64(config.WorkUnits(stream.bytes)))
		kind := message.Failed
		if stream.complete {
			kind = message.Served
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.recordEndLocked(r, kind)
	}
}
