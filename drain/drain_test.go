package drain

import (
	"testing"
	"time"
)

func TestPlanAt(t *testing.T) {
	const ms = time.Millisecond
	shutdown, removed := Shutdown(3700*ms), ListenerRemoved(3700*ms)
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
		{"shutdown, while new connections arrive", shutdown, 399 * ms, Phase{}},
		{"shutdown, after accepting has stopped", shutdown, 550 * ms, Phase{ClosesAfterResponse: true, StopsAccepting: true, ClosesIdle: true}},
		{"shutdown, before requests come late", shutdown, 699 * ms, Phase{ClosesAfterResponse: true, StopsAccepting: true, ClosesIdle: true}},
		{"shutdown with little time", Shutdown(800 * ms), 400 * ms, Phase{ClosesAfterResponse: true, ClosesIdle: true}},
		{"removed listener, before half of the time", removed, 1849 * ms, Phase{StopsAccepting: true}},
		{"removed listener, at half of the time", removed, 1850 * ms, Phase{ClosesAfterResponse: true, StopsAccepting: true, ClosesIdle: true}},
		{"handover, at the start", Handover(), 0, Phase{Ready: true, ClosesAfterResponse: true}},
		{"handover, after accepting has stopped", Handover(), 50 * ms, Phase{Ready: true, ClosesAfterResponse: true, StopsAccepting: true}},
		{"handover, before requests come late", Handover(), 699 * ms, Phase{Ready: true, ClosesAfterResponse: true, ClosesIdle: true, StopsAccepting: true}},
	} {
		if got := tc.plan.At(tc.at); got != tc.want {
			t.Errorf("%s: unexpected phase %+v", tc.name, got)
		}
	}
	if got := Combine(Manual().At(time.Second), Handover().At(0)); got != (Phase{ClosesAfterResponse: true, ClosesIdle: true}) {
		t.Errorf("Combine(manual, handover): got unexpected phase %+v", got)
	}
}
