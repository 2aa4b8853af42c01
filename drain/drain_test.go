package drain

import (
	"testing"
	"time"
)

func TestPhasesOfEachPlan(t *testing.T) {
	const ms = time.Millisecond
	shutdown := Shutdown(3700 * ms)
	for _, tc := range []struct {
		name string
		plan Plan
		at   time.Duration
		want Phase
	}{
		{"manual, at once", Manual(), 0, Phase{}},
		{"manual, once new connections have stopped", Manual(), 500 * ms, Phase{ClosesAfterResponse: true, ClosesIdle: true}},
		{"manual, after 2 s new requests are rejected", Manual(), 1999 * ms, Phase{ClosesAfterResponse: true, ClosesIdle: true, Rejects: true}},
		{"manual, for ever", Manual(), 1e6 * time.Second, Phase{ClosesAfterResponse: true, ClosesIdle: true, Rejects: true}},
		{"shutdown, while connections arrive", shutdown, 400 * ms, Phase{}},
		{"shutdown, after that", shutdown, 550 * ms, Phase{StopsAccepting: true}},
		{"shutdown, half of its time", shutdown, 1850 * ms, Phase{ClosesAfterResponse: true, StopsAccepting: true, ClosesIdle: true}},
		{"handover, at once", Handover(), 0, Phase{Ready: true, ClosesAfterResponse: true}},
		{"handover, soon", Handover(), 50 * ms, Phase{Ready: true, ClosesAfterResponse: true, StopsAccepting: true}},
		{"handover, later", Handover(), 1200 * ms, Phase{Ready: true, ClosesAfterResponse: true, ClosesIdle: true, StopsAccepting: true}},
	} {
		if got := tc.plan.At(tc.at); got != tc.want {
			t.Errorf("%s: %+v", tc.name, got)
		}
	}
	if got := Combine(Manual().At(time.Second), Handover().At(0)); got != (Phase{ClosesAfterResponse: true, ClosesIdle: true}) {
		t.Errorf("both: %+v", got)
	}
}
