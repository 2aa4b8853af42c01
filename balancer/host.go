package balancer

// This file holds the methods that a host calls between events.

// noShareDivisor is the divisor of quotas and warm-up budgets for a replica that has no share yet. It leaves
// practically 0.
const noShareDivisor = 1 << 30

// SetLimits replaces the deployment's limits from the next event on. The concurrency limit, averages and
// health stay. Missing settings get the same defaults as in New.
func (b *Balancer) SetLimits(limits Limits) {
	limits.setDefaults()
	b.cfg.Limits = limits
}

// SetSiblings sets the number of other Balancers of the same replica, such as the other process of a proxy
// during an upgrade, and their number of attempts in flight. All Balancers of a replica share its limit,
// quotas and warm-up budgets.
func (b *Balancer) SetSiblings(others, inFlight int) {
	b.division.processes = 1 + max(others, 0)
	b.attempts.siblingsInFlight = max(inFlight, 0)
}

// SetReplicas sets this replica's index, the number of replicas, and the number of replicas that may be
// alive, which share quotas and warm-up budgets. With alive 0 this replica has no share yet. All statistics
// stay.
func (b *Balancer) SetReplicas(index, count, alive int) {
	count = max(count, 1)
	index = min(max(index, 0), count-1)
	if alive <= 0 {
		alive = noShareDivisor
	}
	b.division.replicas = alive
	if index != b.cfg.ReplicaIndex || count != b.cfg.ReplicaCount {
		b.cfg.ReplicaIndex = index
		b.cfg.ReplicaCount = count
		b.chooseSubset()
	}
}

// Penalize gives an endpoint the maximum penalty, as if attempts of this replica had failed. It is for
// endpoints that several replicas found faulty. Endpoints that are not usable stay unchanged.
func (b *Balancer) Penalize(id EndpointID) {
	e := b.endpoints.byID[id]
	if e == nil || !b.endpoints.usable(e, b.now) {
		return
	}
	_, relativeLatency := e.health.at(b.now, b.endpoints.halfLife)
	e.health = health{penalty: maxPenalty, relativeLatency: relativeLatency, updatedAt: b.now}
	b.endpoints.updateRank(e, b.now)
}

// Concurrency returns the limit on attempts in flight and their current number. It changes no state.
func (b *Balancer) Concurrency() (limit float64, inFlight int) {
	return b.limiter.maxIFR, b.attempts.inFlight
}

// Avoids reports whether an endpoint gets no attempts now, because it is not usable by the list or its
// penalty is high. It changes no state.
func (b *Balancer) Avoids(id EndpointID) bool {
	e := b.endpoints.byID[id]
	if e == nil {
		return true
	}
	penalty, _ := e.health.at(b.now, b.endpoints.halfLife)
	return !b.endpoints.usable(e, b.now) || penalty >= maxPenalty/2
}

// RelativeLatency returns an endpoint's latency relative to the mean of its peers, as observed by this
// replica. It returns 1 for an unknown endpoint.
func (b *Balancer) RelativeLatency(id EndpointID) float64 {
	e := b.endpoints.byID[id]
	if e == nil {
		return 1
	}
	_, relativeLatency := e.health.at(b.now, b.endpoints.halfLife)
	return relativeLatency
}
