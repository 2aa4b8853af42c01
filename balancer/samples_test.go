package balancer

import (
	"testing"
	"time"
)

func TestSamplesAreInLatencyObjectives(t *testing.T) {
	var w sampleWindow
	w.addLatency(300*ms, time.Second)
	if got := w.percentile(50); got != 0.3 {
		t.Errorf("got sample %v for 300 ms with an objective of 1 s, want 0.3", got)
	}
}

func TestOldestSamplesAreOverwritten(t *testing.T) {
	var w sampleWindow
	for range maxSamples {
		w.addLatency(time.Second, time.Second)
	}
	if w.free() != 0 {
		t.Errorf("got room for %d samples in a full window, want 0", w.free())
	}
	for range maxSamples {
		w.addLatency(2*time.Second, time.Second)
	}
	if low, high := w.percentile(0), w.percentile(100); low != 2 || high != 2 {
		t.Errorf("got samples from %v to %v, want only the latest, 2", low, high)
	}
}

func TestPercentileOfSamples(t *testing.T) {
	var w sampleWindow
	w.fill([]float64{5, 1, 4, 2, 3})
	for _, c := range []struct {
		percent int
		want    float64
	}{{0, 1}, {50, 3}, {60, 3}, {75, 4}, {100, 5}} {
		if got := w.percentile(c.percent); got != c.want {
			t.Errorf("percentile %d: got %v, want %v", c.percent, got, c.want)
		}
	}
}

func TestFillStopsAtFullWindow(t *testing.T) {
	var w sampleWindow
	for range maxSamples - 2 {
		w.addLatency(time.Second, time.Second)
	}
	w.fill([]float64{2, 3, 4})
	if w.count != maxSamples || w.percentile(100) != 3 {
		t.Errorf("got %d samples up to %v, want %d up to 3", w.count, w.percentile(100), maxSamples)
	}
	w.reset()
	if w.count != 0 || w.free() != maxSamples {
		t.Errorf("got %d samples after a reset, want 0", w.count)
	}
}
