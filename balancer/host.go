package balancer

// This file holds what a host sets and reads between events.

// noFraction is the divisor for a replica that has no part yet of what all replicas divide: it leaves practically 0.
const noFraction = 1 << 30

// SetLimits replaces what the deployment allows, from the next event on. Limit, averages and health stay.
// Figures that are missing get New's defaults.
func (b *Balancer) SetLimits(limits Limits) {
	limits.complete()
	b.cfg.Limits = limits
}

// SetSiblings sets how many other Balancers serve as the same replica, as two processes of one proxy do at an
// upgrade, and how many attempts they have in flight: the limit is for all of them together, and so are quotas
// and warm-up budgets.
func (b *Balancer) SetSiblings(others, inFlight int) {
	b.division.processes = 1 + max(others, 0)
	b.attempts.siblings = max(inFlight, 0)
}

// SetReplicas sets this replica's index, how many replicas there are, and among how many that may be alive
// quotas and warm-up budgets are divided; with 0 it has no part of them yet. What the Balancer has learnt stays.
func (b *Balancer) SetReplicas(index, count, alive int) {
	count = max(count, 1)
	index = min(max(index, 0), count-1)
	if alive <= 0 {
		alive = noFraction
	}
	b.division.replicas = alive
	if index != b.cfg.ReplicaIndex || count != b.cfg.ReplicaCount {
		b.cfg.ReplicaIndex = index
		b.cfg.ReplicaCount = count
		b.chooseSubset()
	}
}

// Penalize lowers an endpoint's rank for a while, as if attempts of this replica had failed: several replicas have
// found it bad. It never makes usable one that is not.
func (b *Balancer) Penalize(id EndpointID) {
	e := b.endpoints.byID[id]
	if e == nil || !b.endpoints.usable(e, b.now) {
		return
	}
	_, relativeLatency := e.health.at(b.now, b.endpoints.halfLife)
	e.health = health{penalty: maxPenalty, relativeLatency: relativeLatency, updatedAt: b.now}
	b.endpoints.updateRank(e, b.now)
}

// Concurrency returns the limit on attempts in flight and how many there are. It changes nothing.
func (b *Balancer) Concurrency() (limit float64, inFlight int) {
	return b.limiter.maxIFR, b.attempts.inFlight
}

// Avoids reports whether an endpoint is not sent to now: it is not ready by the list, or attempts to it have
// failed so often that others come first. It changes nothing.
func (b *Balancer) Avoids(id EndpointID) bool {
	e := b.endpoints.byID[id]
	if e == nil {
		return true
	}
	penalty, _ := e.health.at(b.now, b.endpoints.halfLife)
	return !b.endpoints.usable(e, b.now) || penalty >= maxPenalty/2
}

// RelativeLatency is an endpoint's latency against its peers', by this replica's own attempts. It is 1 for an
// unknown endpoint.
func (b *Balancer) RelativeLatency(id EndpointID) float64 {
	e := b.endpoints.byID[id]
	if e == nil {
		return 1
	}
	_, relativeLatency := e.health.at(b.now, b.endpoints.halfLife)
	return relativeLatency
}
