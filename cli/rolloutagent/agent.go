// Package rolloutagent runs the operator's own means beside a proxy, in a process of its own:
// the proxy that serves starts no other program.
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

// askEvery is how often an agent asks its proxy what is wanted there.
const askEvery = 300 * time.Millisecond

// Run runs a command each time that a rollout wants another program beside it. It is
// a process of its own: the proxy starts none.
func Run(ctx context.Context, ask func() (fleet.RolloutStatus, error), tell func(path, body string) error, args []string, within time.Duration, stdout io.Writer) error {
	done := fleet.DesiredVersion{}
	if s, err := ask(); err == nil { // what was wanted before this agent began is over
		done = s.Desired
	}
	tick := time.NewTicker(askEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		s, err := ask()
		if err != nil || s.Desired == done || s.Desired.Plan == "" || s.Kind != "program" {
			continue
		}
		done = s.Desired
		fmt.Fprintf(stdout, "plan %s wants %s, back %v\n", done.Plan, done.Target, done.RollingBack)
		run, end := context.WithTimeout(ctx, within)
		cmd := exec.CommandContext(run, args[0], args[1:]...)
		cmd.Env = append(os.Environ(), "RYERILL_PLAN="+done.Plan, "RYERILL_TARGET="+s.Target, "RYERILL_BACK="+strconv.FormatBool(done.RollingBack))
		cmd.Stdout, cmd.Stderr = stdout, stdout
		err = cmd.Run()
		end()
		if err != nil {
			fmt.Fprintln(stdout, "the command failed:", err)
			for tries := 0; tries < 20 && tell("/ops/rollout/refused", done.Plan+" the command failed: "+err.Error()) != nil; tries++ {
				time.Sleep(askEvery) // the proxy may be on its way
			}
		}
	}
}
