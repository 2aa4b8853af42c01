package balancer

import "testing"

// The expected numbers are those of the published splitmix64 with seed 0.
func TestGeneratorIsSplitmix64(t *testing.T) {
	g := generator{}
	for i, want := range []uint64{0xe220a8397b1dcdaf, 0x6e789e6aa1b965f4, 0x06c45d188009454f} {
		if got := g.float64(); got != float64(want>>11)/(1<<53) {
			t.Errorf("number %d: got %v, want %v", i, got, float64(want>>11)/(1<<53))
		}
	}
}

func TestEqualSeedsGiveEqualNumbers(t *testing.T) {
	x, y, other := generator{7}, generator{7}, generator{8}
	same := true
	for range 100 {
		got := x.float64()
		if got != y.float64() || got < 0 || got >= 1 {
			t.Fatalf("got %v, want a number in [0, 1) that equal seeds repeat", got)
		}
		same = same && got == other.float64()
	}
	if same {
		t.Error("got the same numbers from different seeds")
	}
}
