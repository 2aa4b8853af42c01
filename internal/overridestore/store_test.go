package overridestore

import (
	"errors"
	"log/slog"
	"testing"
	"time"

	"ryerill/override"
)

var quiet = slog.New(slog.DiscardHandler)

// An update fails without effect if another process holds the lock for too long.
func TestUpdateFailsWhileFileIsLocked(t *testing.T) {
	path := Path(t.TempDir(), "n1", "127.0.0.1:1")
	s, other := Open(path, quiet, func(override.Set) {}), Open(path, quiet, func(override.Set) {})
	start := func(set override.Set, now time.Duration) (override.Set, error) { return set.StartDrain(now), nil }
	unlock, err := other.lock(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Update(start); !errors.Is(err, ErrBusy) || s.Current().DrainSince != 0 {
		t.Errorf("update of a locked file: got error %v, set %+v, want ErrBusy, no drain", err, s.Current())
	}
	unlock()
	if err := s.Update(start); err != nil || s.Current().DrainSince == 0 {
		t.Errorf("update after the unlock: got error %v, set %+v, want a drain", err, s.Current())
	}
	// The other process applies its change to the current contents of the file, not to its earlier read.
	if err := other.Update(func(set override.Set, now time.Duration) (override.Set, error) { return set.TakeDown("a", now) }); err != nil ||
		other.Current().DrainSince != s.Current().DrainSince || !other.Current().IsDown("a") {
		t.Errorf("update by the other process: got error %v, set %+v, want both changes", err, other.Current())
	}
}
