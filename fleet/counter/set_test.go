package counter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var mainPool = Key{Pool: "main"}

func arrivals(c Counts) float64 { return float64(c.Arrivals) }

// Updates add up to the same in whatever order they arrive, however often; what has expired never counts again.
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
			t.Fatalf("seed %d: %+v, want %v", seed, v, want)
		}
		r.Expire("c3", 1)
		for _, update := range updates {
			r.Merge(0, update)
		}
		if v := r.Sum(0, nil, arrivals); v.Estimate != want-43 {
			t.Fatalf("seed %d: who left counts again: %+v", seed, v)
		}
		if !r.Merge(0, Update{Name: "c3", Epoch: 2, Version: 1, Counts: map[Key]Counts{mainPool: {Arrivals: 5}}}) {
			t.Error("its next process does not count")
		}
	}
}

// With a sum come its age and the bounds in which the true value lies.
func TestSumHasAgeAndBounds(t *testing.T) {
	a, r := New("a", "z", 1), New("r", "z", 1)
	a.Record(0, mainPool, Counts{Arrivals: 100})
	r.Merge(0, a.LocalUpdate(0))
	a.Record(time.Second, mainPool, Counts{Arrivals: 200})
	r.Merge(time.Second, a.LocalUpdate(time.Second))
	for _, after := range []time.Duration{time.Second, 3 * time.Second, 30 * time.Second} {
		truth := 200 + 150*(after-time.Second).Seconds() // its rate grows by half
		v := r.Sum(after, nil, arrivals)
		if v.Estimate != 200 || v.Age != after-time.Second || v.Upper < truth || v.Lower > truth || v.Stale != (after > 20*time.Second) {
			t.Errorf("after %v: %+v, the truth is %v", after, v, truth)
		}
	}
}

// Invalid updates count for nothing, and the number of keys is bounded.
func TestInvalidUpdatesAndBounds(t *testing.T) {
	r := New("r", "z", 1)
	for _, update := range []Update{{Epoch: 1}, {Name: "a", Epoch: 1, Counts: map[Key]Counts{mainPool: {InFlight: -4}}}, {Name: "a", Epoch: 1, Counts: map[Key]Counts{mainPool: {Arrivals: 1 << 60}}},
		{Name: "a", Epoch: 1, AgeMS: -5}, {Name: "r", Epoch: 9, Version: 9}} {
		if r.Merge(0, update) {
			t.Errorf("accepted: %+v", update)
		}
	}
	for i := range 3 * MaxKeys {
		r.Record(0, Key{Tenant: fmt.Sprint(i)}, Counts{Arrivals: 1})
	}
	if update := r.LocalUpdate(0); len(update.Counts) > MaxKeys+1 || r.Sum(0, nil, arrivals).Estimate != 3*MaxKeys {
		t.Errorf("%d keys, %v", len(update.Counts), r.Sum(0, nil, arrivals))
	}
}

// Other zones are known by their sums, from the sender with the younger counts.
func TestZonesAreSums(t *testing.T) {
	far, second := New("f1", "far", 1), New("f2", "far", 1)
	far.Record(0, mainPool, Counts{Arrivals: 10})
	second.Record(0, mainPool, Counts{Arrivals: 20})
	far.Merge(0, second.LocalUpdate(0))
	r := New("r", "near", 1)
	if r.Merge(time.Second, far.ZoneUpdate(time.Second, []string{"f2"})); r.Sum(time.Second, nil, arrivals).Estimate != 30 {
		t.Error(r.Sum(time.Second, nil, arrivals))
	}
	old := second.ZoneUpdate(0, nil)
	old.AgeMS = 60_000
	if r.Merge(time.Second, old) {
		t.Error("older counts of the zone hold")
	}
	if v := r.Sum(3*time.Second, nil, arrivals); v.Age < 2*time.Second || v.Replicas != 3 {
		t.Errorf("%+v", v)
	}
}
