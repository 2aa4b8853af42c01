// Package mutant plants faults into the real code to see that its tests find them:
// a file with one passage changed is laid over the real one for a single run of the
// tests, and nothing is written into the tree.
package mutant

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Mutant is one fault: in File, From, which stands there once, becomes To.
type Mutant struct{ Name, File, From, To string }

// within bounds the run of one mutant's tests.
const within = 3 * time.Minute

// Slow is the variable that asks for tests which build a package many times, or want
// the machine for themselves.
const Slow = "RYERILL_SLOW"

// Test is what Find needs of the test that calls it.
type Test interface {
	Helper()
	Skip(args ...any)
	Errorf(format string, args ...any)
	TempDir() string
}

// Find has tests run over each mutant of the package in the working directory, and
// fails for one that they pass. Of a mutant that does not build nothing is shown,
// so that fails too.
func Find(t Test, run string, mutants []Mutant) {
	t.Helper()
	if os.Getenv(Slow) == "" {
		t.Skip("set " + Slow + "=1: it builds the package many times")
	}
	lanes := make(chan struct{}, 3)
	var all sync.WaitGroup
	for _, m := range mutants {
		all.Add(1)
		go func() {
			defer all.Done()
			lanes <- struct{}{}
			defer func() { <-lanes }()
			if err := m.find(t.TempDir(), run); err != nil {
				t.Errorf("%s: %v", m.Name, err)
			}
		}()
	}
	all.Wait()
}

func (m *Mutant) find(dir, run string) error {
	here, err := os.Getwd()
	if err != nil {
		return err
	}
	real := filepath.Join(here, m.File)
	text, err := os.ReadFile(real)
	if err != nil {
		return err
	}
	if n := strings.Count(string(text), m.From); n != 1 {
		return fmt.Errorf("%q stands %d times in %s", m.From, n, m.File)
	}
	changed, overlay := filepath.Join(dir, "changed.go"), filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(changed, []byte(strings.Replace(string(text), m.From, m.To, 1)), 0o600); err != nil {
		return err
	}
	laid, err := json.Marshal(map[string]map[string]string{"Replace": {real: changed}})
	if err != nil {
		return err
	}
	if err := os.WriteFile(overlay, laid, 0o600); err != nil {
		return err
	}
	out, err := exec.Command("go", "test", "-overlay="+overlay, "-vet=off", "-short", "-run", run, "-timeout", within.String(), ".").CombinedOutput()
	switch {
	case err == nil:
		return fmt.Errorf("the tests %s pass all the same", run)
	case strings.Contains(string(out), "[build failed]") || strings.Contains(string(out), "no tests to run"):
		return fmt.Errorf("nothing is shown: %s", out)
	}
	return nil
}
