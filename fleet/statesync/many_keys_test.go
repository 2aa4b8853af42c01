package statesync

import (
	"fmt"
	"testing"
	"time"

	"ryerill/fleet/counter"
)

// Counts of many pools and classes add up at every replica, in the same zone and in others, although the keys don't all
// fit into one packet.
func TestCounterTotalsWithMoreKeysThanFitAPacket(t *testing.T) {
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
			t.Errorf("replica %d: got %v arrivals, want %v; sum covers %d replicas", i, v.Estimate, want, v.Replicas)
		}
		if v.Lower > want || v.Upper < want {
			t.Errorf("replica %d: true value %v outside the bounds %v and %v", i, want, v.Lower, v.Upper)
		}
	}
}
