package statesync

import (
	"fmt"
	"testing"
	"time"

	"ryerill/fleet/counter"
)

// What replicas with many pools and classes count adds up with every other one, of the same zone and of another, although
// a packet has not room for all keys.
func TestCountersOfManyKeysAddUpEverywhere(t *testing.T) {
	const keys = 60
	c := newCluster(t, 4, 2, 0)
	c.play(20*time.Second, func(i int, s *Syncer) {
		for k := range keys {
			key := counter.Key{Pool: fmt.Sprintf("pool-%02d", k/5), Class: fmt.Sprint("class-", k%5)}
			s.Counters.Record(c.now, key, counter.Counts{Arrivals: uint64(i + 1)})
		}
	})
	want := float64(keys * (1 + 2 + 3 + 4))
	for i, s := range c.syncers {
		v := s.Counters.Sum(c.now, nil, func(c counter.Counts) float64 { return float64(c.Arrivals) })
		if v.Estimate != want || v.Replicas != len(c.syncers) {
			t.Errorf("replica %d counts %v arrivals of %v, of %d replicas", i, v.Estimate, want, v.Replicas)
		}
		if v.Lower > want || v.Upper < want {
			t.Errorf("replica %d: %v is not between %v and %v", i, want, v.Lower, v.Upper)
		}
	}
}
