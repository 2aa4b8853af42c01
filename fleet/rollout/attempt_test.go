package rollout

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// An order that led to nothing is executed again when its plan is taken up again or handed over again, and once only
// while it goes on.
func TestAnOrderIsExecutedAgainInANewAttempt(t *testing.T) {
	for _, between := range []Phase{Stopped, Aborted, RolledBack, Expired} {
		t.Run(between.String(), func(t *testing.T) {
			plan := Plan{ID: "p", Kind: Settings, Target: target}
			plan.Complete()
			now := withMaxDrift(Lease) + 1
			replica := New("b", 0)
			token := uint64(0)
			enter := func(phase Phase) {
				token++
				state := State{Plan: plan, FencingToken: token, Version: 1, Phase: phase, Leader: "a"}
				replica.Handle(now, Message{Kind: StateUpdate, From: "a", FencingToken: token, State: &state}, nil)
				replica.Handle(now, Message{Kind: VoteRequest, From: "a", FencingToken: token, Seq: token}, nil)
			}
			executed := func() (count int) {
				order := Message{Kind: ChangeOrder, From: "a", FencingToken: token, Plan: "p", Target: target}
				for _, action := range replica.Handle(now, order, nil) {
					if action.Kind == Apply {
						count++
					}
				}
				return count
			}
			enter(Changing)
			attempts := replica.Attempts()
			if executed() != 1 || executed() != 0 {
				t.Error("the first order is not executed, or twice")
			}
			now += time.Second
			enter(Changing) // under another leader
			if executed() != 0 || replica.Attempts() != attempts {
				t.Error("a change of the leader counts as another attempt")
			}
			enter(between)
			enter(Changing)
			if executed() != 1 || executed() != 0 || replica.Attempts() != attempts+1 {
				t.Errorf("the order of the second attempt is not executed, or twice; attempts %d, then %d",
					attempts, replica.Attempts())
			}
		})
	}
}

// At the replica that an operator talks to, a command and a start count as well.
func TestCommandsBeginAttempts(t *testing.T) {
	plan := Plan{ID: "p", Kind: Settings, Target: target}
	plan.Complete()
	replica := New("a", 0)
	replica.Tick(time.Second, []Replica{{Name: "a", Alive: true, Ready: true}}, nil)
	if err := replica.Start(time.Second, plan); err != nil || replica.Attempts() != 1 {
		t.Fatalf("%v, %d attempts", err, replica.Attempts())
	}
	replica.state.transition(Stopped, "a replica refused")
	for _, command := range []string{commandResume, commandPause, commandResume} {
		if err := replica.Command(time.Second, command); err != nil {
			t.Fatal(err)
		}
	}
	if replica.Attempts() != 2 {
		t.Errorf("%d attempts, want that of the start and that after the stop", replica.Attempts())
	}
}

// A plan that is resumed goes on with what it did: one that was rolling back does not change replicas again.
func TestAPlanResumesWhatItDid(t *testing.T) {
	for _, tc := range []struct {
		name string
		past []Phase
		want Phase
	}{
		{"paused while it changed", []Phase{Changing, Paused}, Changing},
		{"paused while it observed", []Phase{Changing, Observing, Paused}, Changing},
		{"paused while it rolled back", []Phase{Changing, RollingBack, Paused}, RollingBack},
		{"stopped while it observed", []Phase{Changing, Observing, Stopped}, Changing},
		{"stopped while it rolled back", []Phase{Changing, RollingBack, Stopped}, RollingBack},
		{"stopped, and paused then", []Phase{Changing, RollingBack, Stopped, Paused}, RollingBack},
		{"just started", []Phase{Paused}, Changing},
	} {
		t.Run(tc.name, func(t *testing.T) {
			replica := New("a", 0)
			replica.state = State{Plan: Plan{ID: "p"}, History: []string{"taken by a"}}
			for _, phase := range tc.past {
				replica.state.transition(phase, "why")
				replica.state.record("led by a")
			}
			if err := replica.Command(time.Second, commandResume); err != nil || replica.state.Phase != tc.want {
				t.Errorf("%v: %v, want %v", err, replica.state.Phase, tc.want)
			}
		})
	}
}

// Each attempt has a greater number than those before, at every replica that knows the history, and keeps it however
// long the history grows. What replicas or older programs write does not pass for an attempt.
func TestAttemptsAreNumbered(t *testing.T) {
	plan := Plan{ID: "p", Kind: Program, Target: target}
	plan.Complete()
	replica := New("a", 0)
	number := func() uint64 { return AttemptOf(replica.State().History) }
	if err := replica.Start(time.Second, plan); err != nil || number() == 0 {
		t.Fatalf("%v, number %d", err, number())
	}
	first := number()
	for _, command := range []string{commandPause, commandResume} { // goes on with the same attempt
		if err := replica.Command(time.Second, command); err != nil || number() != first {
			t.Fatalf("%v, number %d after %s, want %d", err, number(), command, first)
		}
	}
	replica.transition(Stopped, "b could not take it: taken by c, number 99")
	if err := replica.Command(time.Second, commandResume); err != nil || number() <= first {
		t.Fatalf("%v, number %d after %d", err, number(), first)
	}
	second := number()
	for range 3 * maxHistory {
		replica.takeOver()
	}
	history := replica.State().History
	if number() != second || len(history) != maxHistory || !strings.HasPrefix(history[0], takenPrefix) {
		t.Errorf("number %d, want %d; %d entries, the first %q", number(), second, len(history), history[0])
	}
	for _, entry := range []string{"taken by a", "taken by a, number", "taken by a, number -1", "led by a, number 3"} {
		if got := AttemptOf([]string{entry}); got != 0 {
			t.Errorf("%q has number %d", entry, got)
		}
	}
}

// A replica that did not hear that the plan had stopped learns of the new attempt too.
func TestANewAttemptIsKnownByItsNumber(t *testing.T) {
	plan := Plan{ID: "p", Kind: Program, Target: target}
	plan.Complete()
	replica := New("b", 0)
	for i, history := range [][]string{
		{"taken by a, number 1"},
		{"taken by a, number 1", "stopped: c refused", "changing: " + byOperator, "taken up again by a, number 2"},
	} {
		token := uint64(i + 1)
		state := State{Plan: plan, FencingToken: token, Version: 1, Phase: Changing, History: history}
		replica.Handle(time.Second, Message{Kind: StateUpdate, From: "a", FencingToken: token, State: &state}, nil)
		if replica.Attempts() != token {
			t.Errorf("%d attempts, want %d", replica.Attempts(), token)
		}
	}
}

// A replica that dies when it is changed, and comes back with its version before, is ordered again in time: so the plan
// learns whether it refuses.
func TestAReplicaThatCameBackIsOrderedAgain(t *testing.T) {
	c := newFleet(5, quickPlan)
	c.deadly = true
	c.step(4 * time.Second)
	c.startPlan(t, 0)
	dead := func() int { return slices.IndexFunc(c.members, func(m *member) bool { return !m.up }) }
	c.until(t, "replica that dies", func() bool { return dead() >= 0 })
	i := dead()
	c.step(2 * time.Second)
	c.members[i].version = old
	c.start(i)
	c.until(t, "second order", func() bool { return dead() >= 0 })
	if phase := c.leader().participant.state.Phase; dead() != i || phase != Changing {
		t.Errorf("replica %d was ordered while the plan is %v, want %d", dead(), phase, i)
	}
}
