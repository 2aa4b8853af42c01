package counter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var all = Key{Pool: "main"}

func arrivals(c Counts) float64 { return float64(c.Arrivals) }

// What copies say is the same in whatever order it comes, however often, over three
// ways; what is over never comes back.
func TestOrderDoesNotMatter(t *testing.T) {
	var items []Update
	want := 0.0
	for i := range 20 {
		c := New(fmt.Sprint("c", i), "z", 1)
		for n := range 5 {
			c.Record(0, all, Counts{Arrivals: uint64(10*n + i)})
			items = append(items, c.LocalUpdate(0))
		}
		want += float64(40 + i)
	}
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		r := New("reader", "z", 1)
		for range 3 {
			rng.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
			for _, it := range items {
				r.Merge(0, it)
			}
		}
		if v := r.Sum(0, nil, arrivals); v.Estimate != want || v.Replicas != 21 {
			t.Fatalf("seed %d: %+v, want %v", seed, v, want)
		}
		r.Expire("c3", 1)
		for _, it := range items {
			r.Merge(0, it)
		}
		if v := r.Sum(0, nil, arrivals); v.Estimate != want-43 {
			t.Fatalf("seed %d: who left is back: %+v", seed, v)
		}
		if !r.Merge(0, Update{Name: "c3", Epoch: 2, Version: 1, Counts: map[Key]Counts{all: {Arrivals: 5}}}) {
			t.Error("its next life does not count")
		}
	}
}

// With a figure go its age and the bounds in which the truth lies.
func TestAFigureHasAgeAndBounds(t *testing.T) {
	a, r := New("a", "z", 1), New("r", "z", 1)
	a.Record(0, all, Counts{Arrivals: 100})
	r.Merge(0, a.LocalUpdate(0))
	a.Record(time.Second, all, Counts{Arrivals: 200})
	r.Merge(time.Second, a.LocalUpdate(time.Second))
	for _, after := range []time.Duration{time.Second, 3 * time.Second, 30 * time.Second} {
		truth := 200 + 150*(after-time.Second).Seconds() // its pace grows by half
		v := r.Sum(after, nil, arrivals)
		if v.Estimate != 200 || v.Age != after-time.Second || v.Upper < truth || v.Lower > truth || v.Stale != (after > 20*time.Second) {
			t.Errorf("after %v: %+v, the truth is %v", after, v, truth)
		}
	}
}

// Nonsense counts for nothing, and there is a bound for keys.
func TestNonsenseAndBounds(t *testing.T) {
	r := New("r", "z", 1)
	for _, it := range []Update{{Epoch: 1}, {Name: "a", Epoch: 1, Counts: map[Key]Counts{all: {InFlight: -4}}}, {Name: "a", Epoch: 1, Counts: map[Key]Counts{all: {Arrivals: 1 << 60}}},
		{Name: "a", Epoch: 1, AgeMS: -5}, {Name: "r", Epoch: 9, Version: 9}} {
		if r.Merge(0, it) {
			t.Errorf("taken: %+v", it)
		}
	}
	for i := range 3 * MaxKeys {
		r.Record(0, Key{Tenant: fmt.Sprint(i)}, Counts{Arrivals: 1})
	}
	if it := r.LocalUpdate(0); len(it.Counts) > MaxKeys+1 || r.Sum(0, nil, arrivals).Estimate != 3*MaxKeys {
		t.Errorf("%d keys, %v", len(it.Counts), r.Sum(0, nil, arrivals))
	}
}

// Other zones are known by sums of theirs, from whoever has the younger figures.
func TestZonesAreSums(t *testing.T) {
	far, second := New("f1", "far", 1), New("f2", "far", 1)
	far.Record(0, all, Counts{Arrivals: 10})
	second.Record(0, all, Counts{Arrivals: 20})
	far.Merge(0, second.LocalUpdate(0))
	r := New("r", "near", 1)
	if r.Merge(time.Second, far.ZoneUpdate(time.Second, []string{"f2"})); r.Sum(time.Second, nil, arrivals).Estimate != 30 {
		t.Error(r.Sum(time.Second, nil, arrivals))
	}
	old := second.ZoneUpdate(0, nil)
	old.AgeMS = 60_000
	if r.Merge(time.Second, old) {
		t.Error("older figures of the zone hold")
	}
	if v := r.Sum(3*time.Second, nil, arrivals); v.Age < 2*time.Second || v.Replicas != 3 {
		t.Errorf("%+v", v)
	}
}
