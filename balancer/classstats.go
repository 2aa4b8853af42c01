package balancer

import "slices"

// classStats holds moving averages of what attempts have shown. Both slices are indexed by class.
type classStats struct {
	typicalLatency []float64 // seconds
	errorRate      []float64 // fraction of the attempts that failed of late
}

// newClassStats returns statistics that begin at a fraction of each class's latency objective.
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

// addResult counts an attempt of a class, with a weight of gain.
func (s *classStats) addResult(class int, failed bool, gain float64) {
	s.errorRate[class] *= 1 - gain
	if failed {
		s.errorRate[class] += gain
	}
}

// lowestErrorRate is the error rate of the class that fails least.
func (s *classStats) lowestErrorRate() float64 { return slices.Min(s.errorRate) }
