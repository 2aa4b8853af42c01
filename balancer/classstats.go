package balancer

import "slices"

// classStats holds moving averages of attempt latencies and failures. Both slices are indexed by class.
type classStats struct {
	typicalLatency []float64 // seconds
	errorRate      []float64 // fraction of recent attempts that failed
}

// newClassStats returns statistics whose typical latencies start at a fraction of each class's latency
// objective.
func newClassStats(classes []Class, fraction float64) classStats {
	stats := classStats{
		typicalLatency: make([]float64, len(classes)),
		errorRate:      make([]float64, len(classes)),
	}
	for i := range classes {
		stats.typicalLatency[i] = fraction * classes[i].LatencyObjective.Seconds()
	}
	return stats
}

// addResult adds the result of an attempt to the error rate of its class, with weight gain.
func (s *classStats) addResult(class int, failed bool, gain float64) {
	s.errorRate[class] *= 1 - gain
	if failed {
		s.errorRate[class] += gain
	}
}

// lowestErrorRate returns the lowest error rate of all classes.
func (s *classStats) lowestErrorRate() float64 { return slices.Min(s.errorRate) }
