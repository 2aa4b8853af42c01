package config

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"ryerill/fleet/rollout"
	"ryerill/internal/yamlfile"
)

// PlanFile is the plan of a rollout in the form written by operators, in YAML.
type PlanFile struct {
	ID               string         `yaml:"id"`
	Kind             string         `yaml:"kind"`
	Settings         map[string]any `yaml:"settings,omitempty"`
	Program          string         `yaml:"program,omitempty"` // version of the program
	Levels           []uint8        `yaml:"speaks,omitempty"`  // lowest and highest protocol level
	Stages           []StageFile    `yaml:"stages,omitempty"`
	MaxUnavailable   int            `yaml:"away,omitempty"`
	Baseline         time.Duration  `yaml:"watch,omitempty"`
	ReadyTimeout     time.Duration  `yaml:"wait,omitempty"`
	ExtraObservation time.Duration  `yaml:"unknown,omitempty"`
	RollBack         *bool          `yaml:"back,omitempty"` // default true
	ExpiresAfter     time.Duration  `yaml:"expires,omitempty"`
	Guardrails       GuardrailsFile `yaml:"guards,omitempty"`
}

// StageFile is one stage of a plan.
type StageFile struct {
	Count       int           `yaml:"count,omitempty"`
	Fraction    float64       `yaml:"part,omitempty"`
	PerZone     bool          `yaml:"per_zone,omitempty"`
	Observation time.Duration `yaml:"soak,omitempty"`
}

// GuardrailsFile states how much worse a stage may be before the rollout stops.
type GuardrailsFile struct {
	Goodput          float64 `yaml:"goodput,omitempty"`
	Latency          float64 `yaml:"latency,omitempty"`
	FalseAlarm       float64 `yaml:"wrong,omitempty"`
	MissedRegression float64 `yaml:"missed,omitempty"`

	Attempts float64 `yaml:"attempts,omitempty"`
	Memory   float64 `yaml:"memory,omitempty"`
}

// planKinds maps the enumerated values of a plan's kind to the rollout's constants.
var planKinds = map[string]rollout.Kind{"settings": rollout.Settings, "program": rollout.Program}

// planReader converts a plan file to a plan. Its errors state file, line, column and key.
type planReader struct {
	name string
	tree yamlfile.Tree
	file *PlanFile
}

// ParsePlan reads the plan of a rollout, checks it and fills in defaults. The target of a settings plan is the hash of
// own, a replica's own file, with the plan's settings applied.
func ParsePlan(name string, text, own []byte, getenv func(string) string) (rollout.Plan, error) {
	file := new(PlanFile)
	tree, err := yamlfile.Decode(name, text, file)
	if err != nil {
		return rollout.Plan{}, err
	}
	reader := planReader{name: name, tree: tree, file: file}
	plan, err := reader.build()
	if err != nil {
		return plan, err
	}
	if plan.Kind == rollout.Settings {
		if err := reader.applySettings(&plan, own, getenv); err != nil {
			return plan, err
		}
	}
	plan.Complete()
	if err := plan.Check(); err != nil {
		key, _, _ := strings.Cut(err.Error(), ":")
		return plan, reader.at(key, err)
	}
	return plan, nil
}

// at adds the file and the position of a key to an error.
func (r *planReader) at(key string, err error) error {
	return fmt.Errorf("%s%s: %w", r.name, r.tree.Position(key), err)
}

func (r *planReader) build() (rollout.Plan, error) {
	file := r.file
	plan := rollout.Plan{
		ID:               file.ID,
		Kind:             planKinds[file.Kind],
		MaxUnavailable:   file.MaxUnavailable,
		Baseline:         file.Baseline,
		ReadyTimeout:     file.ReadyTimeout,
		ExtraObservation: file.ExtraObservation,
		RollBack:         file.RollBack == nil || *file.RollBack,
		ExpiresAfter:     file.ExpiresAfter,
		Target:           file.Program,
		Guardrails:       rollout.Guardrails(file.Guardrails),
	}
	switch len(file.Levels) {
	case 0:
	case 2:
		plan.MinLevel = file.Levels[0]
		plan.MaxLevel = file.Levels[1]
	default:
		return plan, r.at("speaks", fmt.Errorf(
			"speaks: unexpected value %v, want the least and the most level, as in [1, 2]", file.Levels))
	}
	for _, stage := range file.Stages {
		plan.Stages = append(plan.Stages, rollout.Stage(stage))
	}
	switch {
	case plan.Kind == 0:
		return plan, r.at("kind", fmt.Errorf("kind: unexpected value %q, want settings or program", file.Kind))
	case plan.Kind == rollout.Settings && len(file.Settings) == 0:
		return plan, r.at("settings",
			errors.New("settings: missing: say which keys of the configuration are replaced"))
	case plan.Kind == rollout.Program && file.Program == "":
		return plan, r.at("program",
			errors.New("program: missing: say which version proxy version is to print"))
	}
	return plan, nil
}

// applySettings checks the plan's settings against the replica's own file and derives the plan's target from them.
func (r *planReader) applySettings(plan *rollout.Plan, own []byte, getenv func(string) string) error {
	settings, err := yaml.Marshal(r.file.Settings)
	if err != nil {
		return r.at("settings", err)
	}
	plan.Settings = settings
	next, err := Overlay(own, settings)
	if err != nil {
		return r.at("settings", err)
	}
	if _, _, err := ParseFile(r.name+" over this copy's file", next, getenv); err != nil {
		return r.at("settings", fmt.Errorf("settings: %w", err))
	}
	plan.Target = CommonHash(next)
	return nil
}
