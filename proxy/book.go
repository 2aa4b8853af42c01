package proxy

import (
	"time"

	"ryerill/balancer"
	"ryerill/config"
	"ryerill/message"
)

// book notes how an invoker call ended. The first answer that served goes to
// the consumer at once and ends the invocation.
func (c *core) book(k *call, outcome balancer.Outcome, response *message.Response) {
	e := k.entry
	e.out--
	if response != nil { // what an answer cost is known only now
		c.rooms.work.used.Add(int64(config.Cost(response.Body.Len())))
	}
	if outcome != balancer.OK || !c.relay(e, message.Result{Kind: message.Served, Response: response}) {
		response.Free()
	}
	c.booked.ended(k.server, outcome)
	c.happen(balancer.Event{Kind: balancer.AttemptEnded, Request: e.id, Attempt: k.attempt, Endpoint: k.server,
		Outcome: outcome, RequestClosed: e.done, BodyConsumed: e.inv.Outgoing.Stream != nil && e.inv.Outgoing.Stream.Consumed(), Elapsed: c.clock.now() - k.began})
	c.release(e)
}

// taken books that an invocation's last byte is in.
func (c *core) taken(e *entry) {
	if !e.taken {
		e.taken = true
		c.figures.inflight.Add(1)
	}
}

// counted books the one end of an invocation in the figures.
func (c *core) counted(e *entry, v message.ResultKind) {
	if e.taken {
		c.figures.inflight.Add(-1)
	}
	c.tallies[e.inv.Class].ended(v)
	if c.booked != nil {
		c.booked.answered(&c.settings.Balancer.Classes[e.inv.Class], v == message.Served, time.Since(e.inv.ReceivedAt))
	}
}

// release forgets an invocation that is answered and has no invoker call out.
func (c *core) release(e *entry) {
	if !e.done {
		return
	}
	e.guard.Stop()
	if e.out == 0 && c.open[e.id] != nil {
		delete(c.open, e.id)
		e.inv.Outgoing.Free()
		c.rooms.open.Give(1)
		c.emptied()
	}
}
