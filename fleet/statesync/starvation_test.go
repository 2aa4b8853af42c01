package statesync

import (
	"fmt"
	"testing"
	"time"

	"ryerill/fleet/counter"
	"ryerill/fleet/outlier"
	"ryerill/fleet/quota"
)

// A replica that borrows of many quotas still sends its counters and evidence, within their byte budget.
func TestQuotasDoNotStarveCountersAndEvidence(t *testing.T) {
	for _, tc := range []struct{ quotas, replicas int }{{1, 12}, {64, 3}, {64, 12}} {
		t.Run(fmt.Sprintf("%d quotas, %d replicas", tc.quotas, tc.replicas), func(t *testing.T) {
			c := newCluster(t, tc.replicas, 1, 0)
			limits := shareQuotas(c, tc.quotas)
			bad := outlier.Endpoint{ID: 77, StartedAt: 5}
			span := 30 * time.Second
			c.play(span, func(i int, s *Syncer) {
				s.Counters.Record(c.now, counter.Key{Pool: "main"}, counter.Counts{Arrivals: 100})
				if i != 0 {
					return
				}
				for _, limit := range limits {
					s.Quotas.AddDemand(c.now, limit.Name, limit.Total*0.6*Interval.Seconds())
				}
				for id := range uint64(8) {
					s.Outliers.RecordOutcome(c.now, outlier.Endpoint{ID: id, StartedAt: 5}, outlier.Succeeded, 1)
				}
				if c.now > span-5*time.Second {
					s.Outliers.RecordOutcome(c.now, bad, outlier.TimedOut, 0)
				}
			})
			busy := c.syncers[0]
			for i, s := range c.syncers[1:] {
				if s.Outliers.ReporterCount(bad.ID) != 1 {
					t.Errorf("replica %d: got no evidence of the busy replica, want one report", i+1)
				}
				v := s.Counters.Sum(c.now, nil, func(c counter.Counts) float64 { return float64(c.Arrivals) })
				if v.Replicas != tc.replicas || v.Stale {
					t.Errorf("replica %d: got %+v, want a sum over all replicas that is not stale", i+1, v)
				}
			}
			for _, limit := range limits {
				if rate := busy.Quotas.Rate(c.now, limit.Name); rate < limit.Total*0.6 {
					t.Errorf("quota %s: got rate %v, want at least 0.6 of %v", limit.Name, rate, limit.Total)
				}
			}
			t.Logf("busy replica: %.0f bytes/s sent", float64(busy.Stats.BytesOut)/span.Seconds())
		})
	}
}

// shareQuotas configures the same quotas at all replicas, and returns them.
func shareQuotas(c *cluster, quotas int) (limits []quota.Limit) {
	for i := range quotas {
		name := fmt.Sprintf("a-pool-of-some-name/tenant-%02d", i)
		limits = append(limits, quota.Limit{Name: name, Kind: quota.Rate, Total: 300})
	}
	for i, s := range c.syncers {
		var names []string
		for _, peer := range c.peers[i] {
			names = append(names, peer.Name)
		}
		s.Quotas.SetLimits(0, limits)
		s.Quotas.SetReplicaCount(0, len(c.syncers), names)
	}
	return limits
}
