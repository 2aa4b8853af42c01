package rolloutagent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ryerill/fleet"
)

const testTimeout = 20 * time.Second // only a failing test waits this long

var errRestarting = errors.New("the proxy is being restarted")

// stubProxy has a desired program from the second status on, and passes refusals to the test's function.
type stubProxy struct {
	asked    atomic.Int64
	refusals atomic.Int64
	refuse   func(count int64) error
}

func (p *stubProxy) Rollout() (fleet.RolloutStatus, error) {
	if p.asked.Add(1) == 1 {
		return fleet.RolloutStatus{}, nil
	}
	return fleet.RolloutStatus{
		Kind:    kindOfProgram,
		Desired: fleet.DesiredVersion{Plan: "p", Target: "v2"},
	}, nil
}

func (p *stubProxy) RefuseRollout(string, string) error { return p.refuse(p.refusals.Add(1)) }

// run runs an agent with a failing command until the context ends. ended is closed when the agent has returned.
func run(ctx context.Context, proxy Proxy) (ended chan struct{}) {
	agent := &Agent{Proxy: proxy, Command: []string{"/no/such/program"}, Timeout: time.Second, Output: io.Discard}
	ended = make(chan struct{})
	go func() {
		defer close(ended)
		_ = agent.Run(ctx) // always nil
	}()
	return ended
}

// An agent whose context has ended stops reporting a refusal to a proxy that does not answer.
func TestAgentEndsDuringRefusals(t *testing.T) {
	for _, tc := range []struct {
		name        string
		cancelAfter int64 // refusals
	}{
		{"at the first refusal", 1},
		{"at the third refusal", 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var cancelledAt time.Time
			proxy := &stubProxy{refuse: func(count int64) error {
				if count == tc.cancelAfter {
					cancelledAt = time.Now()
					cancel()
				}
				return errRestarting
			}}
			select {
			case <-run(ctx, proxy):
			case <-time.After(testTimeout):
				t.Fatal("got no return of the agent after its context ended")
			}
			if took := time.Since(cancelledAt); took > time.Second {
				t.Errorf("got a return %v after the end of the context", took)
			}
			if refusals := proxy.refusals.Load(); refusals != tc.cancelAfter {
				t.Errorf("got %d reports, want %d", refusals, tc.cancelAfter)
			}
		})
	}
}

// The agent repeats the report of a refusal until the proxy has accepted it.
func TestRefusalIsRepeatedUntilAccepted(t *testing.T) {
	t.Parallel()
	const failures = 2
	ctx, cancel := context.WithCancel(t.Context())
	taken := make(chan struct{})
	proxy := &stubProxy{refuse: func(count int64) error {
		if count <= failures {
			return errRestarting
		}
		close(taken) // panics if an accepted refusal is reported again
		return nil
	}}
	ended := run(ctx, proxy)
	defer func() { cancel(); <-ended }()
	select {
	case <-taken:
	case <-time.After(testTimeout):
		t.Fatalf("got %d reports, none accepted", proxy.refusals.Load())
	}
	time.Sleep(3 * pollInterval)
	if refusals := proxy.refusals.Load(); refusals != failures+1 {
		t.Errorf("got %d reports, want %d", refusals, failures+1)
	}
}

// The command receives the order in its environment. A failing exit status or a time-out is a refusal.
func TestCommandFailureIsRefusal(t *testing.T) {
	for _, tc := range []struct {
		name    string
		script  string
		timeout time.Duration
		refused string // part of the reason; empty if it is not refused
	}{
		{"it succeeds", `[ "$RYERILL_PLAN,$RYERILL_TARGET,$RYERILL_BACK" = p,v2,false ]`, testTimeout, ""},
		{"it fails", "exit 3", testTimeout, "exit status 3"},
		{"it takes too long", "exec sleep 60", 300 * time.Millisecond, "killed"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			output, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
			if err != nil {
				t.Fatal(err)
			}
			defer output.Close()
			var reasons []string
			agent := &Agent{
				Proxy:   reasonProxy{reasons: &reasons},
				Command: []string{"sh", "-c", tc.script},
				Timeout: tc.timeout,
				Output:  output,
			}
			agent.change(t.Context(), &fleet.RolloutStatus{
				Kind: kindOfProgram, Target: "v2", Desired: fleet.DesiredVersion{Plan: "p", Target: "v2"},
			})
			switch refused := len(reasons) == 1; {
			case refused != (tc.refused != "") || len(reasons) > 1:
				t.Errorf("got refusals %q", reasons)
			case refused && !strings.Contains(reasons[0], tc.refused):
				t.Errorf("got refusal %q, want %q in it", reasons[0], tc.refused)
			}
		})
	}
}

// reasonProxy records the reasons of refusals.
type reasonProxy struct{ reasons *[]string }

func (p reasonProxy) Rollout() (fleet.RolloutStatus, error) { return fleet.RolloutStatus{}, nil }

func (p reasonProxy) RefuseRollout(_, reason string) error {
	*p.reasons = append(*p.reasons, reason)
	return nil
}

// attemptsProxy has the same desired version in each attempt at a plan. Tests begin the attempts.
type attemptsProxy struct {
	attempt  atomic.Int64
	refusals chan int64 // the attempt in which each was reported
}

func (p *attemptsProxy) Rollout() (fleet.RolloutStatus, error) {
	attempt := p.attempt.Load()
	status := fleet.RolloutStatus{Kind: kindOfProgram, History: []string{fmt.Sprint("taken by a, number ", attempt)}}
	if attempt > 0 {
		status.Desired = fleet.DesiredVersion{Plan: "p", Target: "v2"}
	}
	return status, nil
}

func (p *attemptsProxy) RefuseRollout(string, string) error {
	p.refusals <- p.attempt.Load()
	return nil
}

// The command runs exactly once in each attempt at a plan.
func TestCommandRunsOncePerAttempt(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	proxy := &attemptsProxy{refusals: make(chan int64, 10)}
	ended := run(ctx, proxy)
	defer func() { cancel(); <-ended }()
	time.Sleep(3 * pollInterval)
	for attempt := range int64(3) {
		proxy.attempt.Store(attempt + 1)
		select {
		case got := <-proxy.refusals:
			if got != attempt+1 {
				t.Errorf("got a refusal in attempt %d, want %d", got, attempt+1)
			}
		case <-time.After(testTimeout):
			t.Fatalf("got no run of the command in attempt %d", attempt+1)
		}
		time.Sleep(3 * pollInterval)
		if len(proxy.refusals) > 0 {
			t.Fatalf("got two runs of the command in attempt %d, want 1", attempt+1)
		}
	}
}

// A failure is not reported once another attempt has begun.
func TestLateFailureIsNotReported(t *testing.T) {
	t.Parallel()
	proxy := &attemptsProxy{refusals: make(chan int64, 1)}
	proxy.attempt.Store(1)
	status, _ := proxy.Rollout()
	proxy.attempt.Store(2)
	agent := &Agent{Proxy: proxy, Command: []string{"/no/such/program"}, Timeout: time.Second, Output: io.Discard}
	agent.change(t.Context(), &status)
	if len(proxy.refusals) > 0 {
		t.Error("got a report of a failure of an earlier attempt")
	}
}
