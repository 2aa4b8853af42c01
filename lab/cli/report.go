package cli

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"ryerill/lab/report"
)

func reportCommand(stdout io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:   "report DIR",
		Short: "Draw the tables, charts and page of kept results anew",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			dir := args[0]
			res, err := report.Load(dir)
			if err != nil {
				return err
			}
			if err := report.Save(dir, res); err != nil {
				return shortError{err}
			}
			fmt.Fprintln(stdout, "report:", report.Page(dir))
			return nil
		},
	}
}

func compareCommand(stdout io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:   "compare A B",
		Short: "Compare two folders of results, paired by arm and seed",
		Args:  cobra.ExactArgs(2),
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
		},
	}
}
