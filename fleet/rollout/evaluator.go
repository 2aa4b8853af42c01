package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	maxPoints              = 600
	maxHighMemoryIntervals = 5   // consecutive, as memory allocated at the start of a change is released again
	minMemoryExcess        = 16  // MB; a smaller excess is ignored
	maxEvaluatedPools      = 256 // further pools count only in the total over all pools
	doubtfulEvidence       = 1   // evidence from which a pool keeps a stage from passing
)

// Assessment is the verdict on a stage.
type Assessment uint8

// The assessments.
const (
	Undecided Assessment = iota
	Passed
	Regressed
)

// Point is the result of one interval, over all zones, for tables and charts.
type Point struct {
	Interval         uint64  `json:"Span"`
	BaselineGoodput  float64 `json:"Old"` // of unchanged replicas
	ChangedGoodput   float64 `json:"Changed"`
	BaselineLatency  float64 `json:"OldTook"` // mean, in seconds
	ChangedLatency   float64 `json:"Took"`
	BaselineAttempts float64 `json:"OldTries"` // for each request
	ChangedAttempts  float64 `json:"Tries"`
	BaselineMemory   float64 `json:"OldMemory"` // MB, the largest
	ChangedMemory    float64 `json:"Memory"`
	Evidence         float64 `json:"Evidence"` // of lower goodput, as a log of likelihood
	UpperBound       float64 `json:"Up"`       // of Evidence, from which the stage has regressed
	LowerBound       float64 `json:"Down"`     // of Evidence, from which it has passed
}

// Evaluator compares changed with unchanged replicas of the same interval, zone and pool. It is a sequential
// probability ratio test (Wald, 1945) of no cost against the cost that the guardrails name.
type Evaluator struct {
	guardrails Guardrails
	changed    map[string]bool
	baseline   *Baseline // nil if there is none

	open           map[cell]*comparison
	newestInterval uint64
	latestReports  map[reporterPool]uint64 // interval of the latest report

	total               evidence             // over all pools
	pools               map[string]*evidence // by pool, so that a gain in one doesn't hide a loss in another
	highMemoryIntervals int                  // in a row
	comparedIntervals   int
	points              []Point
}

// reporterPool is a replica and a pool that it reports on.
type reporterPool struct {
	replica string
	pool    string
}

// NewEvaluator returns an Evaluator of the named changed replicas. baseline holds their earlier differences; nil if
// unknown.
func NewEvaluator(guardrails Guardrails, changed []string, baseline *Baseline) *Evaluator {
	guardrails.complete()
	evaluator := &Evaluator{
		guardrails:    guardrails,
		baseline:      baseline,
		changed:       map[string]bool{},
		open:          map[cell]*comparison{},
		latestReports: map[reporterPool]uint64{},
		pools:         map[string]*evidence{},
	}
	for _, name := range changed {
		evaluator.changed[name] = true
	}
	return evaluator
}

// AddReport adds a report of any replica. Invalid, late and repeated reports are ignored.
func (e *Evaluator) AddReport(_ time.Duration, report Report) {
	if !report.valid() || report.Interval+closingDelay < e.newestInterval || len(e.open) >= maxOpenCells {
		return
	}
	reporter := reporterPool{replica: report.Name, pool: report.Pool}
	if e.latestReports[reporter] >= report.Interval {
		return
	}
	e.latestReports[reporter] = report.Interval
	key := report.cell()
	if e.open[key] == nil {
		e.open[key] = &comparison{}
	}
	side := &e.open[key].baseline
	if e.changed[report.Name] {
		side = &e.open[key].changed
	}
	difference, variance := e.baseline.Difference(report.Name)
	side.add(&report, difference, variance)
	if report.Interval > e.newestInterval {
		e.newestInterval = report.Interval
		e.closeIntervals()
	}
}

// Assess returns the assessment of the stage and its reason.
func (e *Evaluator) Assess(time.Duration) (Assessment, string) {
	upper, lower := e.guardrails.bounds()
	if reason := e.total.regression(&e.guardrails, upper); reason != "" {
		return Regressed, reason
	}
	if reason := e.regressionOfPool(upper); reason != "" {
		return Regressed, reason
	}
	if e.highMemoryIntervals >= maxHighMemoryIntervals {
		return Regressed, fmt.Sprintf("copies hold more memory than any unchanged one, by over %.0f%%, for %d spans",
			100*e.guardrails.Memory, e.highMemoryIntervals)
	}
	goodput := e.total.ofGoodput()
	if doubtful := e.doubtfulPool(); doubtful != "" && goodput <= lower {
		return Undecided, fmt.Sprintf("evidence %.1f of lower goodput in pool %s, over %d spans",
			e.pools[doubtful].ofGoodput(), doubtful, e.comparedIntervals)
	}
	if goodput <= lower {
		return Passed, fmt.Sprintf("no lower goodput over %d spans (evidence %.1f of %.1f)",
			e.comparedIntervals, goodput, lower)
	}
	return Undecided, fmt.Sprintf("evidence %.1f, between %.1f and %.1f, over %d spans",
		goodput, lower, upper, e.comparedIntervals)
}

// regressionOfPool describes the pool that has regressed, or returns "" if none has. Pools share the probability of a
// false alarm.
func (e *Evaluator) regressionOfPool(upper float64) string {
	upper += math.Log(float64(max(len(e.pools), 1)))
	for _, pool := range slices.Sorted(maps.Keys(e.pools)) {
		if reason := e.pools[pool].regression(&e.guardrails, upper); reason != "" {
			return "in pool " + pool + " " + reason
		}
	}
	return ""
}

// doubtfulPool returns a pool that may have lost goodput although the total has not, or "" if there is none.
func (e *Evaluator) doubtfulPool() string {
	for _, pool := range slices.Sorted(maps.Keys(e.pools)) {
		if e.pools[pool].ofGoodput() >= doubtfulEvidence {
			return pool
		}
	}
	return ""
}

// closeIntervals compares changed and unchanged replicas in completed intervals: within each zone that has both, or
// over all zones if no zone of the pool has both.
func (e *Evaluator) closeIntervals() {
	compared := map[uint64]bool{}
	totals := map[cell]*comparison{} // over all zones
	zonesCompared := map[cell]bool{} // by cell of totals
	for _, key := range sortedCells(e.open) {
		zone := e.open[key]
		if key.interval+closingDelay > e.newestInterval {
			continue
		}
		delete(e.open, key)
		allZones := cell{pool: key.pool, interval: key.interval}
		if totals[allZones] == nil {
			totals[allZones] = &comparison{}
		}
		totals[allZones].baseline.merge(&zone.baseline)
		totals[allZones].changed.merge(&zone.changed)
		if zone.isMeaningful() {
			zonesCompared[allZones] = true
			compared[key.interval] = true
			e.compare(key.pool, zone)
		}
	}
	for _, key := range sortedCells(totals) {
		total := totals[key]
		e.compareMemory(total)
		e.addPoint(key.interval, total)
		if !zonesCompared[key] && total.isMeaningful() {
			compared[key.interval] = true
			e.compare(key.pool, total)
		}
	}
	e.comparedIntervals += len(compared)
}

// compare adds the evidence of one comparison.
func (e *Evaluator) compare(pool string, c *comparison) {
	e.total.add(c, &e.guardrails)
	if e.pools[pool] == nil {
		if len(e.pools) >= maxEvaluatedPools {
			return
		}
		e.pools[pool] = &evidence{}
	}
	e.pools[pool].add(c, &e.guardrails)
}

// compareMemory counts the consecutive intervals in which the median memory of changed replicas exceeds the largest of
// the unchanged ones.
func (e *Evaluator) compareMemory(c *comparison) {
	if len(c.baseline.memory) == 0 || len(c.changed.memory) == 0 {
		return
	}
	slices.Sort(c.changed.memory)
	median := c.changed.memory[(len(c.changed.memory)-1)/2]
	baseline := slices.Max(c.baseline.memory)
	if median > baseline*(1+e.guardrails.Memory) && median > baseline+minMemoryExcess {
		e.highMemoryIntervals++
	} else {
		e.highMemoryIntervals = 0
	}
}

// addPoint records the result of an interval, for the first pool by name that has both changed and unchanged replicas.
func (e *Evaluator) addPoint(interval uint64, c *comparison) {
	baseline := &c.baseline
	changed := &c.changed
	if baseline.offered <= 0 || changed.offered <= 0 {
		return
	}
	if count := len(e.points); count > 0 && e.points[count-1].Interval == interval {
		return
	}
	upper, lower := e.guardrails.bounds()
	e.points = append(e.points, Point{
		Interval:         interval,
		BaselineGoodput:  quotient(baseline.served, baseline.offered),
		ChangedGoodput:   quotient(changed.served, changed.offered),
		BaselineLatency:  quotient(baseline.responseSeconds, baseline.responses),
		ChangedLatency:   quotient(changed.responseSeconds, changed.responses),
		BaselineAttempts: quotient(baseline.attempts, baseline.requests),
		ChangedAttempts:  quotient(changed.attempts, changed.requests),
		BaselineMemory:   largest(baseline.memory),
		ChangedMemory:    largest(changed.memory),
		Evidence:         e.total.ofGoodput(),
		UpperBound:       upper,
		LowerBound:       lower,
	})
	if len(e.points) > maxPoints {
		e.points = e.points[1:]
	}
}

// largest returns the largest value, or 0 if there are none.
func largest(values []float64) float64 {
	result := 0.0
	for _, value := range values {
		result = max(result, value)
	}
	return result
}
