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

	"github.com/google/renameio/v2"
	"github.com/spf13/cobra"

	"ryerill/cli/rolloutagent"
	"ryerill/config"
	"ryerill/fleet"
	"ryerill/fleet/rollout"
	"ryerill/proxy"
)

const (
	settleWithin = 8 * time.Second // new settings have to hear their directories
	lastGood     = ".last-good"    // beside the configuration: what a rollout replaced
)

// changer brings about what a rollout tells this copy: settings by the reload that
// there is, after the check that there is. What does not hold is taken back by itself.
func changer(getenv func(string) string, take func(config.Config) error, settled func(time.Duration) error) fleet.ChangeFunc {
	return func(kind rollout.Kind, target string, text []byte, back bool) error {
		if kind != rollout.Settings {
			return nil // the operator's own means do it: see rollout agent
		}
		file := getenv(config.EnvFile)
		own, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		next := own
		if back {
			if next, err = os.ReadFile(file + lastGood); err != nil {
				return fmt.Errorf("what it held before: %w", err)
			}
		} else if config.CommonHash(own) != target {
			if next, err = config.Overlay(own, text); err != nil {
				return err
			}
			if got := config.CommonHash(next); got != target {
				return fmt.Errorf("with this copy's other settings it comes to %s and not %s: bring them in line first", got, target)
			}
		}
		cfg, _, err := config.ParseFile(file, next, getenv)
		if err != nil {
			return fmt.Errorf("config check: %w", err)
		}
		if !back && config.CommonHash(own) != target {
			if err := renameio.WriteFile(file+lastGood, own, 0o600); err != nil {
				return err
			}
		}
		if err := renameio.WriteFile(file, next, 0o600); err != nil {
			return err
		}
		if err = take(cfg); err == nil {
			err = settled(settleWithin)
		}
		if err == nil || back {
			return err
		}
		if before, _, bad := config.ParseFile(file, own, getenv); bad == nil {
			err = errors.Join(err, renameio.WriteFile(file, own, 0o600), take(before))
		}
		return fmt.Errorf("went back by itself: %w", err)
	}
}

// planner reads a plan over this copy's own file.
func planner(getenv func(string) string) func([]byte) (rollout.Plan, error) {
	return func(text []byte) (rollout.Plan, error) {
		own, err := os.ReadFile(getenv(config.EnvFile))
		if err != nil {
			return rollout.Plan{}, err
		}
		return config.ParsePlan("plan", text, own, getenv)
	}
}

// rollouts has a proxy take part in its fleet's rollouts.
func rollouts(getenv func(string) string, p **proxy.Proxy, bound func(*config.Config)) proxy.Option {
	return proxy.WithRollouts(changer(getenv, func(cfg config.Config) error {
		bound(&cfg)
		return (*p).Reload(cfg)
	}, func(within time.Duration) error { return (*p).AwaitReady(within) }), planner(getenv))
}

// rolloutCommand hands plans to a fleet and asks how they stand.
func rolloutCommand(getenv func(string) string, stdout io.Writer) *cobra.Command {
	var door string
	var inJSON bool
	c := &cobra.Command{Use: "rollout", Short: "Change settings or the program through a fleet, in stages"}
	c.PersistentFlags().StringVar(&door, "door", "", "the door of any copy, IP and port; default that of the configuration in "+config.EnvFile)
	c.PersistentFlags().BoolVar(&inJSON, "json", false, "print what the door says, for programs")
	ask := func() (fleet.RolloutStatus, error) { return askRollout(doorOf(door, getenv)) }
	word := func(use, short string) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			if _, err := call(doorOf(door, getenv), "POST", "/ops/rollout/"+use, ""); err != nil {
				return runError{err}
			}
			fmt.Fprintln(stdout, use, "is said")
			return nil
		}}
	}
	show := func(table func(io.Writer, *fleet.RolloutStatus)) func(*cobra.Command, []string) error {
		return func(*cobra.Command, []string) error {
			s, err := ask()
			if err != nil {
				return runError{err}
			}
			if inJSON {
				return json.NewEncoder(stdout).Encode(s)
			}
			return tabbed(stdout, func(w io.Writer) { table(w, &s) })
		}
	}
	var own string
	plan := &cobra.Command{Use: "plan FILE", Short: "Check a plan and print its stages; nothing happens", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			base, err := os.ReadFile(first(own, getenv(config.EnvFile)))
			if err != nil {
				return fmt.Errorf("the configuration that it is laid over: %w", err)
			}
			p, err := config.ParsePlan(args[0], text, base, getenv)
			if err != nil {
				return err
			}
			copies, zones := 0, map[string]bool{}
			if s, err := ask(); err == nil {
				for _, k := range s.Replicas {
					copies++
					zones[k.Zone] = true
				}
			}
			fmt.Fprintf(stdout, "%s: %s to %s, at most %d away at once, going back %v\n", p.ID, map[rollout.Kind]string{rollout.Settings: "settings", rollout.Program: "program"}[p.Kind], p.Target, p.MaxUnavailable, p.RollBack)
			for i, s := range p.Stages {
				size := "of the fleet that the door names"
				if copies > 0 {
					size = fmt.Sprintf("%d of %d copies", p.Size(i, copies, len(zones)), copies)
				}
				fmt.Fprintf(stdout, "stage %d: %s (count %d, part %g, one a zone %v), watched for %v\n", i+1, size, s.Count, s.Fraction, s.PerZone, s.Observation)
			}
			fmt.Fprintf(stdout, "stopped if goodput is %.1f points lower or answers %.0f%% slower than at unchanged copies; wrongly in %.2g of plans, missed in %.2g of stages\n",
				100*p.Guardrails.Goodput, 100*p.Guardrails.Latency, p.Guardrails.FalseAlarm, p.Guardrails.MissedRegression)
			return nil
		}}
	plan.Flags().StringVar(&own, "over", "", "the configuration that it is laid over; default that in "+config.EnvFile)
	within := time.Minute
	beside := &cobra.Command{Use: "agent -- COMMAND [ARG...]", Short: "Beside a proxy: run a command when a rollout wants another program there", Args: cobra.MinimumNArgs(1),
		Long: "Beside a proxy: run a command when a rollout wants another program there. The command gets RYERILL_PLAN, RYERILL_TARGET (the plan's version) and\n" +
			"RYERILL_BACK (true: what was there before it is wanted) and is to start the second process beside the first and stop the first. Another exit status than 0,\n" +
			"or more time than --within, is told to the fleet as a refusal. Where the two processes have doors of their own, --door names both,\n" +
			"parted by a comma.",
		RunE: func(_ *cobra.Command, args []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			// At an upgrade one process's door follows the other's: who answers is asked, and who wants something first.
			doors := strings.Split(doorOf(door, getenv), ",")
			return rolloutagent.Run(ctx, func() (s fleet.RolloutStatus, err error) {
				for _, at := range doors {
					if one, bad := askRollout(at); bad != nil {
						err = errors.Join(err, bad)
					} else if s.Desired.Plan == "" {
						s = one
					}
				}
				if s.Phase != "" {
					err = nil
				}
				return s, err
			}, func(path, body string) (err error) {
				for _, at := range doors {
					if _, bad := call(at, "POST", path, body); bad == nil {
						return nil
					} else {
						err = errors.Join(err, bad)
					}
				}
				return err
			}, args, within, stdout)
		}}
	beside.Flags().DurationVar(&within, "within", within, "how long the command may take")
	c.AddCommand(plan,
		&cobra.Command{Use: "apply FILE", Short: "Hand a plan to the fleet, which carries it on by itself", Args: cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, args []string) error {
				text, err := os.ReadFile(args[0])
				if err != nil {
					return err
				}
				if _, err := call(doorOf(door, getenv), "POST", "/ops/rollout", string(text)); err != nil {
					return err // the plan's own fault, or another stands
				}
				fmt.Fprintln(stdout, "the fleet has it; see proxy rollout status")
				return nil
			}},
		&cobra.Command{Use: "status", Short: "Print what a plan is at, and why", Args: cobra.NoArgs, RunE: show(rolloutTable)},
		&cobra.Command{Use: "history", Short: "Print what has happened to it", Args: cobra.NoArgs, RunE: show(func(w io.Writer, s *fleet.RolloutStatus) {
			for _, line := range s.History {
				fmt.Fprintln(w, line)
			}
		})},
		word("pause", "Begin nothing more until resume"), word("resume", "Go on after a pause or a stop"), word("abort", "End the plan, going back if it says so"),
		word("back", "Have all changed copies go back"),
		beside,
	)
	return c
}

func askRollout(door string) (fleet.RolloutStatus, error) {
	s, _, err := askDoor[fleet.RolloutStatus](door, "/ops/rollout")
	return s, err
}

func first(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

func rolloutTable(w io.Writer, s *fleet.RolloutStatus) {
	if s.Plan == "" {
		fmt.Fprintln(w, "no plan was ever taken")
		return
	}
	fmt.Fprintf(w, "plan\t%s: %s to %s\nphase\t%s\nwhy\t%s\nled by\t%s, number %d\ntaken\t%s ago\n", s.Plan, s.Kind, s.Target, s.Phase, s.Reason, first(s.Leader, "nobody yet"), s.FencingToken, ago(s.AgeMS))
	if s.Evidence != "" {
		fmt.Fprintf(w, "evidence\t%s\n", s.Evidence)
	} else if !s.Ended && s.Leader != "" {
		fmt.Fprintf(w, "evidence\task %s, which leads\n", s.Leader)
	}
	for i, st := range s.Stages {
		mark := ""
		switch {
		case i+1 < s.Stage || s.Phase == rollout.Done.String():
			mark = "through"
		case i+1 == s.Stage:
			mark = "here"
		}
		fmt.Fprintf(w, "stage %d\t%d copies, watched for %s\t%s\n", i+1, st.Replicas, st.Observation, mark)
	}
	for _, k := range s.Replicas {
		note := ""
		switch {
		case k.RefusedReason != "":
			note = "could not: " + k.RefusedReason
		case k.Version == s.Target:
			note = "holds it"
		case !k.Alive:
			note = "not there"
		case !k.Ready:
			note = "not ready"
		}
		fmt.Fprintf(w, "%s\t%s %s\t%s\n", k.Name, k.Zone, k.Version, note)
	}
	if len(s.FailedReplicas) > 0 {
		fmt.Fprintf(w, "failed at\t%s\n", strings.Join(s.FailedReplicas, ", "))
	}
}
