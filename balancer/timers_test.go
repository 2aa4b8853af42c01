package balancer

import (
	"math"
	"testing"
)

func TestTimersAreTakenOnce(t *testing.T) {
	timers := timerTable{keys: map[uint32]uint64{}}
	first, second := timers.add(7), timers.add(8)
	if first == second {
		t.Fatal("two timers have one token")
	}
	if key, ok := timers.take(second); !ok || key != 8 {
		t.Errorf("key %d, %v", key, ok)
	}
	if _, ok := timers.take(second); ok {
		t.Error("a timer is taken twice")
	}
	if key, ok := timers.take(first); !ok || key != 7 || len(timers.keys) != 0 {
		t.Errorf("key %d, %v, %d left", key, ok, len(timers.keys))
	}
}

func TestNoTimerHasTheTokenOfThePoll(t *testing.T) {
	timers := timerTable{keys: map[uint32]uint64{}, latest: math.MaxUint32 - 1}
	for range 3 {
		if token := timers.add(1); token == pollToken {
			t.Error("the token of the poll is given to a key")
		}
	}
}
