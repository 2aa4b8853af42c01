package cli

import (
	"io"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"ryerill/lab/experiment"
)

func overheadCommand(stdout, stderr io.Writer) *cobra.Command {
	var rounds int
	var length time.Duration
	var connections []int
	c := &cobra.Command{
		Use:   "overhead",
		Short: "Measure a proxy's CPU for each request against a plain relay and httputil.ReverseProxy",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			e := experiment.CostExperiment(rounds, length, connections)
			options := runOptions{out: filepath.Join(resultsDir, "overhead")}
			return runExperiment(cmd.Context(), e, options, stdout, stderr)
		},
	}
	c.Flags().IntVar(&rounds, "rounds", 3, "rounds, in each of which all proxies take turns")
	c.Flags().DurationVar(&length, "length", 3*time.Second, "how long each is measured")
	c.Flags().IntSliceVar(&connections, "connections", []int{16, 64}, "connections that ask at once")
	return c
}
