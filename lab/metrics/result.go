package metrics

import (
	"math"

	"ryerill/lab/invariant"
)

// Series are figures over time, a value a Step.
type Series struct {
	Goodput  []float64 `json:"goodput"`
	Asked    []float64 `json:"asked"` // first tries a second
	P95      []float64 `json:"p95"`   // seconds
	Limit    []float64 `json:"limit"`
	InFlight []float64 `json:"in_flight"`
	Attempts []float64 `json:"attempts"` // a second, first tier
}

// Result is one run summed up.
type Result struct {
	Metrics    map[string]float64    `json:"metrics"`
	Series     Series                `json:"series"`
	CDF        map[string][]float64  `json:"cdf"` // by class: latency in seconds at each of Quantiles
	Violations []invariant.Violation `json:"violations,omitempty"`
	Void       string                `json:"void,omitempty"` // why the run must not be used
}

// Quantiles are those of a CDF.
var Quantiles = func() []float64 {
	var quantiles []float64
	for percent := 0; percent <= 100; percent++ {
		quantiles = append(quantiles, float64(percent)/100)
	}
	return append(quantiles, 0.995, 0.999)
}()

// Result sums the run up, with the violations that the oracle kept and how many it counted by rule.
func (r *Recorder) Result(violations []invariant.Violation, violationCounts map[string]int) *Result {
	res := &Result{
		Metrics:    map[string]float64{},
		Series:     r.series(),
		CDF:        r.latencyDistributions(),
		Violations: violations,
	}
	r.addGroups(res.Metrics)
	r.addCounters(res.Metrics)
	addViolations(res.Metrics, violationCounts)
	r.addRecovery(res.Metrics)
	r.addOscillation(res.Metrics, res.Series.InFlight)
	return res
}

// latencyDistributions returns the latency of each class at each of Quantiles.
func (r *Recorder) latencyDistributions() map[string][]float64 {
	distributions := map[string][]float64{}
	for _, class := range r.classes {
		for _, q := range Quantiles {
			distributions[class.name] = append(distributions[class.name], quantile(class.latency, q))
		}
	}
	return distributions
}

// addGroups adds the metrics of each class, of each tenant, and of all first tries.
func (r *Recorder) addGroups(metrics map[string]float64) {
	total := newGroup("")
	worst := 1.0
	for i := range r.classes {
		class := &r.classes[i]
		total.firstTries += class.firstTries
		total.requestedWeight += class.requestedWeight
		total.earnedWeight += class.earnedWeight
		for outcome := range total.outcomes {
			total.outcomes[outcome] += class.outcomes[outcome]
		}
		total.latency.Merge(class.latency)
		class.addTo(metrics, "class."+class.name+".")
		worst = math.Min(worst, class.goodput())
	}
	for i := range r.tenants {
		r.tenants[i].addTo(metrics, "tenant."+r.tenants[i].name+".")
	}
	total.addTo(metrics, "")
	metrics["worst_class"] = worst
	metrics["firsts"] = total.firstTries
}

// goodput is the weight earned as a fraction of the weight requested.
func (g *group) goodput() float64 { return ratio(g.earnedWeight, g.requestedWeight) }

func (g *group) addTo(metrics map[string]float64, prefix string) {
	metrics[prefix+"goodput"] = g.goodput()
	metrics[prefix+"p50"] = quantile(g.latency, 0.5)
	metrics[prefix+"p95"] = quantile(g.latency, 0.95)
	metrics[prefix+"p99"] = quantile(g.latency, 0.99)
	for outcome, name := range outcomeNames {
		metrics[prefix+name] = ratio(g.outcomes[outcome], g.firstTries)
	}
}

// addCounters adds the counters of the run, and what follows from them.
func (r *Recorder) addCounters(metrics map[string]float64) {
	for name, count := range r.counts {
		metrics[name] = count
	}
	if firstTries := r.counts["first_tries"]; firstTries > 0 {
		metrics["attempts"] = r.counts["attempts_first"] / firstTries
		metrics["tries"] = r.counts["tries"] / firstTries
		metrics["crossings"] = r.counts["crossed"] / firstTries
		metrics["connections"] = r.counts["opened"] / firstTries
		if attempts := r.counts["attempts_last"]; attempts > 0 {
			metrics["amplified"] = attempts / r.callsWithoutRetries(firstTries)
		}
	}
	metrics["waste"] = 0
	if done := r.counts["work_done"]; done != 0 {
		metrics["waste"] = 1 - ratio(r.counts["work_useful"], done)
	}
}

// callsWithoutRetries is how many calls to the last tier first tries would make if nothing were tried twice.
func (r *Recorder) callsWithoutRetries(firstTries float64) float64 {
	calls := firstTries
	for _, tier := range r.scenario.Tiers {
		if tier.Calls > 0 {
			calls *= tier.Calls
		}
	}
	return calls
}

// addViolations adds how often each rule was broken.
func addViolations(metrics map[string]float64, counts map[string]int) {
	total := 0
	for _, rule := range invariant.All {
		metrics["broken."+rule] = float64(counts[rule])
		total += counts[rule]
	}
	metrics["violations"] = float64(total)
}

func (r *Recorder) series() Series {
	var s Series
	for i := range r.windows {
		w := &r.windows[i]
		samples := float64(w.samples)
		s.Goodput = append(s.Goodput, ratio(w.earnedWeight, w.requestedWeight))
		s.Asked = append(s.Asked, float64(w.firstTries)/Step.Seconds())
		s.P95 = append(s.P95, quantile(w.latency, 0.95))
		s.Limit = append(s.Limit, ratio(w.limitSum, samples))
		s.InFlight = append(s.InFlight, ratio(w.inFlightSum, samples))
		s.Attempts = append(s.Attempts, w.attempts/Step.Seconds())
	}
	return s
}

// ratio is a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
