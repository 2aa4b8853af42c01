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
