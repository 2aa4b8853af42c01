package rollout

import (
	"maps"
	"slices"
	"strings"
)

const (
	minBaselineWeight   = 20.0          // offered, before the difference of a replica counts
	sufficiencyFactor   = 4.0           // by which the variance of a sufficiently known difference is below the limit
	minVariance         = 0.004 * 0.004 // of the goodput of replicas that are alike
	minBinomialVariance = 0.002         // least variance of the outcome of one request
)

// Baseline is how replicas differed before any of them was changed, so that a replica which always serves less than
// others of its zone isn't taken for a regression.
type Baseline struct {
	open           map[cell][]Report
	newestInterval uint64
	replicas       map[string]*difference

	variance         float64 // see varianceOfReplicas
	varianceInterval uint64  // that it was computed in
}

// difference is what a replica served, against what the others of its cells would have of as much.
type difference struct {
	offered  float64
	served   float64
	expected float64 // that the others would have served
	spread   float64 // variance of served by chance
}

// mean is by how much the replica's goodput lay above that of the others.
func (d *difference) mean() float64 { return (d.served - d.expected) / d.offered }

// chanceVariance is the variance of the mean by chance.
func (d *difference) chanceVariance() float64 { return d.spread / (d.offered * d.offered) }

// NewBaseline returns one that knows no replica.
func NewBaseline() *Baseline {
	return &Baseline{open: map[cell][]Report{}, replicas: map[string]*difference{}}
}

// AddReport adds a report of an unchanged replica.
func (b *Baseline) AddReport(report Report) {
	if !report.valid() || report.Interval+closingDelay < b.newestInterval || len(b.open) >= maxOpenCells {
		return
	}
	key := report.cell()
	if slices.ContainsFunc(b.open[key], func(other Report) bool { return other.Name == report.Name }) {
		return
	}
	b.open[key] = append(b.open[key], report)
	if report.Interval <= b.newestInterval {
		return
	}
	b.newestInterval = report.Interval
	for _, key := range sortedCells(b.open) {
		if key.interval+closingDelay <= b.newestInterval {
			b.closeCell(b.open[key])
			delete(b.open, key)
		}
	}
}

// closeCell adds the reports of a cell to the differences of its replicas.
func (b *Baseline) closeCell(reports []Report) {
	slices.SortFunc(reports, func(x, y Report) int { return strings.Compare(x.Name, y.Name) })
	offered := 0.0
	served := 0.0
	for i := range reports {
		offered += reports[i].OfferedWeight
		served += reports[i].ServedWeight
	}
	for i := range reports {
		report := &reports[i]
		offeredToOthers := offered - report.OfferedWeight
		if report.OfferedWeight <= 0 || offeredToOthers < minOffered || len(b.replicas) >= MaxReplicas {
			continue
		}
		replica := b.replicas[report.Name]
		if replica == nil {
			replica = &difference{}
			b.replicas[report.Name] = replica
		}
		goodput := (served - report.ServedWeight) / offeredToOthers
		replica.offered += report.OfferedWeight
		replica.served += report.ServedWeight
		replica.expected += report.OfferedWeight * goodput
		variance := max(goodput*(1-goodput), minBinomialVariance)
		replica.spread += report.OfferedWeight * variance * (1 + report.OfferedWeight/offeredToOthers)
	}
}

// Difference is by how much the goodput of a replica lies above that of others, as a fraction of what it is offered,
// and the variance of that. How far replicas differ at all is estimated from all of them: the more they do, the less
// the difference of one replica is shrunk towards 0.
func (b *Baseline) Difference(name string) (mean, variance float64) {
	if b == nil {
		return 0, minVariance
	}
	prior := b.varianceOfReplicas()
	replica := b.replicas[name]
	if replica == nil || replica.offered < minBaselineWeight {
		return 0, prior
	}
	byChance := replica.chanceVariance()
	return replica.mean() * prior / (prior + byChance), prior * byChance / (prior + byChance)
}

// Sufficient reports whether the difference of a replica is known well enough to detect what a change costs it.
// Its variance must be small against the loss of goodput that the guardrails allow.
func (b *Baseline) Sufficient(guardrails Guardrails, name string) bool {
	_, variance := b.Difference(name)
	upper, _ := guardrails.bounds()
	return variance <= guardrails.Goodput*guardrails.Goodput/(sufficiencyFactor*upper)
}

// varianceOfReplicas is the variance of how replicas differ by themselves, beyond chance. It is computed once an
// interval.
func (b *Baseline) varianceOfReplicas() float64 {
	if b.variance == 0 || b.varianceInterval != b.newestInterval {
		b.variance = b.computeVariance()
		b.varianceInterval = b.newestInterval
	}
	return b.variance
}

func (b *Baseline) computeVariance() float64 {
	sum := 0.0
	count := 0.0
	for _, name := range slices.Sorted(maps.Keys(b.replicas)) { // sorted, so that sums come out alike on every run
		replica := b.replicas[name]
		if replica.offered >= minBaselineWeight {
			mean := replica.mean()
			sum += mean*mean - replica.chanceVariance()
			count++
		}
	}
	if count < 2 {
		return minVariance
	}
	return max(sum/count, minVariance)
}
