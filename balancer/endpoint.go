package balancer

import "time"

// retentionPeriods is how long an endpoint is kept after it was last listed or last served, in warm-up
// periods.
const retentionPeriods = 2.0

// usable reports whether attempts may be sent to e. With OnlyDrainingBinds, an endpoint that is listed as
// gone but was not listed as draining stays a candidate: its rank gets one slot more until an attempt
// succeeds, and the maximum penalty once an attempt fails. Drawback: some attempts go to endpoints that no
// longer exist.
func (s *endpointSet) usable(e *endpoint, now time.Duration) bool {
	return e.State == Ready || s.trusted(e) && s.retained(e, now)
}

// trusted reports whether attempts may be sent to e while it is retained.
func (s *endpointSet) trusted(e *endpoint) bool {
	return e.State == Ready || e.State == Gone && s.cfg.Contract.OnlyDrainingBinds && !e.drained
}

// retained reports whether a gone endpoint is kept.
func (s *endpointSet) retained(e *endpoint, now time.Duration) bool {
	span := retentionPeriods * s.cfg.Contract.WarmUpPeriod
	return e.inFlight > 0 || s.cfg.Contract.OnlyDrainingBinds && now-e.lastKnownAt < span
}

// suspicion returns the half slots added to e's rank if it is listed as gone or is not in the subset.
func (e *endpoint) suspicion() int {
	switch {
	case e.State != Ready && e.lastResult == resultFailed:
		return rankPerSlot * maxPenalty
	case e.State != Ready && e.lastResult == resultUnknown || !e.inSubset:
		return rankPerSlot
	}
	return 0
}
