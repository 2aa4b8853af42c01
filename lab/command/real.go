package command

import (
	"io"

	"github.com/spf13/cobra"

	"ryerill/lab/experiment"
)

func realCommands(stdout, stderr io.Writer) []*cobra.Command { return nil }

// hosts returns what plays the arms of an experiment, and what cleans up after them.
func hosts(e *experiment.Experiment) (map[string]experiment.Host, func(), error) {
	return map[string]experiment.Host{experiment.Sim: experiment.Virtual}, func() {}, nil
}
