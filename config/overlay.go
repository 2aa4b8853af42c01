package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"ryerill/fleet/rollout"
	"ryerill/internal/yamlfile"
)

// ownKeys are those of a file that are one copy's own: a plan for a fleet leaves them
// alone, and so does the hash by which copies compare what they hold.
var ownKeys = []string{"name", "seed", "mgmt", "machine", "listeners", "fleet"}

func tree(text []byte) (map[string]any, error) {
	m := map[string]any{}
	if err := yaml.Unmarshal(text, &m); err != nil {
		return nil, err
	}
	return m, nil
}

// CommonHash identifies the settings that copies have in common.
func CommonHash(text []byte) string {
	m, err := tree(text)
	if err != nil {
		return SettingsHash(text)
	}
	for _, k := range ownKeys {
		delete(m, k)
	}
	for _, p := range pools(m) {
		delete(p, "copy")
	}
	plain, err := json.Marshal(m) // with keys in order
	if err != nil {
		return SettingsHash(text)
	}
	sum := sha256.Sum256(plain)
	return hex.EncodeToString(sum[:8])
}

// SettingsHash identifies a text by its bytes.
func SettingsHash(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:8])
}

func pools(m map[string]any) (all []map[string]any) {
	list, _ := m["pools"].([]any)
	for _, p := range list {
		if pool, ok := p.(map[string]any); ok {
			all = append(all, pool)
		}
	}
	return all
}

// Overlay lays a plan's settings over a copy's own file: whole keys of the file are
// replaced, what is the copy's own stays.
func Overlay(own, plan []byte) ([]byte, error) {
	m, err := tree(own)
	if err != nil {
		return nil, err
	}
	over, err := tree(plan)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	numbers := map[any]any{}
	for _, p := range pools(m) {
		if n, there := p["copy"]; there {
			numbers[p["name"]] = n
		}
	}
	for k, v := range over {
		if slices.Contains(ownKeys, k) {
			return nil, fmt.Errorf("settings.%s: is each copy's own: take it out of the plan", k)
		}
		m[k] = v
	}
	for _, p := range pools(m) {
		delete(p, "copy")
		if n, there := numbers[p["name"]]; there {
			p["copy"] = n
		}
	}
	return yaml.Marshal(m)
}

// PlanFile is a plan as a person writes it, in YAML.
type PlanFile struct {
	ID               string         `yaml:"id"`
	Kind             string         `yaml:"kind"`
	Settings         map[string]any `yaml:"settings,omitempty"`
	Program          string         `yaml:"program,omitempty"` // version
	Levels           []uint8        `yaml:"speaks,omitempty"`  // least and most level that it speaks, as proxy version prints
	Stages           []StageFile    `yaml:"stages,omitempty"`
	MaxUnavailable   int            `yaml:"away,omitempty"`
	Baseline         time.Duration  `yaml:"watch,omitempty"`
	ReadyTimeout     time.Duration  `yaml:"wait,omitempty"`
	ExtraObservation time.Duration  `yaml:"unknown,omitempty"`
	RollBack         *bool          `yaml:"back,omitempty"` // default true
	ExpiresAfter     time.Duration  `yaml:"expires,omitempty"`
	Guardrails       GuardrailsFile `yaml:"guards,omitempty"`
}

// StageFile is one stage.
type StageFile struct {
	Count       int           `yaml:"count,omitempty"`
	Fraction    float64       `yaml:"part,omitempty"`
	PerZone     bool          `yaml:"per_zone,omitempty"`
	Observation time.Duration `yaml:"soak,omitempty"`
}

// GuardrailsFile says what a stage must not cost.
type GuardrailsFile struct {
	Goodput          float64 `yaml:"goodput,omitempty"`
	Latency          float64 `yaml:"latency,omitempty"`
	FalseAlarm       float64 `yaml:"wrong,omitempty"`
	MissedRegression float64 `yaml:"missed,omitempty"`

	Attempts float64 `yaml:"attempts,omitempty"`
	Memory   float64 `yaml:"memory,omitempty"`
}

// ParsePlan reads a plan. What is at fault is named with file, line and key. Its target
// is that of a copy whose own file is given.
func ParsePlan(name string, text, own []byte, getenv func(string) string) (p rollout.Plan, err error) {
	f := new(PlanFile)
	tree, err := yamlfile.Decode(name, text, f)
	if err != nil {
		return p, err
	}
	at := func(key string, err error) error { return fmt.Errorf("%s%s: %w", name, tree.Position(key), err) }
	p = rollout.Plan{ID: f.ID, Kind: map[string]rollout.Kind{"settings": rollout.Settings, "program": rollout.Program}[f.Kind], MaxUnavailable: f.MaxUnavailable, Baseline: f.Baseline, ReadyTimeout: f.ReadyTimeout, ExtraObservation: f.ExtraObservation,
		RollBack: f.RollBack == nil || *f.RollBack, ExpiresAfter: f.ExpiresAfter, Target: f.Program, Guardrails: rollout.Guardrails(f.Guardrails)}
	switch len(f.Levels) {
	case 0:
	case 2:
		p.MinLevel, p.MaxLevel = f.Levels[0], f.Levels[1]
	default:
		return p, at("speaks", fmt.Errorf("speaks: unexpected value %v, want the least and the most level, as in [1, 2]", f.Levels))
	}
	for _, s := range f.Stages {
		p.Stages = append(p.Stages, rollout.Stage(s))
	}
	switch {
	case p.Kind == 0:
		return p, at("kind", fmt.Errorf("kind: unexpected value %q, want settings or program", f.Kind))
	case p.Kind == rollout.Settings && len(f.Settings) == 0:
		return p, at("settings", fmt.Errorf("settings: missing: say which keys of the configuration are replaced"))
	case p.Kind == rollout.Program && f.Program == "":
		return p, at("program", fmt.Errorf("program: missing: say which version proxy version is to print"))
	case p.Kind == rollout.Settings:
		if p.Settings, err = yaml.Marshal(f.Settings); err != nil {
			return p, at("settings", err)
		}
		next, err := Overlay(own, p.Settings)
		if err != nil {
			return p, at("settings", err)
		}
		if _, _, err := ParseFile(name+" over this copy's file", next, getenv); err != nil {
			return p, at("settings", fmt.Errorf("settings: %w", err))
		}
		p.Target = CommonHash(next)
	}
	p.Complete()
	if err := p.Check(); err != nil {
		key, _, _ := strings.Cut(err.Error(), ":")
		return p, at(key, err)
	}
	return p, nil
}
