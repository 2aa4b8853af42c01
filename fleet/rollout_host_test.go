package fleet

import (
	"log/slog"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"ryerill/fleet/membership"
	"ryerill/fleet/rollout"
)

// newRolloutHost returns a host with rollouts that does not run, so that only the test generates events.
func newRolloutHost(t *testing.T, change ChangeFunc, stateFile string) *Fleet {
	t.Helper()
	cfg := Config{Name: "a", Fleet: "f", Listen: "127.0.0.1:0", Keys: testKeys, StateFile: stateFile}
	f, err := New(cfg, slog.New(slog.DiscardHandler), nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.transport.close)
	f.EnableRollouts(change, func() []PoolActivity { return nil })
	f.Announce(membership.Serving, "old")
	return f
}

// Refusals of one attempt at a plan do not fail the next attempt, even if the change of the earlier attempt ends late.
func TestNewAttemptForgetsRefusals(t *testing.T) {
	changes := make(chan error, 1)
	f := newRolloutHost(t, func(rollout.Kind, string, []byte, bool) error { return <-changes }, "")
	plan := rollout.Plan{ID: "p", Kind: rollout.Settings, Target: "new"}
	plan.Complete()
	start := func() {
		t.Helper()
		if err := f.StartRollout(plan); err != nil {
			t.Fatal(err)
		}
		f.tickRollouts()
	}
	refusal := func() string {
		status, _ := f.RolloutStatus()
		return status.Replicas[0].RefusedReason
	}
	order := func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.applyVersion(rollout.Action{Kind: rollout.Apply, Plan: "p", Target: "new"})
	}
	abort := func() {
		t.Helper()
		if err := f.RolloutCommand("abort"); err != nil {
			t.Fatal(err)
		}
	}
	start()
	order()
	changes <- errNoRollouts
	f.goroutines.Wait()
	if refusal() == "" {
		t.Error("got no refusal in the status, want one")
	}
	f.rollouts.noteReport(&rollout.Report{Name: "b", Plan: "p", RefusedReason: "disk full"})
	abort()
	start()
	if refusal() != "" || len(f.rollouts.refusals) > 0 {
		t.Errorf("got refusals of the previous attempt: own %q, others %v", refusal(), f.rollouts.refusals)
	}
	order()
	abort()
	start()
	changes <- errNoRollouts
	f.goroutines.Wait()
	if refusal() != "" {
		t.Errorf("got refusal %q from the late end of an earlier attempt, want none", refusal())
	}
	f.rollouts.noteReport(&rollout.Report{Name: "b", Plan: "p", RefusedReason: "disk full"})
	f.rollouts.noteReport(&rollout.Report{Name: "b", Interval: uint64(time.Now().Unix())})
	if len(f.rollouts.refusals) > 0 {
		t.Errorf("got refusals %v after a report without one, want none", f.rollouts.refusals)
	}
}

// A state file preserves a plan with its phase and history across a restart.
func TestPlanSurvivesRestart(t *testing.T) {
	stateFile := filepath.Join(t.TempDir(), "a")
	begin := func() *Fleet {
		return newRolloutHost(t, func(rollout.Kind, string, []byte, bool) error { return nil }, stateFile)
	}
	f := begin()
	plan := rollout.Plan{ID: "p", Kind: rollout.Settings, Target: "new", Settings: []byte("classes: []")}
	plan.Complete()
	if err := f.StartRollout(plan); err != nil {
		t.Fatal(err)
	}
	if err := f.RolloutCommand("pause"); err != nil {
		t.Fatal(err)
	}
	f.tickRollouts()
	f.goroutines.Wait()
	before, _ := f.RolloutStatus()
	f.transport.close()
	restarted := begin()
	after, _ := restarted.RolloutStatus()
	if after.Plan != "p" || after.Phase != "paused" || after.FencingToken != before.FencingToken ||
		!slices.Equal(after.History, before.History) {
		t.Errorf("status before the restart %+v\nafter it %+v", before, after)
	}
	if err := restarted.StartRollout(plan); err == nil || !strings.Contains(err.Error(), "plan p stands") {
		t.Errorf("start of a second plan: got error %v, want \"plan p stands\"", err)
	}
}

// Only an order of the current attempt sets the desired version, and refusals of orders of earlier attempts are
// ignored.
func TestDesiredVersionBelongsToCurrentAttempt(t *testing.T) {
	f := newRolloutHost(t, func(rollout.Kind, string, []byte, bool) error { return nil }, "")
	plan := rollout.Plan{ID: "p", Kind: rollout.Program, Target: "new"}
	plan.Complete()
	status := func() RolloutStatus {
		f.tickRollouts()
		status, _ := f.RolloutStatus()
		return status
	}
	var before uint64
	for attempt := range 2 {
		if err := f.StartRollout(plan); err != nil {
			t.Fatal(err)
		}
		f.tickRollouts()
		f.RolloutRefused("p", "exit status 1") // late, except in the first attempt
		refused := status().Replicas[0].RefusedReason != ""
		if desired := status().Desired; desired.Plan != "" || refused != (attempt == 0) {
			t.Errorf("attempt %d before its order: got desired version %+v, refused %v", attempt, desired, refused)
		}
		f.mu.Lock()
		f.applyVersion(rollout.Action{Kind: rollout.Apply, Plan: "p", Target: "new"})
		f.mu.Unlock()
		f.RolloutRefused("p", "exit status 1")
		now := status()
		if number := rollout.AttemptOf(now.History); now.Desired.Plan != "p" || number <= before ||
			now.Replicas[0].RefusedReason == "" {
			t.Errorf("attempt %d, number %d: got desired version %+v", attempt, number, now.Desired)
		} else {
			before = number
		}
		if err := f.RolloutCommand("abort"); err != nil {
			t.Fatal(err)
		}
	}
}
