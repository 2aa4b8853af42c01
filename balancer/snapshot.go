package balancer

import "slices"

// Bounds of the values that Restore accepts.
const (
	maxRestoredRate    = 1e9 // attempts per second
	maxRestoredLatency = 1e6 // seconds
	observedSpans      = 100 // warm-up periods for which a restored rate counts as observed
)

// Snapshot holds the statistics of a Balancer on its tier, for the process that takes over in an upgrade.
// Slices are indexed by class.
type Snapshot struct {
	Limit          float64   `json:"Limit"` // limit on attempts in flight
	Rate           float64   `json:"Rate"`  // served attempts per second
	TypicalLatency []float64 `json:"Usual"` // seconds
	ErrorRate      []float64 `json:"Fails"` // fraction of recent attempts that failed
}

// Snapshot returns the current statistics.
func (b *Balancer) Snapshot() Snapshot {
	return Snapshot{
		Limit:          b.limiter.maxIFR,
		Rate:           b.endpoints.served.add(b.now, 0),
		TypicalLatency: slices.Clone(b.stats.typicalLatency),
		ErrorRate:      slices.Clone(b.stats.errorRate),
	}
}

// Restore adopts the statistics of another Balancer with the same classes. It ignores invalid values.
func (b *Balancer) Restore(s Snapshot) {
	l := &b.limiter
	if s.Limit > 0 && l.ceiling > 0 {
		l.maxIFR = min(max(s.Limit, l.floor), l.ceiling)
	}
	if s.Rate > 0 && s.Rate < maxRestoredRate {
		observedSince := b.now - observedSpans*b.cfg.Contract.WarmUpPeriod
		b.endpoints.served.restore(b.now, s.Rate, observedSince)
	}
	b.stats.restore(s.TypicalLatency, s.ErrorRate)
}

// restore adopts the valid averages.
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
