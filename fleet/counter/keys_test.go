package counter

import (
	"fmt"
	"testing"
)

// However many keys a replica counts under, and however often it records them, its totals are exact with itself and with
// others: those beyond what an update holds are under one common key.
func TestManyKeysAddUp(t *testing.T) {
	const keys = 3 * MaxKeys
	a, r := New("a", "z", 1), New("r", "z", 1)
	want := 0.0
	record := func(round int, from, to int) {
		for i := from; i < to; i++ {
			a.Record(0, Key{Pool: fmt.Sprintf("pool%03d", i)}, Counts{Arrivals: uint64(round * i), InFlight: int64(i % 2)})
		}
		want = 0
		for i := from; i < keys; i++ {
			want += float64(round * i)
		}
	}
	for round, from := range []int{100, 100, 0} { // in the end further keys come, which sort before the others
		record(round+1, from, keys)
		update := a.LocalUpdate(0)
		if len(update.Counts) > MaxKeys+1 || !r.Merge(0, update) {
			t.Fatalf("round %d: %d keys, refused or too many", round, len(update.Counts))
		}
		for name, set := range map[string]*Set{"itself": a, "another": r} {
			if v := set.Sum(0, nil, arrivals); v.Estimate != want {
				t.Errorf("round %d: %s counts %v, want %v", round, name, v.Estimate, want)
			}
			inFlight := set.Sum(0, nil, func(c Counts) float64 { return float64(c.InFlight) })
			if inFlight.Estimate != float64((keys-from)/2) {
				t.Errorf("round %d: %s has %v in flight", round, name, inFlight.Estimate)
			}
		}
	}
}

// Keys beyond those that are kept are not counted, and the number of keys stays bounded.
func TestKeysBeyondTheBoundAreNotCounted(t *testing.T) {
	s := New("a", "z", 1)
	for range 2 {
		for i := range maxOwnKeys + 10 {
			s.Record(0, Key{Pool: fmt.Sprint(i)}, Counts{Arrivals: 1})
		}
	}
	if v := s.Sum(0, nil, arrivals); v.Estimate != maxOwnKeys || len(s.own) != maxOwnKeys {
		t.Errorf("%v, %d keys", v.Estimate, len(s.own))
	}
}
