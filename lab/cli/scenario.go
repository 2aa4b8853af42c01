package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"ryerill/lab/experiment"
	"ryerill/lab/scenario"
)

func scenarioCommand(stdout io.Writer) *cobra.Command {
	c := &cobra.Command{Use: "world", Short: "Work on worlds"}
	c.AddCommand(&cobra.Command{
		Use:   "check FILE...",
		Short: "Read worlds and experiments and name what is at fault",
		Args:  cobra.MinimumNArgs(1),
		RunE:  func(_ *cobra.Command, files []string) error { return checkScenarios(files, stdout) },
	})
	return c
}

// checkScenarios prints a line for each scenario that is valid and returns the problems of all others.
func checkScenarios(files []string, stdout io.Writer) error {
	var problems []error
	for _, file := range files {
		s, err := scenario.Read(file)
		if err != nil {
			problems = append(problems, err)
			continue
		}
		endpoints := 0
		for _, tier := range s.Tiers {
			endpoints += tier.Endpoints
		}
		fmt.Fprintf(stdout, "%s: %s, %d tiers, %d providers, %g first tries a second for %v, %d troubles\n",
			file, s.Name, len(s.Tiers), endpoints, s.Load.Rate, s.Length, len(s.Faults))
	}
	return errors.Join(problems...)
}

// Kinds of file that have a schema.
const (
	scenarioKind   = "world"
	experimentKind = "experiment"
)

func schemaCommand(stdout io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:       "schema world|experiment",
		Short:     "Print the JSON Schema of a kind of file",
		Args:      cobra.ExactArgs(1),
		ValidArgs: []string{scenarioKind, experimentKind},
		RunE:      func(_ *cobra.Command, args []string) error { return printSchema(args[0], stdout) },
	}
}

func printSchema(kind string, stdout io.Writer) error {
	var file any
	switch kind {
	case scenarioKind:
		file = &scenario.Scenario{}
	case experimentKind:
		file = &experiment.File{}
	default:
		return fmt.Errorf("schema: unexpected value %q, want world or experiment", kind)
	}
	text, err := json.MarshalIndent(scenario.Schema(file), "", "  ")
	if err != nil {
		return fmt.Errorf("schema: %w", err)
	}
	_, err = fmt.Fprintf(stdout, "%s\n", text)
	return err
}
