package overridestore

import (
	"errors"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"ryerill/internal/atomicfile"
	"ryerill/internal/exhaustion"
	"ryerill/override"
)

func takeDown(id string) func(override.Set, time.Duration) (override.Set, error) {
	return func(set override.Set, now time.Duration) (override.Set, error) { return set.TakeDown(id, now) }
}

// Without a free descriptor the store can't read overrides written by another process. It must
// neither treat them as read nor overwrite them, and read them later.
func TestUnreadOverridesSurviveDescriptorExhaustion(t *testing.T) {
	if !exhaustion.Alone(t) {
		return
	}
	path := Path(t.TempDir(), "n1", "127.0.0.1:1")
	s, other := Open(path, quiet, func(override.Set) {}), Open(path, quiet, func(override.Set) {})
	if err := other.Update(takeDown("a")); err != nil {
		t.Fatal(err)
	}
	restore := exhaustion.Lower(t, unix.RLIMIT_NOFILE, 0)
	s.poll()
	if s.Current().IsDown("a") {
		t.Fatal("override of another process in force, want it unread without a descriptor")
	}
	if err := s.Update(takeDown("b")); err == nil {
		t.Error("update without a descriptor succeeded, want an error")
	}
	restore()
	s.poll()
	if !s.Current().IsDown("a") || s.Current().IsDown("b") {
		t.Errorf("poll with descriptors: got %+v, want only a down", s.Current())
	}
	if err := s.Update(takeDown("b")); err != nil || !s.Current().IsDown("a") {
		t.Errorf("update with descriptors: got error %v, set %+v", err, s.Current())
	}
}

// On a full disk the change fails and the file is unchanged; once there is space, changes
// succeed again. The file size limit truncates writes like a full disk.
func TestFullDiskKeepsPreviousOverrides(t *testing.T) {
	if !exhaustion.Alone(t) {
		return
	}
	signal.Ignore(syscall.SIGXFSZ)
	path := Path(t.TempDir(), "n1", "127.0.0.1:1")
	s := Open(path, quiet, func(override.Set) {})
	if err := s.Update(takeDown("a")); err != nil {
		t.Fatal(err)
	}
	for _, space := range []uint64{0, 10} {
		restore := exhaustion.Lower(t, unix.RLIMIT_FSIZE, space)
		began := time.Now()
		if err := s.Update(takeDown("b")); err == nil || s.Current().IsDown("b") {
			t.Errorf("%d bytes of space: got error %v, set %+v, want b undone", space, err, s.Current())
		}
		if took := time.Since(began); took > 900*time.Millisecond { // operators get an answer within 1 s
			t.Errorf("%d bytes of space: update took %v, want at most 900ms", space, took)
		}
		again := Open(path, quiet, func(override.Set) {})
		if !again.Current().IsDown("a") || again.Current().IsDown("b") {
			t.Errorf("%d bytes of space: got persisted set %+v, want only a down", space, again.Current())
		}
		restore()
	}
	// A change succeeds if space becomes free while it is retried.
	restore := exhaustion.Lower(t, unix.RLIMIT_FSIZE, 0)
	tried := make(chan struct{})
	done := make(chan error, 1)
	go func() {
		first := true
		done <- s.Update(func(set override.Set, now time.Duration) (override.Set, error) {
			if first {
				first = false
				close(tried)
			}
			return set.TakeDown("b", now)
		})
	}()
	<-tried
	restore()
	if err := <-done; err != nil || !s.Current().IsDown("b") {
		t.Errorf("update with freed space: got error %v, set %+v", err, s.Current())
	}
	left, _ := filepath.Glob(path + ".*")
	if len(left) != 1 { // the lock file
		t.Errorf("got extra files %v, want only the lock file", left)
	}
}

// On a slow disk each override is in force immediately and answered within 1 s, and does not
// delay the next one.
func TestSlowDiskDoesNotDelayOverrides(t *testing.T) {
	if !exhaustion.Alone(t) {
		return
	}
	path := Path(t.TempDir(), "n1", "127.0.0.1:1")
	s := Open(path, quiet, func(override.Set) {})
	stalled := path + atomicfile.TemporarySuffix
	if err := unix.Mkfifo(stalled, 0o600); err != nil { // opening it for writing blocks until a reader opens it
		t.Fatal(err)
	}
	for _, id := range []string{"a", "b"} {
		answered := make(chan error, 1)
		began := time.Now()
		go func() { answered <- s.Update(takeDown(id)) }()
		for !s.Current().IsDown(id) {
			if time.Since(began) > 300*time.Millisecond {
				t.Fatalf("%s not down after %v", id, time.Since(began))
			}
			time.Sleep(time.Millisecond)
		}
		if err := <-answered; !errors.Is(err, ErrNotPersisted) || !s.Current().IsDown("a") {
			t.Errorf("%s: got error %v, set %+v, want ErrNotPersisted", id, err, s.Current())
		}
		if took := time.Since(began); took > 950*time.Millisecond {
			t.Errorf("%s: update took %v, want at most 950ms", id, took)
		}
	}
	// When the disk continues, both changes are persisted and the goroutine ends.
	if f, err := os.Open(stalled); err == nil {
		defer f.Close()
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		persisting := s.persisting
		s.mu.Unlock()
		if !persisting {
			return
		}
		if time.Now().After(end) {
			t.Fatal("persistPending still running 20 s after the disk continued")
		}
	}
}
