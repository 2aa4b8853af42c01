package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"ryerill/cli/rolloutagent"
	"ryerill/config"
	"ryerill/fleet"
	"ryerill/fleet/rollout"
)

const defaultAgentTimeout = time.Minute

const agentHelp = "Beside a proxy: run a command when a rollout wants another program there. " +
	"The command gets RYERILL_PLAN, RYERILL_TARGET (the plan's version) and\n" +
	"RYERILL_BACK (true: what was there before it is wanted) " +
	"and is to start the second process beside the first and stop the first. Another exit status than 0,\n" +
	"or more time than --within, is told to the fleet as a refusal. " +
	"Where the two processes have doors of their own, --door names both,\n" +
	"parted by a comma."

// rolloutCommands are the commands that start, control and show rollouts.
type rolloutCommands struct {
	getenv func(string) string
	stdout io.Writer
	admin  string // flag: address of the management endpoint
	inJSON bool   // flag
}

func rolloutCommand(getenv func(string) string, stdout io.Writer) *cobra.Command {
	commands := &rolloutCommands{getenv: getenv, stdout: stdout}
	rolloutCommand := &cobra.Command{
		Use:   "rollout",
		Short: "Change settings or the program through a fleet, in stages",
	}
	flags := rolloutCommand.PersistentFlags()
	flags.StringVar(&commands.admin, "door", "",
		"the door of any copy, IP and port; default that of the configuration in "+config.EnvFile)
	flags.BoolVar(&commands.inJSON, "json", false, "print what the door says, for programs")
	rolloutCommand.AddCommand(
		commands.plan(),
		commands.apply(),
		commands.show("status", "Print what a plan is at, and why", printRollout),
		commands.show("history", "Print what has happened to it", printHistory),
		commands.steer("pause", "Begin nothing more until resume"),
		commands.steer("resume", "Go on after a pause or a stop"),
		commands.steer("abort", "End the plan, going back if it says so"),
		commands.steer("back", "Have all changed copies go back"),
		commands.agent(),
	)
	return rolloutCommand
}

func (c *rolloutCommands) client() adminClient { return newAdminClient(c.admin, c.getenv) }

// plan returns the command that checks a plan and prints its stages.
func (c *rolloutCommands) plan() *cobra.Command {
	var baseFile string
	plan := &cobra.Command{
		Use:   "plan FILE",
		Short: "Check a plan and print its stages; nothing happens",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			base, err := os.ReadFile(firstNonEmpty(baseFile, c.getenv(config.EnvFile)))
			if err != nil {
				return fmt.Errorf("the configuration that it is laid over: %w", err)
			}
			plan, err := config.ParsePlan(args[0], text, base, c.getenv)
			if err != nil {
				return err
			}
			status, err := c.client().rollout()
			if err != nil {
				status = fleet.RolloutStatus{} // the fleet's size is unknown
			}
			printPlan(c.stdout, &plan, status.Replicas)
			return nil
		},
	}
	plan.Flags().StringVar(&baseFile, "over", "",
		"the configuration that it is laid over; default that in "+config.EnvFile)
	return plan
}

// apply returns the command that starts a plan.
func (c *rolloutCommands) apply() *cobra.Command {
	return &cobra.Command{
		Use:   "apply FILE",
		Short: "Hand a plan to the fleet, which carries it on by itself",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			if err := c.client().post(pathRollout, string(text)); err != nil {
				return err // the plan is invalid, or another one is active
			}
			fmt.Fprintln(c.stdout, "the fleet has it; see proxy rollout status")
			return nil
		},
	}
}

// show returns a command that prints a table of the rollout's state.
func (c *rolloutCommands) show(use, short string, table func(io.Writer, *fleet.RolloutStatus)) *cobra.Command {
	run := func(*cobra.Command, []string) error {
		status, err := c.client().rollout()
		if err != nil {
			return runError{err}
		}
		if c.inJSON {
			return json.NewEncoder(c.stdout).Encode(status)
		}
		return printTable(c.stdout, func(w io.Writer) { table(w, &status) })
	}
	return &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: run}
}

// steer returns a command that forwards its name to the proxy for execution.
func (c *rolloutCommands) steer(use, short string) *cobra.Command {
	run := func(*cobra.Command, []string) error {
		if err := c.client().post(pathRollout+"/"+use, ""); err != nil {
			return runError{err}
		}
		fmt.Fprintln(c.stdout, use, "is said")
		return nil
	}
	return &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: run}
}

// agent returns the command that runs a rolloutagent.Agent.
func (c *rolloutCommands) agent() *cobra.Command {
	timeout := defaultAgentTimeout
	agent := &cobra.Command{
		Use:   "agent -- COMMAND [ARG...]",
		Short: "Beside a proxy: run a command when a rollout wants another program there",
		Args:  cobra.MinimumNArgs(1),
		Long:  agentHelp,
		RunE: func(_ *cobra.Command, args []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			var processes agentProxy
			for _, address := range strings.Split(adminAddress(c.admin, c.getenv), ",") {
				processes = append(processes, adminClient{address: address})
			}
			agent := &rolloutagent.Agent{Proxy: processes, Command: args, Timeout: timeout, Output: c.stdout}
			return agent.Run(ctx)
		},
	}
	agent.Flags().DurationVar(&timeout, "within", timeout, "how long the command may take")
	return agent
}

// agentProxy is the proxy of an agent. During an upgrade it consists of two processes, of which one or both answer.
type agentProxy []adminClient

// Rollout returns the status of the first process that has a desired version, or else of the last one that answers.
func (p agentProxy) Rollout() (fleet.RolloutStatus, error) {
	var status fleet.RolloutStatus
	var errs []error
	for _, process := range p {
		answer, err := process.rollout()
		if err != nil {
			errs = append(errs, err)
		} else if status.Desired.Plan == "" {
			status = answer
		}
	}
	if status.Phase != "" {
		return status, nil
	}
	return status, errors.Join(errs...)
}

// RefuseRollout reports a refusal to the first process that answers.
func (p agentProxy) RefuseRollout(plan, reason string) error {
	var errs []error
	for _, process := range p {
		err := process.post(pathRolloutRefused, plan+" "+reason)
		if err == nil {
			return nil
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// kindNames are the names of the kinds of change in plans and tables.
var kindNames = map[rollout.Kind]string{rollout.Settings: "settings", rollout.Program: "program"}

func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}
