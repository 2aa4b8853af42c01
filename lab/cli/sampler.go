package cli

import (
	"context"
	"runtime"
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

// sampler runs measurements on all cores and collects their values, in the order in which they are added.
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
}

// values returns what was measured of a fleet size.
func (s *sampler[K]) values(key K, replicas int) []float64 {
	var values []float64
	for _, sample := range s.samples {
		if sample.key == key && sample.replicas == replicas {
			values = append(values, sample.value)
		}
	}
	return values
}
