package report

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"ryerill/lab/experiment"
)

// defaultMetrics are those of a table that the experiment doesn't choose.
var defaultMetrics = []string{
	"goodput", "worst_class", "worst10", "p50", "p95", "refused", "failed", "overdue", "attempts", "waste", "recover",
	"jammed", "violations",
}

// comparedMetric is the metric whose differences between variants are shown.
const comparedMetric = "goodput"

// notMeasured stands in a table where there is no value.
const notMeasured = "-"

// Table returns a table in Markdown.
func Table(head []string, rows [][]string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "| %s |\n|%s\n", strings.Join(head, " | "), strings.Repeat(" --- |", len(head)))
	for _, row := range rows {
		fmt.Fprintf(&text, "| %s |\n", strings.Join(row, " | "))
	}
	text.WriteByte('\n')
	return text.String()
}

// tableMetrics lists the metrics that the results' tables show.
func tableMetrics(res *experiment.Results) []string {
	if len(res.Tables) == 0 {
		return defaultMetrics
	}
	return res.Tables
}

// metricsTable is the variants' metrics, a row for each variant.
func metricsTable(res *experiment.Results) (head []string, rows [][]string) {
	metrics := tableMetrics(res)
	head = append([]string{"arm", "runs"}, metrics...)
	for _, variant := range res.Variants {
		row := []string{variant, strconv.Itoa(usableRuns(res, variant))}
		for _, metric := range metrics {
			row = append(row, summary(res.Values(variant, metric)))
		}
		rows = append(rows, row)
	}
	return head, rows
}

func usableRuns(res *experiment.Results, variant string) int {
	count := 0
	for _, run := range res.Of(variant) {
		if run.Result.Void == "" {
			count++
		}
	}
	return count
}

// summary shows the mean of values, with their standard deviation if there are several.
func summary(values []float64) string {
	switch len(values) {
	case 0:
		return notMeasured
	case 1:
		return number(values[0])
	}
	return number(experiment.Mean(values)) + " ± " + number(experiment.Deviation(values))
}

// number shows three or four significant digits.
func number(v float64) string {
	const (
		maxWhole    = 1e6   // whole numbers below it are shown without an exponent
		minOneDigit = 100   // from here on one digit after the point is enough
		minPlain    = 0.001 // below it numbers are shown with an exponent
	)
	magnitude := math.Abs(v)
	switch {
	case math.IsNaN(v):
		return notMeasured
	case v == math.Trunc(v) && magnitude < maxWhole:
		return strconv.FormatFloat(v, 'f', 0, 64)
	case magnitude >= minOneDigit:
		return strconv.FormatFloat(v, 'f', 1, 64)
	case magnitude >= minPlain:
		return strconv.FormatFloat(v, 'f', 3, 64)
	}
	return strconv.FormatFloat(v, 'g', 2, 64)
}

// interval shows the 95% interval of a difference.
func interval(d experiment.Difference) string { return number(d.Low) + " to " + number(d.High) }

// differences compares a metric of the first variant with that of each other, paired by seed.
func differences(res *experiment.Results, metric string) [][]string {
	if len(res.Variants) == 0 {
		return nil
	}
	var rows [][]string
	first := res.Variants[0]
	for _, variant := range res.Variants[1:] {
		d := res.Paired(metric, first, variant)
		if d.N < 2 {
			continue
		}
		rows = append(rows, []string{first + " - " + variant, number(d.Mean), interval(d), strconv.Itoa(d.N)})
	}
	return rows
}

// Markdown returns the results as tables.
func Markdown(res *experiment.Results) string {
	var text strings.Builder
	fmt.Fprintf(&text, "# %s\n\n%s\n\n", res.Name, strings.TrimSpace(res.About))
	if res.CutOff != "" {
		fmt.Fprintf(&text, "**Cut off: %s.**\n\n", res.CutOff)
	}
	if res.Short {
		text.WriteString("The short form was played.\n\n")
	}
	text.WriteString("Mean ± standard deviation over runs.\n\n")
	text.WriteString(Table(metricsTable(res)))
	if rows := differences(res, comparedMetric); len(rows) > 0 {
		text.WriteString("Differences of goodput, paired by seed, with the 95% interval of their mean (bootstrap):\n\n")
		text.WriteString(Table([]string{"arms", "difference", "interval", "pairs"}, rows))
	}
	if len(res.Outcomes) > 0 {
		text.WriteString("Expectations:\n\n")
		text.WriteString(Table([]string{"expected", "held", "figures"}, outcomeRows(res)))
	}
	if lines := violations(res); len(lines) > 0 {
		text.WriteString("Broken rules (the first of each arm and rule):\n\n")
		for _, line := range lines {
			text.WriteString("- " + line + "\n")
		}
	}
	return text.String()
}

// outcomeRows is the expectations with what became of them.
func outcomeRows(res *experiment.Results) [][]string {
	var rows [][]string
	for i := range res.Outcomes {
		outcome := &res.Outcomes[i]
		held := "no"
		if outcome.Held {
			held = "yes"
		}
		figures := outcome.Figures()
		if outcome.Fault != "" {
			figures = outcome.Fault
		}
		expected := "`" + strings.ReplaceAll(outcome.Text, "|", "\\|") + "`"
		rows = append(rows, []string{expected, held, figures})
	}
	return rows
}

// violations lists the first violation of each variant and rule, and the void runs.
func violations(res *experiment.Results) []string {
	type key struct{ variant, rule string }
	var lines []string
	seen := map[key]bool{}
	for _, run := range res.Runs {
		for _, v := range run.Result.Violations {
			k := key{run.Variant, v.Rule}
			if seen[k] {
				continue
			}
			seen[k] = true
			lines = append(lines, fmt.Sprintf("%s, seed %d, %s at %.3f s: %s",
				run.Variant, run.Seed, v.Rule, v.At.Seconds(), v.Evidence))
		}
		if run.Result.Void != "" {
			lines = append(lines, fmt.Sprintf("%s, seed %d is void: %s", run.Variant, run.Seed, run.Result.Void))
		}
	}
	return lines
}
