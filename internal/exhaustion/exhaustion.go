// Package exhaustion has tests run without descriptors, disk space or another resource that a process may run out of.
package exhaustion

import (
	"os"
	"os/exec"
	"testing"

	"golang.org/x/sys/unix"
)

// aloneVariable is the environment variable of a process that runs one test.
const aloneVariable = "RYERILL_ALONE"

// Alone runs the test in a process of its own, whose limits no other test shares, and reports whether this is that
// process.
func Alone(t *testing.T) bool {
	t.Helper()
	if os.Getenv(aloneVariable) != "" {
		return true
	}
	cmd := exec.Command(os.Args[0], "-test.v", "-test.run=^"+t.Name()+"$")
	cmd.Env = append(os.Environ(), aloneVariable+"=1")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Errorf("%v\n%s", err, out)
	}
	return false
}

// Lower sets a limit of this process until restore is called or the test ends.
func Lower(t *testing.T, limit int, value uint64) (restore func()) {
	t.Helper()
	var previous unix.Rlimit
	if err := unix.Getrlimit(limit, &previous); err != nil {
		t.Fatal(err)
	}
	if err := unix.Setrlimit(limit, &unix.Rlimit{Cur: value, Max: previous.Max}); err != nil {
		t.Fatal(err)
	}
	restore = func() { _ = unix.Setrlimit(limit, &previous) } // as it was allowed before
	t.Cleanup(restore)
	return restore
}
