package servermodel

import (
	"testing"
	"time"

	"ryerill/lab/scenario"
)

func TestCrowding(t *testing.T) {
	type step struct {
		at     time.Duration
		load   float64
		slowed bool
	}
	crowd := scenario.Crowd{At: 2, After: time.Second, Below: 0.5, Rest: 2 * time.Second, Most: 10 * time.Second}
	for _, tc := range []struct {
		name  string
		steps []step
	}{
		{"crowded for long enough", []step{{0, 3, false}, {999 * time.Millisecond, 3, false}, {time.Second, 3, true}}},
		{"crowding that ends in time", []step{{0, 3, false}, {500 * time.Millisecond, 2, false}, {time.Second, 3, false}, {1900 * time.Millisecond, 3, false}}},
		{"rested", []step{{0, 3, false}, {time.Second, 3, true}, {2 * time.Second, 0.5, true}, {4 * time.Second, 0.5, false}}},
		{"rest that is interrupted", []step{{0, 3, false}, {time.Second, 3, true}, {2 * time.Second, 0.5, true}, {3 * time.Second, 1, true}, {4 * time.Second, 0.5, true}, {5 * time.Second, 0.5, true}}},
		{"recovers in any case", []step{{0, 3, false}, {time.Second, 3, true}, {10 * time.Second, 3, true}, {11 * time.Second, 3, false}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCrowding(&crowd)
			for _, s := range tc.steps {
				c.update(s.at, s.load)
				if c.slowed() != s.slowed {
					t.Errorf("at %v: slowed %v, want %v", s.at, c.slowed(), s.slowed)
				}
			}
		})
	}
	off := newCrowding(&scenario.Crowd{})
	off.update(0, 100)
	off.update(time.Hour, 100)
	if off.slowed() || off.isChanging() {
		t.Error("slowed down although it never is")
	}
}
