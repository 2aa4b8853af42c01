package balancer

import (
	"slices"
	"time"
)

// sampleWindow holds the latest latencies, in latency objectives. The oldest are overwritten.
type sampleWindow struct {
	values [maxSamples]float64
	count  int // samples since the last reset, also those overwritten
}

// addLatency puts in a latency of an attempt whose class has an objective.
func (w *sampleWindow) addLatency(latency, objective time.Duration) {
	w.values[w.count%maxSamples] = float64(latency) / float64(objective)
	w.count++
}

// room is how many more fit in before the oldest are overwritten.
func (w *sampleWindow) room() int { return max(maxSamples-w.count, 0) }

// fill puts in as many latencies as there is room for, which is none once the oldest are overwritten.
func (w *sampleWindow) fill(latencies []float64) {
	if w.room() == 0 {
		return
	}
	w.count += copy(w.values[w.count:], latencies)
}

// percentile sorts the samples, of which there must be one, and returns the one at a percentile.
func (w *sampleWindow) percentile(percent int) float64 {
	sorted := w.values[:min(w.count, maxSamples)]
	slices.Sort(sorted)
	return sorted[(len(sorted)-1)*percent/100]
}

// reset begins a new window.
func (w *sampleWindow) reset() { w.count = 0 }
