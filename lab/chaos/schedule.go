// Package chaos plays random troubles over a fleet, many at once, and keeps a ledger
// that must balance: in virtual time with hundreds of copies, and on real processes.
// What does not balance is shrunk to the fewest troubles that still show it, and
// written as a file that replays it.
package chaos

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/goccy/go-yaml"

	"ryerill/lab/faultnet"
)

// Schedule is what happens in one night.
type Schedule struct {
	About    string        `yaml:"about,omitempty"`
	Replicas int           `yaml:"copies"`
	Seed     uint64        `yaml:"seed"`
	Length   time.Duration `yaml:"length"` // troubles end by then
	Steps    []Step        `yaml:"steps"`
}

// Step is one trouble. It ends after For, where it has an end.
type Step struct {
	At   time.Duration `yaml:"at"`
	Kind string        `yaml:"kind"`
	Whom []int         `yaml:"whom,omitempty"` // copies
	For  time.Duration `yaml:"for,omitempty"`
	Link faultnet.Link `yaml:"link,omitempty"`
	Much float64       `yaml:"much,omitempty"`
}

// The kinds of trouble.
const (
	Cut     = "cut"     // copies hear nobody and are heard by nobody
	Deaf    = "one-way" // nobody hears them
	Split   = "split"   // they hear each other alone
	Bad     = "bad"     // the whole network behaves as Link says
	Stop    = "stop"    // they stand still
	Kill    = "kill"    // they die, and start anew after For
	Leave   = "leave"   // they go for good, and start anew after For
	Wants   = "wants"   // they want Much units a second of the budget
	Good    = "rollout" // a harmless change is handed to the first of them
	Costly  = "costly"  // one that costs Much of the goodput
	Abort   = "abort"   // a person aborts what stands
	Trouble = "zone"    // goodput of a zone falls by Much, changed copies and others alike
	Disk    = "disk"    // what they remember can't be written, nor read at a restart
	Keys    = "keys"    // the fleet's key is changed, in steps; processes only
	Upgrade = "upgrade" // another process of the program follows theirs; processes only
)

var kinds = []string{Cut, Deaf, Split, Bad, Stop, Kill, Leave, Wants, Good, Costly, Abort, Trouble, Disk, Keys, Upgrade}

// Draw makes a schedule. Troubles overlap more often than not.
func Draw(copies int, length time.Duration, seed uint64) Schedule {
	rng := rand.New(rand.NewPCG(seed, 21))
	s := Schedule{Replicas: copies, Seed: seed, Length: length}
	weights := map[string]int{Cut: 3, Deaf: 2, Split: 3, Bad: 3, Stop: 3, Kill: 5, Leave: 1, Wants: 6, Good: 2, Costly: 2, Abort: 1, Trouble: 2, Disk: 2, Keys: 1, Upgrade: 2}
	var bag []string
	for _, k := range kinds {
		for range weights[k] {
			bag = append(bag, k)
		}
	}
	some := func(most int) (out []int) {
		for range 1 + rng.IntN(max(most, 1)) {
			if i := rng.IntN(copies); !slices.Contains(out, i) {
				out = append(out, i)
			}
		}
		slices.Sort(out)
		return out
	}
	for at := 7 * time.Second; at < length; at += time.Duration(rng.ExpFloat64() * float64(4*time.Second)) {
		st := Step{At: at.Round(10 * time.Millisecond), Kind: bag[rng.IntN(len(bag))], For: time.Duration((1 + rng.ExpFloat64()*6) * float64(time.Second)).Round(10 * time.Millisecond)}
		st.For = min(st.For, max(length-at, time.Second))
		switch st.Kind {
		case Split:
			st.Whom = some(copies / 2)
		case Bad:
			st.Link = faultnet.Link{Drop: 0.4 * rng.Float64(), Duplicate: 0.2 * rng.Float64(), Reorder: 0.2 * rng.Float64(), Corrupt: 0.05 * rng.Float64(),
				Delay: time.Duration(rng.IntN(200)) * time.Millisecond, Jitter: time.Duration(1+rng.IntN(300)) * time.Millisecond}
		case Kill:
			st.Whom = some(max(copies/4, 2))
		case Wants:
			st.Whom, st.Much = some(max(copies/3, 2)), []float64{0, 5, 50, 400}[rng.IntN(4)]
		case Costly:
			st.Whom, st.Much = some(1), []float64{0.05, 0.2, 0.9}[rng.IntN(3)]
		case Trouble:
			st.Much = 0.1 + 0.3*rng.Float64()
			st.Whom = []int{rng.IntN(3)}
		case Abort, Good, Keys, Upgrade:
			st.Whom = some(1)
		default:
			st.Whom = some(max(copies/6, 2))
		}
		s.Steps = append(s.Steps, st)
	}
	return s
}

// Read reads a schedule that was written.
func Read(file string) (s Schedule, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return s, err
	}
	if err := yaml.UnmarshalWithOptions(text, &s, yaml.Strict()); err != nil {
		return s, fmt.Errorf("%s: %w", file, err)
	}
	return s, s.check()
}

func (s *Schedule) check() error {
	if s.Replicas < 2 || s.Replicas > 5000 {
		return fmt.Errorf("copies: %d, want 2 to 5000", s.Replicas)
	}
	for i, st := range s.Steps {
		if !slices.Contains(kinds, st.Kind) {
			return fmt.Errorf("steps[%d].kind: %q is none of %v", i, st.Kind, kinds)
		}
		for _, w := range st.Whom {
			if w < 0 || w >= s.Replicas {
				return fmt.Errorf("steps[%d].whom: there is no copy %d", i, w)
			}
		}
	}
	return nil
}

// Write writes a schedule to a file.
func (s *Schedule) Write(file string) error {
	text, err := yaml.Marshal(s)
	if err != nil {
		return err
	}
	return os.WriteFile(file, text, 0o644)
}

// Shrink leaves out troubles, and then copies, as long as a night still does not
// balance for the same reason.
func Shrink(s Schedule, fails func(Schedule) bool) Schedule {
	for size := max(len(s.Steps)/2, 1); size > 0; size /= 2 {
		for at := 0; at+size <= len(s.Steps); {
			shorter := s
			shorter.Steps = append(slices.Clone(s.Steps[:at]), s.Steps[at+size:]...)
			if fails(shorter) {
				s = shorter
			} else {
				at += size
			}
		}
	}
	return s
}
