package cli

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"ryerill/lab/experiment"
	"ryerill/lab/report"
	"ryerill/lab/statesyncsim"
)

func sharingCommand(stdout io.Writer) *cobra.Command {
	var short bool
	var out string
	var seeds int
	c := &cobra.Command{
		Use:   "sharing",
		Short: "Measure in virtual time what copies gain by sharing evidence, with and without a cut",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			sizes := []int{3, 30, 300}
			if short {
				sizes = []int{3, 30}
				seeds = 2
			}
			return measureSharing(cmd.Context(), sizes, seeds, out, stdout)
		},
	}
	c.Flags().BoolVar(&short, "short", false, shortUsage)
	c.Flags().StringVar(&out, "out", filepath.Join(resultsDir, "sharing"), outputUsage)
	c.Flags().IntVar(&seeds, "seeds", 20, "runs of each")
	return c
}

// Variants of sharing that are treated apart.
const (
	sharingOff    = "off"
	sharingOracle = "oracle"
)

// sharingCase is what was played with one variant of sharing.
type sharingCase struct {
	statesyncsim.Case
	variant string
}

// sharingMetric names what is measured of a case in the samples.
type sharingMetric struct {
	fault   string
	cut     bool
	variant string
	name    string
}

// failedRun counts the runs of a fleet size that failed.
var failedRun = sharingMetric{name: "failed"}

func (c *sharingCase) metric(name string) sharingMetric {
	return sharingMetric{fault: c.Fault, cut: c.Cut, variant: c.variant, name: name}
}

// sharingCases returns all cases in the order of the table. An oracle can't be cut off.
func sharingCases(sizes []int) []sharingCase {
	var cases []sharingCase
	for _, replicas := range sizes {
		for _, fault := range []string{"none", "err", "hang", "slow"} {
			for _, cut := range []bool{false, true} {
				for _, variant := range statesyncsim.Variants {
					if cut && variant == sharingOracle {
						continue
					}
					played := statesyncsim.Case{Replicas: replicas, Fault: fault, Cut: cut}
					cases = append(cases, sharingCase{played, variant})
				}
			}
		}
	}
	return cases
}

// measureSharing plays all cases and writes a table.
func measureSharing(ctx context.Context, sizes []int, seeds int, out string, stdout io.Writer) error {
	cases := sharingCases(sizes)
	samples := newSampler[sharingMetric]()
	for _, c := range cases {
		for seed := range uint64(seeds) {
			samples.start(ctx, c.Replicas, seed, func(add addFunc[sharingMetric]) { c.measure(ctx, seed, add) })
		}
	}
	samples.wait()
	text := sharingReport(cases, samples)
	if failed := failedRuns(samples, sizes); failed > 0 {
		text += fmt.Sprintf("%d runs failed.\n", failed)
	}
	return printAndSaveTable(out, text, stdout)
}

// failedRuns counts the runs of all fleet sizes that failed.
func failedRuns(samples *sampler[sharingMetric], sizes []int) (failed int) {
	for _, replicas := range sizes {
		failed += len(samples.values(failedRun, replicas))
	}
	return failed
}

// measure plays the case once.
func (c *sharingCase) measure(ctx context.Context, seed uint64, add addFunc[sharingMetric]) {
	result, err := statesyncsim.Play(ctx, c.Case, c.variant, seed)
	if err != nil {
		add(failedRun, 1)
		return
	}
	add(c.metric("lost"), float64(result.Lost))
	add(c.metric("goodput"), result.Goodput)
	add(c.metric("bytes"), result.Bytes)
	add(c.metric("violations"), float64(result.Violated))
}

func sharingReport(cases []sharingCase, samples *sampler[sharingMetric]) string {
	var text strings.Builder
	text.WriteString("# Sharing evidence in virtual time\n\n" +
		"One of eight servers errs, hangs or is slow from 12 s to 30 s of 40 s. " +
		"Lost: calls of all copies that ended badly at any server in that time. " +
		"Cut: a third of the copies is cut off from the rest from 10 s to 25 s. " +
		"Goodput against off: paired, 95% interval.\n\n")
	var rows [][]string
	for _, c := range cases {
		rows = append(rows, c.row(samples))
	}
	head := []string{
		"copies", "trouble", "cut", "sharing", "runs", "lost (95% interval)", "goodput", "against off",
		"bytes a copy a second", "rules broken",
	}
	text.WriteString(report.Table(head, rows))
	return text.String()
}

// row is the case's row of the table.
func (c *sharingCase) row(samples *sampler[sharingMetric]) []string {
	values := func(name string) []float64 { return samples.values(c.metric(name), c.Replicas) }
	mean := func(name string) float64 { return experiment.Mean(values(name)) }
	off := sharingCase{c.Case, sharingOff}
	gain := experiment.Differ(samples.paired(c.metric("goodput"), off.metric("goodput"), c.Replicas))
	lost := values("lost")
	low, high := experiment.Interval(lost)
	cut := "no"
	if c.Cut {
		cut = "yes"
	}
	return []string{
		fmt.Sprint(c.Replicas),
		c.Fault,
		cut,
		c.variant,
		fmt.Sprint(len(lost)),
		fmt.Sprintf("%.0f (%.0f to %.0f)", experiment.Mean(lost), low, high),
		fmt.Sprintf("%.4f", mean("goodput")),
		fmt.Sprintf("%+.4f (%+.4f to %+.4f)", gain.Mean, gain.Low, gain.High),
		fmt.Sprintf("%.0f", mean("bytes")),
		fmt.Sprintf("%.0f", mean("violations")),
	}
}
