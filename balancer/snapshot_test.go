package balancer

import (
	"math"
	"testing"
)

// Two Balancers at one place have one limit, and the second begins with what the first has learnt.
func TestSuccessorStartsFromASnapshot(t *testing.T) {
	first, second := newHost(t, testConfig(), readyList(2)...), newHost(t, testConfig(), readyList(2)...)
	endWindow(first, 900*ms)
	first.b.stats.typicalLatency[0] = 0.123
	second.b.Restore(first.b.Snapshot())
	if second.b.limiter.maxIFR != first.b.limiter.maxIFR || second.b.stats.typicalLatency[0] != 0.123 {
		t.Errorf("adopted limit %v of %v, usual %v", second.b.limiter.maxIFR, first.b.limiter.maxIFR,
			second.b.stats.typicalLatency[0])
	}
	second.b.Restore(Snapshot{Limit: -1, Rate: math.NaN(), TypicalLatency: []float64{-1}, ErrorRate: []float64{7}})
	if second.b.limiter.maxIFR != first.b.limiter.maxIFR || second.b.stats.typicalLatency[0] != 0.123 ||
		second.b.stats.errorRate[0] == 7 {
		t.Error("what is impossible was adopted")
	}
	second.b.SetSiblings(1, 2*int(second.b.limiter.ceiling))
	_, actions := second.arrive(0)
	only(t, actions, Shed)
	second.b.SetSiblings(0, 0)
	_, actions = second.arrive(0)
	only(t, actions, Send)
}
