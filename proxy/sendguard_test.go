package proxy

import (
	"log/slog"
	"strings"
	"testing"
	"time"
)

// A send to a withdrawn endpoint after the grace is counted and logged once, whether it is a first attempt or a retry.
// Sends within the grace are not. Otherwise sends against the rule would go unnoticed.
func TestSendsAfterGraceAreCounted(t *testing.T) {
	const grace = time.Second
	log := new(lockedBuffer)
	check := graceCheck{log: slog.New(slog.NewTextHandler(log, nil))}
	var guard sendGuard
	send := func(after time.Duration) {
		at := time.Now().Add(after)
		check.checkSent(sentAttempt{endpoint: "s1", index: 1, grace: grace}, &guard, at)
	}
	send(time.Hour)
	guard.set(false, 7)
	guard.set(false, 8) // by a later list; the endpoint is already withdrawn
	if guard.MaySend() {
		t.Error("MaySend is true for a withdrawn endpoint")
	}
	send(grace / 2)
	if count := check.violations.Load(); count != 0 {
		t.Errorf("got %d violations within the grace, want 0", count)
	}
	for range 3 {
		send(2 * grace)
	}
	if count := check.violations.Load(); count != 3 {
		t.Errorf("got %d violations, want 3", count)
	}
	if lines := strings.Count(log.String(), "endpoint=s1 version=7"); lines != 2 {
		t.Errorf("got %d log lines, want 2, for the first and second send:\n%s", lines, log.String())
	}
	guard.set(true, 9)
	send(2 * grace)
	if !guard.MaySend() || check.violations.Load() != 3 {
		t.Error("endpoint that is ready again counts as withdrawn")
	}
}
