package metrics

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms, in microseconds.
const (
	minRunLatency    = 10
	maxRunLatency    = int64(time.Hour / time.Microsecond)
	minWindowLatency = 100
	maxWindowLatency = int64(10 * time.Minute / time.Microsecond)

	runDigits    = 3 // significant
	windowDigits = 2
)

const microsecondsPerSecond = 1e6

func newRunHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minRunLatency, maxRunLatency, runDigits)
}

func newWindowHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minWindowLatency, maxWindowLatency, windowDigits)
}

func recordLatency(h *hdrhistogram.Histogram, latency time.Duration) {
	_ = h.RecordValue(max(int64(latency/time.Microsecond), 1)) // what is beyond the bounds is left out
}

// quantile is a quantile of latency in seconds; 0 if nothing was recorded.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(100*q)) / microsecondsPerSecond
}
