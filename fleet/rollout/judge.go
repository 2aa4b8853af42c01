package rollout

import (
	"fmt"
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// Guards say what a stage must not cost, and how sure one has to be.
type Guards struct {
	Goodput float64 // points of goodput, as a part of 1, that must not be lost
	Latency float64 // part by which answers must not become slower
	Wrong   float64 // chance that a harmless change is stopped, over a whole plan
	Missed  float64 // chance that a change that costs as much as Goodput passes a stage
}

func (g *Guards) complete() {
	or := func(v *float64, other float64) {
		if *v == 0 {
			*v = other
		}
	}
	or(&g.Goodput, 0.05)
	or(&g.Latency, 0.3)
	or(&g.Wrong, 0.01)
	or(&g.Missed, 0.02)
}

func (g *Guards) check() error {
	for _, c := range []struct {
		key         string
		v           float64
		least, most float64
	}{{"guards.goodput", g.Goodput, 0.001, 1}, {"guards.latency", g.Latency, 0.01, 100}, {"guards.wrong", g.Wrong, 1e-6, 0.5}, {"guards.missed", g.Missed, 1e-6, 0.5}} {
		if !(c.v >= c.least && c.v <= c.most) {
			return &KeyError{c.key, c.v, fmt.Sprintf("a number from %g to %g", c.least, c.most)}
		}
	}
	return nil
}

// Report is what one copy did in one span.
type Report struct {
	Name    string
	Zone    string
	Pool    string
	Span    uint64  // number of the span by a clock that all know about alike
	Asked   float64 // worth asked for
	Good    float64 // worth answered in time
	Answers float64
	Took    float64 // seconds that answers took, in all
	Plan    string  // that it was told last, and why it could not
	Refused string
}

func (r *Report) sound() bool {
	for _, v := range []float64{r.Asked, r.Good, r.Answers, r.Took} {
		if !(v >= 0 && v < 1e12) {
			return false
		}
	}
	return r.Name != "" && r.Good <= r.Asked*1.0001
}

// Answer is what is known of a stage.
type Answer uint8

// The answers.
const (
	Unknown Answer = iota
	Good
	Bad
)

// place is a span in a zone and pool: what moves both changed and unchanged copies
// there, the day's load or a provider in trouble, moves both alike.
type place struct {
	zone, pool string
	span       uint64
}

type side struct {
	n                          float64 // copies
	asked, good, answers, took float64
	parts                      []float64 // goodput of each, for how far they differ by themselves
	times                      []float64 // mean time of each
}

func (s *side) add(r *Report) {
	s.n++
	s.asked, s.good, s.answers, s.took = s.asked+r.Asked, s.good+r.Good, s.answers+r.Answers, s.took+r.Took
	if r.Asked > 0 {
		s.parts = append(s.parts, r.Good/r.Asked)
	}
	if r.Answers > 0 {
		s.times = append(s.times, r.Took/r.Answers)
	}
}

// Judge compares copies that were changed with those that were not, over the same span,
// zone and pool: a sequential probability ratio test (Wald, 1945) of no cost against the
// cost that the guards name.
type Judge struct {
	guards  Guards
	changed map[string]bool
	open    map[place]*[2]side
	newest  uint64
	good    float64 // log of how much more likely the cost is than none
	late    float64
	spans   int
	seen    map[string]uint64
}

const (
	lag        = 3 // spans after which one is closed
	mostPlaces = 4096
	stages     = 6.0 // over which the chance of a wrong stop is divided
	leastAsked = 3.0 // on either side of a comparison
	mostLogs   = 3.0 // that one span may add: a single odd second decides nothing
)

// NewJudge returns a judge of copies that were changed.
func NewJudge(g Guards, changed []string) *Judge {
	g.complete()
	j := &Judge{guards: g, changed: map[string]bool{}, open: map[place]*[2]side{}, seen: map[string]uint64{}}
	for _, name := range changed {
		j.changed[name] = true
	}
	return j
}

// Hear takes a report in.
func (j *Judge) Hear(_ time.Duration, r Report) {
	if !r.sound() || r.Span+lag < j.newest || len(j.open) >= mostPlaces {
		return
	}
	key := r.Name + "/" + r.Pool
	if j.seen[key] >= r.Span {
		return // heard already
	}
	j.seen[key] = r.Span
	at := place{r.Zone, r.Pool, r.Span}
	p := j.open[at]
	if p == nil {
		p = &[2]side{}
		j.open[at] = p
	}
	which := 0
	if j.changed[r.Name] {
		which = 1
	}
	p[which].add(&r)
	if r.Span > j.newest {
		j.newest = r.Span
		j.close()
	}
}

// close compares the spans that are over.
func (j *Judge) close() {
	spans := map[uint64]bool{}
	for at, p := range j.open {
		if at.span+lag > j.newest {
			continue
		}
		delete(j.open, at)
		if p[0].asked < leastAsked || p[1].asked < leastAsked {
			continue
		}
		spans[at.span] = true
		j.good += clamp(j.compareGood(&p[0], &p[1]))
		if p[0].answers >= leastAsked && p[1].answers >= leastAsked && p[0].took > 0 {
			j.late += clamp(j.compareTimes(&p[0], &p[1]))
		}
	}
	j.spans += len(spans)
}

func clamp(v float64) float64 { return min(max(v, -mostLogs), mostLogs) }

// compareGood is how much one span says for the cost. What differs among copies that
// are alike widens what is allowed, as their own spread shows it.
func (j *Judge) compareGood(old, changed *side) float64 {
	a, b := old.good/old.asked, changed.good/changed.asked
	pool := (old.good + changed.good + 1) / (old.asked + changed.asked + 2)
	spread := max(pool*(1-pool), 0.002)
	wider := max(overdispersion(old.parts, a, spread, old.asked/max(old.n, 1)), 1)
	variance := spread * wider * (1/old.asked + 1/changed.asked)
	cost := j.guards.Goodput
	return (cost/variance)*(a-b) - cost*cost/(2*variance)
}

// overdispersion is how much more copies that are alike differ than chance has them.
func overdispersion(parts []float64, mean, spread, each float64) float64 {
	if len(parts) < 3 || each <= 0 {
		return 1.5
	}
	sum := 0.0
	for _, p := range parts {
		sum += (p - mean) * (p - mean)
	}
	n := float64(len(parts) - 1)
	ratio := sum / n / (spread / each)
	// Only what lies beyond what chance alone would show in 9 of 10 cases.
	return max(ratio/(distuv.ChiSquared{K: n}.Quantile(0.9)/n), 1)
}

func (j *Judge) compareTimes(old, changed *side) float64 {
	a, b := old.took/old.answers, changed.took/changed.answers
	if a <= 0 || b <= 0 {
		return 0
	}
	// Single answers vary about as much as their mean; copies as they show.
	variance := 1/old.answers + 1/changed.answers
	if len(old.times) >= 3 {
		sum := 0.0
		for _, t := range old.times {
			d := math.Log(max(t, 1e-9) / a)
			sum += d * d
		}
		variance = max(variance, sum/float64(len(old.times)-1)*(1/old.n+1/changed.n))
	}
	d, cost := math.Log(b/a), math.Log(1+j.guards.Latency)
	return (cost*d - cost*cost/2) / variance
}

// Verdict tells what is known.
func (j *Judge) Verdict(time.Duration) (Answer, string) {
	// Two things are tested, in up to six stages: the chance of a wrong stop is divided.
	wrong := j.guards.Wrong / (2 * stages)
	upper, lower := math.Log((1-j.guards.Missed)/wrong), math.Log(j.guards.Missed/(1-wrong))
	switch {
	case j.good >= upper:
		return Bad, fmt.Sprintf("goodput is lower than that of unchanged copies by %.3g or so (evidence %.1f of %.1f)", j.guards.Goodput, j.good, upper)
	case j.late >= upper:
		return Bad, fmt.Sprintf("answers are slower than those of unchanged copies by %.0f%% or so (evidence %.1f of %.1f)", 100*j.guards.Latency, j.late, upper)
	case j.good <= lower:
		return Good, fmt.Sprintf("no lower goodput over %d spans (evidence %.1f of %.1f)", j.spans, j.good, lower)
	}
	return Unknown, fmt.Sprintf("evidence %.1f, between %.1f and %.1f, over %d spans", j.good, lower, upper, j.spans)
}

// Deaths tells whether a changed copy's death is more than what unchanged copies show
// at the same time: with as many of those dead it says nothing.
func (j *Judge) Deaths(_ string, others, of int) bool {
	if of <= 0 {
		return true
	}
	// The chance that one copy would be gone too, if copies died as the unchanged ones do.
	p := distuv.Beta{Alpha: float64(others) + 0.02, Beta: float64(of-others) + 2}.Mean()
	return p < 0.1
}
