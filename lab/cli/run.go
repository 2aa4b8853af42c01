package cli

import (
	"context"
	"fmt"
	"io"
	"path/filepath"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"

	"ryerill/lab/experiment"
	"ryerill/lab/report"
)

// runOptions are the flags of the command run.
type runOptions struct {
	short bool
	out   string
}

func runCommand(stdout, stderr io.Writer) *cobra.Command {
	var options runOptions
	c := &cobra.Command{
		Use:   "run FILE",
		Short: "Play an experiment and judge its expectations",
		Long: "Play an experiment and judge its expectations. " +
			"The exit status is 0 if all hold, 1 if one falls short or a run\n" +
			"failed, 2 if the file is at fault. What was measured is kept, also when it is stopped by Ctrl-C.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			e, err := experiment.Read(args[0], options.short)
			if err != nil {
				return err
			}
			if options.out == "" {
				options.out = filepath.Join(resultsDir, e.Name)
			}
			return runExperiment(cmd.Context(), e, options, stdout, stderr)
		},
	}
	c.Flags().BoolVar(&options.short, "short", false, shortUsage)
	c.Flags().StringVar(&options.out, "out", "", "folder for the results (default found/NAME)")
	return c
}

// runExperiment plays an experiment, checks its expectations, and saves and prints what was measured.
func runExperiment(
	ctx context.Context, e *experiment.Experiment, options runOptions, stdout, stderr io.Writer,
) error {
	fmt.Fprintln(stdout, e.Describe())
	hosts, err := experimentHosts()
	if err != nil {
		return err
	}
	res, failure := e.Play(ctx, hosts, progress(e, stderr))
	res.Short = options.short
	held := true
	if failure == nil {
		res.Outcomes, held = e.Evaluate(res)
	}
	if len(res.Runs) == 0 {
		return shortError{fmt.Errorf("experiment %s: nothing was measured: %w", e.Name, failure)}
	}
	if err := report.Save(options.out, res); err != nil {
		return shortError{err}
	}
	fmt.Fprint(stdout, report.Markdown(res))
	fmt.Fprintln(stdout, "report:", report.Page(options.out))
	if failure != nil {
		err := fmt.Errorf("experiment %s: %s (kept so far: %s): %w", e.Name, res.CutOff, options.out, failure)
		return shortError{err}
	}
	if !held {
		return shortError{fmt.Errorf("experiment %s: an expectation falls short", e.Name)}
	}
	return nil
}

// progress returns what is to be called after each run: on a terminal it moves a bar.
func progress(e *experiment.Experiment, stderr io.Writer) func() {
	if !isTerminal(stderr) {
		return func() {}
	}
	bar := progressbar.NewOptions(len(e.Variants)*e.Seeds,
		progressbar.OptionSetWriter(stderr),
		progressbar.OptionSetDescription(e.Name),
		progressbar.OptionShowCount(),
		progressbar.OptionClearOnFinish(),
	)
	return func() {
		_ = bar.Add(1) // a bar that can't be drawn is no reason to stop
	}
}
