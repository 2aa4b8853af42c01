package report

import (
	"strconv"

	"ryerill/lab/experiment"
)

// Compare shows the runs of two folders side by side: for each variant that both have, the difference of each metric,
// paired by seed.
func Compare(a, b *experiment.Results) string {
	var rows [][]string
	for _, variant := range a.Variants {
		both := sideBySide(a, b, variant)
		for _, metric := range tableMetrics(a) {
			if row := comparison(both, variant, metric); row != nil {
				rows = append(rows, row)
			}
		}
	}
	if len(rows) == 0 {
		return "The two have no arm and seed in common.\n"
	}
	return Table([]string{"arm", "metric", "A", "B", "B - A", "95% interval", "pairs", ""}, rows)
}

// Names that the two sides of a comparison have as variants.
const (
	sideA = "a"
	sideB = "b"
)

// sideBySide returns the runs of one variant of both results, as those of two variants.
func sideBySide(a, b *experiment.Results, variant string) *experiment.Results {
	both := &experiment.Results{Variants: []string{sideA, sideB}}
	add := func(side string, from *experiment.Results) {
		for _, run := range from.Of(variant) {
			run.Variant = side
			both.Runs = append(both.Runs, run)
		}
	}
	add(sideA, a)
	add(sideB, b)
	return both
}

// comparison returns the row of a metric, or nil if no seed has it on both sides.
func comparison(both *experiment.Results, variant, metric string) []string {
	d := both.Paired(metric, sideB, sideA)
	if d.N == 0 {
		return nil
	}
	remark := ""
	if d.Low > 0 || d.High < 0 {
		remark = "differs"
	}
	return []string{
		variant,
		metric,
		number(experiment.Mean(both.Values(sideA, metric))),
		number(experiment.Mean(both.Values(sideB, metric))),
		number(d.Mean),
		interval(d),
		strconv.Itoa(d.N),
		remark,
	}
}
