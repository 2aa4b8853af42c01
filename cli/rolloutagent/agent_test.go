package rolloutagent

import (
	"context"
	"errors"
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
