package drain

import (
	"testing"
	"time"
)

func TestPlanAt(t *testing.T) {
	const ms = time.Millisecond
	shutdown := Shutdown(3700 * ms)
	for _, tc := range []struct {
		name string
		plan Plan
		at   time.Duration
		want Phase
	}{
		{"manual, at the start", Manual(), 0, Phase{}},
		{"manual, when connections begin to close", Manual(), 500 * ms, Phase{ClosesAfterResponse: true, ClosesIdle: true}},
		{"manual, before 2 s new requests are rejected", Manual(), 1999 * ms, Phase{ClosesAfterResponse: true, ClosesIdle: true, Rejects: true}},
		{"manual, no later phase", Manual(), 1e6 * time.Second, Phase{ClosesAfterResponse: true, ClosesIdle: true, Rejects: true}},
		{"shutdown, while new connections arrive", shutdown, 400 * ms, Phase{}},
		{"shutdown, after accepting has stopped", shutdown, 550 * ms, Phase{StopsAccepting: true}},
		{"shutdown, at half of its time", shutdown, 1850 * ms, Phase{ClosesAfterResponse: true, StopsAccepting: true, ClosesIdle: true}},
		{"handover, at the start", Handover(), 0, Phase{Ready: true, ClosesAfterResponse: true}},
		{"handover, after accepting has stopped", Handover(), 50 * ms, Phase{Ready: true, ClosesAfterResponse: true, StopsAccepting: true}},
		{"handover, when idle connections close", Handover(), 1200 * ms, Phase{Ready: true, ClosesAfterResponse: true, ClosesIdle: true, StopsAccepting: true}},
	} {
		if got := tc.plan.At(tc.at); got != tc.want {
			t.Errorf("%s: unexpected phase %+v", tc.name, got)
		}
	}
	if got := Combine(Manual().At(time.Second), Handover().At(0)); got != (Phase{ClosesAfterResponse: true, ClosesIdle: true}) {
		t.Errorf("Combine(manual, handover): got unexpected phase %+v", got)
	}
}
