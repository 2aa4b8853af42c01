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

// addLatency adds a latency, scaled by the latency objective of the attempt's class.
func (w *sampleWindow) addLatency(latency, objective time.Duration) {
	w.values[w.count%maxSamples] = float64(latency) / float64(objective)
	w.count++
}

// free is how many more fit in before the oldest are overwritten.
func (w *sampleWindow) free() int { return max(maxSamples-w.count, 0) }

// fill adds latencies as long as no sample is overwritten.
func (w *sampleWindow) fill(latencies []float64) {
	if w.free() == 0 {
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
