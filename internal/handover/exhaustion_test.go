package handover

import (
	"errors"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// alone runs the test in a process of its own, whose limits no other test shares, and
// reports whether this is that process.
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

// lower sets a limit of this process until restore is called or the test ends.
func lower(t *testing.T, limit int, value uint64) (restore func()) {
	t.Helper()
	var previous unix.Rlimit
	if err := unix.Getrlimit(limit, &previous); err != nil {
		t.Fatal(err)
	}
	if err := unix.Setrlimit(limit, &unix.Rlimit{Cur: value, Max: previous.Max}); err != nil {
		t.Fatal(err)
	}
	restore = func() { unix.Setrlimit(limit, &previous) }
	t.Cleanup(restore)
	return restore
}

// A process publishes what it could not before as soon as it can: once the disk has space again, or
// its directory is back. Otherwise an upgrade would not find it.
func TestProcessesAreFoundAgain(t *testing.T) {
	if !alone(t) {
		return
	}
	signal.Ignore(syscall.SIGXFSZ)
	dir := filepath.Join(t.TempDir(), "scratch")
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "proxy")
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
	restore := lower(t, unix.RLIMIT_FSIZE, 0)
	one.Publish(Serving, nil)
	one.republish()
	seen("on a full disk", Starting)
	restore()
	one.republish()
	seen("with room again", Serving)

	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	one.republish() // which can't be
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	two.republish()
	one.republish()
	seen("in a new directory", Serving)
	one.Deregister()
	one.republish()
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
	late.republish()
	if two, err = Register(path, quiet); err != nil {
		t.Fatal(err)
	}
	seen("who began without a directory", Serving)
	late.Deregister()
	two.Deregister()
}
