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

const testTimeout = 20 * time.Second // no test waits so long unless it fails

var errRestarting = errors.New("the proxy is being restarted")

// stubProxy wants another program from the second answer on, and has each refusal judged by a test.
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

// run runs an agent whose command fails until its context ends, and returns what is closed once it has returned.
func run(ctx context.Context, proxy Proxy) (ended chan struct{}) {
	agent := &Agent{Proxy: proxy, Command: []string{"/no/such/program"}, Timeout: time.Second, Output: io.Discard}
	ended = make(chan struct{})
	go func() {
		defer close(ended)
		_ = agent.Run(ctx) // always nil
	}()
	return ended
}

// An agent that is to end does not go on reporting to a proxy that does not answer.
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
				t.Fatal("the agent does not end")
			}
			if took := time.Since(cancelledAt); took > time.Second {
				t.Errorf("it ended %v after it was to", took)
			}
			if refusals := proxy.refusals.Load(); refusals != tc.cancelAfter {
				t.Errorf("it reported %d times, want %d", refusals, tc.cancelAfter)
			}
		})
	}
}

// A refusal is reported again until the proxy has taken it.
func TestARefusalIsRepeatedUntilItIsTaken(t *testing.T) {
	t.Parallel()
	const failures = 2
	ctx, cancel := context.WithCancel(t.Context())
	taken := make(chan struct{})
	proxy := &stubProxy{refuse: func(count int64) error {
		if count <= failures {
			return errRestarting
		}
		close(taken) // a second time panics: what is taken is reported no more
		return nil
	}}
	ended := run(ctx, proxy)
	defer func() { cancel(); <-ended }()
	select {
	case <-taken:
	case <-time.After(testTimeout):
		t.Fatalf("reported %d times, and none was taken", proxy.refusals.Load())
	}
	time.Sleep(3 * pollInterval)
	if refusals := proxy.refusals.Load(); refusals != failures+1 {
		t.Errorf("reported %d times, want %d", refusals, failures+1)
	}
}

// The command gets what is wanted in its environment; its exit status and its time decide whether it is a refusal.
func TestTheCommandIsJudged(t *testing.T) {
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
				t.Errorf("refused with %q", reasons)
			case refused && !strings.Contains(reasons[0], tc.refused):
				t.Errorf("refused with %q, want %q in it", reasons[0], tc.refused)
			}
		})
	}
}

// reasonProxy notes the reasons of refusals.
type reasonProxy struct{ reasons *[]string }

func (p reasonProxy) Rollout() (fleet.RolloutStatus, error) { return fleet.RolloutStatus{}, nil }

func (p reasonProxy) RefuseRollout(_, reason string) error {
	*p.reasons = append(*p.reasons, reason)
	return nil
}

// attemptsProxy wants the same version in each attempt at a plan; tests begin them.
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

// A plan that is resumed or handed over again has the command run again, once each time.
func TestTheCommandIsRunInEachAttempt(t *testing.T) {
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
				t.Errorf("refused in attempt %d, want %d", got, attempt+1)
			}
		case <-time.After(testTimeout):
			t.Fatalf("the command is not run in attempt %d", attempt+1)
		}
		time.Sleep(3 * pollInterval)
		if len(proxy.refusals) > 0 {
			t.Fatalf("the command is run twice in attempt %d", attempt+1)
		}
	}
}

// What fails after another attempt has begun is no refusal in that one.
func TestALateFailureIsNotReported(t *testing.T) {
	t.Parallel()
	proxy := &attemptsProxy{refusals: make(chan int64, 1)}
	proxy.attempt.Store(1)
	status, _ := proxy.Rollout()
	proxy.attempt.Store(2)
	agent := &Agent{Proxy: proxy, Command: []string{"/no/such/program"}, Timeout: time.Second, Output: io.Discard}
	agent.change(t.Context(), &status)
	if len(proxy.refusals) > 0 {
		t.Error("it is reported")
	}
}
