package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"

	"github.com/spf13/cobra"

	"ryerill/lab/experiment"
	"ryerill/lab/report"
	"ryerill/lab/rolloutsim"
)

// rolloutsCommand measures how often a plan stops what it should.
func rolloutsCommand(stdout io.Writer) *cobra.Command {
	var short bool
	var out string
	var runs int
	c := &cobra.Command{Use: "rollouts", Short: "Play many rollouts in virtual time: wrongly stopped, missed, how far a bad one came", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if short {
				runs = 30
			}
			return measureRollouts(cmd.Context(), runs, out, stdout)
		}}
	c.Flags().BoolVar(&short, "short", false, "the smaller form, under 45 s")
	c.Flags().StringVar(&out, "out", filepath.Join("found", "rollouts"), "folder for the results")
	c.Flags().IntVar(&runs, "runs", 1000, "rollouts of each")
	return c
}

func measureRollouts(ctx context.Context, runs int, out string, stdout io.Writer) error {
	t := &tasks{lanes: make(chan struct{}, runtime.GOMAXPROCS(0))}
	sizes, costs := []int{12, 60, 300}, []float64{0, 0.02, 0.05, 0.2}
	plans := []struct {
		name string
		play func(int, rolloutsim.Day, float64, uint64) rolloutsim.Result
	}{{"plan", rolloutsim.Play}, {"fixed waits", rolloutsim.Naive}}
	key := func(plan string, day rolloutsim.Day, cost float64, what string) string {
		return fmt.Sprint(plan, day, cost, what)
	}
	for _, n := range sizes {
		for _, day := range []rolloutsim.Day{rolloutsim.Calm, rolloutsim.Burst, rolloutsim.Faulty, rolloutsim.Uneven} {
			for _, cost := range costs {
				for _, p := range plans {
					for seed := range uint64(runs) {
						t.do(ctx, func(add func(string, int, uint64, ...float64)) {
							r := p.play(n, day, cost, seed)
							flag := func(b bool) float64 {
								if b {
									return 1
								}
								return 0
							}
							add(key(p.name, day, cost, "stopped"), n, seed, flag(r.Stopped))
							add(key(p.name, day, cost, "unknown"), n, seed, flag(r.Unknown))
							add(key(p.name, day, cost, "early"), n, seed, flag(r.Stopped && r.Reached <= max(0.1, 1.5/float64(n)*3)))
							add(key(p.name, day, cost, "reached"), n, seed, r.Reached)
							add(key(p.name, day, cost, "lost"), n, seed, r.Lost)
							add(key(p.name, day, cost, "took"), n, seed, r.Took.Seconds())
						})
					}
				}
			}
		}
	}
	t.all.Wait()
	var rows [][]string
	for _, n := range sizes {
		for _, day := range []rolloutsim.Day{rolloutsim.Calm, rolloutsim.Burst, rolloutsim.Faulty, rolloutsim.Uneven} {
			for _, cost := range costs {
				for _, p := range plans {
					mean := func(what string) float64 { return experiment.Mean(t.of(key(p.name, day, cost, what), n)) }
					rows = append(rows, []string{fmt.Sprint(n), string(day), fmt.Sprintf("%.0f", 100*cost), p.name, fmt.Sprintf("%.1f%%", 100*mean("stopped")), fmt.Sprintf("%.1f%%", 100*mean("unknown")),
						fmt.Sprintf("%.1f%%", 100*mean("early")), fmt.Sprintf("%.1f%%", 100*mean("reached")), fmt.Sprintf("%.2f", mean("lost")), fmt.Sprintf("%.0f s", mean("took"))})
				}
			}
		}
	}
	var text strings.Builder
	fmt.Fprintf(&text, "# Rollouts in virtual time\n\n%d of each. Cost: points of goodput that the change takes. Early: stopped before a tenth of the copies had it, or three copies in a small fleet. Lost: seconds of the whole fleet's traffic.\n\n", runs)
	text.WriteString(report.Table([]string{"copies", "day", "cost", "way", "stopped", "of them for a person", "early", "reached, mean", "lost", "took"}, rows))
	if err := os.MkdirAll(out, 0o755); err != nil {
		return err
	}
	fmt.Fprint(stdout, text.String())
	return os.WriteFile(filepath.Join(out, "table.md"), []byte(text.String()), 0o644)
}
