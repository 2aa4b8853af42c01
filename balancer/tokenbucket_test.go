package balancer

import (
	"testing"
	"time"
)

func TestTokenBucketFillsAtItsRateUpToItsCapacity(t *testing.T) {
	bucket := tokenBucket{}
	for _, c := range []struct {
		now  time.Duration
		want float64
	}{{time.Second, 2}, {1500 * ms, 3}, {time.Minute, 5}} {
		if got := bucket.fill(c.now, 2, 5); got != c.want {
			t.Errorf("at %v: got %v tokens, want %v", c.now, got, c.want)
		}
	}
}

func TestTokenBucketGivesWholeTokensOnly(t *testing.T) {
	bucket := tokenBucket{tokens: 1.5}
	if !bucket.take(0, 1, 2) || bucket.take(0, 1, 2) {
		t.Error("of 1.5 tokens, take did not give exactly one")
	}
	if !bucket.take(500*ms, 1, 2) {
		t.Error("got no token half a second later, want one")
	}
}

func TestTokenBucketExpiresExcessTokens(t *testing.T) {
	for _, c := range []struct{ tokens, maxSaved, want float64 }{{0.5, 0.5, 0.5}, {1.5, 0.5, 1.5}, {1.75, 0.5, 0.75},
		{7.25, 2, 2.25}} {
		bucket := tokenBucket{tokens: c.tokens}
		if got := bucket.fillExpiring(0, 1, c.maxSaved); got != c.want {
			t.Errorf("%v tokens, at most %v saved: got %v, want %v", c.tokens, c.maxSaved, got, c.want)
		}
	}
}
