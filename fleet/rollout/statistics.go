package rollout

import (
	"math"

	"gonum.org/v1/gonum/stat/distuv"
)

const (
	maxLogEvidence  = 3.0 // bound of one interval's evidence, so that a single outlier decides nothing
	sequentialTests = 3.0 // goodput, latency and attempts, which share the probability of a false alarm
	assumedStages   = 6.0 // stages that also share the probability of a false alarm

	minReplicasForSpread  = 3   // least number of replicas to estimate overdispersion from
	assumedOverdispersion = 1.5 // with fewer replicas
	overdispersionLevel   = 0.9 // quantile of chance above which differences count
	minRatio              = 1e-9
)

// sample sums the reports of the changed, or of the unchanged, replicas in one interval.
type sample struct {
	replicas float64

	offered            float64
	served             float64
	goodputs           []float64 // by replica, minus its difference in the baseline
	expectedDifference float64   // weight expected to be served beyond others, by the baseline
	differenceVariance float64   // of expectedDifference

	responses       float64
	responseSeconds float64
	latencies       []float64 // mean by replica

	requests     float64
	attempts     float64
	attemptRates []float64 // attempts a request, by replica

	memory []float64 // MB, by replica
}

// add adds a report of a replica whose difference in the baseline has this mean and variance.
func (s *sample) add(report *Report, difference, variance float64) {
	s.replicas++
	s.expectedDifference += report.OfferedWeight * difference
	s.differenceVariance += report.OfferedWeight * report.OfferedWeight * variance
	s.offered += report.OfferedWeight
	s.served += report.ServedWeight
	s.responses += report.Responses
	s.responseSeconds += report.ResponseSeconds
	s.requests += report.Requests
	s.attempts += report.Attempts
	if report.OfferedWeight > 0 {
		s.goodputs = append(s.goodputs, report.ServedWeight/report.OfferedWeight-difference)
	}
	if report.Responses > 0 {
		s.latencies = append(s.latencies, report.ResponseSeconds/report.Responses)
	}
	if report.Requests > 0 && report.Attempts > 0 {
		s.attemptRates = append(s.attemptRates, report.Attempts/report.Requests)
	}
	if report.Memory > 0 {
		s.memory = append(s.memory, report.Memory)
	}
}

// merge adds the sums of another sample.
func (s *sample) merge(other *sample) {
	s.replicas += other.replicas
	s.offered += other.offered
	s.served += other.served
	s.goodputs = append(s.goodputs, other.goodputs...)
	s.expectedDifference += other.expectedDifference
	s.differenceVariance += other.differenceVariance
	s.responses += other.responses
	s.responseSeconds += other.responseSeconds
	s.latencies = append(s.latencies, other.latencies...)
	s.requests += other.requests
	s.attempts += other.attempts
	s.attemptRates = append(s.attemptRates, other.attemptRates...)
	s.memory = append(s.memory, other.memory...)
}

// goodput returns the fraction served, corrected by the difference expected from the baseline.
func (s *sample) goodput() float64 { return (s.served - s.expectedDifference) / s.offered }

func (s *sample) latency() ratio {
	return ratio{sum: s.responseSeconds, count: s.responses, replicas: s.replicas, byReplica: s.latencies}
}

func (s *sample) attemptRate() ratio {
	return ratio{sum: s.attempts, count: s.requests, replicas: s.replicas, byReplica: s.attemptRates}
}

// ratio is a sum of values over a count of responses or requests.
type ratio struct {
	sum       float64
	count     float64
	replicas  float64
	byReplica []float64
}

// mean returns 0 if the count is 0.
func (r *ratio) mean() float64 { return quotient(r.sum, r.count) }

func quotient(sum, count float64) float64 {
	if count <= 0 {
		return 0
	}
	return sum / count
}

// comparison holds the samples of unchanged and changed replicas in one interval.
type comparison struct {
	baseline sample
	changed  sample
}

// isMeaningful reports whether both sides were offered enough weight.
func (c *comparison) isMeaningful() bool {
	return c.baseline.offered >= minOffered && c.changed.offered >= minOffered
}

// goodputEvidence returns the log likelihood ratio of a loss of goodput against none. Differences between unchanged
// replicas beyond chance increase the variance. uncertainty is the variance of the baseline's differences as a multiple
// of the comparison's own.
func (c *comparison) goodputEvidence(loss float64) (evidence, uncertainty float64) {
	baseline := &c.baseline
	changed := &c.changed
	pooled := (baseline.served + changed.served + 1) / (baseline.offered + changed.offered + 2)
	binomial := max(pooled*(1-pooled), minBinomialVariance)
	offeredEach := baseline.offered / max(baseline.replicas, 1)
	widening := max(overdispersion(baseline.goodputs, baseline.goodput(), binomial, offeredEach), 1)
	variance := binomial * widening * (1/baseline.offered + 1/changed.offered)
	uncertainty = (baseline.differenceVariance/(baseline.offered*baseline.offered) +
		changed.differenceVariance/(changed.offered*changed.offered)) / variance
	evidence = (loss/variance)*(baseline.goodput()-changed.goodput()) - loss*loss/(2*variance)
	return evidence, uncertainty
}

// overdispersion returns the variance between equal replicas as a multiple of that of chance. Only the excess over the
// 0.9 quantile of chance counts.
func overdispersion(goodputs []float64, mean, binomial, offeredEach float64) float64 {
	if len(goodputs) < minReplicasForSpread || offeredEach <= 0 {
		return assumedOverdispersion
	}
	sum := 0.0
	for _, goodput := range goodputs {
		sum += (goodput - mean) * (goodput - mean)
	}
	degrees := float64(len(goodputs) - 1)
	observed := sum / degrees / (binomial / offeredEach)
	return max(observed/(distuv.ChiSquared{K: degrees}.Quantile(overdispersionLevel)/degrees), 1)
}

// growthEvidence returns the log likelihood ratio of a growth by a fraction against none. It assumes that the standard
// deviation of single values equals their mean; the variance between replicas is estimated.
func growthEvidence(baseline, changed ratio, growth float64) float64 {
	if baseline.count < minOffered || changed.count < minOffered || baseline.sum <= 0 || changed.mean() <= 0 {
		return 0
	}
	variance := 1/baseline.count + 1/changed.count
	if replicas := baseline.byReplica; len(replicas) >= minReplicasForSpread {
		sum := 0.0
		for _, value := range replicas {
			deviation := math.Log(max(value, minRatio) / baseline.mean())
			sum += deviation * deviation
		}
		betweenReplicas := sum / float64(len(replicas)-1) * (1/baseline.replicas + 1/changed.replicas)
		variance = max(variance, betweenReplicas)
	}
	observed := math.Log(changed.mean() / baseline.mean())
	cost := math.Log(1 + growth)
	return (cost*observed - cost*cost/2) / variance
}

// bounds returns the log likelihood ratios between which the test is undecided (Wald, 1945). The tests of a plan share
// the probability of a false alarm.
func (g *Guardrails) bounds() (upper, lower float64) {
	falseAlarm := g.FalseAlarm / (sequentialTests * assumedStages)
	upper = math.Log((1 - g.MissedRegression) / falseAlarm)
	lower = math.Log(g.MissedRegression / (1 - falseAlarm))
	return upper, lower
}

func clampEvidence(evidence float64) float64 {
	return min(max(evidence, -maxLogEvidence), maxLogEvidence)
}

// Prior of the fraction of dead replicas, as counts, and the probability below which a death is not due to chance.
const (
	priorDead   = 0.02
	priorAlive  = 2
	deathChance = 0.1
)

// deathExceedsChance reports whether the death of one changed replica is unlikely to be chance, given how many of the
// unchanged replicas are dead.
func deathExceedsChance(deadUnchanged, unchanged int) bool {
	if unchanged <= 0 {
		return true
	}
	dead := distuv.Beta{
		Alpha: float64(deadUnchanged) + priorDead,
		Beta:  float64(unchanged-deadUnchanged) + priorAlive,
	}
	return dead.Mean() < deathChance
}
