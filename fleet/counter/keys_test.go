package counter

import (
	"fmt"
	"testing"
)

// Totals stay exact, at the replica that counts and at receivers, for any number of keys: an update sums the keys beyond
// MaxKeys under the overflow key.
func TestTotalsAreExactBeyondMaxKeys(t *testing.T) {
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
	for round, from := range []int{100, 100, 0} { // the last round adds keys that sort before the others
		record(round+1, from, keys)
		update := a.LocalUpdate(0)
		if len(update.Counts) > MaxKeys+1 || !r.Merge(0, update) {
			t.Fatalf("round %d: update of %d keys: got refused or more than MaxKeys+1", round, len(update.Counts))
		}
		for name, set := range map[string]*Set{"itself": a, "another": r} {
			if v := set.Sum(0, nil, arrivals); v.Estimate != want {
				t.Errorf("round %d: %s: got %v arrivals, want %v", round, name, v.Estimate, want)
			}
			inFlight := set.Sum(0, nil, func(c Counts) float64 { return float64(c.InFlight) })
			if inFlight.Estimate != float64((keys-from)/2) {
				t.Errorf("round %d: %s: got %v in flight, want half the number of keys", round, name, inFlight.Estimate)
			}
		}
	}
}

// Record ignores new keys beyond maxOwnKeys.
func TestRecordIgnoresKeysBeyondLimit(t *testing.T) {
	s := New("a", "z", 1)
	for range 2 {
		for i := range maxOwnKeys + 10 {
			s.Record(0, Key{Pool: fmt.Sprint(i)}, Counts{Arrivals: 1})
		}
	}
	if v := s.Sum(0, nil, arrivals); v.Estimate != maxOwnKeys || len(s.own) != maxOwnKeys {
		t.Errorf("got estimate %v and %d keys, want maxOwnKeys for both", v.Estimate, len(s.own))
	}
}
