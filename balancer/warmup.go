package balancer

import "time"

const (
	warmUpSafety = 0.5  // part of the budget used: the estimate is rough and attempts come in random bursts
	savedShare   = 0.25 // of the budget of a period that is saved beyond an attempt
	minObserved  = 0.01 // part of its span over which the rate of attempts served counts as observed, at least
)

// withinWarmUpBudget reports whether this replica's part of e's budget holds an attempt. What the subset
// serves on average is what a warm endpoint can do at least; e may be sent a share of it that grows with its
// age. Credit starts evenly spread over the replicas and expires soon, or hundreds of attempts come at once.
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

// loadShare is the part of a warm endpoint's load that e may be sent; 1 or more if it is warm.
func (s *endpointSet) loadShare(e *endpoint, now time.Duration) float64 {
	contract := &s.cfg.Contract
	age := max(now-e.StartedAt, 0)
	if e.StartedAt > 0 && age < contract.WarmUpPeriod {
		return warmUpSafety * contract.OverloadMultiple * contract.capacity(age)
	}
	return 1
}
