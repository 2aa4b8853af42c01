package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"
)

const (
	rolloutPollInterval = time.Second
	rolloutPollTimeout  = 2 * time.Second
)

func rolloutReportCommand(stdout io.Writer) *cobra.Command {
	var out string
	var addresses []string
	c := &cobra.Command{
		Use:   "rollout-report",
		Short: "Follow a rollout at the doors of copies until it ends, and draw what it went by",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return reportRollout(cmd.Context(), addresses, out, stdout)
		},
	}
	c.Flags().StringVar(&out, "out", filepath.Join(resultsDir, "rollout"), outputUsage)
	c.Flags().StringSliceVar(&addresses, "door", nil, "doors of copies, IP and port, parted by commas")
	return c
}

// reportRollout follows the plan that replicas report at their management endpoints, and draws it.
func reportRollout(ctx context.Context, addresses []string, out string, stdout io.Writer) error {
	if len(addresses) == 0 {
		return errors.New("--door: name the doors of copies, IP and port: who leads knows the evidence")
	}
	follower := rolloutFollower{addresses: addresses, client: http.Client{Timeout: rolloutPollTimeout}}
	follower.follow(ctx, rolloutPollInterval)
	if follower.latest.Plan == "" {
		return shortError{fmt.Errorf("no door of %v tells of a plan", addresses)}
	}
	if err := follower.save(out); err != nil {
		return shortError{err}
	}
	fmt.Fprintln(stdout, "report:", filepath.Join(out, rolloutPageFile))
	return nil
}
