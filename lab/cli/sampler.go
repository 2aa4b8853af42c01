package cli

import (
	"cmp"
	"context"
	"runtime"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"
)

// sample is one measured value.
type sample[K comparable] struct {
	key      K // what was measured
	replicas int
	seed     uint64
	value    float64
}

// addFunc adds values to a sampler.
type addFunc[K comparable] func(key K, values ...float64)

// sampler runs measurements on all cores and collects their values. Which run ends first does not show in them.
type sampler[K comparable] struct {
	workers errgroup.Group

	mu      sync.Mutex // guards samples until wait returns
	samples []sample[K]
}

func newSampler[K comparable]() *sampler[K] {
	s := &sampler[K]{}
	s.workers.SetLimit(runtime.GOMAXPROCS(0))
	return s
}

// start runs a measurement of a fleet size with a seed as soon as a core is free. Once ctx has ended, none is run.
func (s *sampler[K]) start(ctx context.Context, replicas int, seed uint64, measure func(add addFunc[K])) {
	s.workers.Go(func() error {
		if ctx.Err() != nil {
			return nil
		}
		measure(func(key K, values ...float64) {
			s.mu.Lock()
			defer s.mu.Unlock()
			for _, value := range values {
				s.samples = append(s.samples, sample[K]{key: key, replicas: replicas, seed: seed, value: value})
			}
		})
		return nil
	})
}

// wait returns once all measurements have ended. Only then may values be read.
func (s *sampler[K]) wait() {
	_ = s.workers.Wait() // measurements return no errors
	slices.SortStableFunc(s.samples, func(a, b sample[K]) int { return cmp.Compare(a.seed, b.seed) })
}

// values returns what was measured of a fleet size, in the order of the seeds.
func (s *sampler[K]) values(key K, replicas int) []float64 {
	var values []float64
	for _, sample := range s.samples {
		if sample.key == key && sample.replicas == replicas {
			values = append(values, sample.value)
		}
	}
	return values
}

// paired returns of two keys the values of those seeds for which both were measured, in the same order.
func (s *sampler[K]) paired(key, other K, replicas int) (values, others []float64) {
	bySeed := map[uint64]float64{}
	for _, sample := range s.samples {
		if sample.key == other && sample.replicas == replicas {
			bySeed[sample.seed] = sample.value
		}
	}
	for _, sample := range s.samples {
		if value, ok := bySeed[sample.seed]; ok && sample.key == key && sample.replicas == replicas {
			values = append(values, sample.value)
			others = append(others, value)
		}
	}
	return values, others
}
