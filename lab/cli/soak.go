package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"ryerill/lab/soak"
)

// soakOptions are the flags of the command soak.
type soakOptions struct {
	proxy  string
	report string
	first  uint64
	seeds  int
	length time.Duration
	lists  bool

	proxies int // of a run with lists; 0 draws them
}

func soakCommand(stdout io.Writer) *cobra.Command {
	var options soakOptions
	c := &cobra.Command{
		Use:   "soak",
		Short: "Run real proxies of two tiers while calls of the system fail, from seeds",
		Long: "Run real proxies of two tiers while calls of the system fail, signals arrive in series and clients " +
			"and endpoints\nmisbehave, all drawn from seeds. Exit status 1 if accounts don't agree.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runSoak(cmd.Context(), options, stdout) },
	}
	flags := c.Flags()
	flags.StringVar(&options.proxy, "proxy", filepath.Join("bin", "proxy"), "the program")
	flags.StringVar(&options.report, "report", filepath.Join(resultsDir, "soak"), outputUsage)
	flags.Uint64Var(&options.first, "seed", 1, "of the first run")
	flags.IntVar(&options.seeds, "seeds", 50, "runs, each with a seed of its own")
	flags.DurationVar(&options.length, "length", 10*time.Second, "of the load of one run")
	flags.IntVar(&options.proxies, "proxies", 0, "with --lists: of each run, in place of a drawn number")
	flags.BoolVar(&options.lists, "lists", false,
		"proxies before up to 10,000 endpoints whose list changes, in place of two tiers")
	return c
}

// runSoak plays the runs and reports them, also those so far if it is interrupted.
func runSoak(ctx context.Context, options soakOptions, stdout io.Writer) error {
	laboratory, err := os.Executable()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(options.report, resultDirMode); err != nil {
		return err
	}
	play := playTiers
	if options.lists {
		play = func(
			ctx context.Context, seed uint64, length time.Duration, programs soak.Options,
		) (playedSoak, error) {
			return playLists(ctx, soak.DrawLists(seed, length, options.proxies), programs)
		}
	}
	var results []any
	breaks := 0
	var failed error
	for seed := options.first; seed < options.first+uint64(options.seeds) && ctx.Err() == nil; seed++ {
		directory := filepath.Join(options.report, fmt.Sprint("seed-", seed))
		played, err := play(ctx, seed, options.length, soak.Options{
			Proxy: options.proxy, Laboratory: laboratory, Directory: directory,
		})
		if ctx.Err() != nil { // what it came to is no result
			fmt.Fprintf(stdout, "seed %d: stopped\n", seed)
			break
		}
		if err != nil {
			failed = errors.Join(failed, fmt.Errorf("seed %d: %w", seed, err))
			fmt.Fprintf(stdout, "seed %d: not played: %v\n", seed, err)
			continue
		}
		results = append(results, played.result)
		breaks += len(played.breaks)
		played.print(stdout, seed)
	}
	if err := writeSoak(options.report, results); err != nil {
		return err
	}
	fmt.Fprintf(stdout, "%d runs, %d breaks\n", len(results), breaks)
	if breaks > 0 {
		failed = errors.Join(failed, fmt.Errorf("%d breaks", breaks))
	}
	if failed != nil {
		return shortError{failed}
	}
	return ctx.Err()
}

// playedSoak is a run that was played.
type playedSoak struct {
	result  any
	summary string
	events  []string // of its schedule
	breaks  []soak.Break
}

// playTiers plays a run of two tiers.
func playTiers(
	ctx context.Context, seed uint64, length time.Duration, options soak.Options,
) (playedSoak, error) {
	schedule := soak.Draw(seed, length)
	result, err := soak.Play(ctx, schedule, options)
	if err != nil {
		return playedSoak{}, err
	}
	return playedSoak{
		result: result,
		summary: fmt.Sprintf("%d requests, statuses %v, excused %v, %d calls disturbed",
			result.Requests, result.Statuses, result.Excuses, result.Injected),
		events: schedule.Events(),
		breaks: result.Breaks,
	}, nil
}

// playLists plays a run with changing lists.
func playLists(ctx context.Context, schedule *soak.ListSchedule, options soak.Options) (playedSoak, error) {
	result, err := soak.PlayLists(ctx, schedule, options)
	if err != nil {
		return playedSoak{}, err
	}
	return playedSoak{
		result: result,
		summary: fmt.Sprintf(
			"%d endpoints, %d proxies, %d requests, %d late, %d counted, statuses %v, %d calls disturbed",
			result.Endpoints, result.Proxies, result.Requests, result.Late, result.Counted, result.Statuses,
			result.Injected),
		events: schedule.Describe(),
		breaks: result.Breaks,
	}, nil
}

// print prints what a run came to, with the schedule if accounts don't agree.
func (p *playedSoak) print(stdout io.Writer, seed uint64) {
	fmt.Fprintf(stdout, "seed %d: %s, %d breaks\n", seed, p.summary, len(p.breaks))
	for i, b := range p.breaks {
		if i == 0 {
			for _, event := range p.events {
				fmt.Fprintln(stdout, "  ", event)
			}
		}
		fmt.Fprintln(stdout, " ", b.Rule)
		for _, line := range b.Timeline {
			fmt.Fprintln(stdout, "    ", line)
		}
	}
}

// writeSoak writes the results as a file.
func writeSoak(directory string, results []any) error {
	text, err := json.MarshalIndent(results, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(directory, "soak.json"), text, resultFileMode)
}
