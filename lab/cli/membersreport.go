package cli

import (
	"encoding/csv"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"ryerill/lab/experiment"
	"ryerill/lab/report"
)

// notMeasured stands in a table where there are no values.
const notMeasured = "-"

// membersReport writes what was measured of the membership.
type membersReport struct {
	values        func(key string, replicas int) []float64
	sizes         []int
	calmRunLength time.Duration
}

func (r *membersReport) quantile(key string, replicas int, p float64) string {
	values := r.values(key, replicas)
	if len(values) == 0 {
		return notMeasured
	}
	return fmt.Sprintf("%.3g", experiment.Quantile(p, values))
}

func (r *membersReport) mean(key string, replicas int) string {
	values := r.values(key, replicas)
	if len(values) == 0 {
		return notMeasured
	}
	return fmt.Sprintf("%.4g", experiment.Mean(values))
}

// text returns both tables with what they mean.
func (r *membersReport) text() string {
	var text strings.Builder
	text.WriteString("# Membership in virtual time\n\n" +
		"Seconds; bytes and frames are those that one member sends a second at rest. " +
		"Split: two halves that held each other for dead for half a minute, then healed, " +
		"until all hold all for alive; bytes a member meanwhile. " +
		"Join: all started within a second, all from one seed, until all know all.\n\n")
	text.WriteString(r.changesTable())
	fmt.Fprintf(&text, "Nobody dies, for %v a run: "+
		"who was suspected, and held for dead, by anybody, an hour of the whole fleet.\n\n", r.calmRunLength)
	text.WriteString(r.calmTable())
	return text.String()
}

// changesTable is how soon deaths, heals and joins are known, and what that costs.
func (r *membersReport) changesTable() string {
	var rows [][]string
	for _, n := range r.sizes {
		rows = append(rows, []string{
			fmt.Sprint(n),
			fmt.Sprint(len(r.values("all", n))),
			r.quantile("first", n, 0.5),
			r.quantile("first", n, 0.99),
			r.quantile("all", n, 0.5),
			r.quantile("all", n, 0.99),
			r.mean("bytes", n),
			r.mean("frames", n),
			r.mean("exchanged", n),
			r.quantile("heal", n, 0.5),
			r.quantile("heal", n, 1),
			r.mean("heal bytes", n),
			r.quantile("join", n, 0.5),
			r.quantile("join", n, 1),
		})
	}
	head := []string{
		"copies", "deaths", "first knows, median", "p99", "all know, median", "p99", "bytes", "frames",
		"bytes of exchanges", "split heals, median", "longest", "bytes", "join, median", "longest",
	}
	return report.Table(head, rows)
}

// calmTable is how often replicas were suspected, or declared dead, although nobody died.
func (r *membersReport) calmTable() string {
	var rows [][]string
	for _, n := range r.sizes {
		for _, fault := range calmFaults {
			runs := len(r.values("deaths "+fault.name, n))
			if runs == 0 {
				continue
			}
			rows = append(rows, []string{
				fmt.Sprint(n),
				fault.name,
				fmt.Sprintf("%.3g", float64(runs)*r.calmRunLength.Hours()),
				r.mean("suspected "+fault.name, n),
				r.mean("deaths "+fault.name, n),
				r.mean("bytes "+fault.name, n),
			})
		}
	}
	head := []string{
		"copies", "trouble", "hours played", "suspected an hour", "held for dead an hour", "bytes a member a second",
	}
	return report.Table(head, rows)
}

// line is a quantile over the fleet's size.
func (r *membersReport) line(name, key string, p float64) report.Line {
	line := report.Line{Name: name}
	for _, n := range r.sizes {
		values := r.values(key, n)
		if len(values) == 0 {
			continue
		}
		line.X = append(line.X, float64(n))
		line.Y = append(line.Y, experiment.Quantile(p, values))
	}
	return line
}

func (r *membersReport) saveCharts(dir string) error {
	detection, err := report.Lines("deaths", "A death is known: to the first, and to all", "copies", "seconds", true,
		[]report.Line{
			r.line("first, median", "first", 0.5),
			r.line("first, p99", "first", 0.99),
			r.line("all, median", "all", 0.5),
			r.line("all, p99", "all", 0.99),
		})
	if err != nil {
		return err
	}
	cost, err := report.Lines("bytes", "What a member sends at rest", "copies", "bytes a second", true,
		[]report.Line{r.line("mean", "bytes", 0.5)})
	if err != nil {
		return err
	}
	for _, chart := range []report.Chart{detection, cost} {
		if err := chart.Save(dir); err != nil {
			return err
		}
	}
	return nil
}

// saveSamples writes single values as CSV.
func saveSamples(file string, samples []sample[string]) (err error) {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	rows := [][]string{{"what", "copies", "seed", "value"}}
	for _, s := range samples {
		rows = append(rows, []string{s.key, fmt.Sprint(s.replicas), fmt.Sprint(s.seed), fmt.Sprint(s.value)})
	}
	return csv.NewWriter(f).WriteAll(rows) // WriteAll flushes
}
