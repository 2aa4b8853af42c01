// Package chaos injects random faults into a fleet, many at once, and checks invariants: in
// virtual time with hundreds of replicas, and on real processes with a ledger of all
// requests. A run that violates one is shrunk to the fewest faults that still show it, and
// written as a file that replays it.
package chaos

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"ryerill/lab/faultnet"
)

// Schedule is the faults of one chaos run.
type Schedule struct {
	About    string        `yaml:"about,omitempty"`
	Replicas int           `yaml:"copies"`
	Seed     uint64        `yaml:"seed"`
	Length   time.Duration `yaml:"length"` // faults end by then
	Steps    []Step        `yaml:"steps"`
}

// Step is one fault. It ends after Duration, where its kind has an end.
type Step struct {
	At       time.Duration `yaml:"at"`
	Kind     Kind          `yaml:"kind"`
	Replicas []int         `yaml:"whom,omitempty"` // indices; of a zone fault the zone's index
	Duration time.Duration `yaml:"for,omitempty"`
	Link     faultnet.Link `yaml:"link,omitempty"`
	Amount   float64       `yaml:"much,omitempty"`
}

// Kind is a kind of fault, or of a change that an operator makes.
type Kind string

// The kinds. Those of processes only do nothing in virtual time.
const (
	Isolate         Kind = "cut"     // replicas neither reach the others nor are reached
	IsolateOutgoing Kind = "one-way" // replicas don't reach the others
	Split           Kind = "split"   // replicas reach each other alone
	DegradeNetwork  Kind = "bad"     // the whole network behaves as Link
	Stop            Kind = "stop"    // replicas stand still
	Kill            Kind = "kill"    // replicas are killed, and start again after Duration
	Leave           Kind = "leave"   // replicas leave the fleet, and start again after Duration
	Demand          Kind = "wants"   // replicas demand Amount units a second of the quota
	HarmlessRollout Kind = "rollout" // a harmless change is started at the first replica
	CostlyRollout   Kind = "costly"  // so is one that costs Amount of the goodput
	AbortRollout    Kind = "abort"   // an operator aborts the rollout at the first replica
	ZoneFault       Kind = "zone"    // goodput of a zone falls by Amount, of changed and unchanged replicas
	DiskFailure     Kind = "disk"    // persisted state can't be written, nor read at a restart
	RotateKeys      Kind = "keys"    // the fleet's key is rotated in steps; processes only
	Upgrade         Kind = "upgrade" // another process of the program replaces the replica's; processes only
	DiscoverySilent Kind = "silent"  // the discovery service answers nothing; processes only
	DiscoveryLate   Kind = "late"    // it answers Amount seconds late; processes only
)

// kinds has all kinds in the order in which Draw weighs them.
var kinds = []Kind{
	Isolate, IsolateOutgoing, Split, DegradeNetwork, Stop, Kill, Leave, Demand, HarmlessRollout, CostlyRollout,
	AbortRollout, ZoneFault, DiskFailure, RotateKeys, Upgrade, DiscoverySilent, DiscoveryLate,
}

// kindsOfOne are the kinds that concern the first replica, or the zone, that a step names.
var kindsOfOne = []Kind{HarmlessRollout, CostlyRollout, AbortRollout, ZoneFault}

// Limits of Schedule.Replicas.
const (
	minReplicas = 2
	maxReplicas = 5000
)

// Read reads a schedule from a file.
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
	if s.Replicas < minReplicas || s.Replicas > maxReplicas {
		return fmt.Errorf("copies: %d, want %d to %d", s.Replicas, minReplicas, maxReplicas)
	}
	for i, step := range s.Steps {
		if !slices.Contains(kinds, step.Kind) {
			return fmt.Errorf("steps[%d].kind: %q is none of %v", i, step.Kind, kinds)
		}
		if err := step.check(s.Replicas); err != nil {
			return fmt.Errorf("steps[%d].%w", i, err)
		}
	}
	return nil
}

// check returns an error that begins with the key that is at fault.
func (s *Step) check(replicas int) error {
	switch {
	case s.At < 0:
		return fmt.Errorf("at: %v, want 0 or later", s.At)
	case s.Duration < 0:
		return fmt.Errorf("for: %v, want 0 or longer", s.Duration)
	case len(s.Replicas) == 0 && slices.Contains(kindsOfOne, s.Kind):
		return fmt.Errorf("whom: missing: a step of the kind %q names one", s.Kind)
	}
	for _, replica := range s.Replicas {
		if replica < 0 || replica >= replicas {
			return fmt.Errorf("whom: there is no copy %d", replica)
		}
	}
	if err := s.Link.Check(); err != nil {
		return fmt.Errorf("link: %w", err)
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

// Found writes a schedule that violates a rule into a folder, and returns its file.
func Found(dir string, s Schedule, rule string) (string, error) {
	name := fmt.Sprintf("%s-%d-%d.yaml", strings.ReplaceAll(rule, " ", "-"), s.Replicas, s.Seed)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", err
	}
	file := filepath.Join(dir, name)
	return file, s.Write(file)
}

// Shrink leaves out faults, half of them at first and single ones at last, as long as
// fails still returns true for the rest.
func Shrink(s Schedule, fails func(Schedule) bool) Schedule {
	for size := max(len(s.Steps)/2, 1); size > 0; size /= 2 {
		for first := 0; first+size <= len(s.Steps); {
			shorter := s
			shorter.Steps = append(slices.Clone(s.Steps[:first]), s.Steps[first+size:]...)
			if fails(shorter) {
				s = shorter
			} else {
				first += size
			}
		}
	}
	return s
}
