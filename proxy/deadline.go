package proxy

import "time"

// The result of a request whose time is over is due a margin before its client gives up: this process may be held up
// (by a busy or stopping machine, or by calls that take long) when the request comes in, which its time does not count,
// or when the result is due.
const (
	maxHoldUp      = 150 * time.Millisecond
	maxMarginShare = 5 // the margin is at most one part in so many of the client's time
)

// resultTime returns how long a request may take whose client waits for remaining.
func resultTime(remaining time.Duration) time.Duration {
	return remaining - min(maxHoldUp, remaining/maxMarginShare)
}
