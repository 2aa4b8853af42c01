package cli

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"ryerill/config"
)

// configCommands are the commands on configurations. Without a file argument they use the environment's configuration.
type configCommands struct {
	getenv func(string) string
	stdout io.Writer
}

func configCommand(getenv func(string) string, stdout io.Writer) *cobra.Command {
	commands := &configCommands{getenv: getenv, stdout: stdout}
	root := &cobra.Command{Use: "config", Short: "Check, show and compare configurations"}
	root.AddCommand(
		&cobra.Command{
			Use:   "check [FILE...]",
			Short: "Name all that is at fault, with file, line and key; exit 2 if anything is",
			RunE:  func(_ *cobra.Command, files []string) error { return commands.check(files) },
		},
		&cobra.Command{
			Use:   "show [FILE]",
			Short: "Print the effective settings and where each comes from",
			Args:  cobra.MaximumNArgs(1),
			RunE:  func(_ *cobra.Command, files []string) error { return commands.show(files) },
		},
		&cobra.Command{
			Use:   "diff A B",
			Short: "Print the effective settings that differ between two files",
			Args:  cobra.ExactArgs(2),
			RunE:  func(_ *cobra.Command, files []string) error { return commands.diff(files[0], files[1]) },
		},
		&cobra.Command{
			Use:   "convert [FILE]",
			Short: "Write the platform's JSON in the format of files",
			Args:  cobra.MaximumNArgs(1),
			RunE:  func(_ *cobra.Command, files []string) error { return commands.convert(files) },
		},
		&cobra.Command{
			Use:   "schema",
			Short: "Print the JSON Schema of the format, for editors",
			Args:  cobra.NoArgs,
			RunE:  func(*cobra.Command, []string) error { return commands.schema() },
		},
	)
	return root
}

// checkCommand checks the configuration of the environment.
func checkCommand(getenv func(string) string, stdout io.Writer) *cobra.Command {
	commands := &configCommands{getenv: getenv, stdout: stdout}
	return &cobra.Command{
		Use:   "check",
		Short: "Read the configuration and name what is at fault",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return commands.checkFile("") },
	}
}

// read returns the name and text of the file argument, or else of the environment's configuration.
func (c *configCommands) read(files []string) (file string, text []byte, err error) {
	file = c.getenv(config.EnvFile)
	if len(files) > 0 {
		file = files[0]
	}
	if file == "" {
		return "", nil, fmt.Errorf("%s: not set, and no file is named", config.EnvFile)
	}
	text, err = os.ReadFile(file)
	if err != nil {
		return "", nil, fmt.Errorf("configuration: %w", err)
	}
	return file, text, nil
}

func (c *configCommands) check(files []string) error {
	if len(files) == 0 {
		return c.checkFile("")
	}
	var faults []error
	for _, file := range files {
		faults = append(faults, c.checkFile(file))
	}
	return errors.Join(faults...)
}

// checkFile reads a configuration as the proxy does and prints a line for each pool. An empty file name selects the
// environment's configuration.
func (c *configCommands) checkFile(file string) error {
	getenv := c.getenv
	if file != "" {
		getenv = func(name string) string {
			if name == config.EnvFile {
				return file
			}
			return c.getenv(name)
		}
	}
	cfg, warnings, err := config.Load(getenv)
	if err != nil {
		return err
	}
	for _, warning := range warnings {
		fmt.Fprintln(c.stdout, "warning:", warning)
	}
	for _, pool := range cfg.Pools {
		b := &pool.Settings.Balancer
		fmt.Fprintf(c.stdout, "%s: pool %s, tier %d of %d, %d classes, %d providers known\n",
			cfg.Name, pool.Name, b.Tier+1, b.Tiers, len(b.Classes), len(pool.KnownEndpoints.Endpoints))
	}
	return nil
}

func (c *configCommands) show(files []string) error {
	file, text, err := c.read(files)
	if err != nil {
		return err
	}
	lines, err := config.Show(file, text, c.getenv)
	if err != nil {
		return err
	}
	for _, line := range lines {
		fmt.Fprintf(c.stdout, "%-11s %s: %s\n", line.From, line.Key, line.Value)
	}
	return nil
}

// diff compares two files, without overrides by the environment.
func (c *configCommands) diff(fileA, fileB string) error {
	noEnvironment := func(string) string { return "" }
	var effective [2][]config.Line
	for i, name := range []string{fileA, fileB} {
		file, text, err := c.read([]string{name})
		if err != nil {
			return err
		}
		if effective[i], err = config.Show(file, text, noEnvironment); err != nil {
			return err
		}
	}
	for _, difference := range config.Diff(effective[0], effective[1]) {
		fmt.Fprintln(c.stdout, difference)
	}
	return nil
}

func (c *configCommands) convert(files []string) error {
	file, text, err := c.read(files)
	if err != nil {
		return err
	}
	if !config.IsPlatformForm(text) {
		return fmt.Errorf("%s: it is in the format of files already", file)
	}
	converted, err := config.Convert(text, c.getenv)
	if err != nil {
		return err
	}
	_, err = c.stdout.Write(converted)
	return err
}

func (c *configCommands) schema() error {
	text, err := config.Schema()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.stdout, "%s\n", text)
	return err
}
