package cli

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"ryerill/lab/chaos"
	"ryerill/lab/statesyncsim"
)

// Runs that fail are counted for each fleet size.
func TestFailedRunsOfAllSizesAreCounted(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // so that each run fails
	samples := newSampler[sharingMetric]()
	for _, replicas := range []int{3, 30, 30} {
		c := sharingCase{statesyncsim.Case{Replicas: replicas, Fault: "err"}, sharingOff}
		samples.start(t.Context(), replicas, 1, func(add addFunc[sharingMetric]) { c.measure(ctx, 1, add) })
	}
	samples.wait()
	if failed := failedRuns(samples, []int{3, 30}); failed != 3 {
		t.Errorf("%d failed, want 3", failed)
	}
}

// What was found names its file, or why there is none.
func TestFoundViolationsNameTheirFile(t *testing.T) {
	violation := &chaos.Violation{At: time.Second, Rule: "views become equal", Text: "they are not"}
	const start = "at 1s: views become equal: they are not; 2 troubles are enough, "
	written := foundViolation(violation, 2, "found/x.yaml", nil)
	if want := start + "written to found/x.yaml"; written.Error() != want || !errors.Is(written, violation) {
		t.Errorf("%q, want %q", written, want)
	}
	full := errors.New("no space left on device")
	lost := foundViolation(violation, 2, "", full)
	if !strings.HasPrefix(lost.Error(), start+"not written: ") || !errors.Is(lost, violation) || !errors.Is(lost, full) {
		t.Errorf("%q", lost)
	}
}
