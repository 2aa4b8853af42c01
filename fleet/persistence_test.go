package fleet

import (
	"log/slog"
	"path/filepath"
	"testing"
	"time"

	"ryerill/fleet/membership"
)

// A replica whose state file is old has no quota fraction before it has met another: an operator may have had it
// forgotten, and another one may have its place among the configured number.
func TestAnOldStateFileGivesNoQuotaFraction(t *testing.T) {
	const third = 1.0 / 3
	for name, tc := range map[string]struct {
		age  time.Duration
		want float64 // before it has met another
	}{
		"young":       {0, third},
		"an hour old": {maxConfirmationAge - time.Minute, third},
		"older":       {maxConfirmationAge + time.Minute, 0},
		"of tomorrow": {-24 * time.Hour, 0},
	} {
		t.Run(name, func(t *testing.T) {
			file := &stateFile{path: filepath.Join(t.TempDir(), "state")}
			b := serving("b", "127.0.0.1:1")
			state := persistedState{
				Written: time.Now().Add(-tc.age), Fleet: "f", Name: "a", Epoch: 5, Confirmed: true,
				Members: []membership.Record{b},
			}
			if err := file.write(&state); err != nil {
				t.Fatal(err)
			}
			f, err := New(Config{
				Name: "a", Fleet: "f", Listen: "127.0.0.1:0", Keys: testKeys, ReplicaCounts: map[string]int{"main": 3},
				Pools: []string{"main"}, StateFile: file.path, Seeds: []string{"127.0.0.1:1"},
			}, slog.New(slog.DiscardHandler), nil)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { f.goroutines.Wait(); f.Close() })
			fraction := func() float64 {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.updatePositions(true)
				return f.positions.tracker.Position("main").QuotaFraction()
			}
			if got := fraction(); got != tc.want {
				t.Errorf("a fraction of %v, want %v", got, tc.want)
			}
			f.handleLocked(membership.Event{Kind: membership.SyncRequested, Message: &membership.Message{From: b.State}})
			if got := fraction(); got != third {
				t.Errorf("once it has met another: %v, want %v", got, third)
			}
		})
	}
}
