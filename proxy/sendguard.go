package proxy

import (
	"log/slog"
	"sync/atomic"
	"time"
)

// withdrawal records when an endpoint was withdrawn and by which list version.
type withdrawal struct {
	at      time.Time
	version uint64 // of the list that withdrew it, or was in force at the time
}

// sendGuard decides whether requests may be sent to an endpoint. It is checked immediately before the first byte on all
// paths to the endpoint: first attempts, retries, hedged requests, late dials, repeated writes and uploads. It is safe
// for concurrent use.
type sendGuard struct {
	withdrawn atomic.Pointer[withdrawal] // nil if requests may be sent
}

// MaySend reports whether requests may be sent now.
func (g *sendGuard) MaySend() bool { return g.withdrawn.Load() == nil }

// set allows or prevents further requests; version is recorded if it prevents them.
func (g *sendGuard) set(allowed bool, version uint64) {
	if allowed {
		g.withdrawn.Store(nil)
		return
	}
	g.withdrawn.CompareAndSwap(nil, &withdrawal{at: time.Now(), version: version}) // keeps an earlier withdrawal
}

// graceCheck counts requests sent to endpoints withdrawn for longer than the drain grace. Any count above 0 is a bug of
// this proxy.
type graceCheck struct {
	log        *slog.Logger
	violations atomic.Int64
}

// sentAttempt describes an attempt for the grace check.
type sentAttempt struct {
	endpoint string
	index    int // position among the request's attempts
	streamed bool
	grace    time.Duration
}

// checkSent checks an attempt whose first bytes were written at a time. It logs the first violation and each doubling
// of the count.
func (c *graceCheck) checkSent(attempt sentAttempt, guard *sendGuard, at time.Time) {
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

// isFirstOrDoubled reports whether count is a power of two. It limits the logging of frequent events.
func isFirstOrDoubled(count int64) bool { return count&(count-1) == 0 }
