package chaos

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"ryerill/lab/modelcheck/mutant"
)

// checkRun runs a schedule in virtual time. Of a violation it logs the fewest faults that show it.
func checkRun(t *testing.T, s Schedule) {
	t.Helper()
	_, violation := Play(s, "")
	if violation == nil {
		return
	}
	shrunk := Shrink(s, func(s Schedule) bool {
		_, v := Play(s, "")
		return v != nil && v.Rule == violation.Rule
	})
	t.Errorf("seed %d: %v\n%d faults are enough: %+v", s.Seed, violation, len(shrunk.Steps), shrunk.Steps)
}

// Random runs violate no rule.
func TestRandomRunsViolateNothing(t *testing.T) {
	for seed := range uint64(12) {
		checkRun(t, Draw(6+int(seed%7), time.Minute, seed))
	}
}

// The schedules that have once violated a rule do so no more.
func TestFoundRunsViolateNothing(t *testing.T) {
	files, _ := filepath.Glob("../scenarios/found/*.yaml")
	if len(files) == 0 {
		t.Fatal("no found schedules")
	}
	for _, file := range files {
		s, err := Read(file)
		if err != nil {
			t.Fatal(err)
		}
		checkRun(t, s)
	}
}

// The same schedule has the same result, to the last datagram.
func TestEqualSchedulesHaveEqualResults(t *testing.T) {
	s := Draw(8, time.Minute, 3)
	a, _ := Play(s, "")
	if b, _ := Play(s, ""); a != b {
		t.Errorf("%+v and %+v", a, b)
	}
}

// Faults that are planted in the glue code between the packages are found within some runs.
func TestMutationsOfTheGlueAreFound(t *testing.T) {
	if os.Getenv(mutant.Slow) == "" {
		t.Skip("set " + mutant.Slow + "=1: it plays many runs")
	}
	for _, m := range Mutations {
		found := false
		for seed := uint64(0); seed < 100 && !found; seed++ {
			_, violation := Play(Draw(6+int(seed%7), 90*time.Second, seed), m)
			found = violation != nil
			if found {
				t.Logf("%s: seed %d: %v", m, seed, violation.Rule)
			}
		}
		if !found {
			t.Errorf("%s: not found", m)
		}
	}
}
