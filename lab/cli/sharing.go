package cli

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"

	"context"

	"github.com/spf13/cobra"

	"ryerill/lab/experiment"
	"ryerill/lab/report"
	"ryerill/lab/statesyncsim"
)

// sharingCommand measures what copies gain by sharing, and what it costs.
func sharingCommand(stdout io.Writer) *cobra.Command {
	var short bool
	var out string
	var seeds int
	c := &cobra.Command{Use: "sharing", Short: "Measure in virtual time what copies gain by sharing evidence, with and without a cut", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			sizes := []int{3, 30, 300}
			if short {
				sizes, seeds = []int{3, 30}, 2
			}
			return measureSharing(cmd.Context(), sizes, seeds, out, stdout)
		}}
	c.Flags().BoolVar(&short, "short", false, "the smaller form, under 45 s")
	c.Flags().StringVar(&out, "out", filepath.Join("found", "sharing"), "folder for the results")
	c.Flags().IntVar(&seeds, "seeds", 20, "runs of each")
	return c
}

func measureSharing(ctx context.Context, sizes []int, seeds int, out string, stdout io.Writer) error {
	t := &tasks{lanes: make(chan struct{}, runtime.GOMAXPROCS(0))}
	type row struct {
		statesyncsim.Case
		arm string
	}
	name := func(r row, what string) string { return fmt.Sprint(r.Fault, " ", r.Cut, " ", r.arm, " ", what) }
	var rows []row
	for _, n := range sizes {
		for _, trouble := range []string{"none", "err", "hang", "slow"} {
			for _, cut := range []bool{false, true} {
				for _, arm := range statesyncsim.Variants {
					r := row{statesyncsim.Case{Replicas: n, Fault: trouble, Cut: cut}, arm}
					if cut && arm == "oracle" {
						continue
					}
					rows = append(rows, r)
					for seed := range uint64(seeds) {
						t.do(ctx, func(add func(string, int, uint64, ...float64)) {
							res, err := statesyncsim.Play(ctx, r.Case, r.arm, seed)
							if err != nil {
								add("failed", n, seed, 1)
								return
							}
							add(name(r, "lost"), n, seed, float64(res.Lost))
							add(name(r, "goodput"), n, seed, res.Goodput)
							add(name(r, "bytes"), n, seed, res.Bytes)
							add(name(r, "violations"), n, seed, float64(res.Violated))
						})
					}
				}
			}
		}
	}
	t.all.Wait()
	var cells [][]string
	for _, r := range rows {
		lost, good := t.of(name(r, "lost"), r.Replicas), t.of(name(r, "goodput"), r.Replicas)
		off := r
		off.arm = "off"
		d := experiment.Differ(good, t.of(name(off, "goodput"), r.Replicas))
		low, high := experiment.Interval(lost)
		cut := "no"
		if r.Cut {
			cut = "yes"
		}
		cells = append(cells, []string{fmt.Sprint(r.Replicas), r.Fault, cut, r.arm, fmt.Sprint(len(lost)), fmt.Sprintf("%.0f (%.0f to %.0f)", experiment.Mean(lost), low, high),
			fmt.Sprintf("%.4f", experiment.Mean(good)), fmt.Sprintf("%+.4f (%+.4f to %+.4f)", d.Mean, d.Low, d.High), fmt.Sprintf("%.0f", experiment.Mean(t.of(name(r, "bytes"), r.Replicas))),
			fmt.Sprintf("%.0f", experiment.Mean(t.of(name(r, "violations"), r.Replicas)))})
	}
	var text strings.Builder
	text.WriteString("# Sharing evidence in virtual time\n\nOne of eight servers errs, hangs or is slow from 12 s to 30 s of 40 s. Lost: calls of all copies that ended badly at any server in that time. Cut: a third of the copies is cut off from the rest from 10 s to 25 s. Goodput against off: paired, 95% interval.\n\n")
	text.WriteString(report.Table([]string{"copies", "trouble", "cut", "sharing", "runs", "lost (95% interval)", "goodput", "against off", "bytes a copy a second", "rules broken"}, cells))
	if n := len(t.of("failed", sizes[0])); n > 0 {
		fmt.Fprintf(&text, "%d runs failed.\n", n)
	}
	if err := os.MkdirAll(out, 0o755); err != nil {
		return err
	}
	fmt.Fprint(stdout, text.String())
	return os.WriteFile(filepath.Join(out, "table.md"), []byte(text.String()), 0o644)
}
