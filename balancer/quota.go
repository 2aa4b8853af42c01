package balancer

import "time"

// tenantQuota is the state of a tenant's quota at this replica.
type tenantQuota struct {
	bucket tokenBucket // requests within the quota

	set       bool    // SetQuota was called
	fraction  float64 // quota fraction until expiresAt
	fallback  float64 // quota fraction from expiresAt on
	expiresAt time.Duration
}

// rate returns the requests per second that this process may admit of a tenant's quota. whole is the quota
// divided by the number of processes of a replica. equalShare is whole divided by the number of replicas
// and applies until SetQuota is called.
func (q *tenantQuota) rate(now time.Duration, whole, equalShare float64) float64 {
	switch {
	case !q.set:
		return equalShare
	case now < q.expiresAt:
		return whole * q.fraction
	}
	return whole * q.fallback
}

// SetQuota sets the fraction of a tenant's quota that this replica may use for a duration, and the fallback
// that applies afterwards unless SetQuota is called again, so that a loan ends without a further call.
func (b *Balancer) SetQuota(tenant int, fraction, fallback float64, duration time.Duration) {
	if tenant < 0 || tenant >= len(b.quotas) {
		return
	}
	quota := &b.quotas[tenant]
	quota.set = true
	quota.fraction = fraction
	quota.fallback = fallback
	quota.expiresAt = b.now + duration
}

// quotaRate returns the requests per second that this process may admit of a tenant's quota.
func (b *Balancer) quotaRate(tenant int) float64 {
	whole := b.cfg.Tenants[tenant].Quota / float64(b.division.processes)
	return b.quotas[tenant].rate(b.now, whole, whole/float64(b.division.replicas))
}
