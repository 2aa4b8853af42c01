package proxy

import (
	"time"

	"ryerill/invocation"
)

// relay gives an invocation its final answer, unless it has had one or nobody
// waits for it. It reports whether it did.
func (c *core) relay(e *entry, a invocation.Answer) bool {
	if e == nil || e.done {
		return false
	}
	e.done = true
	if a.Verdict == invocation.Failed && !time.Now().Before(e.until) {
		a.Verdict = invocation.Overdue
	}
	c.counted(e, a.Verdict)
	e.inv.Reply(a)
	c.release(e)
	return true
}
