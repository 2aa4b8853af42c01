package cli

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"runtime"
	"sync"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"ryerill/lab/chaos"
	"ryerill/lab/report"
)

// chaosOptions are the flags of the command night.
type chaosOptions struct {
	short     bool
	processes bool
	replay    string
	out       string
	sizes     []int
	runs      int
	seed      uint64
	length    time.Duration
}

func chaosCommand(stdout io.Writer) *cobra.Command {
	var options chaosOptions
	c := &cobra.Command{
		Use:   "night",
		Short: "Play random troubles over a fleet, many at once, with a ledger that must balance",
		Long: "Play random troubles over a fleet, many at once, with a ledger that must balance: " +
			"in virtual time, or with --processes on real\n" +
			"ones under load. What does not balance is shrunk, and written as a file that --replay plays again. " +
			"Exit status 1 if anything is found.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if options.short {
				options.sizes = []int{8, 30}
				options.runs = 20
				options.length = time.Minute
			}
			return runChaos(cmd.Context(), options, stdout)
		},
	}
	flags := c.Flags()
	flags.BoolVar(&options.short, "short", false, shortUsage)
	flags.BoolVar(&options.processes, "processes", false, "on real processes; the first of --copies says how many")
	flags.StringVar(&options.replay, "replay", "", "play a file that was written")
	flags.StringVar(&options.out, "out", filepath.Join(resultsDir, "night"), "folder for what is found")
	flags.IntSliceVar(&options.sizes, "copies", []int{12, 30}, "copies")
	flags.IntVar(&options.runs, "nights", 50, "nights of each size")
	flags.Uint64Var(&options.seed, "seed", 1, "of the first")
	flags.DurationVar(&options.length, "length", 2*time.Minute, "of the troubles of one night")
	return c
}

func runChaos(ctx context.Context, options chaosOptions, stdout io.Writer) error {
	switch {
	case options.replay != "":
		return replayChaos(ctx, options, stdout)
	case options.processes:
		for i := range options.runs {
			schedule := chaos.Draw(options.sizes[0], options.length, options.seed+uint64(i))
			if err := runChaosOnProcesses(ctx, schedule, options.out, stdout); err != nil {
				return err
			}
		}
		return nil
	}
	return runChaosInVirtualTime(ctx, options, stdout)
}

// replayChaos plays a schedule that was written.
func replayChaos(ctx context.Context, options chaosOptions, stdout io.Writer) error {
	schedule, err := chaos.Read(options.replay)
	if err != nil {
		return err
	}
	if options.processes {
		return runChaosOnProcesses(ctx, schedule, options.out, stdout)
	}
	stats, violation := chaos.Play(schedule, "")
	fmt.Fprintf(stdout, "%+v\n", stats)
	if violation != nil {
		return shortError{violation}
	}
	return nil
}

// runChaosOnProcesses plays a schedule on real processes, and writes it to a file if a rule was broken.
func runChaosOnProcesses(ctx context.Context, schedule chaos.Schedule, out string, stdout io.Writer) error {
	command, err := proxyCommand()
	if err != nil {
		return err
	}
	fmt.Fprintf(stdout, "night %d: %d processes, %d troubles in %v\n",
		schedule.Seed, schedule.Replicas, len(schedule.Steps), schedule.Length)
	printLine := func(line string) { fmt.Fprintln(stdout, "  ", line) }
	sum, violation, err := chaos.Processes(ctx, schedule, command, printLine)
	if err != nil {
		return err
	}
	fmt.Fprintf(stdout, "  ledger: %d requests, %d served, %d refused, %d failed, "+
		"%d lost, %d late, %d repeated, %d excused\n",
		sum.Requests, sum.Served, sum.Shed, sum.Failed, sum.Lost, sum.Late, sum.Repeated, sum.Excused)
	if violation == nil {
		return nil
	}
	file, err := chaos.Found(out, schedule, violation.Rule)
	if err != nil {
		return err
	}
	return shortError{fmt.Errorf("%w; written to %s", violation, file)}
}

// runChaosInVirtualTime plays random schedules for all sizes, and writes a table and the schedules that broke a rule.
func runChaosInVirtualTime(ctx context.Context, options chaosOptions, stdout io.Writer) error {
	var rows [][]string
	var latest error
	for _, replicas := range options.sizes {
		batch := chaosBatch{replicas: replicas, options: options, stdout: stdout}
		rows = append(rows, batch.run(ctx))
		if batch.violation != nil {
			latest = batch.violation
		}
	}
	head := []string{
		"copies", "nights", "hours of troubles", "troubles", "plans", "through at the end", "datagrams",
		"all know all again after, at most", "found", "took",
	}
	table := report.Table(head, rows)
	fmt.Fprint(stdout, table)
	if err := saveTable(options.out, "# Nights in virtual time\n\n"+table); err != nil {
		return err
	}
	if latest != nil {
		return shortError{latest}
	}
	return nil
}

// chaosBatch is all runs of one fleet size in virtual time.
type chaosBatch struct {
	replicas int
	options  chaosOptions

	mu               sync.Mutex // guards what follows while runs are in progress
	stdout           io.Writer
	stats            chaos.Stats // of the runs that broke no rule
	longestAgreement time.Duration
	violations       int
	violation        error // the latest
}

// run plays the batch on all cores and returns its row of the table.
func (b *chaosBatch) run(ctx context.Context) []string {
	startedAt := time.Now()
	var workers errgroup.Group
	workers.SetLimit(runtime.GOMAXPROCS(0))
	for i := range b.options.runs {
		workers.Go(func() error {
			if ctx.Err() == nil {
				b.play(b.options.seed + uint64(i))
			}
			return nil
		})
	}
	_ = workers.Wait() // runs record what they find and return no errors
	return []string{
		fmt.Sprint(b.replicas),
		fmt.Sprint(b.options.runs),
		fmt.Sprintf("%.2f", (time.Duration(b.options.runs) * b.options.length).Hours()),
		fmt.Sprint(b.stats.Steps),
		fmt.Sprint(b.stats.Plans),
		fmt.Sprint(b.stats.Done),
		fmt.Sprint(b.stats.Datagrams),
		b.longestAgreement.String(),
		fmt.Sprint(b.violations),
		time.Since(startedAt).Round(time.Second).String(),
	}
}

// play plays the schedule of a seed.
func (b *chaosBatch) play(seed uint64) {
	schedule := chaos.Draw(b.replicas, b.options.length, seed)
	stats, violation := chaos.Play(schedule, "")
	if violation != nil {
		b.recordViolation(schedule, violation)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats.Steps += stats.Steps
	b.stats.Plans += stats.Plans
	b.stats.Done += stats.Done
	b.stats.Datagrams += stats.Datagrams
	b.longestAgreement = max(b.longestAgreement, stats.Agreed)
}

// recordViolation shrinks a schedule that breaks a rule as long as it breaks the same one, and writes it to a file.
func (b *chaosBatch) recordViolation(schedule chaos.Schedule, violation *chaos.Violation) {
	smaller := chaos.Shrink(schedule, func(s chaos.Schedule) bool {
		_, v := chaos.Play(s, "")
		return v != nil && v.Rule == violation.Rule
	})
	smaller.About = violation.Rule
	file, err := chaos.Found(b.options.out, smaller, violation.Rule)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.violations++
	b.violation = foundViolation(violation, len(smaller.Steps), file, err)
	fmt.Fprintln(b.stdout, b.violation)
}

// foundViolation says what was found, and where the schedule that shows it was written, or why it was not.
func foundViolation(violation *chaos.Violation, steps int, file string, err error) error {
	if err != nil {
		return fmt.Errorf("%w; %d troubles are enough, not written: %w", violation, steps, err)
	}
	return fmt.Errorf("%w; %d troubles are enough, written to %s", violation, steps, file)
}
