package balancer

import "slices"

// Bounds of what Restore takes as possible.
const (
	maxRestoredRate    = 1e9 // attempts a second
	maxRestoredLatency = 1e6 // seconds
	observedSpans      = 100 // warm-up periods for which a restored rate counts as observed already
)

// Snapshot is what a Balancer has learnt of its tier, so that the process that replaces it at an upgrade need not
// learn it again. Slices are by class.
type Snapshot struct {
	Limit          float64   `json:"Limit"` // on attempts in flight
	Rate           float64   `json:"Rate"`  // attempts served a second
	TypicalLatency []float64 `json:"Usual"` // seconds
	ErrorRate      []float64 `json:"Fails"` // fraction of the attempts that failed of late
}

// Snapshot returns what has been learnt.
func (b *Balancer) Snapshot() Snapshot {
	return Snapshot{
		Limit:          b.limiter.maxIFR,
		Rate:           b.endpoints.served.add(b.now, 0),
		TypicalLatency: slices.Clone(b.stats.typicalLatency),
		ErrorRate:      slices.Clone(b.stats.errorRate),
	}
}

// Restore takes over what another Balancer for the same classes has learnt. What is impossible in it is
// ignored.
func (b *Balancer) Restore(s Snapshot) {
	l := &b.limiter
	if s.Limit > 0 && l.ceiling > 0 {
		l.maxIFR = min(max(s.Limit, l.floor), l.ceiling)
	}
	if s.Rate > 0 && s.Rate < maxRestoredRate {
		longAgo := b.now - observedSpans*b.cfg.Contract.WarmUpPeriod
		b.endpoints.served.restore(b.now, s.Rate, longAgo)
	}
	b.stats.restore(s.TypicalLatency, s.ErrorRate)
}

// restore takes over the averages that are possible.
func (s *classStats) restore(typicalLatency, errorRate []float64) {
	for class := range s.typicalLatency {
		if class < len(typicalLatency) && typicalLatency[class] > 0 && typicalLatency[class] < maxRestoredLatency {
			s.typicalLatency[class] = typicalLatency[class]
		}
		if class < len(errorRate) && errorRate[class] >= 0 && errorRate[class] < 1 {
			s.errorRate[class] = errorRate[class]
		}
	}
}
