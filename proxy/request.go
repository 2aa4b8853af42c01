package proxy

import (
	"errors"
	"io"
	"time"

	"ryerill/balancer"
	"ryerill/config"
	"ryerill/message"
)

// maxUpload bounds how long the remainder of a request may take to be received. The
// listener ends a slow one long before, by its pace.
const maxUpload = time.Hour

// retryAfterFull is the advice to clients of a pool that has no allowance left for another
// request: in this time the resources are rebalanced many times.
const retryAfterFull = 500 * time.Millisecond

// noTicket is the ticket of a request that was answered at once: the Balancer's ids begin at 1.
const noTicket = 0

// openRequest is a request that has no final result yet or has attempts in flight.
type openRequest struct {
	*message.Request
	id       balancer.RequestID
	deadline time.Time // its result is due, before the client gives up
	attempts []*attempt
	inFlight int  // attempts
	done     bool // it has its result, or its client has left
	received bool // its last byte has been received
	// expiry answers the request should no decision come in time, whatever the reason.
	expiry *time.Timer
}

// requestTable holds the open requests of a pool. Its owner's mutex guards it.
type requestTable struct {
	newest   balancer.RequestID
	open     map[balancer.RequestID]*openRequest
	draining bool          // no new ones come
	drained  chan struct{} // closed once it is draining and empty
	ended    bool          // drained is closed
}

func newRequestTable() requestTable {
	return requestTable{open: make(map[balancer.RequestID]*openRequest), drained: make(chan struct{})}
}

// add gives a request an id.
func (t *requestTable) add(r *openRequest) {
	t.newest++
	r.id = t.newest
	t.open[r.id] = r
}

// remove forgets a request, and reports false if that has happened before.
func (t *requestTable) remove(id balancer.RequestID) bool {
	if t.open[id] == nil {
		return false
	}
	delete(t.open, id)
	return true
}

// drain has drained closed once the table is empty. No request may be added afterwards.
func (t *requestTable) drain() {
	t.draining = true
	t.checkDrained()
}

// checkDrained closes drained once that is due.
func (t *requestTable) checkDrained() {
	if t.draining && !t.ended && len(t.open) == 0 {
		t.ended = true
		close(t.drained)
	}
}

// Accept implements [message.Handler].
func (c *core) Accept(req *message.Request) (ticket uint64) {
	if !c.resources.work.Take(1+config.Cost(req.Outgoing.Body.Len())) || !c.resources.openRequests.Take(1) {
		req.Outgoing.Free()
		c.classCounters[req.Class].ended(message.Shed)
		c.reasons.requestEnded(endFull)
		req.Reply(message.Result{Kind: message.Shed, RetryAfter: retryAfterFull})
		return noTicket
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &openRequest{Request: req, deadline: req.ReceivedAt.Add(resultTime(req.Remaining))}
	c.requests.add(r)
	if req.Outgoing.Stream == nil {
		c.receivedLocked(r)
	} else {
		r.deadline = r.deadline.Add(maxUpload)
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
	c.reasons.requestEnded(endClientLeft)
	c.abandonLocked(r)
	return true
}

// Expire implements [message.Handler].
func (c *core) Expire(ticket uint64) {
	c.mu.Lock()
	r := c.requests.open[balancer.RequestID(ticket)]
	c.mu.Unlock()
	if r != nil {
		c.expire(r)
	}
}

// expire answers a request whose time is over.
func (c *core) expire(r *openRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.done {
		return
	}
	c.log.Warn("request timed out without a result")
	c.reasons.requestEnded(endNoDecision)
	r.Reply(message.Result{Kind: message.TimedOut})
	c.abandonLocked(r)
}

// abandonLocked ends a request that is owed nothing any more. Attempts that wait for a
// connection are not sent on, also where those that run may not be cancelled.
func (c *core) abandonLocked(r *openRequest) {
	r.done = true
	c.recordEndLocked(r, message.Failed)
	for _, a := range r.attempts {
		a.Withdraw()
	}
	c.dispatchLocked(balancer.Event{Kind: balancer.ClientLeft, Request: r.id})
	c.releaseLocked(r)
}

// replyLocked gives a request its final result, unless it has had one or its client
// has left. It reports whether it did.
func (c *core) replyLocked(r *openRequest, result message.Result) bool {
	if r == nil || r.done {
		return false
	}
	r.done = true
	if result.Kind == message.Failed && !time.Now().Before(r.deadline) {
		result.Kind = message.TimedOut
	}
	c.reasons.requestEnded(endOf(result.Kind))
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

// recordEndLocked counts the end of a request, once.
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

// releaseLocked forgets a request that has its result and no attempt in flight.
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

// trackedStream counts the bytes of a streamed response as it is passed on.
type trackedStream struct {
	io.ReadCloser
	bytes int
	whole bool // its end has been passed on
}

// Read implements [io.Reader].
func (s *trackedStream) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	s.bytes += n
	s.whole = errors.Is(err, io.EOF)
	return n, err
}

// endWithStream has a request whose response is streamed counted at the end of that stream, when the response is freed.
// That is done without the mutex held.
func (c *core) endWithStream(r *openRequest, response *message.Response) {
	stream := &trackedStream{ReadCloser: response.Stream}
	response.Stream = stream
	onFree := response.OnFree
	response.OnFree = func() {
		if onFree != nil {
			onFree()
		}
		c.resources.work.used.Add(int64(config.Cost(stream.bytes)))
		kind := message.Failed
		if stream.whole {
			kind = message.Served
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.recordEndLocked(r, kind)
	}
}
