package balancer

import "time"

const (
	warmUpSafety     = 0.5  // part of the budget used: the estimate is rough and attempts come in bursts
	savedShare       = 0.25 // part of a period's budget that is saved beyond one attempt
	minObservedShare = 0.01 // minimum part of its span for which a decayingRate counts as observed
)

// withinWarmUpBudget reports whether this replica's part of e's warm-up budget allows an attempt. The mean
// rate served by the subset's endpoints is a lower bound of a warm endpoint's capacity; e gets a share of it
// that grows with its age. Initial credits differ between replicas and credit expires soon, so that hundreds
// of replicas don't send at once.
func (s *endpointSet) withinWarmUpBudget(e *endpoint, now time.Duration) bool {
	share := s.loadShare(e, now)
	if share >= 1 || !e.inSubset {
		return share >= 1
	}
	period := s.cfg.Contract.OverloadPeriod.Seconds()
	minRate := float64(s.subset.available) / float64(s.division.replicas) / period // one a period
	rate := max(s.served.add(now, 0), minRate) / float64(s.subset.size*s.division.processes) * share
	return e.warmUpBudget.fillExpiring(now, rate, rate*period*savedShare) >= 1
}

// loadShare returns the part of a warm endpoint's load that e may get. At 1 or more, e counts as warm.
func (s *endpointSet) loadShare(e *endpoint, now time.Duration) float64 {
	contract := &s.cfg.Contract
	age := max(now-e.StartedAt, 0)
	if e.StartedAt > 0 && age < contract.WarmUpPeriod {
		return warmUpSafety * contract.OverloadMultiple * contract.capacity(age)
	}
	return 1
}
