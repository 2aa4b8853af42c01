// Package cli implements the command line of the proxy: its commands, flags, output and exit statuses.
package cli

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"runtime/debug"
	"slices"

	"github.com/spf13/cobra"

	"ryerill/fleet/codec"
)

// programName is the prefix of messages of the command line.
const programName = "proxy"

// Exit statuses.
const (
	exitOK     = 0
	exitFailed = 1
	exitConfig = 2 // invalid configuration or command line
)

// runError marks errors that occur although the configuration and the command line are valid.
type runError struct{ error }

// Run executes the command line args and returns the exit status.
func Run(args []string, getenv func(string) string, stdout, stderr io.Writer) int {
	root := &cobra.Command{
		Use:           programName,
		Short:         "A balancing proxy that sheds load before a chain of services chokes",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	root.AddCommand(
		serveCommand(getenv, stderr),
		checkCommand(getenv, stdout),
		configCommand(getenv, stdout),
		fleetCommand(getenv, stdout),
		rolloutCommand(getenv, stdout),
		versionCommand(stdout),
	)
	err := root.Execute()
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(stderr, programName+":", err)
	var failed runError
	if errors.As(err, &failed) {
		return exitFailed
	}
	return exitConfig
}

func versionCommand(stdout io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run: func(*cobra.Command, []string) {
			fmt.Fprintf(stdout, "ryerill %s\nfleet levels %d to %d\n", version(), codec.MinLevel, codec.MaxLevel)
		},
	}
}

// version returns the versions of the built module and of Go.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(unknown)"
	}
	return info.Main.Version + " " + info.GoVersion + codec.VersionSuffix
}

// sortedNames returns the sorted keys of a map.
func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
