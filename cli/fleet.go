package cli

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"ryerill/config"
	"ryerill/fleet"
)

const (
	fleetKeyBytes        = 32
	defaultWatchInterval = time.Second
	minWatchInterval     = 100 * time.Millisecond
)

// fleetCommands are the commands that query a proxy's management endpoint about its fleet.
type fleetCommands struct {
	getenv func(string) string
	stdout io.Writer
	admin  string // flag: address of the management endpoint
	inJSON bool   // flag
}

func fleetCommand(getenv func(string) string, stdout io.Writer) *cobra.Command {
	commands := &fleetCommands{getenv: getenv, stdout: stdout}
	fleetCommand := &cobra.Command{Use: "fleet", Short: "Ask a proxy at its operators' door about its fleet"}
	flags := fleetCommand.PersistentFlags()
	flags.StringVar(&commands.admin, "door", "",
		"the door's IP and port; default that of the configuration in "+config.EnvFile)
	flags.BoolVar(&commands.inJSON, "json", false, "print what the door says, for programs")
	fleetCommand.AddCommand(
		commands.status("members", "Print who is in the fleet, as this proxy sees it", printMembers),
		commands.status("status", "Print how sure this proxy is of its fleet, and its place in each pool", printFleet),
		commands.watch(),
		commands.shared("budgets",
			"Print the parts of budgets that this proxy has, has lent and has borrowed", printQuotas),
		commands.shared("counts", "Print what is counted over all copies, with its age and bounds", printCounters),
		commands.shared("verdicts", "Print the evidence against providers, and by whom", printEvidence),
		commands.forget(),
		commands.key(),
	)
	return fleetCommand
}

func (c *fleetCommands) client() adminClient { return newAdminClient(c.admin, c.getenv) }

// status returns a command that prints a table of the fleet's status.
func (c *fleetCommands) status(use, short string, table func(io.Writer, *fleet.HostStatus)) *cobra.Command {
	run := func(*cobra.Command, []string) error {
		status, err := c.client().fleet()
		if err != nil {
			return runError{err}
		}
		if c.inJSON {
			encoder := json.NewEncoder(c.stdout)
			encoder.SetIndent("", "  ")
			return encoder.Encode(status)
		}
		return printTable(c.stdout, func(w io.Writer) { table(w, &status) })
	}
	return &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: run}
}

// shared returns a command that prints a table of the replicas' shared state.
func (c *fleetCommands) shared(use, short string, table func(io.Writer, *fleet.SharedStatus)) *cobra.Command {
	run := func(*cobra.Command, []string) error {
		status, text, err := getStatus[fleet.SharedStatus](c.client(), pathSharedState)
		if err != nil {
			return runError{err}
		}
		if c.inJSON {
			_, err := fmt.Fprintf(c.stdout, "%s\n", text)
			return err
		}
		return printTable(c.stdout, func(w io.Writer) { table(w, &status) })
	}
	return &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: run}
}

func (c *fleetCommands) watch() *cobra.Command {
	interval := defaultWatchInterval
	watch := &cobra.Command{
		Use:   "watch",
		Short: "Print each change of a member, until interrupted",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			watcher := &fleetWatcher{client: c.client, inJSON: c.inJSON, stdout: c.stdout}
			return watcher.run(ctx, max(interval, minWatchInterval))
		},
	}
	watch.Flags().DurationVar(&interval, "every", interval, "between two looks, 100ms or more")
	return watch
}

func (c *fleetCommands) forget() *cobra.Command {
	return &cobra.Command{
		Use:   "forget NAME",
		Short: "Say that a dead copy is gone for good, so that budgets are divided without it",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if err := c.client().post(pathForget, args[0]); err != nil {
				return runError{err}
			}
			fmt.Fprintln(c.stdout, args[0], "is forgotten")
			return nil
		},
	}
}

func (c *fleetCommands) key() *cobra.Command {
	return &cobra.Command{
		Use:   "key",
		Short: "Print a new key for a key file",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			key := make([]byte, fleetKeyBytes)
			rand.Read(key)
			fmt.Fprintln(c.stdout, base64.RawURLEncoding.EncodeToString(key))
			return nil
		},
	}
}

// fleetWatcher polls the fleet's status and prints changes.
type fleetWatcher struct {
	client func() adminClient
	inJSON bool
	stdout io.Writer

	members     map[string]fleet.MemberStatus // as last printed, by name
	unreachable bool                          // at the latest poll
}

// run polls until the context ends. It returns an error if the first poll fails.
func (w *fleetWatcher) run(ctx context.Context, interval time.Duration) error {
	w.members = map[string]fleet.MemberStatus{}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	if err := w.poll(); err != nil {
		return runError{err}
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		err := w.poll()
		if err != nil && !w.unreachable {
			fmt.Fprintln(w.stdout, timeOfDay(), "the door does not answer:", err)
		}
		w.unreachable = err != nil
	}
}

// poll prints the members that have changed since the last poll.
func (w *fleetWatcher) poll() error {
	status, err := w.client().fleet()
	if err != nil {
		return err
	}
	now := timeOfDay()
	for _, member := range status.Members {
		previous, known := w.members[member.Name]
		if known && previous.Status == member.Status && previous.Phase == member.Phase &&
			previous.Epoch == member.Epoch && previous.Settings == member.Settings {
			continue
		}
		w.members[member.Name] = member
		switch {
		case w.inJSON:
			_ = json.NewEncoder(w.stdout).Encode(member) // a failed write to stdout can't be reported
		case !known:
			fmt.Fprintln(w.stdout, now, member.Name, member.Status, member.Phase)
		default:
			fmt.Fprintln(w.stdout, now, member.Name, previous.Status, previous.Phase, "->",
				member.Status, member.Phase, strings.Join(member.SuspectedBy, ", "))
		}
	}
	return nil
}

func timeOfDay() string { return time.Now().Format("15:04:05.000") }
