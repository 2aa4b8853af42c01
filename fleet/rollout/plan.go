package rollout

import (
	"fmt"
	"math"
	"time"
)

// Defaults of a plan.
const (
	DefaultSoak    = 30 * time.Second
	DefaultWatch   = 10 * time.Second // or the first stage's soak, if that is shorter
	DefaultWait    = 30 * time.Second
	DefaultUnknown = 5 * time.Minute
	DefaultExpires = 2 * time.Hour
)

// DefaultStages are first one copy, then one of each zone, then parts.
func DefaultStages() []Stage {
	return []Stage{{Count: 1, Soak: DefaultSoak}, {PerZone: true, Soak: DefaultSoak}, {Part: 0.05, Soak: DefaultSoak}, {Part: 0.25, Soak: DefaultSoak},
		{Part: 0.5, Soak: DefaultSoak}, {Part: 1, Soak: DefaultSoak}}
}

// Complete fills in what a plan leaves out.
func (p *Plan) Complete() {
	if len(p.Stages) == 0 {
		p.Stages = DefaultStages()
	}
	for i := range p.Stages {
		if p.Stages[i].Soak == 0 {
			p.Stages[i].Soak = DefaultSoak
		}
	}
	if p.Watch == 0 {
		p.Watch = min(DefaultWatch, p.Stages[0].Soak)
	}
	if p.Away == 0 {
		p.Away = 1
	}
	if p.Wait == 0 {
		p.Wait = DefaultWait
	}
	if p.Unknown == 0 {
		p.Unknown = DefaultUnknown
	}
	if p.Expires == 0 {
		p.Expires = DefaultExpires
	}
	p.Guards.complete()
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

// StandsError says that a plan stands, or that none does.
type StandsError struct {
	ID    string
	Phase Phase
}

func (e *StandsError) Error() string {
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
	case len(p.Text) > MostText:
		return bad("settings", len(p.Text), fmt.Sprintf("at most %d bytes", MostText))
	case len(p.Stages) == 0 || len(p.Stages) > MostStages:
		return bad("stages", len(p.Stages), fmt.Sprintf("1 to %d stages", MostStages))
	case p.Least > p.Most:
		return bad("speaks", fmt.Sprintf("%d to %d", p.Least, p.Most), "the least and the most level, as proxy version prints them")
	case p.Away < 1 || p.Away > MostCopies:
		return bad("away", p.Away, "1 or more copies at once")
	case p.Wait <= 0 || p.Wait > time.Hour:
		return bad("wait", p.Wait, "a time up to 1h, as in 30s")
	case p.Watch < 0 || p.Watch > time.Hour:
		return bad("watch", p.Watch, "a time up to 1h, as in 10s")
	case p.Unknown <= 0 || p.Unknown > 24*time.Hour:
		return bad("unknown", p.Unknown, "a time up to 24h, as in 5m")
	case p.Expires <= 0 || p.Expires > 30*24*time.Hour:
		return bad("expires", p.Expires, "a time up to 720h, as in 2h")
	}
	for i, s := range p.Stages {
		at := fmt.Sprintf("stages[%d]", i)
		switch {
		case s.Count < 0 || s.Count > MostCopies:
			return bad(at+".count", s.Count, "a number of copies")
		case !(s.Part >= 0 && s.Part <= 1):
			return bad(at+".part", s.Part, "a part from 0 to 1")
		case s.Count == 0 && s.Part == 0 && !s.PerZone:
			return bad(at, "nothing", "count, part or per_zone")
		case s.Soak <= 0 || s.Soak > 24*time.Hour:
			return bad(at+".soak", s.Soak, "a time up to 24h, as in 30s")
		}
	}
	return p.Guards.check()
}

// Size is how many of all copies a stage has changed by its end.
func (p *Plan) Size(stage, all, zones int) int {
	n := 0
	for i := 0; i <= stage && i < len(p.Stages); i++ { // never fewer than the stage before
		s := p.Stages[i]
		here := max(s.Count, int(math.Ceil(s.Part*float64(all)-1e-9)))
		if s.PerZone {
			here = max(here, zones)
		}
		n = max(n, here)
	}
	return min(n, all)
}
