package proxy

import (
	"time"

	"ryerill/balancer"
	"ryerill/config"
	"ryerill/message"
)

// longestUpload bounds how long the rest of a request may take to come in. The
// front ends it long before, by the pace at which it comes.
const longestUpload = time.Hour

// noRoom is when to come back to a pool that has as many invocations open as it
// may have: lent room is looked at many times in it.
const noRoom = 500 * time.Millisecond

// Accept takes an invocation in. From here on it is owed one final answer.
func (c *core) Accept(inv *message.Request) uint64 {
	if !c.rooms.work.Take(1+config.Cost(inv.Outgoing.Body.Len())) || !c.rooms.open.Take(1) {
		inv.Outgoing.Free()
		c.tallies[inv.Class].ended(message.Shed)
		inv.Reply(message.Result{Kind: message.Shed, RetryAfter: noRoom})
		return 0 // the ticket of none: the Balancer's ids begin at 1
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.newest++
	e := &entry{id: c.newest, inv: inv, until: inv.ReceivedAt.Add(inv.Remaining)}
	if inv.Outgoing.Stream == nil {
		c.taken(e)
	} else {
		e.until = e.until.Add(longestUpload)
	}
	c.open[e.id] = e
	// Should no decision come in time, whatever the reason, the consumer is answered all the same.
	e.guard = time.AfterFunc(time.Until(e.until)+c.settings.Balancer.Contract.AnswerSlack, func() { c.overdue(e) })
	c.admit(e)
	return uint64(e.id)
}

// ClientLeft books that the consumer of an invocation has gone away.
func (c *core) ClientLeft(ticket uint64) (owed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.open[balancer.RequestID(ticket)]
	if owed = e != nil && !e.done; owed {
		c.depart(e)
	}
	return owed
}

// Expire answers an invocation before its time is over: this process ends.
func (c *core) Expire(ticket uint64) {
	c.mu.Lock()
	e := c.open[balancer.RequestID(ticket)]
	c.mu.Unlock()
	if e != nil {
		c.overdue(e)
	}
}

// overdue answers an invocation whose time is over.
func (c *core) overdue(e *entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !e.done {
		c.log.Warn("an invocation's time is over with its call out")
		e.inv.Reply(message.Result{Kind: message.TimedOut})
		c.depart(e)
	}
}

// depart ends an invocation for which nothing is owed any more. What of it waits for a
// connection is not sent on, also where what runs may not be cancelled.
func (c *core) depart(e *entry) {
	e.done = true
	c.counted(e, message.Failed)
	for _, k := range e.calls {
		k.Withdraw()
	}
	c.happen(balancer.Event{Kind: balancer.ClientLeft, Request: e.id})
	c.release(e)
}
