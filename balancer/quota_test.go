package balancer

import (
	"testing"
	"time"
)

func TestQuotaRate(t *testing.T) {
	b := New(Config{Tenants: []Tenant{{Quota: 120}}, ReplicaCount: 4}, 1)
	check := func(when string, want float64) {
		t.Helper()
		if got := b.quotaRate(0); got != want {
			t.Errorf("%s: got %v requests per second, want %v", when, got, want)
		}
	}
	check("an equal part", 30)
	b.SetSiblings(1, 0)
	check("shared with another process", 15)
	b.SetSiblings(0, 0)
	b.SetQuota(0, 0.5, 0.25, time.Minute)
	check("lent", 60)
	b.now = time.Minute
	check("once it has expired", 30)
	b.SetQuota(7, 1, 1, time.Hour) // unknown tenant: must not panic
}
