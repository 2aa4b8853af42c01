package chaos

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

// What is found is written whole: the file replays the same schedule.
func TestFoundSchedulesAreReadAgain(t *testing.T) {
	for seed := range uint64(20) {
		drawn := Draw(8, time.Minute, seed)
		drawn.About = "a rule"
		file, err := Found(filepath.Join(t.TempDir(), "found"), drawn, "a rule")
		if err != nil {
			t.Fatal(err)
		}
		if name := fmt.Sprintf("a-rule-8-%d.yaml", seed); filepath.Base(file) != name {
			t.Errorf("%s, want %s", file, name)
		}
		read, err := Read(file)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(read, drawn) {
			t.Errorf("seed %d: written %+v\nread %+v", seed, drawn, read)
		}
	}
}

// Faults of files that are written by hand are named by their key, before anything is played.
func TestFaultsOfSchedulesAreNamed(t *testing.T) {
	for _, tc := range []struct{ name, text, want string }{
		{"unknown key", "copys: 3", "copys"},
		{"no replicas", "seed: 1", "copies: 0, want 2 to 5000"},
		{"unknown kind", "copies: 3\nsteps: [{at: 1s, kind: storm}]", `steps[0].kind: "storm" is none of`},
		{"unknown replica", "copies: 3\nsteps: [{at: 1s, kind: kill, whom: [3]}]", "steps[0].whom: there is no copy 3"},
		{"time before the start", "copies: 3\nsteps: [{at: -1s, kind: kill, whom: [1]}]", "steps[0].at: -1s"},
		{"negative length", "copies: 3\nsteps: [{at: 1s, for: -1s, kind: kill, whom: [1]}]", "steps[0].for: -1s"},
		{"a link that can't be", "copies: 3\nsteps: [{at: 1s, kind: bad, link: {drop: 2}}]", "steps[0].link: "},
		{"a rollout nowhere", "copies: 3\nsteps: [{at: 1s, kind: rollout}]", "steps[0].whom: missing"},
		{"a costly rollout nowhere", "copies: 3\nsteps: [{at: 1s, kind: costly}]", "steps[0].whom: missing"},
		{"an abort nowhere", "copies: 3\nsteps: [{at: 1s, kind: abort}]", "steps[0].whom: missing"},
		{"a fault of no zone", "copies: 3\nsteps: [{at: 1s, kind: zone, much: 0.1}]", "steps[0].whom: missing"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "s.yaml")
			if err := os.WriteFile(file, []byte(tc.text+"\nlength: 5s\n"), 0o600); err != nil {
				t.Fatal(err)
			}
			if _, err := Read(file); err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("%v, want %q", err, tc.want)
			}
		})
	}
}

// A schedule is shrunk to the steps that are needed together, wherever they stand.
func TestSchedulesAreShrunkToWhatIsNeeded(t *testing.T) {
	drawn := Draw(8, 2*time.Minute, 5)
	if len(drawn.Steps) < 10 {
		t.Fatalf("only %d steps", len(drawn.Steps))
	}
	first, last := drawn.Steps[2], drawn.Steps[len(drawn.Steps)-1]
	has := func(s Schedule, wanted Step) bool {
		for _, step := range s.Steps {
			if reflect.DeepEqual(step, wanted) {
				return true
			}
		}
		return false
	}
	shrunk := Shrink(drawn, func(s Schedule) bool { return has(s, first) && has(s, last) })
	if want := []Step{first, last}; !reflect.DeepEqual(shrunk.Steps, want) {
		t.Errorf("%+v, want %+v", shrunk.Steps, want)
	}
	if shrunk.Replicas != drawn.Replicas || shrunk.Seed != drawn.Seed || shrunk.Length != drawn.Length {
		t.Errorf("%+v", shrunk)
	}
}
