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
			t.Errorf("after %v: %v is left, want %v", c.after, got, c.want)
		}
	}
}

func TestMoveTowards(t *testing.T) {
	if got := moveTowards(4, 8, 0.25); got != 5 {
		t.Errorf("from 4 a quarter of the way to 8: %v", got)
	}
}

func TestDecayingRateFindsTheRate(t *testing.T) {
	rate := newDecayingRate(10 * time.Second)
	if rate.started() {
		t.Error("it starts by itself")
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
			t.Errorf("%d events a second: %.2f", perSecond, got)
		}
	}
	if got := rate.add(now+10*time.Second, 0); math.Abs(got/5-1/math.E) > 0.02 {
		t.Errorf("a span without events: %.2f of 5 a second", got)
	}
}

// The first events are not taken for a high rate.
func TestDecayingRateOfTheFirstEvents(t *testing.T) {
	rate := newDecayingRate(10 * time.Second)
	rate.start(time.Hour)
	if got := rate.add(time.Hour, 1); got > 1/(10*minObservedShare) {
		t.Errorf("one event at the start: %.2f a second", got)
	}
}

func TestDecayingRateIsRestored(t *testing.T) {
	rate := newDecayingRate(10 * time.Second)
	rate.start(time.Hour)
	rate.restore(time.Hour, 7, time.Hour-1000*time.Second)
	if got := rate.add(time.Hour, 0); math.Abs(got-7) > 1e-9 {
		t.Errorf("restored as %v a second, want 7", got)
	}
}
