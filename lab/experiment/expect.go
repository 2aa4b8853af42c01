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

// check is a condition that can be asked of results.
type check struct {
	text    string
	program *vm.Program
}

// Outcome is what became of an expectation.
type Outcome struct {
	Text   string             `json:"text"`
	Held   bool               `json:"held"`
	Fault  string             `json:"fault,omitempty"`  // why it could not be told
	Values map[string]float64 `json:"values,omitempty"` // the figures that it asked for
}

// shorthands are metrics that may stand as functions of an arm.
var shorthands = []string{"goodput", "worst_class", "worst10", "in_aim", "late", "refused", "failed", "overdue", "p50", "p95", "p99",
	"attempts", "tries", "crossings", "connections", "firsts", "amplified", "waste", "recover", "jammed", "violations", "cpu_us"}

// reserved tells whether a name is a word of expectations, which no arm may take.
func reserved(name string) bool {
	_, taken := environment(nil, nil, nil)[name]
	return taken
}

// environment gives an expectation its words. Without results it serves to
// compile; asked notes the figures that were asked for.
func environment(arms []Variant, res *Results, asked map[string]float64) map[string]any {
	env := map[string]any{}
	for _, a := range arms {
		env[a.Name] = a.Name
	}
	note := func(text string, v float64) (float64, error) {
		if math.IsNaN(v) {
			return 0, fmt.Errorf("%s: not measured", text)
		}
		if asked != nil {
			asked[text] = v
		}
		return v, nil
	}
	of := func(sum func([]float64) float64, name string) func(string, string) (float64, error) {
		return func(metric, arm string) (float64, error) {
			return note(fmt.Sprintf("%s%s(%s)", name, metric, arm), sum(res.Values(arm, metric)))
		}
	}
	mean := of(Mean, "")
	for _, m := range shorthands {
		env[m] = func(arm string) (float64, error) { return mean(m, arm) }
	}
	env["mean"], env["lowest"], env["highest"] = mean, of(least, "lowest "), of(most, "highest ")
	env["spread"] = of(Deviation, "spread of ")
	paired := func(name string, pick func(Difference) float64) func(string, string, string) (float64, error) {
		return func(metric, a, b string) (float64, error) {
			return note(fmt.Sprintf("%s%s(%s) - %s(%s)", name, metric, a, metric, b), pick(res.Paired(metric, a, b)))
		}
	}
	env["diff"] = paired("", func(d Difference) float64 { return d.Mean })
	env["diff_low"] = paired("low end of ", func(d Difference) float64 { return d.Low })
	env["diff_high"] = paired("high end of ", func(d Difference) float64 { return d.High })
	return env
}

func compile(text string, arms []Variant) (check, error) {
	program, err := expr.Compile(text, expr.Env(environment(arms, nil, nil)), expr.AsBool())
	if err != nil {
		first, _, _ := strings.Cut(err.Error(), "\n")
		return check{}, fmt.Errorf("unexpected value %q (%s), want a condition on metrics of arms, as in goodput(%s) >= 0.9; metrics: %s; "+
			"or mean, lowest, highest, spread(\"metric\", arm) and diff, diff_low, diff_high(\"metric\", arm, arm)",
			text, first, arms[0].Name, strings.Join(shorthands, ", "))
	}
	return check{text, program}, nil
}

// Judge asks all expectations.
func (e *Experiment) Judge(res *Results) (all []Outcome, held bool) {
	held = true
	for _, c := range e.checks {
		o := Outcome{Text: c.text, Values: map[string]float64{}}
		v, err := expr.Run(c.program, environment(e.Variants, res, o.Values))
		if err != nil {
			o.Fault, _, _ = strings.Cut(err.Error(), "\n")
		}
		o.Held = err == nil && v == true
		held = held && o.Held
		all = append(all, o)
	}
	return all, held
}

// Figures lists what an expectation asked for, in order.
func (o *Outcome) Figures() string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(o.Values)) {
		parts = append(parts, fmt.Sprintf("%s = %.4g", k, o.Values[k]))
	}
	return strings.Join(parts, ", ")
}
