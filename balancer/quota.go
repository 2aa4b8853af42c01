package balancer

import "time"

// tenantQuota is the use of a tenant's quota by this replica.
type tenantQuota struct {
	bucket tokenBucket // requests within the quota

	// The fractions of the quota that SetQuota has set, if it was called.
	set       bool
	fraction  float64 // until expiresAt
	fallback  float64 // from then on
	expiresAt time.Duration
}

// rate is how many requests a second this process may admit of a tenant's quota. whole is the quota divided among the
// processes of a replica; equal is whole divided among the replicas, which holds until SetQuota is called.
func (q *tenantQuota) rate(now time.Duration, whole, equal float64) float64 {
	switch {
	case !q.set:
		return equal
	case now < q.expiresAt:
		return whole * q.fraction
	}
	return whole * q.fallback
}

// SetQuota sets the fraction of a tenant's quota that this replica may use until a time from now, and the
// fraction that it may use from then on if SetQuota is not called again: what was borrowed ends by itself.
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

// quotaRate is how many requests a second of a tenant's quota this replica may admit.
func (b *Balancer) quotaRate(tenant int) float64 {
	whole := b.cfg.Tenants[tenant].Quota / float64(b.division.processes)
	return b.quotas[tenant].rate(b.now, whole, whole/float64(b.division.replicas))
}
