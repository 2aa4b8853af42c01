package proxy

import "time"

// A timed-out request is answered a margin before its client gives up. The margin covers delays of this process (a busy
// or stopping machine, slow calls) when the request arrives, which its deadline does not include, and when the result
// is sent.
const (
	maxDelay      = 150 * time.Millisecond
	marginDivisor = 5 // the margin is at most 1/marginDivisor of the client's timeout
)

// resultTime returns the time available to a request whose client waits for remaining.
func resultTime(remaining time.Duration) time.Duration {
	return remaining - min(maxDelay, remaining/marginDivisor)
}
