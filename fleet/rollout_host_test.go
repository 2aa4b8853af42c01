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

// newRolloutHost returns a host that does not run: it does only what a test has it do.
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

// What was refused in one attempt at a plan does not fail the next one, also not where the change ends late.
func TestRefusalsAreForgottenInANewAttempt(t *testing.T) {
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
		t.Error("a refusal is not shown")
	}
	f.rollouts.noteReport(&rollout.Report{Name: "b", Plan: "p", RefusedReason: "disk full"})
	abort()
	start()
	if refusal() != "" || len(f.rollouts.refusals) > 0 {
		t.Errorf("refusals of the attempt before: %q, %v", refusal(), f.rollouts.refusals)
	}
	order()
	abort()
	start()
	changes <- errNoRollouts
	f.goroutines.Wait()
	if refusal() != "" {
		t.Errorf("the late end of an earlier attempt counts: %q", refusal())
	}
	f.rollouts.noteReport(&rollout.Report{Name: "b", Plan: "p", RefusedReason: "disk full"})
	f.rollouts.noteReport(&rollout.Report{Name: "b", Interval: uint64(time.Now().Unix())})
	if len(f.rollouts.refusals) > 0 {
		t.Errorf("a replica that refuses no more: %v", f.rollouts.refusals)
	}
}

// A plan with its stage and history survives a restart where there is a state file.
func TestAPlanSurvivesARestart(t *testing.T) {
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
		t.Errorf("before %+v\nafter %+v", before, after)
	}
	if err := restarted.StartRollout(plan); err == nil || !strings.Contains(err.Error(), "plan p stands") {
		t.Errorf("a second plan: %v", err)
	}
}

// A version is wanted of the operator's tools from the order of the present attempt on, not from one before, and a
// refusal of an order before does not count.
func TestAVersionIsWantedInEachAttempt(t *testing.T) {
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
			t.Errorf("attempt %d wants %+v before it has ordered anything, refused %v", attempt, desired, refused)
		}
		f.mu.Lock()
		f.applyVersion(rollout.Action{Kind: rollout.Apply, Plan: "p", Target: "new"})
		f.mu.Unlock()
		f.RolloutRefused("p", "exit status 1")
		now := status()
		if number := rollout.AttemptOf(now.History); now.Desired.Plan != "p" || number <= before ||
			now.Replicas[0].RefusedReason == "" {
			t.Errorf("attempt %d, number %d: wants %+v", attempt, number, now.Desired)
		} else {
			before = number
		}
		if err := f.RolloutCommand("abort"); err != nil {
			t.Fatal(err)
		}
	}
}
