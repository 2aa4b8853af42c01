package balancer

import (
	"math"
	"testing"
	"time"
)

func TestHalfLifeFactor(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		want  float64
	}{{0, 1}, {3 * time.Second, 0.5}, {6 * time.Second, 0.25}} {
		if got := halfLifeFactor(c.after, 3); got != c.want {
			t.Errorf("after %v: got factor %v, want %v", c.after, got, c.want)
		}
	}
}

func TestMoveTowards(t *testing.T) {
	if got := moveTowards(4, 8, 0.25); got != 5 {
		t.Errorf("moving 4 towards 8 with gain 0.25: got %v, want 5", got)
	}
}

func TestDecayingRateConvergesToRate(t *testing.T) {
	rate := newDecayingRate(10 * time.Second)
	if rate.started() {
		t.Error("a new rate is started, want not started")
	}
	rate.start(time.Hour)
	now := time.Hour
	for _, perSecond := range []int{20, 5} {
		got := 0.0
		for range 100 * perSecond {
			now += time.Second / time.Duration(perSecond)
			got = rate.add(now, 1)
		}
		if math.Abs(got/float64(perSecond)-1) > 0.02 {
			t.Errorf("with %d events per second got rate %.2f", perSecond, got)
		}
	}
	if got := rate.add(now+10*time.Second, 0); math.Abs(got/5-1/math.E) > 0.02 {
		t.Errorf("after a span without events got rate %.2f, want 5/e", got)
	}
}

// Guards against a high estimate from the first events.
func TestDecayingRateOfTheFirstEvents(t *testing.T) {
	rate := newDecayingRate(10 * time.Second)
	rate.start(time.Hour)
	if got := rate.add(time.Hour, 1); got > 1/(10*minObservedShare) {
		t.Errorf("with one event at the start got rate %.2f, want at most 1/(10*minObservedShare)", got)
	}
}

func TestDecayingRateIsRestored(t *testing.T) {
	rate := newDecayingRate(10 * time.Second)
	rate.start(time.Hour)
	rate.restore(time.Hour, 7, time.Hour-1000*time.Second)
	if got := rate.add(time.Hour, 0); math.Abs(got-7) > 1e-9 {
		t.Errorf("got restored rate %v, want 7", got)
	}
}
