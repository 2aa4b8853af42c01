// Package cli is the command line of proxy-lab.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"
	"golang.org/x/term"

	"ryerill/lab/experiment"
	"ryerill/lab/report"
	"ryerill/lab/scenario"
)

// Exit statuses.
const (
	exitShort = 1 // an expectation falls short, or a run failed
	exitFault = 2 // a file or the command line is at fault
)

// shortError marks what was measured and falls short, or could not be measured.
type shortError struct{ error }

// Run runs the laboratory with arguments and returns its exit status.
func Run(args []string, stdout, stderr io.Writer) int {
	if status, ok := inner(args, stdout, stderr); ok {
		return status
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{
		Use:           "proxy-lab",
		Short:         "Plays deployments in virtual time and on sockets, and measures",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	root.AddCommand(demoCommand(stdout, stderr), runCommand(stdout, stderr), overheadCommand(stdout, stderr),
		membersCommand(stdout), fleetCostCommand(stdout), sharingCommand(stdout), rolloutsCommand(stdout), rolloutReportCommand(stdout), nightCommand(stdout), reportCommand(stdout), compareCommand(stdout), worldCommand(stdout), schemaCommand(stdout))
	err := root.ExecuteContext(ctx)
	var short shortError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &short):
		fmt.Fprintln(stderr, "proxy-lab:", err)
		return exitShort
	}
	fmt.Fprintln(stderr, "proxy-lab:", err)
	return exitFault
}

// terminal tells whether a stream is one.
func terminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	return ok && term.IsTerminal(int(f.Fd()))
}

func runCommand(stdout, stderr io.Writer) *cobra.Command {
	var short bool
	var out string
	c := &cobra.Command{Use: "run FILE", Short: "Play an experiment and judge its expectations", Args: cobra.ExactArgs(1),
		Long: "Play an experiment and judge its expectations. The exit status is 0 if all hold, 1 if one falls short or a run\n" +
			"failed, 2 if the file is at fault. What was measured is kept, also when it is stopped by Ctrl-C.",
		RunE: func(cmd *cobra.Command, args []string) error {
			e, err := experiment.Read(args[0], short)
			if err != nil {
				return err
			}
			if out == "" {
				out = filepath.Join("found", e.Name)
			}
			return play(cmd.Context(), e, short, out, stdout, stderr)
		}}
	c.Flags().BoolVar(&short, "short", false, "the smaller form, under 45 s")
	c.Flags().StringVar(&out, "out", "", "folder for the results (default found/NAME)")
	return c
}

func play(ctx context.Context, e *experiment.Experiment, short bool, out string, stdout, stderr io.Writer) error {
	fmt.Fprintln(stdout, e.Describe())
	step := func() {}
	if terminal(stderr) {
		bar := progressbar.NewOptions(len(e.Variants)*e.Seeds, progressbar.OptionSetWriter(stderr), progressbar.OptionSetDescription(e.Name),
			progressbar.OptionShowCount(), progressbar.OptionClearOnFinish())
		step = func() { bar.Add(1) }
	}
	hosts, err := hosts()
	if err != nil {
		return err
	}
	res, failed := e.Play(ctx, hosts, step)
	res.Short = short
	held := true
	if failed == nil {
		res.Expects, held = e.Judge(res)
	}
	if len(res.Runs) == 0 {
		return shortError{fmt.Errorf("experiment %s: nothing was measured: %w", e.Name, failed)}
	}
	if err := report.Save(out, res); err != nil {
		return shortError{err}
	}
	fmt.Fprint(stdout, report.Markdown(res))
	fmt.Fprintln(stdout, "report:", report.Page(out))
	switch {
	case failed != nil:
		return shortError{fmt.Errorf("experiment %s: %s (kept so far: %s): %w", e.Name, res.CutOff, out, failed)}
	case !held:
		return shortError{fmt.Errorf("experiment %s: an expectation falls short", e.Name)}
	}
	return nil
}

func reportCommand(stdout io.Writer) *cobra.Command {
	return &cobra.Command{Use: "report DIR", Short: "Draw the tables, charts and page of kept results anew", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			res, err := report.Load(args[0])
			if err != nil {
				return err
			}
			if err := report.Save(args[0], res); err != nil {
				return shortError{err}
			}
			fmt.Fprintln(stdout, "report:", report.Page(args[0]))
			return nil
		}}
}

func compareCommand(stdout io.Writer) *cobra.Command {
	return &cobra.Command{Use: "compare A B", Short: "Compare two folders of results, paired by arm and seed", Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			a, err := report.Load(args[0])
			if err != nil {
				return err
			}
			b, err := report.Load(args[1])
			if err != nil {
				return err
			}
			fmt.Fprint(stdout, report.Compare(a, b))
			return nil
		}}
}

func worldCommand(stdout io.Writer) *cobra.Command {
	c := &cobra.Command{Use: "world", Short: "Work on worlds"}
	c.AddCommand(&cobra.Command{Use: "check FILE...", Short: "Read worlds and experiments and name what is at fault", Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			var problems []error
			for _, file := range args {
				w, err := scenario.Read(file)
				if err != nil {
					problems = append(problems, err)
					continue
				}
				machines := 0
				for _, t := range w.Tiers {
					machines += t.Endpoints
				}
				fmt.Fprintf(stdout, "%s: %s, %d tiers, %d providers, %g first tries a second for %v, %d troubles\n",
					file, w.Name, len(w.Tiers), machines, w.Load.Rate, w.Length, len(w.Faults))
			}
			return errors.Join(problems...)
		}})
	return c
}

func schemaCommand(stdout io.Writer) *cobra.Command {
	return &cobra.Command{Use: "schema world|experiment", Short: "Print the JSON Schema of a kind of file", Args: cobra.ExactArgs(1),
		ValidArgs: []string{"world", "experiment"},
		RunE: func(_ *cobra.Command, args []string) error {
			var v any
			switch args[0] {
			case "world":
				v = &scenario.Scenario{}
			case "experiment":
				v = &experiment.File{}
			default:
				return fmt.Errorf("schema: unexpected value %q, want world or experiment", args[0])
			}
			text, err := json.MarshalIndent(scenario.Schema(v), "", "  ")
			if err != nil {
				return fmt.Errorf("schema: %w", err)
			}
			_, err = fmt.Fprintf(stdout, "%s\n", text)
			return err
		}}
}
