package overridestore

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"ryerill/override"
)

// alone plays the test in a process of its own, whose limits are nobody else's, and
// reports whether this is it.
func alone(t *testing.T) bool {
	t.Helper()
	if os.Getenv("RYERILL_ALONE") != "" {
		return true
	}
	cmd := exec.Command(os.Args[0], "-test.v", "-test.run=^"+t.Name()+"$")
	cmd.Env = append(os.Environ(), "RYERILL_ALONE=1")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Errorf("%v\n%s", err, out)
	}
	return false
}

// lower sets a limit of this process until the test says back.
func lower(t *testing.T, which int, to uint64) (back func()) {
	t.Helper()
	var was unix.Rlimit
	if err := unix.Getrlimit(which, &was); err != nil {
		t.Fatal(err)
	}
	if err := unix.Setrlimit(which, &unix.Rlimit{Cur: to, Max: was.Max}); err != nil {
		t.Fatal(err)
	}
	back = func() { unix.Setrlimit(which, &was) }
	t.Cleanup(back)
	return back
}

func takeOut(id string) func(override.Set, time.Duration) (override.Set, error) {
	return func(w override.Set, now time.Duration) (override.Set, error) { return w.TakeDown(id, now) }
}

// Without a descriptor to spare the word of another process can't be read. It is
// later: it must not count as seen, nor be written over unread.
func TestWordWithoutDescriptors(t *testing.T) {
	if !alone(t) {
		return
	}
	path := Path(t.TempDir(), "n1", "127.0.0.1:1")
	s, other := Open(path, quiet, func(override.Set) {}), Open(path, quiet, func(override.Set) {})
	if err := other.Update(takeOut("a")); err != nil {
		t.Fatal(err)
	}
	back := lower(t, unix.RLIMIT_NOFILE, 0)
	s.look()
	if s.Current().IsDown("a") {
		t.Fatal("read without a descriptor")
	}
	if err := s.Update(takeOut("b")); err == nil {
		t.Error("a change without a descriptor is said to be kept")
	}
	back()
	s.look()
	if !s.Current().IsDown("a") || s.Current().IsDown("b") {
		t.Errorf("with one again: %+v", s.Current())
	}
	if err := s.Update(takeOut("b")); err != nil || !s.Current().IsDown("a") {
		t.Errorf("a change then: %v, %+v", err, s.Current())
	}
}

// A file that can't be written whole leaves the old one as it was, the answer is
// a no, and once there is room all goes on. The limit cuts writes short as a full
// disk does.
func TestWordOnAFullDisk(t *testing.T) {
	if !alone(t) {
		return
	}
	signal.Ignore(syscall.SIGXFSZ)
	path := Path(t.TempDir(), "n1", "127.0.0.1:1")
	s := Open(path, quiet, func(override.Set) {})
	if err := s.Update(takeOut("a")); err != nil {
		t.Fatal(err)
	}
	for _, room := range []uint64{0, 10} {
		back := lower(t, unix.RLIMIT_FSIZE, room)
		began := time.Now()
		if err := s.Update(takeOut("b")); err == nil || s.Current().IsDown("b") {
			t.Errorf("%d bytes: %v, %+v", room, err, s.Current())
		}
		if took := time.Since(began); took > 900*time.Millisecond { // an answer is owed in 1 s
			t.Errorf("%d bytes: told after %v", room, took)
		}
		again := Open(path, quiet, func(override.Set) {})
		if !again.Current().IsDown("a") || again.Current().IsDown("b") {
			t.Errorf("%d bytes: kept is %+v", room, again.Current())
		}
		back()
	}
	// Room that comes back while a change tries is used.
	back := lower(t, unix.RLIMIT_FSIZE, 0)
	tried := make(chan struct{})
	done := make(chan error, 1)
	go func() {
		first := true
		done <- s.Update(func(w override.Set, now time.Duration) (override.Set, error) {
			if first {
				first = false
				close(tried)
			}
			return w.TakeDown("b", now)
		})
	}()
	<-tried
	back()
	if err := <-done; err != nil || !s.Current().IsDown("b") {
		t.Errorf("with room again: %v, %+v", err, s.Current())
	}
	left, _ := filepath.Glob(path + ".*[0-9]")
	if len(left) > 0 {
		t.Errorf("left beside it: %v", left)
	}
}

// What a process could not make known it does once it can: with room again, or
// after its directory went and came back. Otherwise an upgrade would not find it.
func TestSiblingsAreFoundAgain(t *testing.T) {
	if !alone(t) {
		return
	}
	signal.Ignore(syscall.SIGXFSZ)
	dir := filepath.Join(t.TempDir(), "scratch")
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	path := Path(dir, "n1", "127.0.0.1:1")
	one, err := Register(path, quiet)
	if err != nil {
		t.Fatal(err)
	}
	two, err := Register(path, quiet)
	if err != nil {
		t.Fatal(err)
	}
	seen := func(what string, want State) {
		t.Helper()
		if got := two.Others(); len(got) != 1 || got[0].State != want {
			t.Errorf("%s: %+v, want %s", what, got, want)
		}
	}
	back := lower(t, unix.RLIMIT_FSIZE, 0)
	one.Publish(Serving, nil)
	one.sayAgain()
	seen("on a full disk", Starting)
	back()
	one.sayAgain()
	seen("with room again", Serving)

	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	one.sayAgain() // which can't be
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	two.sayAgain()
	one.sayAgain()
	seen("in a new directory", Serving)
	one.Deregister()
	one.sayAgain()
	if got := two.Others(); len(got) != 0 {
		t.Errorf("after its end: %+v", got)
	}
	two.Deregister()

	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	late, err := Register(path, quiet)
	if err == nil || !errors.Is(err, os.ErrNotExist) {
		t.Errorf("without a directory: %v", err)
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	late.Publish(Serving, nil)
	late.sayAgain()
	if two, err = Register(path, quiet); err != nil {
		t.Fatal(err)
	}
	seen("who began without a directory", Serving)
	late.Deregister()
	two.Deregister()
}

// A disk that takes its time holds up no order: it is in force at once, the answer
// comes within the second that it is owed in, and the next order is in force too.
func TestOrdersOnASlowDisk(t *testing.T) {
	if !alone(t) {
		return
	}
	path := Path(t.TempDir(), "n1", "127.0.0.1:1")
	s := Open(path, quiet, func(override.Set) {})
	stalled := fmt.Sprintf("%s.%d", path, os.Getpid())
	if err := unix.Mkfifo(stalled, 0o600); err != nil { // to open it waits for a reader
		t.Fatal(err)
	}
	for _, id := range []string{"a", "b"} {
		answered := make(chan error, 1)
		began := time.Now()
		go func() { answered <- s.Update(takeOut(id)) }()
		for !s.Current().IsDown(id) {
			if time.Since(began) > 300*time.Millisecond {
				t.Fatalf("%s is not out after %v", id, time.Since(began))
			}
			time.Sleep(time.Millisecond)
		}
		if err := <-answered; !errors.Is(err, ErrNotPersisted) || !s.Current().IsDown("a") {
			t.Errorf("%s: answered %v, %+v", id, err, s.Current())
		}
		if took := time.Since(began); took > 950*time.Millisecond {
			t.Errorf("%s: answered after %v", id, took)
		}
	}
	// Once the disk goes on both are kept, or their time is over: nobody is stuck.
	if f, err := os.Open(stalled); err == nil {
		defer f.Close()
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		keeping := s.keeping
		s.mu.Unlock()
		if !keeping {
			return
		}
		if time.Now().After(end) {
			t.Fatal("changes are kept for ever")
		}
	}
}
