package cli

import (
	"context"
	"fmt"
	"io"
	"path/filepath"

	"github.com/spf13/cobra"

	"ryerill/lab/experiment"
	"ryerill/lab/report"
	"ryerill/lab/rolloutsim"
)

const shortRollouts = 30 // runs of each case in the short form

func rolloutsCommand(stdout io.Writer) *cobra.Command {
	var short bool
	var out string
	var runs int
	c := &cobra.Command{
		Use:   "rollouts",
		Short: "Play many rollouts in virtual time: wrongly stopped, missed, how far a bad one came",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if short {
				runs = shortRollouts
			}
			return measureRollouts(cmd.Context(), runs, out, stdout)
		},
	}
	c.Flags().BoolVar(&short, "short", false, shortUsage)
	c.Flags().StringVar(&out, "out", filepath.Join(resultsDir, "rollouts"), outputUsage)
	c.Flags().IntVar(&runs, "runs", 1000, "rollouts of each")
	return c
}

// rolloutStrategy is a way to roll out.
type rolloutStrategy struct {
	name string
	play func(replicas int, day rolloutsim.Day, cost float64, seed uint64) rolloutsim.Result
}

// rolloutCase is what was played; all its runs differ in their seed.
type rolloutCase struct {
	replicas int
	day      rolloutsim.Day
	cost     float64 // part of the goodput that the change costs
	strategy rolloutStrategy
}

// rolloutMetric names what is measured of a case in the samples.
type rolloutMetric struct {
	strategy string
	day      rolloutsim.Day
	cost     float64
	name     string
}

func (c *rolloutCase) metric(name string) rolloutMetric {
	return rolloutMetric{strategy: c.strategy.name, day: c.day, cost: c.cost, name: name}
}

// rolloutCases returns all cases in the order of the table.
func rolloutCases() []rolloutCase {
	var cases []rolloutCase
	for _, replicas := range []int{12, 60, 300} {
		for _, day := range []rolloutsim.Day{rolloutsim.Calm, rolloutsim.Burst, rolloutsim.Faulty, rolloutsim.Uneven} {
			for _, cost := range []float64{0, 0.02, 0.05, 0.2} {
				cases = append(cases,
					rolloutCase{replicas, day, cost, rolloutStrategy{"plan", rolloutsim.Play}},
					rolloutCase{replicas, day, cost, rolloutStrategy{"fixed waits", rolloutsim.Naive}},
				)
			}
		}
	}
	return cases
}

// measureRollouts plays all cases and writes a table.
func measureRollouts(ctx context.Context, runs int, out string, stdout io.Writer) error {
	cases := rolloutCases()
	samples := newSampler[rolloutMetric]()
	for _, c := range cases {
		for seed := range uint64(runs) {
			samples.start(ctx, c.replicas, seed, func(add addFunc[rolloutMetric]) { c.measure(seed, add) })
		}
	}
	samples.wait()
	var rows [][]string
	for _, c := range cases {
		rows = append(rows, c.row(samples))
	}
	head := []string{
		"copies", "day", "cost", "way", "stopped", "of them for a person", "early", "reached, mean", "lost", "took",
	}
	text := fmt.Sprintf("# Rollouts in virtual time\n\n%d of each. "+
		"Cost: points of goodput that the change takes. "+
		"Early: stopped before a tenth of the copies had it, or three copies in a small fleet. "+
		"Lost: seconds of the whole fleet's traffic.\n\n", runs) + report.Table(head, rows)
	return printAndSaveTable(out, text, stdout)
}

// measure plays one rollout.
func (c *rolloutCase) measure(seed uint64, add addFunc[rolloutMetric]) {
	// A rollout is stopped early that reached this part of the fleet at most.
	const (
		earlyFraction = 0.1
		earlyReplicas = 4.5 // three and half as many again
	)
	result := c.strategy.play(c.replicas, c.day, c.cost, seed)
	early := result.Stopped && result.Reached <= max(earlyFraction, earlyReplicas/float64(c.replicas))
	add(c.metric("stopped"), indicator(result.Stopped))
	add(c.metric("unknown"), indicator(result.Unknown))
	add(c.metric("early"), indicator(early))
	add(c.metric("reached"), result.Reached)
	add(c.metric("lost"), result.Lost)
	add(c.metric("took"), result.Took.Seconds())
}

// row is the case's row of the table.
func (c *rolloutCase) row(samples *sampler[rolloutMetric]) []string {
	mean := func(name string) float64 { return experiment.Mean(samples.values(c.metric(name), c.replicas)) }
	percent := func(name string) string { return fmt.Sprintf("%.1f%%", 100*mean(name)) }
	return []string{
		fmt.Sprint(c.replicas),
		string(c.day),
		fmt.Sprintf("%.0f", 100*c.cost),
		c.strategy.name,
		percent("stopped"),
		percent("unknown"),
		percent("early"),
		percent("reached"),
		fmt.Sprintf("%.2f", mean("lost")),
		fmt.Sprintf("%.0f s", mean("took")),
	}
}

// indicator is 1 for true, so that the mean of many is how often it was.
func indicator(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
