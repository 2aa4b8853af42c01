package balancer

const (
	minLimitShare = 0.7 // part of the limit for requests of priority 0; the highest priority may use all
	quotaBurst    = 2.0 // seconds of unused quota that a tenant can accumulate
)

// admits reports whether the limit has a free slot for r. At the front the limit is lower for lower
// priorities and for classes that fail more than others: a class that hangs at all endpoints would otherwise
// fill the limit with failing attempts. Drawback: the class of the lowest priority may be served much less.
func (b *Balancer) admits(r *request) bool {
	limit := b.limiter.maxIFR + b.limiter.burstCredit
	if b.cfg.Tier == 0 {
		limit -= (1 - minLimitShare) * (1 - r.priority) * b.limiter.maxIFR
		limit *= (1 - b.stats.errorRate[r.classIndex]) / (1 - b.stats.lowestErrorRate())
	}
	return float64(b.attempts.occupied()) < limit && len(b.requests) < b.cfg.Limits.MaxOpenRequests
}

// overQuota counts a request against the tenant's quota and reports whether it exceeds the quota. Quotas
// apply at the front only.
func (b *Balancer) overQuota(tenant int) bool {
	if b.cfg.Tier > 0 || tenant < 0 || tenant >= len(b.quotas) || !(b.cfg.Tenants[tenant].Quota > 0) {
		return false
	}
	rate := b.quotaRate(tenant)
	return !b.quotas[tenant].bucket.take(b.now, rate, max(quotaBurst*rate, 1))
}
