package balancer

import (
	"slices"
	"time"
)

// sampleWindow holds the latest latencies, in latency objectives. When full, it overwrites the oldest.
type sampleWindow struct {
	values [maxSamples]float64
	count  int // samples since the last reset, including overwritten ones
}

// addLatency adds a latency, scaled by the latency objective of the attempt's class.
func (w *sampleWindow) addLatency(latency, objective time.Duration) {
	w.values[w.count%maxSamples] = float64(latency) / float64(objective)
	w.count++
}

// free returns the number of samples that fit in before the oldest are overwritten.
func (w *sampleWindow) free() int { return max(maxSamples-w.count, 0) }

// fill adds latencies until the window is full.
func (w *sampleWindow) fill(latencies []float64) {
	if w.free() == 0 {
		return
	}
	w.count += copy(w.values[w.count:], latencies)
}

// percentile sorts the samples and returns the given percentile. The window must not be empty.
func (w *sampleWindow) percentile(percent int) float64 {
	sorted := w.values[:min(w.count, maxSamples)]
	slices.Sort(sorted)
	return sorted[(len(sorted)-1)*percent/100]
}

// reset begins a new window.
func (w *sampleWindow) reset() { w.count = 0 }
