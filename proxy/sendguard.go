package proxy

import (
	"log/slog"
	"sync/atomic"
	"time"
)

// withdrawal is since when nothing new may be sent to an endpoint, and why.
type withdrawal struct {
	at      time.Time
	version uint64 // of the list that was in force then, or withdrew it
}

// sendGuard decides whether requests may be sent to one endpoint. All ways by which a request reaches an endpoint ask
// it right before the first byte: a first attempt, a retry, a hedged request, a late dial, a write that is made again,
// an upload. It is safe for concurrent use.
type sendGuard struct {
	withdrawn atomic.Pointer[withdrawal] // nil: requests may be sent
}

// MaySend reports whether requests may be sent now.
func (g *sendGuard) MaySend() bool { return g.withdrawn.Load() == nil }

// set allows requests, or prevents them from now on.
func (g *sendGuard) set(allowed bool, version uint64) {
	if allowed {
		g.withdrawn.Store(nil)
		return
	}
	g.withdrawn.CompareAndSwap(nil, &withdrawal{at: time.Now(), version: version}) // it may be withdrawn already
}

// graceCheck counts requests that were sent to endpoints withdrawn for longer than the grace. Any but 0 is a fault of
// this proxy.
type graceCheck struct {
	log        *slog.Logger
	violations atomic.Int64
}

// sentAttempt is what the check is told of an attempt.
type sentAttempt struct {
	endpoint string
	index    int // among the request's attempts
	streamed bool
	grace    time.Duration
}

// sent checks an attempt whose first bytes were written at a time. The first violation is logged, and each doubling.
func (c *graceCheck) sent(attempt sentAttempt, guard *sendGuard, at time.Time) {
	withdrawn := guard.withdrawn.Load()
	if withdrawn == nil || at.Sub(withdrawn.at) <= attempt.grace {
		return
	}
	count := c.violations.Add(1)
	if !isFirstOrDoubled(count) {
		return
	}
	c.log.Error("request sent to a withdrawn endpoint after the grace", "endpoint", attempt.endpoint,
		"version", withdrawn.version, "withdrawn_for", at.Sub(withdrawn.at).Round(time.Millisecond),
		"attempt", attempt.index, "streamed", attempt.streamed, "count", count)
}

// isFirstOrDoubled reports whether a count is to be logged of what may occur often: the first, and each doubling.
func isFirstOrDoubled(count int64) bool { return count&(count-1) == 0 }
