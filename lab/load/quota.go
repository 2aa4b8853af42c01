package load

import (
	"math"
	"time"
)

// quotaSpan is for how many seconds of its rate a tenant may save up its quota.
const quotaSpan = 2

// quota is a tenant's rate of requests that earn their full weight, as a token bucket.
type quota struct {
	perSecond float64 // 0 is no quota
	tokens    float64
	updatedAt time.Duration
}

func newQuota(perSecond float64) quota {
	return quota{perSecond: perSecond, tokens: quotaSpan * perSecond}
}

// take reports whether a request at a time is within the quota, and counts it if so. Times must not decrease.
func (q *quota) take(at time.Duration) bool {
	if q.perSecond == 0 {
		return true
	}
	q.tokens = math.Min(q.tokens+q.perSecond*(at-q.updatedAt).Seconds(), quotaSpan*q.perSecond)
	q.updatedAt = at
	if q.tokens < 1 {
		return false
	}
	q.tokens--
	return true
}
