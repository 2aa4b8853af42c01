package handover

import (
	"errors"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"

	"ryerill/internal/exhaustion"
)

// A process republishes its state once the disk has space again or its directory exists again.
// Otherwise an upgrade would not find it.
func TestProcessRepublishesAfterFaults(t *testing.T) {
	if !exhaustion.Alone(t) {
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
	checkState := func(condition string, want State) {
		t.Helper()
		if got := two.Others(); len(got) != 1 || got[0].State != want {
			t.Errorf("%s: got processes %+v, want state %s", condition, got, want)
		}
	}
	restore := exhaustion.Lower(t, unix.RLIMIT_FSIZE, 0)
	one.Publish(Serving, nil)
	one.republish()
	checkState("on a full disk", Starting)
	restore()
	one.republish()
	checkState("with space again", Serving)

	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	one.republish() // fails without the directory
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	two.republish()
	one.republish()
	checkState("in a new directory", Serving)
	one.Deregister()
	one.republish()
	if got := two.Others(); len(got) != 0 {
		t.Errorf("after Deregister: got processes %+v, want none", got)
	}
	two.Deregister()

	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	late, err := Register(path, quiet)
	if err == nil || !errors.Is(err, os.ErrNotExist) {
		t.Errorf("Register without a directory: got error %v, want ErrNotExist", err)
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	late.Publish(Serving, nil)
	late.republish()
	if two, err = Register(path, quiet); err != nil {
		t.Fatal(err)
	}
	checkState("registered without a directory", Serving)
	late.Deregister()
	two.Deregister()
}
