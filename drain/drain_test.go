package drain

import (
	"testing"
	"time"
)

func TestPhases(t *testing.T) {
	const ms = time.Millisecond
	ending := Shutdown(3700 * ms)
	for _, tc := range []struct {
		name string
		plan Plan
		at   time.Duration
		want Phase
	}{
		{"by hand, at once", Manual(), 0, Phase{}},
		{"by hand, when new connections have stopped", Manual(), 500 * ms, Phase{ClosesAfterResponse: true, ClosesIdle: true}},
		{"by hand, 4 s after the word what came 2 s ago is refused", Manual(), 1999 * ms, Phase{ClosesAfterResponse: true, ClosesIdle: true, Rejects: true}},
		{"by hand, for ever", Manual(), 1e6 * time.Second, Phase{ClosesAfterResponse: true, ClosesIdle: true, Rejects: true}},
		{"ending, while connections arrive", ending, 400 * ms, Phase{}},
		{"ending, then", ending, 550 * ms, Phase{StopsAccepting: true}},
		{"ending, half of its time", ending, 1850 * ms, Phase{ClosesAfterResponse: true, StopsAccepting: true, ClosesIdle: true}},
		{"handed over", Handover(), 0, Phase{Ready: true, ClosesAfterResponse: true}},
		{"handed over, soon", Handover(), 50 * ms, Phase{Ready: true, ClosesAfterResponse: true, StopsAccepting: true}},
		{"handed over, later", Handover(), 1200 * ms, Phase{Ready: true, ClosesAfterResponse: true, ClosesIdle: true, StopsAccepting: true}},
	} {
		if got := tc.plan.At(tc.at); got != tc.want {
			t.Errorf("%s: %+v", tc.name, got)
		}
	}
	if got := Combine(Manual().At(time.Second), Handover().At(0)); got != (Phase{ClosesAfterResponse: true, ClosesIdle: true}) {
		t.Errorf("both: %+v", got)
	}
}
