package proxy

import "time"

// send makes an invoker call and books its end. It runs beside the core.
func (c *core) send(k *call) {
	outcome, response := c.pool.Do(&k.Attempt)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.book(k, outcome, response)
}

// wrote books that an invoker call is written whole. For a request of which part
// was still to come it is only now that its time begins, and the call's.
func (c *core) wrote(k *call) (until time.Time) {
	c.figures.calls.Add(1)
	e := k.entry
	if e.inv.Outgoing.Stream == nil {
		return until
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !e.done {
		c.taken(e)
		e.until = time.Now().Add(e.inv.Remaining)
		e.guard.Reset(e.inv.Remaining + c.settings.Balancer.Contract.AnswerSlack)
	}
	k.began = c.clock.now()
	return time.Now().Add(min(k.timeout, e.inv.Remaining))
}
