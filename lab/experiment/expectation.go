package experiment

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/vm"
)

// expectation is a condition on results.
type expectation struct {
	text    string
	program *vm.Program
}

// Outcome is whether an expectation held.
type Outcome struct {
	Text   string             `json:"text"`
	Held   bool               `json:"held"`
	Fault  string             `json:"fault,omitempty"`  // why it can't be evaluated
	Values map[string]float64 `json:"values,omitempty"` // the metrics that it used
}

// shorthands are metrics that may stand as functions of a variant.
var shorthands = []string{
	"goodput", "worst_class", "worst10", "in_aim", "late", "refused", "failed", "overdue", "p50", "p95", "p99",
	"attempts", "tries", "crossings", "connections", "firsts", "amplified", "waste", "recover", "jammed", "violations",
	"cpu_us",
}

// isReserved reports whether a name has a meaning in expectations, so that no variant may take it.
func isReserved(name string) bool {
	_, taken := newEnvironment(nil, nil, nil)[name]
	return taken
}

// environment is what an expectation may name. Its values are functions of several signatures, and names of variants.
type environment map[string]any

// newEnvironment returns what expectations may name. Without results it serves to compile. used, unless nil, receives
// the metrics that an evaluation uses.
func newEnvironment(variants []Variant, res *Results, used map[string]float64) environment {
	env := environment{}
	for _, variant := range variants {
		env[variant.Name] = variant.Name
	}
	note := func(text string, value float64) (float64, error) {
		if math.IsNaN(value) {
			return 0, fmt.Errorf("%s: not measured", text)
		}
		if used != nil {
			used[text] = value
		}
		return value, nil
	}
	env.addAggregates(res, note)
	env.addDifferences(res, note)
	return env
}

// noteFunc notes a value under a text, and refuses one that was not measured.
type noteFunc func(text string, value float64) (float64, error)

// addAggregates adds functions of a metric's values of one variant.
func (env environment) addAggregates(res *Results, note noteFunc) {
	aggregate := func(of func([]float64) float64, prefix string) func(string, string) (float64, error) {
		return func(metric, variant string) (float64, error) {
			return note(fmt.Sprintf("%s%s(%s)", prefix, metric, variant), of(res.Values(variant, metric)))
		}
	}
	mean := aggregate(Mean, "")
	for _, metric := range shorthands {
		env[metric] = func(variant string) (float64, error) { return mean(metric, variant) }
	}
	env["mean"] = mean
	env["lowest"] = aggregate(lowest, "lowest ")
	env["highest"] = aggregate(highest, "highest ")
	env["spread"] = aggregate(Deviation, "spread of ")
}

// addDifferences adds functions of a metric's difference between two variants.
func (env environment) addDifferences(res *Results, note noteFunc) {
	paired := func(prefix string, of func(Difference) float64) func(string, string, string) (float64, error) {
		return func(metric, a, b string) (float64, error) {
			return note(fmt.Sprintf("%s%s(%s) - %s(%s)", prefix, metric, a, metric, b), of(res.Paired(metric, a, b)))
		}
	}
	env["diff"] = paired("", func(d Difference) float64 { return d.Mean })
	env["diff_low"] = paired("low end of ", func(d Difference) float64 { return d.Low })
	env["diff_high"] = paired("high end of ", func(d Difference) float64 { return d.High })
}

func compile(text string, variants []Variant) (expectation, error) {
	env := map[string]any(newEnvironment(variants, nil, nil))
	program, err := expr.Compile(text, expr.Env(env), expr.AsBool())
	if err != nil {
		return expectation{}, fmt.Errorf("unexpected value %q (%s), want a condition on metrics of arms, "+
			"as in goodput(%s) >= 0.9; metrics: %s; or mean, lowest, highest, spread(\"metric\", arm) "+
			"and diff, diff_low, diff_high(\"metric\", arm, arm)",
			text, firstLine(err), variants[0].Name, strings.Join(shorthands, ", "))
	}
	return expectation{text, program}, nil
}

// firstLine leaves out the excerpt with which expr's errors go on.
func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}

// Evaluate evaluates all expectations; held is whether all of them held.
func (e *Experiment) Evaluate(res *Results) (outcomes []Outcome, held bool) {
	held = true
	for _, expected := range e.expectations {
		outcome := expected.evaluate(e.Variants, res)
		held = held && outcome.Held
		outcomes = append(outcomes, outcome)
	}
	return outcomes, held
}

func (e *expectation) evaluate(variants []Variant, res *Results) Outcome {
	outcome := Outcome{Text: e.text, Values: map[string]float64{}}
	value, err := expr.Run(e.program, map[string]any(newEnvironment(variants, res, outcome.Values)))
	if err != nil {
		outcome.Fault = firstLine(err)
		return outcome
	}
	outcome.Held = value == true
	return outcome
}

// Figures lists the metrics that an expectation used, in order.
func (o *Outcome) Figures() string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(o.Values)) {
		parts = append(parts, fmt.Sprintf("%s = %.4g", name, o.Values[name]))
	}
	return strings.Join(parts, ", ")
}
