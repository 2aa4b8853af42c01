package balancer

import "time"

const rememberPeriods = 2.0 // warm-up periods that an endpoint is known after it was last listed, or served

// usable reports whether e may be sent to. Where only draining binds, a list that leaves it out is believed
// as long as attempts agree: once named and not seen draining it stays a candidate, a slot behind until it
// has served, last once an attempt has failed. Harm: attempts to what is really gone.
func (s *endpointSet) usable(e *endpoint, now time.Duration) bool {
	return e.State == Ready || s.trusted(e) && s.remembered(e, now)
}

// trusted reports whether e may be sent to for as long as it is remembered.
func (s *endpointSet) trusted(e *endpoint) bool {
	return e.State == Ready || e.State == Gone && s.cfg.Contract.OnlyDrainingBinds && !e.drained
}

func (s *endpointSet) remembered(e *endpoint, now time.Duration) bool {
	span := rememberPeriods * s.cfg.Contract.WarmUpPeriod
	return e.inFlight > 0 || s.cfg.Contract.OnlyDrainingBinds && now-e.lastKnownAt < span
}

// suspicion is by how many half slots e ranks behind its peers, for being called gone or not in the subset.
func (e *endpoint) suspicion() int {
	switch {
	case e.State != Ready && e.lastResult == resultFailed:
		return rankPerSlot * maxPenalty
	case e.State != Ready && e.lastResult == resultUnknown || !e.inSubset:
		return rankPerSlot
	}
	return 0
}
