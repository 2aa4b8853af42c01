package balancer

import (
	"math"
	"testing"
)

// Two Balancers of one replica share one limit, and the second starts with the statistics of the first.
func TestRestoreAdoptsSnapshot(t *testing.T) {
	first, second := newHost(t, testConfig(), readyList(2)...), newHost(t, testConfig(), readyList(2)...)
	endWindow(first, 900*ms)
	first.b.stats.typicalLatency[0] = 0.123
	second.b.Restore(first.b.Snapshot())
	if second.b.limiter.maxIFR != first.b.limiter.maxIFR || second.b.stats.typicalLatency[0] != 0.123 {
		t.Errorf("got limit %v, want %v; got typical latency %v, want 0.123",
			second.b.limiter.maxIFR, first.b.limiter.maxIFR, second.b.stats.typicalLatency[0])
	}
	second.b.Restore(Snapshot{Limit: -1, Rate: math.NaN(), TypicalLatency: []float64{-1}, ErrorRate: []float64{7}})
	if second.b.limiter.maxIFR != first.b.limiter.maxIFR || second.b.stats.typicalLatency[0] != 0.123 ||
		second.b.stats.errorRate[0] == 7 {
		t.Error("Restore adopted invalid values")
	}
	second.b.SetSiblings(1, 2*int(second.b.limiter.ceiling))
	_, actions := second.arrive(0)
	onlyAction(t, actions, Shed)
	second.b.SetSiblings(0, 0)
	_, actions = second.arrive(0)
	onlyAction(t, actions, Send)
}
