package overridestore

import (
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"ryerill/override"
)

var quiet = slog.New(slog.DiscardHandler)

// Processes know of each other while they live, whatever lies in the directory.
func TestSiblings(t *testing.T) {
	path := Path(t.TempDir(), "n1", "127.0.0.1:1")
	one, err := Register(path, quiet)
	if err != nil {
		t.Fatal(err)
	}
	two, err := Register(path, quiet)
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{"dead": "serving {}\n", "empty": "", "strange": "\x00\x01"} {
		if err := os.WriteFile(path+"-"+name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	one.Publish(Serving, []byte(`{"limit":60}`))
	if got := two.Others(); len(got) != 1 || got[0] != (Process{Serving, `{"limit":60}`}) {
		t.Errorf("the first is seen as %+v", got)
	}
	two.Publish("dancing", make([]byte, mostText)) // of another version, and more than is allowed
	if got := one.Others(); len(got) != 1 || got[0] != (Process{Starting, ""}) {
		t.Errorf("the second is seen as %+v", got)
	}
	if _, err := os.Stat(path + "-dead"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("what a dead one has left: %v", err)
	}
	one.Deregister()
	if got := two.Others(); len(got) != 0 {
		t.Errorf("after its end: %+v", got)
	}
	if none, err := Register(filepath.Join(t.TempDir(), "missing", "x"), quiet); err == nil || len(none.Others()) != 0 {
		t.Error("without a directory")
	}
}

// A change that another process holds up for too long says so and changes nothing.
func TestChangeWaitsBriefly(t *testing.T) {
	path := Path(t.TempDir(), "n1", "127.0.0.1:1")
	s, other := Open(path, quiet, func(override.Set) {}), Open(path, quiet, func(override.Set) {})
	start := func(w override.Set, now time.Duration) (override.Set, error) { return w.StartDrain(now), nil }
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
	// The other one bases its change on what it finds, not on what it had.
	if err := other.Update(func(w override.Set, now time.Duration) (override.Set, error) { return w.TakeDown("a", now) }); err != nil ||
		other.Current().DrainSince != s.Current().DrainSince || !other.Current().IsDown("a") {
		t.Errorf("the other: %v, %+v", err, other.Current())
	}
}
