package membership

import "time"

// rttEstimator smooths round-trip times as TCP does (RFC 6298).
type rttEstimator struct {
	smoothed  time.Duration
	deviation time.Duration
}

// observe takes in the round-trip time of one probe.
func (e *rttEstimator) observe(rtt time.Duration) {
	if e.smoothed == 0 {
		e.smoothed = rtt
		e.deviation = rtt / 2
	}
	distance := max(rtt-e.smoothed, e.smoothed-rtt)
	e.deviation += (distance - e.deviation) / 4
	e.smoothed += (rtt - e.smoothed) / 8
}

// timeout is the time within which nearly all acks arrive.
func (e *rttEstimator) timeout() time.Duration { return e.smoothed + 4*e.deviation }
