package cli

import (
	"fmt"
	"io"
	"os"
	"os/exec"

	"github.com/spf13/cobra"

	"ryerill/lab/syscallfault"
)

// faultsOptions are the flags of the command faults.
type faultsOptions struct {
	plan      string
	record    string
	discovery string
}

func faultsCommand(stdout, stderr io.Writer) *cobra.Command {
	var options faultsOptions
	c := &cobra.Command{
		Use:   "faults --plan FILE -- PROGRAM [ARGUMENT ...]",
		Short: "Run a program and make chosen calls of the system fail",
		Long: "Run a program, unchanged, and make chosen calls of the system fail, be cut short or be late, " +
			"as the plan says.\nSIGTERM, SIGHUP and SIGINT are passed on. Exit status 1 if the program failed.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return runFaults(options, args, stdout, stderr) },
	}
	flags := c.Flags()
	flags.StringVar(&options.plan, "plan", "", "file with the rules")
	flags.StringVar(&options.record, "record", os.DevNull, "file for what was injected, a line of JSON each")
	flags.StringVar(&options.discovery, "discovery", "", "address whose connections are of the kind discovery")
	return c
}

// runFaults runs a program under a plan.
func runFaults(options faultsOptions, args []string, stdout, stderr io.Writer) error {
	text, err := os.ReadFile(options.plan)
	if err != nil {
		return fmt.Errorf("--plan: %w", err)
	}
	plan, err := syscallfault.ReadPlan(options.plan, text)
	if err != nil {
		return err
	}
	record, err := os.OpenFile(options.record, os.O_CREATE|os.O_WRONLY|os.O_APPEND, resultFileMode)
	if err != nil {
		return fmt.Errorf("--record: %w", err)
	}
	defer record.Close()
	command := exec.Command(args[0], args[1:]...)
	command.Stdout = stdout
	command.Stderr = stderr
	status, err := syscallfault.Run(command, plan, options.discovery, record)
	if err != nil {
		return shortError{err}
	}
	if status != 0 {
		return shortError{fmt.Errorf("the program ended with status %d", status)}
	}
	return nil
}
