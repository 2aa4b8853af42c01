package load

import (
	"testing"
	"time"
)

// A quota allows what was saved up over two seconds at once, and its rate from then on.
func TestQuota(t *testing.T) {
	q := newQuota(10)
	taken := func(at time.Duration) int {
		n := 0
		for q.take(at) {
			n++
		}
		return n
	}
	for _, tc := range []struct {
		at   time.Duration
		want int
	}{
		{0, 20},
		{50 * time.Millisecond, 0},
		{500 * time.Millisecond, 5},
		{time.Minute, 20},
	} {
		if got := taken(tc.at); got != tc.want {
			t.Errorf("at %v: %d requests are within the quota, want %d", tc.at, got, tc.want)
		}
	}
	unlimited := newQuota(0)
	for range 100 {
		if !unlimited.take(0) {
			t.Fatal("a request is beyond no quota")
		}
	}
}
