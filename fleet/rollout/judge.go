package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// Guardrails say what a stage must not cost, and how sure one has to be.
type Guardrails struct {
	Goodput          float64 `json:"Goodput"` // points of goodput, as a part of 1, that must not be lost
	Latency          float64 `json:"Latency"` // part by which answers must not become slower
	FalseAlarm       float64 `json:"Wrong"`   // chance that a harmless change is stopped, over a whole plan
	MissedRegression float64 `json:"Missed"`  // chance that a change that costs as much as Goodput passes a stage

	Attempts float64 `json:"Attempts"` // part by which calls to providers for each request must not grow
	Memory   float64 `json:"Memory"`   // part by which a copy's memory must not lie above that of unchanged ones, and 16 MB
}

func (g *Guardrails) complete() {
	or := func(v *float64, other float64) {
		if *v == 0 {
			*v = other
		}
	}
	or(&g.Goodput, 0.05)
	or(&g.Latency, 0.3)
	or(&g.FalseAlarm, 0.01)
	or(&g.MissedRegression, 0.02)
	or(&g.Attempts, 0.3)
	or(&g.Memory, 0.5)
}

func (g *Guardrails) check() error {
	for _, c := range []struct {
		key         string
		v           float64
		least, most float64
	}{{"guards.goodput", g.Goodput, 0.001, 1}, {"guards.latency", g.Latency, 0.01, 100}, {"guards.wrong", g.FalseAlarm, 1e-6, 0.5}, {"guards.missed", g.MissedRegression, 1e-6, 0.5},
		{"guards.attempts", g.Attempts, 0.01, 100}, {"guards.memory", g.Memory, 0.01, 100}} {
		if !(c.v >= c.least && c.v <= c.most) {
			return &KeyError{c.key, c.v, fmt.Sprintf("a number from %g to %g", c.least, c.most)}
		}
	}
	return nil
}

// Report is what one copy did in one span.
type Report struct {
	Name            string  `json:"Name"`
	Zone            string  `json:"Zone"`
	Pool            string  `json:"Pool"`
	Interval        uint64  `json:"Span"`  // number of the span by a clock that all know about alike
	OfferedWeight   float64 `json:"Asked"` // worth asked for
	ServedWeight    float64 `json:"Good"`  // worth answered in time
	Responses       float64 `json:"Answers"`
	ResponseSeconds float64 `json:"Took"` // seconds that answers took, in all

	Requests      float64 `json:"Requests"` // that ended,
	Attempts      float64 `json:"Attempts"` // and calls to providers that did
	Memory        float64 `json:"Memory"`   // MB that the process holds; 0 is not known
	Plan          string  `json:"Plan"`     // that it was told last, and why it could not
	RefusedReason string  `json:"Refused"`
}

func (r *Report) sound() bool {
	for _, v := range []float64{r.OfferedWeight, r.ServedWeight, r.Responses, r.ResponseSeconds, r.Requests, r.Attempts, r.Memory} {
		if !(v >= 0 && v < 1e12) {
			return false
		}
	}
	return r.Name != "" && r.ServedWeight <= r.OfferedWeight*1.0001
}

// Assessment is what is known of a stage.
type Assessment uint8

// The answers.
const (
	Undecided Assessment = iota
	Passed
	Regressed
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
	requests, attempts         float64
	tries                      []float64 // attempts a request of each
	memory                     []float64 // MB of each
	own, doubt                 float64   // worth that they served more than others before, and the variance of that
}

// add books a report of a copy that served so much more than others before, as a part.
func (s *side) add(r *Report, own, doubt float64) {
	s.n++
	s.own += r.OfferedWeight * own
	s.doubt += r.OfferedWeight * r.OfferedWeight * doubt
	s.asked, s.good, s.answers, s.took = s.asked+r.OfferedWeight, s.good+r.ServedWeight, s.answers+r.Responses, s.took+r.ResponseSeconds
	if r.OfferedWeight > 0 {
		s.parts = append(s.parts, r.ServedWeight/r.OfferedWeight-own)
	}
	if r.Responses > 0 {
		s.times = append(s.times, r.ResponseSeconds/r.Responses)
	}
	if s.requests, s.attempts = s.requests+r.Requests, s.attempts+r.Attempts; r.Requests > 0 && r.Attempts > 0 {
		s.tries = append(s.tries, r.Attempts/r.Requests)
	}
	if r.Memory > 0 {
		s.memory = append(s.memory, r.Memory)
	}
}

// Baseline is how copies differed before any of them was changed: one that always serves
// less than others of its place is not to be blamed on a change.
type Baseline struct {
	open   map[place][]Report
	newest uint64
	copies map[string]*differs
	own    float64 // see differ
	ownAt  uint64
}

// differs is what a copy served, and what the others of its place would have of as much.
type differs struct{ asked, good, others, spread float64 }

const (
	leastBefore = 20.0          // asked for, before a difference counts
	leastOwn    = 0.004 * 0.004 // variance of how copies differ that are alike
)

// NewBaseline returns what knows of nobody.
func NewBaseline() *Baseline {
	return &Baseline{open: map[place][]Report{}, copies: map[string]*differs{}}
}

// AddReport takes a report in of a copy that was not changed.
func (b *Baseline) AddReport(r Report) {
	if !r.sound() || r.Interval+lag < b.newest || len(b.open) >= mostPlaces {
		return
	}
	at := place{r.Zone, r.Pool, r.Interval}
	if slices.ContainsFunc(b.open[at], func(o Report) bool { return o.Name == r.Name }) {
		return
	}
	b.open[at] = append(b.open[at], r)
	if r.Interval <= b.newest {
		return
	}
	b.newest = r.Interval
	for _, at := range inOrder(b.open) {
		if at.span+lag > b.newest {
			continue
		}
		all := b.open[at]
		delete(b.open, at)
		slices.SortFunc(all, func(x, y Report) int { return strings.Compare(x.Name, y.Name) })
		asked, good := 0.0, 0.0
		for _, o := range all {
			asked, good = asked+o.OfferedWeight, good+o.ServedWeight
		}
		for _, o := range all {
			rest := asked - o.OfferedWeight
			if o.OfferedWeight <= 0 || rest < leastAsked || len(b.copies) >= MaxReplicas {
				continue
			}
			d := b.copies[o.Name]
			if d == nil {
				d = &differs{}
				b.copies[o.Name] = d
			}
			p := (good - o.ServedWeight) / rest
			d.asked, d.good, d.others = d.asked+o.OfferedWeight, d.good+o.ServedWeight, d.others+o.OfferedWeight*p
			d.spread += o.OfferedWeight * max(p*(1-p), 0.002) * (1 + o.OfferedWeight/rest)
		}
	}
}

// Difference is by how much goodput of a copy lay above that of the others, as a part of what it
// was asked for, and the variance of that. How far copies differ at all is drawn from all
// of them: what one shows is believed the more, the more that is.
func (b *Baseline) Difference(name string) (by, variance float64) {
	if b == nil {
		return 0, leastOwn
	}
	own, d := b.differ(), b.copies[name]
	if d == nil || d.asked < leastBefore {
		return 0, own
	}
	seen, doubt := (d.good-d.others)/d.asked, d.spread/(d.asked*d.asked)
	return seen * own / (own + doubt), own * doubt / (own + doubt)
}

// Sufficient tells whether it is known well enough how a copy differs to find out what a change
// costs it.
func (b *Baseline) Sufficient(g Guardrails, name string) bool {
	_, doubt := b.Difference(name)
	upper, _ := g.bounds()
	return doubt <= g.Goodput*g.Goodput/(4*upper)
}

// differ is the variance of how copies differ by themselves, beyond what chance shows.
func (b *Baseline) differ() float64 {
	if b.own > 0 && b.ownAt == b.newest {
		return b.own
	}
	b.own, b.ownAt = b.spread(), b.newest
	return b.own
}

func (b *Baseline) spread() float64 {
	sum, n := 0.0, 0.0
	for _, name := range slices.Sorted(maps.Keys(b.copies)) { // so that sums come out alike
		if d := b.copies[name]; d.asked >= leastBefore {
			by := (d.good - d.others) / d.asked
			sum, n = sum+by*by-d.spread/(d.asked*d.asked), n+1
		}
	}
	if n < 2 {
		return leastOwn
	}
	return max(sum/n, leastOwn)
}

// Evaluator compares copies that were changed with those that were not, over the same span,
// zone and pool: a sequential probability ratio test (Wald, 1945) of no cost against the
// cost that the guards name.
type Evaluator struct {
	guards  Guardrails
	changed map[string]bool
	before  *Baseline
	open    map[place]*[2]side
	newest  uint64
	doubt   float64 // variance of how they differed before, against that of what was seen since
	good    float64 // log of how much more likely the cost is than none
	late    float64
	tries   float64
	heavy   int // spans in a row in which changed copies hold more memory
	spans   int
	seen    map[string]uint64
	points  []Point
}

// Point is what one span came to, over all places: for people, and for charts.
type Point struct {
	Interval         uint64  `json:"Span"`
	BaselineGoodput  float64 `json:"Old"` // goodput of unchanged and of changed copies
	ChangedGoodput   float64 `json:"Changed"`
	BaselineLatency  float64 `json:"OldTook"` // seconds that an answer took
	ChangedLatency   float64 `json:"Took"`
	BaselineAttempts float64 `json:"OldTries"` // calls to providers for each request
	ChangedAttempts  float64 `json:"Tries"`
	BaselineMemory   float64 `json:"OldMemory"` // MB, the largest
	ChangedMemory    float64 `json:"Memory"`
	Evidence         float64 `json:"Evidence"` // of lower goodput, and between which bounds too little is known
	UpperBound       float64 `json:"Up"`
	LowerBound       float64 `json:"Down"`
}

const (
	mostPoints = 600
	lag        = 3 // spans after which one is closed
	mostPlaces = 4096
	stages     = 6.0 // over which the chance of a wrong stop is divided
	leastAsked = 3.0 // on either side of a comparison
	mostLogs   = 3.0 // that one span may add: a single odd second decides nothing
	mostHeavy  = 5   // spans in a row of more memory: what a change allocates at its start is let go
	leastMore  = 16  // MB: less is no matter
	tests      = 3.0 // of the sequential kind, among which the chance of a wrong stop is divided
)

// NewEvaluator returns a judge of copies that were changed, with how they differed before;
// nil is that nothing is known of that.
func NewEvaluator(g Guardrails, changed []string, before *Baseline) *Evaluator {
	g.complete()
	j := &Evaluator{guards: g, before: before, changed: map[string]bool{}, open: map[place]*[2]side{}, seen: map[string]uint64{}}
	for _, name := range changed {
		j.changed[name] = true
	}
	return j
}

// AddReport takes a report in.
func (j *Evaluator) AddReport(_ time.Duration, r Report) {
	if !r.sound() || r.Interval+lag < j.newest || len(j.open) >= mostPlaces {
		return
	}
	key := r.Name + "/" + r.Pool
	if j.seen[key] >= r.Interval {
		return // heard already
	}
	j.seen[key] = r.Interval
	at := place{r.Zone, r.Pool, r.Interval}
	p := j.open[at]
	if p == nil {
		p = &[2]side{}
		j.open[at] = p
	}
	which := 0
	if j.changed[r.Name] {
		which = 1
	}
	own, doubt := j.before.Difference(r.Name)
	p[which].add(&r, own, doubt)
	if r.Interval > j.newest {
		j.newest = r.Interval
		j.close()
	}
}

// close compares the spans that are over.
func (j *Evaluator) close() {
	spans := map[uint64]bool{}
	// Zones in which all copies are alike compare with nobody: their sums over all zones, if no zone of the
	// span has both.
	over := map[place]*[2]side{}
	both := map[place]bool{}
	for _, at := range inOrder(j.open) { // so that sums come out alike
		p := j.open[at]
		if at.span+lag > j.newest {
			continue
		}
		delete(j.open, at)
		whole := place{"", at.pool, at.span}
		if over[whole] == nil {
			over[whole] = &[2]side{}
		}
		over[whole][0].join(&p[0])
		over[whole][1].join(&p[1])
		if p[0].asked >= leastAsked && p[1].asked >= leastAsked {
			both[whole], spans[at.span] = true, true
			j.compare(p)
		}
	}
	for _, at := range inOrder(over) {
		j.weigh(over[at])
		j.note(at.span, over[at])
		if p := over[at]; !both[at] && p[0].asked >= leastAsked && p[1].asked >= leastAsked {
			spans[at.span] = true
			j.compare(p)
		}
	}
	j.spans += len(spans)
}

func inOrder[V any](m map[place]V) []place {
	all := make([]place, 0, len(m))
	for at := range m {
		all = append(all, at)
	}
	slices.SortFunc(all, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.span, b.span), cmp.Compare(a.pool, b.pool), cmp.Compare(a.zone, b.zone))
	})
	return all
}

// compare adds what one span of a place says.
func (j *Evaluator) compare(p *[2]side) {
	says, doubt := j.compareGood(&p[0], &p[1])
	counts := clamp(says)
	if j.good += counts; says != 0 {
		j.doubt += doubt * counts / says // as much of it as counts
	}
	if p[0].answers >= leastAsked && p[1].answers >= leastAsked && p[0].took > 0 {
		j.late += clamp(compareRatios(&p[0], &p[1], j.guards.Latency, p[0].took/p[0].answers, p[1].took/p[1].answers, p[0].answers, p[1].answers, p[0].times))
	}
	if p[0].requests >= leastAsked && p[1].requests >= leastAsked && p[0].attempts > 0 {
		j.tries += clamp(compareRatios(&p[0], &p[1], j.guards.Attempts, p[0].attempts/p[0].requests, p[1].attempts/p[1].requests, p[0].requests, p[1].requests, p[0].tries))
	}
}

// note keeps what a span came to, of the first pool by name that has both sides.
func (j *Evaluator) note(span uint64, p *[2]side) {
	if p[0].asked <= 0 || p[1].asked <= 0 {
		return
	}
	ratio := func(a, b float64) float64 {
		if b <= 0 {
			return 0
		}
		return a / b
	}
	most := func(all []float64) (m float64) {
		for _, v := range all {
			m = max(m, v)
		}
		return m
	}
	up, down := j.guards.bounds()
	one := Point{span, ratio(p[0].good, p[0].asked), ratio(p[1].good, p[1].asked), ratio(p[0].took, p[0].answers), ratio(p[1].took, p[1].answers),
		ratio(p[0].attempts, p[0].requests), ratio(p[1].attempts, p[1].requests), most(p[0].memory), most(p[1].memory), j.evidence(), up, down}
	if n := len(j.points); n > 0 && j.points[n-1].Interval == span {
		return
	}
	if j.points = append(j.points, one); len(j.points) > mostPoints {
		j.points = j.points[1:]
	}
}

// evidence is the log of how much more likely the cost is than none. However long one
// watches, how copies differed before is known only so well.
func (j *Evaluator) evidence() float64 { return j.good / (1 + j.doubt) }

// weigh looks whether changed copies hold more memory than any unchanged one does, by
// the median of theirs.
func (j *Evaluator) weigh(p *[2]side) {
	if len(p[0].memory) == 0 || len(p[1].memory) == 0 {
		return
	}
	slices.Sort(p[1].memory)
	usual, now := slices.Max(p[0].memory), p[1].memory[(len(p[1].memory)-1)/2]
	if now > usual*(1+j.guards.Memory) && now > usual+leastMore {
		j.heavy++
	} else {
		j.heavy = 0
	}
}

// join adds another side's sums.
func (s *side) join(o *side) {
	s.own, s.doubt = s.own+o.own, s.doubt+o.doubt
	s.n, s.asked, s.good, s.answers, s.took = s.n+o.n, s.asked+o.asked, s.good+o.good, s.answers+o.answers, s.took+o.took
	s.parts, s.times = append(s.parts, o.parts...), append(s.times, o.times...)
	s.requests, s.attempts = s.requests+o.requests, s.attempts+o.attempts
	s.tries, s.memory = append(s.tries, o.tries...), append(s.memory, o.memory...)
}

func clamp(v float64) float64 { return min(max(v, -mostLogs), mostLogs) }

// compareGood is how much one span says for the cost. What differs among copies that
// are alike widens what is allowed, as their own spread shows it.
//
// doubt is the variance of how they differed before, as a multiple of the span's own.
func (j *Evaluator) compareGood(old, changed *side) (says, doubt float64) {
	a, b := (old.good-old.own)/old.asked, (changed.good-changed.own)/changed.asked
	pool := (old.good + changed.good + 1) / (old.asked + changed.asked + 2)
	spread := max(pool*(1-pool), 0.002)
	wider := max(overdispersion(old.parts, a, spread, old.asked/max(old.n, 1)), 1)
	variance := spread * wider * (1/old.asked + 1/changed.asked)
	doubt = (old.doubt/(old.asked*old.asked) + changed.doubt/(changed.asked*changed.asked)) / variance
	cost := j.guards.Goodput
	return (cost/variance)*(a-b) - cost*cost/(2*variance), doubt
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

// compareRatios is how much one span says for a figure that has grown by a part: a mean
// over so many at unchanged copies and so many at changed ones. Single ones vary about as
// much as their mean; copies as they show.
func compareRatios(old, changed *side, part, a, b, n, m float64, each []float64) float64 {
	if a <= 0 || b <= 0 {
		return 0
	}
	variance := 1/n + 1/m
	if len(each) >= 3 {
		sum := 0.0
		for _, t := range each {
			d := math.Log(max(t, 1e-9) / a)
			sum += d * d
		}
		variance = max(variance, sum/float64(len(each)-1)*(1/old.n+1/changed.n))
	}
	d, cost := math.Log(b/a), math.Log(1+part)
	return (cost*d - cost*cost/2) / variance
}

// bounds are the logs between which too little is known. What is tested one after another,
// in up to six stages, shares the chance of a wrong stop.
func (g *Guardrails) bounds() (upper, lower float64) {
	wrong := g.FalseAlarm / (tests * stages)
	return math.Log((1 - g.MissedRegression) / wrong), math.Log(g.MissedRegression / (1 - wrong))
}

// Assess tells what is known.
func (j *Evaluator) Assess(time.Duration) (Assessment, string) {
	upper, lower := j.guards.bounds()
	good := j.evidence()
	switch {
	case good >= upper:
		return Regressed, fmt.Sprintf("goodput is lower than that of unchanged copies by %.3g or so (evidence %.1f of %.1f)", j.guards.Goodput, good, upper)
	case j.late >= upper:
		return Regressed, fmt.Sprintf("answers are slower than those of unchanged copies by %.0f%% or so (evidence %.1f of %.1f)", 100*j.guards.Latency, j.late, upper)
	case j.tries >= upper:
		return Regressed, fmt.Sprintf("requests take more calls to providers than at unchanged copies, by %.0f%% or so (evidence %.1f of %.1f)", 100*j.guards.Attempts, j.tries, upper)
	case j.heavy >= mostHeavy:
		return Regressed, fmt.Sprintf("copies hold more memory than any unchanged one, by over %.0f%%, for %d spans", 100*j.guards.Memory, j.heavy)
	case good <= lower:
		return Passed, fmt.Sprintf("no lower goodput over %d spans (evidence %.1f of %.1f)", j.spans, good, lower)
	}
	return Undecided, fmt.Sprintf("evidence %.1f, between %.1f and %.1f, over %d spans", good, lower, upper, j.spans)
}

// DeathsExceedChance tells whether a changed copy's death is more than what unchanged copies show
// at the same time: with as many of those dead it says nothing.
func (j *Evaluator) DeathsExceedChance(_ string, others, of int) bool {
	if of <= 0 {
		return true
	}
	// The chance that one copy would be gone too, if copies died as the unchanged ones do.
	p := distuv.Beta{Alpha: float64(others) + 0.02, Beta: float64(of-others) + 2}.Mean()
	return p < 0.1
}
