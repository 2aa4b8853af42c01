package rollout

import (
	"maps"
	"slices"
	"strings"
)

const (
	minBaselineWeight   = 20.0          // offered weight from which a replica's difference counts
	sufficiencyFactor   = 4.0           // ratio of the variance limit to the largest sufficient variance
	minVariance         = 0.004 * 0.004 // of the goodput of equal replicas
	minBinomialVariance = 0.002         // least variance of the outcome of one request
)

// Baseline holds the differences between replicas before any of them was changed, so that a replica that always serves
// less than others of its zone isn't taken for a regression.
type Baseline struct {
	open           map[cell][]Report
	newestInterval uint64
	replicas       map[string]*difference

	variance         float64 // see varianceOfReplicas
	varianceInterval uint64  // newest interval when variance was computed
}

// difference compares the weight that a replica served with what the others of its cells would have served of the
// same offered weight.
type difference struct {
	offered  float64
	served   float64
	expected float64 // weight that the others would have served
	spread   float64 // variance of served by chance
}

// mean returns the replica's goodput minus that of the others.
func (d *difference) mean() float64 { return (d.served - d.expected) / d.offered }

// chanceVariance returns the variance of the mean that is due to chance.
func (d *difference) chanceVariance() float64 { return d.spread / (d.offered * d.offered) }

// NewBaseline returns a Baseline without reports.
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

// closeCell updates the differences of a cell's replicas from the cell's reports.
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

// Difference estimates the goodput of a replica minus that of others, as a fraction of its offered weight, and the
// variance of the estimate. The variance between replicas is estimated from all of them: the greater it is, the less
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

// Sufficient reports whether the difference of a replica is known precisely enough to detect a regression: its variance
// must be small against the loss of goodput that the guardrails allow.
func (b *Baseline) Sufficient(guardrails Guardrails, name string) bool {
	_, variance := b.Difference(name)
	upper, _ := guardrails.bounds()
	return variance <= guardrails.Goodput*guardrails.Goodput/(sufficiencyFactor*upper)
}

// varianceOfReplicas returns the variance between unchanged replicas beyond chance. It is computed once an interval.
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
	for _, name := range slices.Sorted(maps.Keys(b.replicas)) { // sorted, so that sums round alike on every run
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
