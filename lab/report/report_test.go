package report

import (
	"math"
	"strings"
	"testing"
	"time"

	"ryerill/lab/experiment"
	"ryerill/lab/invariant"
	"ryerill/lab/metrics"
)

// results returns those of two variants with three seeds each, whose goodput differs by a tenth.
func results() *experiment.Results {
	res := &experiment.Results{Name: "tiny", Variants: []string{"ours", "theirs"}, Seeds: 3, Tables: []string{"goodput", "late"}}
	for _, variant := range res.Variants {
		for seed := range uint64(3) {
			goodput := 0.8 + float64(seed)/100
			if variant == "theirs" {
				goodput -= 0.1
			}
			result := &metrics.Result{Metrics: map[string]float64{"goodput": goodput}}
			res.Runs = append(res.Runs, experiment.Run{Variant: variant, Seed: seed + 1, Result: result})
		}
	}
	return res
}

func TestNumber(t *testing.T) {
	for value, want := range map[float64]string{
		0: "0", 3: "3", -2: "-2", 123456: "123456", 0.25: "0.250", 12.3456: "12.346", 123.456: "123.5",
		0.00012345: "0.00012", 1e6: "1000000.0", math.Inf(1): "+Inf",
	} {
		if got := number(value); got != want {
			t.Errorf("%v is shown as %s, want %s", value, got, want)
		}
	}
	if got := number(math.NaN()); got != "-" {
		t.Errorf("NaN is shown as %s", got)
	}
}

func TestMarkdown(t *testing.T) {
	res := results()
	res.CutOff = "stopped after 6 of 8 runs"
	res.Outcomes = []experiment.Outcome{
		{Text: "a || b", Held: true, Values: map[string]float64{"goodput(ours)": 0.81}},
		{Text: "c", Fault: "c: not measured"},
	}
	violation := invariant.Violation{Rule: invariant.Drained, At: 1500 * time.Millisecond, Evidence: "proxy 0 sent"}
	res.Runs[1].Result.Violations = []invariant.Violation{violation, violation}
	res.Runs[2].Result.Void = "late"
	text := Markdown(res)
	for _, want := range []string{
		"**Cut off: stopped after 6 of 8 runs.**",
		"| arm | runs | goodput | late |\n| --- | --- | --- | --- |\n| ours | 2 | 0.805 ± 0.007 | - |\n",
		"| ours - theirs | 0.100 | 0.100 to 0.100 | 2 |",
		"| `a \\|\\| b` | yes | goodput(ours) = 0.81 |",
		"| `c` | no | c: not measured |",
		"- ours, seed 2, drained at 1.500 s: proxy 0 sent\n- ours, seed 3 is void: late\n",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("without %q:\n%s", want, text)
		}
	}
}

func TestCompare(t *testing.T) {
	before := results()
	after := results()
	for i := range after.Runs {
		after.Runs[i].Result.Metrics["goodput"] += 0.05
	}
	if got, want := Compare(before, after), "| ours | goodput | 0.810 | 0.860 | 0.050 | 0.050 to 0.050 | 3 | differs |"; !strings.Contains(got, want) {
		t.Errorf("without %q:\n%s", want, got)
	}
	if got := Compare(before, &experiment.Results{}); got != "The two have no arm and seed in common.\n" {
		t.Errorf("got %q", got)
	}
}

// Charts are drawn of what was measured, and only of that.
func TestChartsOfWhatWasMeasured(t *testing.T) {
	charts, err := Charts(results())
	if err != nil {
		t.Fatal(err)
	}
	if len(charts) != 1 || charts[0].Name != "goodput" || !strings.HasPrefix(charts[0].inline(), "<svg") {
		t.Errorf("got %d charts", len(charts))
	}
	res := results()
	for i := range res.Runs {
		res.Runs[i].Result.Series.P95 = []float64{0.1, 0.2, 0.1}
		res.Runs[i].Result.CDF = map[string][]float64{"read": {0.1, 0.2}}
	}
	charts, err = Charts(res)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, chart := range charts {
		names = append(names, chart.Name)
	}
	if got := strings.Join(names, " "); got != "goodput latency-time cdf-read" {
		t.Errorf("got %s", got)
	}
}
