package outlier

import (
	"slices"
	"testing"
	"time"
)

// The same attempts give bit-identical evidence in every run, independent of map iteration order.
func TestEvidenceIsIndependentOfMapOrder(t *testing.T) {
	pending := func() []Evidence {
		d := New("a", "z1", 1)
		for id := range uint64(40) {
			now := time.Duration(id) * 137 * time.Millisecond
			d.RecordOutcome(now, Endpoint{id, 7}, Succeeded, 0)
			d.RecordOutcome(now, Endpoint{id, 7}, Failed, 0)
			d.RecordOutcome(now, Endpoint{id, 7}, []Outcome{Succeeded, TimedOut, Failed}[id%3], 0)
		}
		for range 3 {
			d.RecordOutcome(6*time.Second, Endpoint{99, 7}, TimedOut, 0)
			d.RecordOutcome(6*time.Second, Endpoint{98, 7}, Failed, 9)
		}
		return d.PendingEvidence(6 * time.Second)
	}
	want := pending()
	if len(want) == 0 {
		t.Fatal("got no pending evidence, want some")
	}
	for run := range 30 {
		if got := pending(); !slices.Equal(got, want) {
			t.Fatalf("run %d: got %+v, want %+v", run, got, want)
		}
	}
}
