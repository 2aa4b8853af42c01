// Package rolloutagent runs an operator's command beside a proxy when a rollout wants another program there. It is a
// process of its own, as the proxy starts no other program.
package rolloutagent

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"time"

	"ryerill/fleet"
)

const (
	pollInterval  = 300 * time.Millisecond
	maxRefusals   = 20 // attempts to report a refusal: the proxy may be restarting
	kindOfProgram = "program"
)

// Proxy is the proxy that the agent runs beside.
type Proxy interface {
	// Rollout returns the state of the rollout.
	Rollout() (fleet.RolloutStatus, error)
	// RefuseRollout reports that the proxy couldn't change as a plan ordered.
	RefuseRollout(plan, reason string) error
}

// Agent runs a command each time that a rollout wants another program.
type Agent struct {
	Proxy   Proxy
	Command []string      // with its arguments
	Timeout time.Duration // of a run of the command
	Output  io.Writer     // for messages, and what the command prints
}

// Run polls the proxy until the context ends. What was wanted before it started counts as done.
func (a *Agent) Run(ctx context.Context) error {
	done := fleet.DesiredVersion{}
	if status, err := a.Proxy.Rollout(); err == nil {
		done = status.Desired
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		status, err := a.Proxy.Rollout()
		if err != nil || status.Desired == done || status.Desired.Plan == "" || status.Kind != kindOfProgram {
			continue
		}
		done = status.Desired
		a.change(ctx, &status)
	}
}

// change runs the command for the version that is wanted, and reports its failure to the proxy: at least once, and
// again until the proxy has taken the report or the context ends.
func (a *Agent) change(ctx context.Context, status *fleet.RolloutStatus) {
	desired := status.Desired
	fmt.Fprintf(a.Output, "plan %s wants %s, back %v\n", desired.Plan, desired.Target, desired.RollingBack)
	err := a.runCommand(ctx, status)
	if err == nil {
		return
	}
	fmt.Fprintln(a.Output, "the command failed:", err)
	reason := "the command failed: " + err.Error()
	for range maxRefusals {
		if a.Proxy.RefuseRollout(desired.Plan, reason) == nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pollInterval):
		}
	}
}

func (a *Agent) runCommand(ctx context.Context, status *fleet.RolloutStatus) error {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	command := exec.CommandContext(ctx, a.Command[0], a.Command[1:]...)
	command.Env = append(os.Environ(),
		"RYERILL_PLAN="+status.Desired.Plan,
		"RYERILL_TARGET="+status.Target,
		"RYERILL_BACK="+strconv.FormatBool(status.Desired.RollingBack))
	command.Stdout = a.Output
	command.Stderr = a.Output
	return command.Run()
}
