package cli

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"ryerill/fleet"
	"ryerill/fleet/rollout"
)

// maxRolloutStatus bounds the size of a status, in bytes.
const maxRolloutStatus = 4 << 20

// rolloutFollower keeps what replicas report of a plan.
type rolloutFollower struct {
	addresses []string // of the replicas' management endpoints
	client    http.Client

	startedAt   time.Time
	latest      fleet.RolloutStatus
	points      []rollout.Point // in order of their interval, each once
	transitions []string        // a line for each change of stage or phase
}

// follow polls until the plan has ended or waits for a person, or ctx ends.
func (f *rolloutFollower) follow(ctx context.Context, interval time.Duration) {
	f.startedAt = time.Now()
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		f.poll(ctx)
		if f.latest.Plan != "" && (f.latest.Ended || f.latest.Phase == rollout.Stopped.String()) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// poll requests the status of all replicas. The one with the highest fencing token holds, a leader's among equals.
func (f *rolloutFollower) poll(ctx context.Context) {
	var best fleet.RolloutStatus
	for _, address := range f.addresses {
		status, err := f.status(ctx, address)
		if err != nil {
			continue // a replica may be down; another reports the plan too
		}
		f.addPoints(status.Points)
		isNewer := status.FencingToken > best.FencingToken
		isBetter := status.FencingToken == best.FencingToken && (status.IsLeader || best.Plan == "")
		if isNewer || isBetter {
			best = status
		}
	}
	if best.Plan == "" {
		return
	}
	if f.latest.Plan == "" || best.Phase != f.latest.Phase || best.Stage != f.latest.Stage {
		f.transitions = append(f.transitions, fmt.Sprintf("%6.1f s  stage %d, %s: %s",
			time.Since(f.startedAt).Seconds(), best.Stage, best.Phase, best.Reason))
	}
	f.latest = best
}

// status requests the status of one replica.
func (f *rolloutFollower) status(ctx context.Context, address string) (fleet.RolloutStatus, error) {
	var status fleet.RolloutStatus
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/ops/rollout", nil)
	if err != nil {
		return status, err
	}
	response, err := f.client.Do(request)
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	err = json.NewDecoder(io.LimitReader(response.Body, maxRolloutStatus)).Decode(&status)
	return status, err
}

// addPoints inserts the points of intervals that are not there yet.
func (f *rolloutFollower) addPoints(points []rollout.Point) {
	byInterval := func(a, b rollout.Point) int { return cmp.Compare(a.Interval, b.Interval) }
	for _, point := range points {
		index, known := slices.BinarySearchFunc(f.points, point, byInterval)
		if !known {
			f.points = slices.Insert(f.points, index, point)
		}
	}
}
