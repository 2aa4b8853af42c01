package balancer

import (
	"math"
	"testing"
)

func TestTimersAreTakenOnce(t *testing.T) {
	timers := timerTable{keys: map[uint32]uint64{}}
	first, second := timers.add(7), timers.add(8)
	if first == second {
		t.Fatal("got the same token for two timers")
	}
	if key, ok := timers.take(second); !ok || key != 8 {
		t.Errorf("got key %d, %v, want 8, true", key, ok)
	}
	if _, ok := timers.take(second); ok {
		t.Error("a timer was taken twice")
	}
	if key, ok := timers.take(first); !ok || key != 7 || len(timers.keys) != 0 {
		t.Errorf("got key %d, %v, %d timers left, want 7, true, 0", key, ok, len(timers.keys))
	}
}

func TestTimerTokenIsNeverPollToken(t *testing.T) {
	timers := timerTable{keys: map[uint32]uint64{}, latest: math.MaxUint32 - 1}
	for range 3 {
		if token := timers.add(1); token == pollToken {
			t.Error("got pollToken for a key")
		}
	}
}
