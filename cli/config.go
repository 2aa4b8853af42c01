package cli

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"ryerill/config"
)

// configCommand works on configurations. Files that are not named are those of
// the environment.
func configCommand(getenv func(string) string, stdout io.Writer) *cobra.Command {
	read := func(args []string) (string, []byte, error) {
		file := getenv(config.EnvFile)
		if len(args) > 0 {
			file = args[0]
		}
		if file == "" {
			return "", nil, fmt.Errorf("%s: not set, and no file is named", config.EnvFile)
		}
		text, err := os.ReadFile(file)
		if err != nil {
			return "", nil, fmt.Errorf("configuration: %w", err)
		}
		return file, text, nil
	}
	c := &cobra.Command{Use: "config", Short: "Check, show and compare configurations"}
	c.AddCommand(
		&cobra.Command{Use: "check [FILE...]", Short: "Name all that is at fault, with file, line and key; exit 2 if anything is",
			RunE: func(_ *cobra.Command, args []string) error {
				if len(args) == 0 {
					args = []string{""}
				}
				var faults []error
				for _, file := range args {
					err := check(file, getenv, stdout)
					faults = append(faults, err)
				}
				return errors.Join(faults...)
			}},
		&cobra.Command{Use: "show [FILE]", Short: "Print the effective settings and where each comes from", Args: cobra.MaximumNArgs(1),
			RunE: func(_ *cobra.Command, args []string) error {
				file, text, err := read(args)
				if err != nil {
					return err
				}
				lines, err := config.Show(file, text, getenv)
				if err != nil {
					return err
				}
				for _, l := range lines {
					fmt.Fprintf(stdout, "%-11s %s: %s\n", l.From, l.Key, l.Value)
				}
				return nil
			}},
		&cobra.Command{Use: "diff A B", Short: "Print the effective settings that differ between two files", Args: cobra.ExactArgs(2),
			RunE: func(_ *cobra.Command, args []string) error {
				var both [2][]config.Line
				for i := range args {
					file, text, err := read(args[i : i+1])
					if err != nil {
						return err
					}
					if both[i], err = config.Show(file, text, func(string) string { return "" }); err != nil {
						return err
					}
				}
				for _, line := range config.Diff(both[0], both[1]) {
					fmt.Fprintln(stdout, line)
				}
				return nil
			}},
		&cobra.Command{Use: "convert [FILE]", Short: "Write the platform's JSON in the format of files", Args: cobra.MaximumNArgs(1),
			RunE: func(_ *cobra.Command, args []string) error {
				file, text, err := read(args)
				if err != nil {
					return err
				}
				if !config.IsPlatformForm(text) {
					return fmt.Errorf("%s: it is in the format of files already", file)
				}
				out, err := config.Convert(text, getenv)
				if err != nil {
					return err
				}
				_, err = stdout.Write(out)
				return err
			}},
		&cobra.Command{Use: "schema", Short: "Print the JSON Schema of the format, for editors", Args: cobra.NoArgs,
			RunE: func(*cobra.Command, []string) error {
				text, err := config.Schema()
				if err != nil {
					return err
				}
				_, err = fmt.Fprintf(stdout, "%s\n", text)
				return err
			}},
	)
	return c
}

// check reads a configuration as the proxy would; no file is the environment's.
func check(file string, getenv func(string) string, stdout io.Writer) error {
	of := getenv
	if file != "" {
		of = func(name string) string {
			if name == config.EnvFile {
				return file
			}
			return getenv(name)
		}
	}
	cfg, warnings, err := config.Load(of)
	if err != nil {
		return err
	}
	told(stdout, cfg, warnings)
	return nil
}
