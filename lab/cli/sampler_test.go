package cli

import (
	"context"
	"slices"
	"testing"
)

func TestSamplerCollectsByKeyAndSize(t *testing.T) {
	s := newSampler[string]()
	for seed := range uint64(20) {
		s.start(t.Context(), 3, seed, func(add addFunc[string]) {
			add("seed", float64(seed))
			add("pair", 1, 2)
		})
		s.start(t.Context(), 30, seed, func(add addFunc[string]) { add("seed", 100) })
	}
	s.wait()
	seeds := slices.Sorted(slices.Values(s.values("seed", 3)))
	if len(seeds) != 20 || seeds[0] != 0 || seeds[19] != 19 {
		t.Errorf("got seeds %v, want each of 0 to 19 once", seeds)
	}
	if n := len(s.values("pair", 3)); n != 40 {
		t.Errorf("got %d values of pairs, want 40", n)
	}
	if other := s.values("seed", 30); len(other) != 20 || slices.Max(other) != 100 || slices.Min(other) != 100 {
		t.Errorf("got %v of the other size", other)
	}
	for _, sample := range s.samples {
		if sample.key == "seed" && sample.replicas == 3 && sample.value != float64(sample.seed) {
			t.Errorf("%+v stands under another seed", sample)
		}
	}
}

func TestSamplerStartsNothingOnceItsContextHasEnded(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	s := newSampler[string]()
	s.start(ctx, 3, 1, func(addFunc[string]) { t.Error("a measurement was started") })
	s.wait()
}

// Which run ends first does not show: values stand in the order of the seeds, and are compared by seed where a run failed.
func TestSamplerOrdersAndPairsBySeed(t *testing.T) {
	s := newSampler[string]()
	add := func(seed uint64, key string, value float64) {
		s.samples = append(s.samples, sample[string]{key: key, replicas: 3, seed: seed, value: value})
	}
	for _, seed := range []uint64{4, 2, 0, 3, 1} {
		add(seed, "on", float64(10+seed))
	}
	for _, seed := range []uint64{1, 4, 3, 0} { // the run of seed 2 failed
		add(seed, "off", float64(seed))
	}
	s.wait()
	if on := s.values("on", 3); !slices.Equal(on, []float64{10, 11, 12, 13, 14}) {
		t.Errorf("values %v", on)
	}
	on, off := s.paired("on", "off", 3)
	if !slices.Equal(on, []float64{10, 11, 13, 14}) || !slices.Equal(off, []float64{0, 1, 3, 4}) {
		t.Errorf("pairs %v and %v", on, off)
	}
	if on, _ := s.paired("on", "off", 30); len(on) > 0 {
		t.Errorf("pairs of another size: %v", on)
	}
}
