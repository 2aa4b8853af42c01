package proxy

import (
	"time"

	"ryerill/consumer"
)

// relay gives an invocation its final answer, unless it has had one or nobody
// waits for it. It reports whether it did.
func (c *core) relay(e *entry, a consumer.Answer) bool {
	if e == nil || e.done {
		return false
	}
	e.done = true
	if a.Verdict == consumer.Failed && !time.Now().Before(e.until) {
		a.Verdict = consumer.Overdue
	}
	e.inv.Reply(a)
	c.release(e)
	return true
}
