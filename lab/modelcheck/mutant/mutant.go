// Package mutant plants faults into the real code to see that its tests find them: a file with one passage changed is
// laid over the real one for a single run of the tests, and nothing is written into the tree.
package mutant

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

// Mutant is one fault: in File, From, which stands there once, becomes To.
type Mutant struct{ Name, File, From, To string }

const (
	// testTimeout bounds the tests of one mutant.
	testTimeout = 3 * time.Minute

	// maxParallel is how many mutants are built and tested at once.
	maxParallel = 3

	fileMode = 0o600
)

// Slow is the environment variable that selects tests which build a package many times, or want the machine for
// themselves.
const Slow = "RYERILL_SLOW"

// Test is what Find needs of the test that calls it.
type Test interface {
	Helper()
	Skip(args ...any)
	Errorf(format string, args ...any)
	TempDir() string
}

// Find runs tests over each mutant of the package in the working directory, and fails for one that they pass. A mutant
// that does not build shows nothing, so it fails too. run selects the tests, as go test -run does.
func Find(t Test, run string, mutants []Mutant) {
	t.Helper()
	if os.Getenv(Slow) == "" {
		t.Skip("set " + Slow + "=1: it builds the package many times")
	}
	var workers errgroup.Group
	workers.SetLimit(maxParallel)
	for _, m := range mutants {
		workers.Go(func() error {
			if err := m.find(t.TempDir(), run); err != nil {
				t.Errorf("%s: %v", m.Name, err)
			}
			return nil
		})
	}
	_ = workers.Wait() // mutants report to the test and return no errors
}

// find returns an error unless the tests fail over the mutant.
func (m *Mutant) find(dir, run string) error {
	overlay, err := m.writeOverlay(dir)
	if err != nil {
		return err
	}
	command := exec.Command("go", "test", "-overlay="+overlay, "-vet=off", "-short", "-run", run,
		"-timeout", testTimeout.String(), ".")
	output, err := command.CombinedOutput()
	if err == nil {
		return fmt.Errorf("the tests %s pass all the same", run)
	}
	text := string(output)
	if strings.Contains(text, "[build failed]") || strings.Contains(text, "no tests to run") {
		return fmt.Errorf("nothing is shown: %s", text)
	}
	return nil
}

// writeOverlay writes the changed file, and the overlay that replaces the real one by it, into a folder. It returns the
// path of the overlay.
func (m *Mutant) writeOverlay(dir string) (string, error) {
	here, err := os.Getwd()
	if err != nil {
		return "", err
	}
	real := filepath.Join(here, m.File)
	text, err := os.ReadFile(real)
	if err != nil {
		return "", err
	}
	if count := strings.Count(string(text), m.From); count != 1 {
		return "", fmt.Errorf("%q stands %d times in %s", m.From, count, m.File)
	}
	changed := filepath.Join(dir, "changed.go")
	if err := os.WriteFile(changed, []byte(strings.Replace(string(text), m.From, m.To, 1)), fileMode); err != nil {
		return "", err
	}
	replaced, err := json.Marshal(map[string]map[string]string{"Replace": {real: changed}})
	if err != nil {
		return "", err
	}
	overlay := filepath.Join(dir, "overlay.json")
	return overlay, os.WriteFile(overlay, replaced, fileMode)
}
