package counter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var mainPool = Key{Pool: "main"}

func arrivals(c Counts) float64 { return float64(c.Arrivals) }

// The sum of updates is independent of their order and repetition; expired counts never count again.
func TestMergeIsIndependentOfOrderAndRepetition(t *testing.T) {
	var updates []Update
	want := 0.0
	for i := range 20 {
		c := New(fmt.Sprint("c", i), "z", 1)
		for n := range 5 {
			c.Record(0, mainPool, Counts{Arrivals: uint64(10*n + i)})
			updates = append(updates, c.LocalUpdate(0))
		}
		want += float64(40 + i)
	}
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		r := New("reader", "z", 1)
		for range 3 {
			rng.Shuffle(len(updates), func(i, j int) { updates[i], updates[j] = updates[j], updates[i] })
			for _, update := range updates {
				r.Merge(0, update)
			}
		}
		if v := r.Sum(0, nil, arrivals); v.Estimate != want || v.Replicas != 21 {
			t.Fatalf("seed %d: got %+v, want an estimate of %v over 21 replicas", seed, v, want)
		}
		r.Expire("c3", 1)
		for _, update := range updates {
			r.Merge(0, update)
		}
		if v := r.Sum(0, nil, arrivals); v.Estimate != want-43 {
			t.Fatalf("seed %d: got %+v, want the sum without the expired replica", seed, v)
		}
		if !r.Merge(0, Update{Name: "c3", Epoch: 2, Version: 1, Counts: map[Key]Counts{mainPool: {Arrivals: 5}}}) {
			t.Error("update of the next epoch: got refused, want merged")
		}
	}
}

// A sum has the age of its oldest counts, and bounds that contain the true value.
func TestSumHasAgeAndBounds(t *testing.T) {
	a, r := New("a", "z", 1), New("r", "z", 1)
	a.Record(0, mainPool, Counts{Arrivals: 100})
	r.Merge(0, a.LocalUpdate(0))
	a.Record(time.Second, mainPool, Counts{Arrivals: 200})
	r.Merge(time.Second, a.LocalUpdate(time.Second))
	for _, after := range []time.Duration{time.Second, 3 * time.Second, 30 * time.Second} {
		truth := 200 + 150*(after-time.Second).Seconds() // the rate has grown by half
		v := r.Sum(after, nil, arrivals)
		if v.Estimate != 200 || v.Age != after-time.Second || v.Upper < truth || v.Lower > truth || v.Stale != (after > 20*time.Second) {
			t.Errorf("after %v: got %+v, want bounds that contain %v", after, v, truth)
		}
	}
}

// Invalid updates are refused, and the number of keys in an update is bounded.
func TestInvalidUpdatesAreRefused(t *testing.T) {
	r := New("r", "z", 1)
	for _, update := range []Update{{Epoch: 1}, {Name: "a", Epoch: 1, Counts: map[Key]Counts{mainPool: {InFlight: -4}}}, {Name: "a", Epoch: 1, Counts: map[Key]Counts{mainPool: {Arrivals: 1 << 60}}},
		{Name: "a", Epoch: 1, AgeMS: -5}, {Name: "r", Epoch: 9, Version: 9}} {
		if r.Merge(0, update) {
			t.Errorf("invalid update: got accepted, want refused: %+v", update)
		}
	}
	for i := range 3 * MaxKeys {
		r.Record(0, Key{Tenant: fmt.Sprint(i)}, Counts{Arrivals: 1})
	}
	if update := r.LocalUpdate(0); len(update.Counts) > MaxKeys+1 || r.Sum(0, nil, arrivals).Estimate != 3*MaxKeys {
		t.Errorf("got an update of %d keys and sum %v, want at most MaxKeys+1 keys and all counts", len(update.Counts), r.Sum(0, nil, arrivals))
	}
}

// For each other zone, the set keeps the sum of the sender with the younger counts.
func TestOtherZonesCountBySum(t *testing.T) {
	far, second := New("f1", "far", 1), New("f2", "far", 1)
	far.Record(0, mainPool, Counts{Arrivals: 10})
	second.Record(0, mainPool, Counts{Arrivals: 20})
	far.Merge(0, second.LocalUpdate(0))
	r := New("r", "near", 1)
	if r.Merge(time.Second, far.ZoneUpdate(time.Second, []string{"f2"})); r.Sum(time.Second, nil, arrivals).Estimate != 30 {
		t.Error("want an estimate of 30, got", r.Sum(time.Second, nil, arrivals))
	}
	old := second.ZoneUpdate(0, nil)
	old.AgeMS = 60_000
	if r.Merge(time.Second, old) {
		t.Error("older zone sum: got merged, want refused")
	}
	if v := r.Sum(3*time.Second, nil, arrivals); v.Age < 2*time.Second || v.Replicas != 3 {
		t.Errorf("got %+v, want 3 replicas and an age of at least 2 s", v)
	}
}
