package processes

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"ryerill/lab/modelcheck/mutant"
)

// program builds the real program, and later the one that plays a later program beside it.
var (
	program = sync.OnceValues(func() (string, error) { return build() })
	later   = sync.OnceValues(func() (string, error) { return build("-tags", "fleetlater") })
)

func build(flags ...string) (string, error) {
	dir, err := os.MkdirTemp("", "ryerill-copies")
	if err != nil {
		return "", err
	}
	at := filepath.Join(dir, "ryerill")
	out, err := exec.Command("go", append(append([]string{"build", "-o", at}, flags...), "ryerill/cmd/proxy")...).CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, out)
	}
	return at, err
}

func TestMain(m *testing.M) {
	code := m.Run()
	if at, err := program(); err == nil {
		os.RemoveAll(filepath.Dir(at))
	}
	os.Exit(code)
}

// slow skips a test that takes minutes and wants the machine for itself, unless the
// environment asks for it, as CI does in a step of its own.
func slow(t *testing.T) {
	t.Helper()
	if os.Getenv(mutant.Slow) == "" {
		t.Skip("set " + mutant.Slow + "=1: it takes minutes and wants the machine for itself")
	}
}

// startLoaded starts a fleet under load. The end of the test checks what must always hold.
func startLoaded(t *testing.T, opt Options) *Fleet {
	t.Helper()
	at, err := program()
	if err != nil {
		t.Fatal(err)
	}
	opt.Command, opt.Dir, opt.Endpoints = []string{at, "serve"}, t.TempDir(), 6
	f, err := Start(t.Context(), opt)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	var load sync.WaitGroup
	for i := range f.Replicas {
		load.Add(1)
		go func() { defer load.Done(); f.Drive(ctx, i, 20) }()
	}
	until(t, 10*time.Second, "requests to be served", func() bool { return f.Ledger.Sum().Served > 10 })
	t.Cleanup(func() {
		stop()
		load.Wait()
		for _, c := range f.Replicas {
			if log := c.Log(); strings.Contains(log, "panic") || strings.Contains(log, "DATA RACE") {
				t.Errorf("%s:\n%s", c.Name, log)
			}
		}
		f.Close()
		if s := f.Ledger.Sum(); s.Lost+s.Late+s.Repeated > 0 || s.Failed > f.Ledger.InjectedErrors() || s.Served == 0 {
			t.Errorf("the ledger does not balance: %+v", s)
		} else {
			t.Logf("ledger: %+v", s)
		}
		if t.Failed() {
			for _, c := range f.Replicas {
				t.Logf("%s:\n%s", c.Name, c.Log())
			}
		}
	})
	return f
}

// until waits until a condition holds, and returns how long that took.
func until(t *testing.T, timeout time.Duration, what string, holds func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for !holds() {
		if time.Since(began) > timeout {
			t.Fatalf("after %v still waiting for %s", timeout, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began)
}
