package balancer

import "time"

const retentionPeriods = 2.0 // warm-up periods that an endpoint is kept after it was last listed, or served

// usable reports whether e may be sent to. Where only draining binds, an endpoint that is gone by the list
// but was not seen draining stays a candidate: a slot is added to its rank until an attempt has succeeded,
// the highest penalty once one has failed. Harm: attempts to what is really gone.
func (s *endpointSet) usable(e *endpoint, now time.Duration) bool {
	return e.State == Ready || s.trusted(e) && s.retained(e, now)
}

// trusted reports whether e may be sent to for as long as it is retained.
func (s *endpointSet) trusted(e *endpoint) bool {
	return e.State == Ready || e.State == Gone && s.cfg.Contract.OnlyDrainingBinds && !e.drained
}

func (s *endpointSet) retained(e *endpoint, now time.Duration) bool {
	span := retentionPeriods * s.cfg.Contract.WarmUpPeriod
	return e.inFlight > 0 || s.cfg.Contract.OnlyDrainingBinds && now-e.lastKnownAt < span
}

// suspicion is the half slots added to e's rank for being listed as gone, or not in the subset.
func (e *endpoint) suspicion() int {
	switch {
	case e.State != Ready && e.lastResult == resultFailed:
		return rankPerSlot * maxPenalty
	case e.State != Ready && e.lastResult == resultUnknown || !e.inSubset:
		return rankPerSlot
	}
	return 0
}
