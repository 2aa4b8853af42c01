package membership

import "time"

// The parameters of RFC 6298.
const (
	rttDivisor        = 8 // each observation moves the smoothed time by 1/8 of the difference
	deviationDivisor  = 4 // and the deviation by 1/4 of its difference
	timeoutDeviations = 4 // the timeout is the smoothed time plus 4 deviations
)

// rttEstimator smooths round-trip times as TCP does (RFC 6298).
type rttEstimator struct {
	smoothed  time.Duration
	deviation time.Duration
}

// observe adds the round-trip time of one probe.
func (e *rttEstimator) observe(rtt time.Duration) {
	if e.smoothed == 0 {
		e.smoothed = rtt
		e.deviation = rtt / 2
	}
	distance := max(rtt-e.smoothed, e.smoothed-rtt)
	e.deviation += (distance - e.deviation) / deviationDivisor
	e.smoothed += (rtt - e.smoothed) / rttDivisor
}

// timeout returns the time within which nearly all acks arrive.
func (e *rttEstimator) timeout() time.Duration { return e.smoothed + timeoutDeviations*e.deviation }
