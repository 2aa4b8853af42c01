package proxy

import (
	"log/slog"
	"strings"
	"testing"
	"time"
)

// Guards against sends to withdrawn endpoints that nobody notices: one later than the grace is counted and logged once,
// whether it is a first attempt or a retry; none within the grace is.
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
	guard.set(false, 8) // by a later list: it was withdrawn before
	if guard.MaySend() {
		t.Error("a withdrawn endpoint may be sent to")
	}
	send(grace / 2)
	if count := check.violations.Load(); count != 0 {
		t.Errorf("%d counted within the grace", count)
	}
	for range 3 {
		send(2 * grace)
	}
	if count := check.violations.Load(); count != 3 {
		t.Errorf("%d counted, want 3", count)
	}
	if lines := strings.Count(log.String(), "endpoint=s1 version=7"); lines != 2 {
		t.Errorf("logged %d times, want the first and the second:\n%s", lines, log.String())
	}
	guard.set(true, 9)
	send(2 * grace)
	if !guard.MaySend() || check.violations.Load() != 3 {
		t.Error("an endpoint that is back counts as withdrawn")
	}
}
