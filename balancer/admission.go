package balancer

const (
	minLimitShare = 0.7 // of the limit is open to requests of no priority; those of the highest get all of it
	quotaBurst    = 2.0 // seconds of quota that a tenant may save up
)

// admits reports whether r finds a free slot. At the front a lower limit applies to the lowest priorities,
// and to a class that fails more than others: one that hangs everywhere would fill the limit with attempts
// that fail. Harm: the class of the lowest priority may be served much less.
func (b *Balancer) admits(r *request) bool {
	limit := b.limiter.maxIFR + b.limiter.burstCredit
	if b.cfg.Tier == 0 {
		limit -= (1 - minLimitShare) * (1 - r.priority) * b.limiter.maxIFR
		limit *= (1 - b.stats.errorRate[r.classIndex]) / (1 - b.stats.lowestErrorRate())
	}
	return float64(b.attempts.occupied()) < limit && len(b.requests) < b.cfg.Limits.MaxOpenRequests
}

// overQuota counts a request of a tenant and reports whether it is above its quota. Only the front has them.
func (b *Balancer) overQuota(tenant int) bool {
	if b.cfg.Tier > 0 || tenant < 0 || tenant >= len(b.quotas) || !(b.cfg.Tenants[tenant].Quota > 0) {
		return false
	}
	rate := b.quotaRate(tenant)
	return !b.quotas[tenant].bucket.take(b.now, rate, max(quotaBurst*rate, 1))
}
