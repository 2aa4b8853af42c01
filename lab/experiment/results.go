package experiment

import (
	"math"
	"slices"

	"ryerill/lab/metrics"
	"ryerill/lab/scenario"
)

// Run is one run of one variant.
type Run struct {
	Variant string          `json:"arm"`
	Seed    uint64          `json:"seed"`
	Result  *metrics.Result `json:"result"`
}

// usable returns a metric of the run; ok is false if it lacks it or is void.
func (r *Run) usable(metric string) (value float64, ok bool) {
	value, ok = r.Result.Metrics[metric]
	return value, ok && r.Result.Void == ""
}

// Results are all runs of an experiment, by variant and seed.
type Results struct {
	Name     string      `json:"name"`
	About    string      `json:"about,omitempty"`
	Variants []string    `json:"arms"`
	Tables   []string    `json:"tables,omitempty"`
	Runs     []Run       `json:"runs"`
	Faults   []FaultSpan `json:"spans,omitempty"`
	CutOff   string      `json:"cut_off,omitempty"` // why runs are missing
	Outcomes []Outcome   `json:"expectations,omitempty"`
	Short    bool        `json:"short,omitempty"`
	Seeds    int         `json:"seeds"`
}

// FaultSpan is when a fault of the scenario begins and ends, in seconds.
type FaultSpan struct {
	Kind string  `json:"kind"`
	From float64 `json:"from"`
	To   float64 `json:"to"`
}

func faultSpans(s *scenario.Scenario) []FaultSpan {
	var spans []FaultSpan
	for _, fault := range s.Faults {
		alone := *s
		alone.Faults = []scenario.Fault{fault}
		from, to := metrics.Faulted(&alone)
		spans = append(spans, FaultSpan{
			Kind: fault.Kind,
			From: from.Seconds(),
			To:   min(to, s.Length).Seconds(),
		})
	}
	return spans
}

// Single returns one run as results, to be reported.
func Single(s *scenario.Scenario, variant string, result *metrics.Result) *Results {
	return &Results{
		Name:     s.Name,
		About:    s.About,
		Variants: []string{variant},
		Seeds:    1,
		Faults:   faultSpans(s),
		Runs:     []Run{{Variant: variant, Seed: 1, Result: result}},
	}
}

// Of returns the runs of a variant in order of seed.
func (r *Results) Of(variant string) []Run {
	var runs []Run
	for _, run := range r.Runs {
		if run.Variant == variant {
			runs = append(runs, run)
		}
	}
	return runs
}

// Values returns a metric of a variant in order of seed; void runs and those that lack it are left out.
func (r *Results) Values(variant, metric string) []float64 {
	var values []float64
	for _, run := range r.Of(variant) {
		if value, ok := run.usable(metric); ok {
			values = append(values, value)
		}
	}
	return values
}

// Paired returns the difference of a metric between two variants, a minus b, paired by seed.
func (r *Results) Paired(metric, a, b string) Difference {
	first := r.bySeed(metric, a)
	second := r.bySeed(metric, b)
	var seeds []uint64
	for seed := range first {
		seeds = append(seeds, seed)
	}
	slices.Sort(seeds)
	var minuends, subtrahends []float64
	for _, seed := range seeds {
		value, ok := second[seed]
		if !ok {
			value = math.NaN()
		}
		minuends = append(minuends, first[seed])
		subtrahends = append(subtrahends, value)
	}
	return Differ(minuends, subtrahends)
}

func (r *Results) bySeed(metric, variant string) map[uint64]float64 {
	values := map[uint64]float64{}
	for _, run := range r.Of(variant) {
		if value, ok := run.usable(metric); ok {
			values[run.Seed] = value
		}
	}
	return values
}
