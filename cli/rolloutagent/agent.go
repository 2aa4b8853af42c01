// Package rolloutagent runs an operator's command on the host of a proxy when a rollout changes the program. It runs in
// a separate process, as the proxy never starts programs.
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
	"ryerill/fleet/rollout"
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

// Agent runs a command for each program version that a rollout orders.
type Agent struct {
	Proxy   Proxy
	Command []string      // with its arguments
	Timeout time.Duration // of one run of the command
	Output  io.Writer     // for messages and the output of the command
}

// order is a desired version and the attempt at the plan. A plan that is resumed or started again orders the same
// version in another attempt.
type order struct {
	desired fleet.DesiredVersion
	attempt uint64
}

func orderOf(status *fleet.RolloutStatus) order {
	return order{desired: status.Desired, attempt: rollout.AttemptOf(status.History)}
}

// Run polls the proxy until the context ends. An order that precedes the start of Run counts as executed.
func (a *Agent) Run(ctx context.Context) error {
	done := order{}
	if status, err := a.Proxy.Rollout(); err == nil {
		done = orderOf(&status)
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
		if err != nil || status.Desired.Plan == "" || status.Kind != kindOfProgram || orderOf(&status) == done {
			continue
		}
		done = orderOf(&status)
		a.change(ctx, &status)
	}
}

// change runs the command for the desired version. It reports a failure to the proxy, and repeats the report until the
// proxy has accepted it, another attempt has begun, or the context ends.
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
		if a.superseded(status) || a.Proxy.RefuseRollout(desired.Plan, reason) == nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pollInterval):
		}
	}
}

// superseded reports whether another attempt has begun since status. A refusal of an earlier attempt doesn't count.
func (a *Agent) superseded(status *fleet.RolloutStatus) bool {
	now, err := a.Proxy.Rollout()
	return err == nil && rollout.AttemptOf(now.History) > rollout.AttemptOf(status.History)
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
