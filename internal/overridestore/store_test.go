package overridestore

import (
	"errors"
	"log/slog"
	"testing"
	"time"

	"ryerill/override"
)

var quiet = slog.New(slog.DiscardHandler)

// An update that another process holds up for too long fails and changes nothing.
func TestUpdateWaitsBrieflyForAnotherProcess(t *testing.T) {
	path := Path(t.TempDir(), "n1", "127.0.0.1:1")
	s, other := Open(path, quiet, func(override.Set) {}), Open(path, quiet, func(override.Set) {})
	start := func(set override.Set, now time.Duration) (override.Set, error) { return set.StartDrain(now), nil }
	unlock, err := other.lock(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Update(start); !errors.Is(err, ErrBusy) || s.Current().DrainSince != 0 {
		t.Errorf("while another holds it: %v, %+v", err, s.Current())
	}
	unlock()
	if err := s.Update(start); err != nil || s.Current().DrainSince == 0 {
		t.Errorf("then: %v, %+v", err, s.Current())
	}
	// The other one bases its change on what the file holds, not on what it read before.
	if err := other.Update(func(set override.Set, now time.Duration) (override.Set, error) { return set.TakeDown("a", now) }); err != nil ||
		other.Current().DrainSince != s.Current().DrainSince || !other.Current().IsDown("a") {
		t.Errorf("the other: %v, %+v", err, other.Current())
	}
}
