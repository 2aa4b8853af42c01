package chaos

import (
	"path/filepath"
	"testing"
	"time"

	"os"
	"ryerill/lab/modelcheck/mutant"
)

// play plays a night and tells the fewest troubles that show what does not balance.
func play(t *testing.T, s Schedule) {
	t.Helper()
	if _, bad := Play(s, ""); bad != nil {
		small := Shrink(s, func(s Schedule) bool { _, b := Play(s, ""); return b != nil && b.Rule == bad.Rule })
		t.Errorf("seed %d: %v\n%d troubles are enough: %+v", s.Seed, bad, len(small.Steps), small.Steps)
	}
}

func TestNightsBalance(t *testing.T) {
	for seed := range uint64(12) {
		play(t, Draw(6+int(seed%7), time.Minute, seed))
	}
}

// What was found once stays mended.
func TestFoundNightsBalance(t *testing.T) {
	files, _ := filepath.Glob("../scenarios/found/*.yaml")
	if len(files) == 0 {
		t.Fatal("no found nights")
	}
	for _, file := range files {
		s, err := Read(file)
		if err != nil {
			t.Fatal(err)
		}
		play(t, s)
	}
}

// The same night comes to the same, to the last datagram.
func TestANightIsAlwaysTheSame(t *testing.T) {
	s := Draw(8, time.Minute, 3)
	a, _ := Play(s, "")
	if b, _ := Play(s, ""); a != b {
		t.Errorf("%+v and %+v", a, b)
	}
}

// Faults planted in the glue between the parts are found within some nights.
func TestMutationsOfTheGlueAreFound(t *testing.T) {
	if os.Getenv(mutant.Slow) == "" {
		t.Skip("set " + mutant.Slow + "=1: it plays many nights")
	}
	for _, m := range Mutations {
		found := false
		for seed := uint64(0); seed < 100 && !found; seed++ {
			_, bad := Play(Draw(6+int(seed%7), 90*time.Second, seed), m)
			if found = bad != nil; found {
				t.Logf("%s: night %d: %v", m, seed, bad.Rule)
			}
		}
		if !found {
			t.Errorf("%s: not found", m)
		}
	}
}
