package rollout

import (
	"fmt"
	"math"
	"time"
)

// Bounds of a plan.
const (
	MaxSettings = 256 << 10 // bytes
	MaxStages   = 32
	MaxReplicas = 8192

	maxNameBytes        = 64 // of an ID or a target
	maxReadyTimeout     = time.Hour
	maxBaseline         = time.Hour
	maxObservation      = 24 * time.Hour
	maxExtraObservation = 24 * time.Hour
	maxExpiresAfter     = 30 * 24 * time.Hour
)

// Defaults of a plan. The baseline is observed no longer than the first stage.
const (
	DefaultObservation      = 30 * time.Second
	DefaultBaseline         = 10 * time.Second
	DefaultReadyTimeout     = 30 * time.Second
	DefaultExtraObservation = 5 * time.Minute
	DefaultExpires          = 2 * time.Hour
)

// Kind is what a plan changes.
type Kind uint8

// The kinds of change.
const (
	Settings Kind = iota + 1
	Program
)

// Stage is one step of a plan. The largest of Count, Fraction and PerZone determines its size.
type Stage struct {
	Count       int           `json:"Count"`   // total of changed replicas by the end of the stage
	Fraction    float64       `json:"Part"`    // of all replicas
	PerZone     bool          `json:"PerZone"` // at least as many replicas as there are zones
	Observation time.Duration `json:"Soak"`    // how long the changed replicas are observed
}

// Plan is the change that an operator wants.
type Plan struct {
	ID               string        `json:"ID"`
	Kind             Kind          `json:"Kind"`
	Target           string        `json:"Target"` // the settings' hash, or the program's version
	Settings         []byte        `json:"Text"`
	Stages           []Stage       `json:"Stages"`
	MaxUnavailable   int           `json:"Away"`    // replicas that may be changing or not ready at once
	Baseline         time.Duration `json:"Watch"`   // how long replicas are compared before the first is changed
	ReadyTimeout     time.Duration `json:"Wait"`    // how long a replica may take to change and be ready
	ExtraObservation time.Duration `json:"Unknown"` // how much longer a stage is observed while undecided
	RollBack         bool          `json:"Back"`    // roll back if a stage regresses; otherwise stop
	ExpiresAfter     time.Duration `json:"Expires"` // since the start; no stage begins after it
	Guardrails       Guardrails    `json:"Guards"`
	MinLevel         uint8         `json:"Least"` // protocol levels that the program speaks; 0 if not stated
	MaxLevel         uint8         `json:"Most"`
}

// Guardrails bound the cost of a stage and the error probabilities of decisions.
type Guardrails struct {
	Goodput          float64 `json:"Goodput"` // greatest loss of goodput, in points as a fraction of 1
	Latency          float64 `json:"Latency"` // greatest growth of latency, as a fraction
	FalseAlarm       float64 `json:"Wrong"`   // probability that a harmless change is stopped, over a whole plan
	MissedRegression float64 `json:"Missed"`  // probability that a change that costs Goodput passes a stage

	Attempts float64 `json:"Attempts"` // greatest growth of attempts a request, as a fraction
	Memory   float64 `json:"Memory"`   // greatest excess over unchanged replicas, as a fraction; at least 16 MB
}

// Defaults of guardrails.
const (
	defaultMaxGoodputLoss   = 0.05
	defaultMaxLatencyGrowth = 0.3
	defaultFalseAlarm       = 0.01
	defaultMissedRegression = 0.02
	defaultMaxAttemptGrowth = 0.3
	defaultMaxMemoryExcess  = 0.5
)

// KeyError names the key of a plan that is invalid.
type KeyError struct {
	Key   string
	Value any
	Want  string
}

// Error names the key, its value and what is wanted.
func (e *KeyError) Error() string {
	return fmt.Sprintf("%s: unexpected value %q, want %s", e.Key, fmt.Sprint(e.Value), e.Want)
}

// PlanStateError reports that another plan is active, or that none is.
type PlanStateError struct {
	ID    string
	Phase Phase
}

// Error names the active plan, if there is one.
func (e *PlanStateError) Error() string {
	if e.Phase.Ended() {
		return "no plan stands"
	}
	return fmt.Sprintf("plan %s stands and is %v: wait for its end, or abort it", e.ID, e.Phase)
}

// CommandError reports an unknown operator command.
type CommandError struct {
	Command string
}

// Error names the command and the valid ones.
func (e *CommandError) Error() string {
	return fmt.Sprintf("unexpected command %q, want %s, %s, %s or %s",
		e.Command, commandPause, commandResume, commandAbort, commandBack)
}

// DefaultStages returns the default stages: one replica, one per zone, then growing fractions.
func DefaultStages() []Stage {
	return []Stage{
		{Count: 1, Observation: DefaultObservation},
		{PerZone: true, Observation: DefaultObservation},
		{Fraction: 0.05, Observation: DefaultObservation},
		{Fraction: 0.25, Observation: DefaultObservation},
		{Fraction: 0.5, Observation: DefaultObservation},
		{Fraction: 1, Observation: DefaultObservation},
	}
}

// Complete fills in the defaults of what a plan leaves out.
func (p *Plan) Complete() {
	if len(p.Stages) == 0 {
		p.Stages = DefaultStages()
	}
	for i := range p.Stages {
		setDefault(&p.Stages[i].Observation, DefaultObservation)
	}
	setDefault(&p.Baseline, min(DefaultBaseline, p.Stages[0].Observation))
	setDefault(&p.MaxUnavailable, 1)
	setDefault(&p.ReadyTimeout, DefaultReadyTimeout)
	setDefault(&p.ExtraObservation, DefaultExtraObservation)
	setDefault(&p.ExpiresAfter, DefaultExpires)
	p.Guardrails.complete()
}

func (g *Guardrails) complete() {
	setDefault(&g.Goodput, defaultMaxGoodputLoss)
	setDefault(&g.Latency, defaultMaxLatencyGrowth)
	setDefault(&g.FalseAlarm, defaultFalseAlarm)
	setDefault(&g.MissedRegression, defaultMissedRegression)
	setDefault(&g.Attempts, defaultMaxAttemptGrowth)
	setDefault(&g.Memory, defaultMaxMemoryExcess)
}

// setDefault sets a value that is zero.
func setDefault[T comparable](value *T, byDefault T) {
	var zero T
	if *value == zero {
		*value = byDefault
	}
}

// Check returns a KeyError for the first invalid key of a completed plan.
func (p *Plan) Check() error {
	if err := p.checkChange(); err != nil {
		return err
	}
	if err := p.checkTimes(); err != nil {
		return err
	}
	for i := range p.Stages {
		if err := p.Stages[i].check(fmt.Sprintf("stages[%d]", i)); err != nil {
			return err
		}
	}
	return p.Guardrails.check()
}

func (p *Plan) checkChange() error {
	switch {
	case p.ID == "" || len(p.ID) > maxNameBytes:
		return &KeyError{"id", p.ID, "a name of at most 64 bytes"}
	case p.Kind != Settings && p.Kind != Program:
		return &KeyError{"kind", p.Kind, "settings or program"}
	case p.Target == "" || len(p.Target) > maxNameBytes:
		return &KeyError{"target", p.Target, "a version of at most 64 bytes"}
	case len(p.Settings) > MaxSettings:
		return &KeyError{"settings", len(p.Settings), fmt.Sprintf("at most %d bytes", MaxSettings)}
	case len(p.Stages) == 0 || len(p.Stages) > MaxStages:
		return &KeyError{"stages", len(p.Stages), fmt.Sprintf("1 to %d stages", MaxStages)}
	case p.MinLevel > p.MaxLevel:
		levels := fmt.Sprintf("%d to %d", p.MinLevel, p.MaxLevel)
		return &KeyError{"speaks", levels, "the least and the most level, as proxy version prints them"}
	case p.MaxUnavailable < 1 || p.MaxUnavailable > MaxReplicas:
		return &KeyError{"away", p.MaxUnavailable, "1 or more copies at once"}
	}
	return nil
}

func (p *Plan) checkTimes() error {
	switch {
	case p.ReadyTimeout <= 0 || p.ReadyTimeout > maxReadyTimeout:
		return &KeyError{"wait", p.ReadyTimeout, "a time up to 1h, as in 30s"}
	case p.Baseline < 0 || p.Baseline > maxBaseline:
		return &KeyError{"watch", p.Baseline, "a time up to 1h, as in 10s"}
	case p.ExtraObservation <= 0 || p.ExtraObservation > maxExtraObservation:
		return &KeyError{"unknown", p.ExtraObservation, "a time up to 24h, as in 5m"}
	case p.ExpiresAfter <= 0 || p.ExpiresAfter > maxExpiresAfter:
		return &KeyError{"expires", p.ExpiresAfter, "a time up to 720h, as in 2h"}
	}
	return nil
}

func (s *Stage) check(key string) error {
	switch {
	case s.Count < 0 || s.Count > MaxReplicas:
		return &KeyError{key + ".count", s.Count, "a number of copies"}
	case !(s.Fraction >= 0 && s.Fraction <= 1):
		return &KeyError{key + ".part", s.Fraction, "a part from 0 to 1"}
	case s.Count == 0 && s.Fraction == 0 && !s.PerZone:
		return &KeyError{key, "nothing", "count, part or per_zone"}
	case s.Observation <= 0 || s.Observation > maxObservation:
		return &KeyError{key + ".soak", s.Observation, "a time up to 24h, as in 30s"}
	}
	return nil
}

func (g *Guardrails) check() error {
	for _, guardrail := range []struct {
		key   string
		value float64
		min   float64
		max   float64
	}{
		{"guards.goodput", g.Goodput, 0.001, 1},
		{"guards.latency", g.Latency, 0.01, 100},
		{"guards.wrong", g.FalseAlarm, 1e-6, 0.5},
		{"guards.missed", g.MissedRegression, 1e-6, 0.5},
		{"guards.attempts", g.Attempts, 0.01, 100},
		{"guards.memory", g.Memory, 0.01, 100},
	} {
		if !(guardrail.value >= guardrail.min && guardrail.value <= guardrail.max) {
			want := fmt.Sprintf("a number from %g to %g", guardrail.min, guardrail.max)
			return &KeyError{guardrail.key, guardrail.value, want}
		}
	}
	return nil
}

// roundingTolerance prevents a product slightly above a whole number from being rounded up.
const roundingTolerance = 1e-9

// Size returns how many replicas are changed by the end of a stage in a fleet of this many replicas and zones. It never
// decreases from one stage to the next.
func (p *Plan) Size(stage, replicas, zones int) int {
	size := 0
	for i := 0; i <= stage && i < len(p.Stages); i++ {
		size = max(size, p.Stages[i].size(replicas, zones))
	}
	return min(size, replicas)
}

func (s *Stage) size(replicas, zones int) int {
	fraction := int(math.Ceil(s.Fraction*float64(replicas) - roundingTolerance))
	size := max(s.Count, fraction)
	if s.PerZone {
		size = max(size, zones)
	}
	return size
}
