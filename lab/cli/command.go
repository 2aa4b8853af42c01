// Package cli is the command line of proxy-lab: a file for each command.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"
	"golang.org/x/term"
)

// Exit statuses.
const (
	exitShort   = 1 // an expectation falls short, or a run failed
	exitInvalid = 2 // a file or the command line is at fault
)

// Modes of what commands write for people.
const (
	resultDirMode  = 0o755
	resultFileMode = 0o644
)

// Defaults and descriptions of flags that several commands have.
const (
	resultsDir  = "found"
	shortUsage  = "the smaller form, under 45 s"
	outputUsage = "folder for the results"
)

// shortError marks what was measured and falls short, or could not be measured.
type shortError struct{ error }

// Unwrap returns the error that was marked.
func (e shortError) Unwrap() error { return e.error }

// Run runs the laboratory with arguments and returns its exit status.
func Run(args []string, stdout, stderr io.Writer) int {
	if status, ok := runSubprogram(args, stdout, stderr); ok {
		return status
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := rootCommand(args, stdout, stderr).ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	fmt.Fprintln(stderr, "proxy-lab:", err)
	if _, short := errors.AsType[shortError](err); short {
		return exitShort
	}
	return exitInvalid
}

func rootCommand(args []string, stdout, stderr io.Writer) *cobra.Command {
	root := &cobra.Command{
		Use:           "proxy-lab",
		Short:         "Plays deployments in virtual time and on sockets, and measures",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	root.AddCommand(
		demoCommand(stdout),
		runCommand(stdout, stderr),
		overheadCommand(stdout, stderr),
		membersCommand(stdout),
		fleetCostCommand(stdout),
		sharingCommand(stdout),
		rolloutsCommand(stdout),
		rolloutReportCommand(stdout),
		chaosCommand(stdout),
		faultsCommand(stdout, stderr),
		soakCommand(stdout),
		reportCommand(stdout),
		compareCommand(stdout),
		scenarioCommand(stdout),
		schemaCommand(stdout),
	)
	return root
}

// isTerminal reports whether a stream is a terminal.
func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	return ok && term.IsTerminal(int(f.Fd()))
}

// printAndSaveTable prints a text and writes it to table.md of a folder, which is made if it is missing.
func printAndSaveTable(dir, text string, stdout io.Writer) error {
	if err := os.MkdirAll(dir, resultDirMode); err != nil {
		return err
	}
	fmt.Fprint(stdout, text)
	return writeTable(dir, text)
}

// saveTable writes a text to table.md of a folder, which is made if it is missing.
func saveTable(dir, text string) error {
	if err := os.MkdirAll(dir, resultDirMode); err != nil {
		return err
	}
	return writeTable(dir, text)
}

func writeTable(dir, text string) error {
	return os.WriteFile(filepath.Join(dir, "table.md"), []byte(text), resultFileMode)
}
