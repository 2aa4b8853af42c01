package drain

import (
	"testing"
	"time"
)

func TestPhases(t *testing.T) {
	const ms = time.Millisecond
	ending := Ending(3700 * ms)
	for _, tc := range []struct {
		name string
		plan Plan
		at   time.Duration
		want Phase
	}{
		{"by hand, at once", ByHand(), 0, Phase{}},
		{"by hand, when new connections have stopped", ByHand(), 500 * ms, Phase{Last: true, Closing: true}},
		{"by hand, 4 s after the word what came 2 s ago is refused", ByHand(), 1999 * ms, Phase{Last: true, Closing: true, Refusing: true}},
		{"by hand, for ever", ByHand(), 1e6 * time.Second, Phase{Last: true, Closing: true, Refusing: true}},
		{"ending, while connections arrive", ending, 400 * ms, Phase{}},
		{"ending, then", ending, 550 * ms, Phase{StopAccepting: true}},
		{"ending, half of its time", ending, 1850 * ms, Phase{Last: true, StopAccepting: true, Closing: true}},
		{"handed over", Handover(), 0, Phase{Ready: true, Last: true}},
		{"handed over, soon", Handover(), 50 * ms, Phase{Ready: true, Last: true, StopAccepting: true}},
		{"handed over, later", Handover(), 1200 * ms, Phase{Ready: true, Last: true, Closing: true, StopAccepting: true}},
	} {
		if got := tc.plan.At(tc.at); got != tc.want {
			t.Errorf("%s: %+v", tc.name, got)
		}
	}
	if got := Both(ByHand().At(time.Second), Handover().At(0)); got != (Phase{Last: true, Closing: true}) {
		t.Errorf("both: %+v", got)
	}
}
