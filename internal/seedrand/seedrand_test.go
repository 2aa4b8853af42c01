package seedrand

import "testing"

// The same everywhere and for good: copies of several versions compare what follows.
func TestKnownValues(t *testing.T) {
	s := Source(1)
	if a, b := s.Uint64(), s.Uint64(); a != 0x910a2dec89025cc1 || b != 0xbeeb8da1658eec67 {
		t.Errorf("%#x, %#x", a, b)
	}
	if Mix(1) != 0x910a2dec89025cc1 || HashName("foobar") != 0x85944171f73967e8 || HashName("foo", "bar") != HashName("foobar") || Spread("a") == Spread("b") {
		t.Errorf("%#x, %#x", Mix(1), HashName("foobar"))
	}
	for range 1000 {
		if f := s.Float64(); f < 0 || f >= 1 {
			t.Fatal(f)
		}
	}
}
