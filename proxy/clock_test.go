package proxy

import (
	"strings"
	"testing"
	"time"
	"unsafe"

	"ryerill/balancer"
	"ryerill/override"
)

// takenBeforeStep returns taken as if it had been read before a step of the wall clock: the monotonic reading is
// unchanged and the wall time lies behind by the step. The first word of a time.Time with a monotonic reading holds the
// wall time, with the seconds from bit 30 on.
func takenBeforeStep(t *testing.T, taken time.Time, step time.Duration) time.Time {
	t.Helper()
	word := (*uint64)(unsafe.Pointer(&taken))
	*word -= uint64(int64(step/time.Second)) << 30
	behind := time.Now().Round(0).Sub(taken.Round(0))
	if off := behind - step; off < -time.Minute || off > time.Minute || time.Since(taken).Abs() > time.Minute {
		t.Fatalf("step of %v: got a wall time %v behind, taken %v ago", step, behind, time.Since(taken))
	}
	return taken
}

// clockSteps are steps of the wall clock that must have no effect.
var clockSteps = []time.Duration{time.Hour, -time.Hour, 3 * time.Second, -3 * time.Second}

// The decision clock ignores steps of the wall clock, so that no timer, window or wait of the Balancer is affected.
func TestClockIgnoresWallClockSteps(t *testing.T) {
	for _, step := range clockSteps {
		c := clock{takenBeforeStep(t, time.Now(), step)}
		started := time.Duration(c.start.UnixNano())
		first := c.now()
		time.Sleep(10 * time.Millisecond)
		second := c.now()
		if first < started || first > started+10*time.Second {
			t.Errorf("step of %v: got first reading %v after the start, want 0 to 10s", step, first-started)
		}
		if passed := second - first; passed < 10*time.Millisecond || passed > 10*time.Second {
			t.Errorf("step of %v: %v passed during a sleep of 10ms", step, passed)
		}
	}
}

// A drain whose order lies in the future, because the wall clock stepped back or another process's clock is ahead, begins
// now and continues on monotonic time. After a step forward the drain counts as older by the step.
func TestDrainStartAcrossWallClockStep(t *testing.T) {
	for _, tc := range []struct{ ordered, want time.Duration }{ // ago
		{0, 0}, {-time.Hour, 0}, {-3 * time.Second, 0}, {time.Second, time.Second}, {time.Hour, time.Hour},
	} {
		ordered := time.Duration(time.Now().Add(-tc.ordered).UnixNano())
		p := &Proxy{overrides: override.Set{DrainSince: ordered}}
		start := p.drainStartLocked()
		if ago := time.Since(start); ago < tc.want || ago > tc.want+10*time.Second {
			t.Errorf("drain ordered %v ago: began %v ago", tc.ordered, ago)
		}
		if !strings.Contains(start.String(), " m=") {
			t.Errorf("drain ordered %v ago: start has no monotonic reading", tc.ordered)
		}
	}
}

// sentRequests returns how many of 100 requests, 20 per second, are sent to the only endpoint of a list, which states that
// it started startedAgo before now.
func sentRequests(startedAgo time.Duration) (sent int) {
	now := 500_000 * time.Hour // Unix time
	b := balancer.New(balancer.Config{
		Classes:      []balancer.Class{{LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1}},
		ReplicaCount: 1, Tiers: 1, Limits: balancer.Limits{MaxAttempts: 3},
		Contract: balancer.Contract{InitialCapacity: 0.2, WarmUpPeriod: 10 * time.Second, OverloadMultiple: 2,
			OverloadPeriod: time.Second},
	}, 1)
	b.Handle(now, balancer.Event{Kind: balancer.EndpointListUpdated, ListKind: balancer.ListFull,
		Endpoints: []balancer.Endpoint{{ID: 1, State: balancer.Ready, StartedAt: now - startedAgo}}}, nil)
	for id := balancer.RequestID(1); id <= 100; id++ {
		now += 50 * time.Millisecond
		arrived := balancer.Event{Kind: balancer.RequestArrived, Request: id, Remaining: time.Second}
		for _, action := range b.Handle(now, arrived, nil) {
			if action.Kind == balancer.Send {
				sent++
				b.Handle(now, balancer.Event{Kind: balancer.AttemptEnded, Request: id, Endpoint: action.Endpoint,
					Outcome: balancer.OK, RequestClosed: true, Elapsed: time.Millisecond}, nil)
			}
		}
	}
	return sent
}

// An endpoint whose stated start lies in the future, because the clock of its machine is ahead, counts as just started
// and not as warm.
func TestEndpointStartInFutureIsCold(t *testing.T) {
	justStarted := sentRequests(0)
	for _, ahead := range []time.Duration{time.Second, 3 * time.Second, time.Hour} {
		if sent := sentRequests(-ahead); sent > justStarted {
			t.Errorf("start %v ahead: got %d requests, want at most the %d of a just started endpoint", ahead, sent, justStarted)
		}
	}
	if warm := sentRequests(time.Hour); warm != 100 {
		t.Errorf("warm endpoint: got %d of 100 requests, want all", warm)
	}
}
