package rollout

import (
	"fmt"
	"math"
	"time"
)

// Defaults of a plan.
const (
	DefaultObservation      = 30 * time.Second
	DefaultBaseline         = 10 * time.Second // or the first stage's soak, if that is shorter
	DefaultReadyTimeout     = 30 * time.Second
	DefaultExtraObservation = 5 * time.Minute
	DefaultExpires          = 2 * time.Hour
)

// DefaultStages are first one copy, then one of each zone, then parts.
func DefaultStages() []Stage {
	return []Stage{{Count: 1, Observation: DefaultObservation}, {PerZone: true, Observation: DefaultObservation}, {Fraction: 0.05, Observation: DefaultObservation}, {Fraction: 0.25, Observation: DefaultObservation},
		{Fraction: 0.5, Observation: DefaultObservation}, {Fraction: 1, Observation: DefaultObservation}}
}

// Complete fills in what a plan leaves out.
func (p *Plan) Complete() {
	if len(p.Stages) == 0 {
		p.Stages = DefaultStages()
	}
	for i := range p.Stages {
		if p.Stages[i].Observation == 0 {
			p.Stages[i].Observation = DefaultObservation
		}
	}
	if p.Baseline == 0 {
		p.Baseline = min(DefaultBaseline, p.Stages[0].Observation)
	}
	if p.MaxUnavailable == 0 {
		p.MaxUnavailable = 1
	}
	if p.ReadyTimeout == 0 {
		p.ReadyTimeout = DefaultReadyTimeout
	}
	if p.ExtraObservation == 0 {
		p.ExtraObservation = DefaultExtraObservation
	}
	if p.ExpiresAfter == 0 {
		p.ExpiresAfter = DefaultExpires
	}
	p.Guardrails.complete()
}

// KeyError names what is at fault in a plan.
type KeyError struct {
	Key   string
	Value any
	Want  string
}

func (e *KeyError) Error() string {
	return fmt.Sprintf("%s: unexpected value %q, want %s", e.Key, fmt.Sprint(e.Value), e.Want)
}

// PlanStateError says that a plan stands, or that none does.
type PlanStateError struct {
	ID    string
	Phase Phase
}

func (e *PlanStateError) Error() string {
	if e.Phase.Ended() {
		return "no plan stands"
	}
	return fmt.Sprintf("plan %s stands and is %v: wait for its end, or abort it", e.ID, e.Phase)
}

// Check names what is at fault in a completed plan.
func (p *Plan) Check() error {
	bad := func(key string, value any, want string) error { return &KeyError{key, value, want} }
	switch {
	case p.ID == "" || len(p.ID) > 64:
		return bad("id", p.ID, "a name of at most 64 bytes")
	case p.Kind != Settings && p.Kind != Program:
		return bad("kind", p.Kind, "settings or program")
	case p.Target == "" || len(p.Target) > 64:
		return bad("target", p.Target, "a version of at most 64 bytes")
	case len(p.Settings) > MaxSettings:
		return bad("settings", len(p.Settings), fmt.Sprintf("at most %d bytes", MaxSettings))
	case len(p.Stages) == 0 || len(p.Stages) > MaxStages:
		return bad("stages", len(p.Stages), fmt.Sprintf("1 to %d stages", MaxStages))
	case p.MinLevel > p.MaxLevel:
		return bad("speaks", fmt.Sprintf("%d to %d", p.MinLevel, p.MaxLevel), "the least and the most level, as proxy version prints them")
	case p.MaxUnavailable < 1 || p.MaxUnavailable > MaxReplicas:
		return bad("away", p.MaxUnavailable, "1 or more copies at once")
	case p.ReadyTimeout <= 0 || p.ReadyTimeout > time.Hour:
		return bad("wait", p.ReadyTimeout, "a time up to 1h, as in 30s")
	case p.Baseline < 0 || p.Baseline > time.Hour:
		return bad("watch", p.Baseline, "a time up to 1h, as in 10s")
	case p.ExtraObservation <= 0 || p.ExtraObservation > 24*time.Hour:
		return bad("unknown", p.ExtraObservation, "a time up to 24h, as in 5m")
	case p.ExpiresAfter <= 0 || p.ExpiresAfter > 30*24*time.Hour:
		return bad("expires", p.ExpiresAfter, "a time up to 720h, as in 2h")
	}
	for i, s := range p.Stages {
		at := fmt.Sprintf("stages[%d]", i)
		switch {
		case s.Count < 0 || s.Count > MaxReplicas:
			return bad(at+".count", s.Count, "a number of copies")
		case !(s.Fraction >= 0 && s.Fraction <= 1):
			return bad(at+".part", s.Fraction, "a part from 0 to 1")
		case s.Count == 0 && s.Fraction == 0 && !s.PerZone:
			return bad(at, "nothing", "count, part or per_zone")
		case s.Observation <= 0 || s.Observation > 24*time.Hour:
			return bad(at+".soak", s.Observation, "a time up to 24h, as in 30s")
		}
	}
	return p.Guardrails.check()
}

// Size is how many of all copies a stage has changed by its end.
func (p *Plan) Size(stage, all, zones int) int {
	n := 0
	for i := 0; i <= stage && i < len(p.Stages); i++ { // never fewer than the stage before
		s := p.Stages[i]
		here := max(s.Count, int(math.Ceil(s.Fraction*float64(all)-1e-9)))
		if s.PerZone {
			here = max(here, zones)
		}
		n = max(n, here)
	}
	return min(n, all)
}
