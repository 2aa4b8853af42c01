package rollout

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// An order is executed once per attempt, and again when its plan is resumed or started again.
func TestOrderIsExecutedAgainInNewAttempt(t *testing.T) {
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
				t.Error("want the first order executed exactly once")
			}
			now += time.Second
			enter(Changing) // under another leader
			if executed() != 0 || replica.Attempts() != attempts {
				t.Error("got a new attempt after a change of leader, want the same")
			}
			enter(between)
			enter(Changing)
			if executed() != 1 || executed() != 0 || replica.Attempts() != attempts+1 {
				t.Errorf("want the order of the second attempt executed exactly once; got %d attempts before, %d after",
					attempts, replica.Attempts())
			}
		})
	}
}

// A start and a resume begin an attempt at the replica that receives the operator's command too.
func TestCommandsBeginAttempts(t *testing.T) {
	plan := Plan{ID: "p", Kind: Settings, Target: target}
	plan.Complete()
	replica := New("a", 0)
	replica.Tick(time.Second, []Replica{{Name: "a", Alive: true, Ready: true}}, nil)
	if err := replica.Start(time.Second, plan); err != nil || replica.Attempts() != 1 {
		t.Fatalf("got error %v, %d attempts", err, replica.Attempts())
	}
	replica.state.transition(Stopped, "a replica refused")
	for _, command := range []string{commandResume, commandPause, commandResume} {
		if err := replica.Command(time.Second, command); err != nil {
			t.Fatal(err)
		}
	}
	if replica.Attempts() != 2 {
		t.Errorf("got %d attempts, want 2: the start and the resume after the stop", replica.Attempts())
	}
}

// A resumed plan continues in its earlier direction: a plan that was rolling back does not change replicas again.
func TestPlanResumesPreviousDirection(t *testing.T) {
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
				t.Errorf("got error %v, phase %v, want phase %v", err, replica.state.Phase, tc.want)
			}
		})
	}
}

// Attempt numbers increase, and survive the truncation of the history. Other history entries, such as those of older
// programs, have no attempt number.
func TestAttemptsAreNumbered(t *testing.T) {
	plan := Plan{ID: "p", Kind: Program, Target: target}
	plan.Complete()
	replica := New("a", 0)
	number := func() uint64 { return AttemptOf(replica.State().History) }
	if err := replica.Start(time.Second, plan); err != nil || number() == 0 {
		t.Fatalf("got error %v, attempt number %d", err, number())
	}
	first := number()
	for _, command := range []string{commandPause, commandResume} { // goes on with the same attempt
		if err := replica.Command(time.Second, command); err != nil || number() != first {
			t.Fatalf("got error %v, attempt number %d after %s, want %d", err, number(), command, first)
		}
	}
	replica.transition(Stopped, "b could not take it: taken by c, number 99")
	if err := replica.Command(time.Second, commandResume); err != nil || number() <= first {
		t.Fatalf("got error %v, attempt number %d after attempt %d", err, number(), first)
	}
	second := number()
	for range 3 * maxHistory {
		replica.takeOver()
	}
	history := replica.State().History
	if number() != second || len(history) != maxHistory || !strings.HasPrefix(history[0], takenPrefix) {
		t.Errorf("got attempt number %d, want %d; got %d history entries, the first %q", number(), second, len(history), history[0])
	}
	for _, entry := range []string{"taken by a", "taken by a, number", "taken by a, number -1", "led by a, number 3"} {
		if got := AttemptOf([]string{entry}); got != 0 {
			t.Errorf("entry %q: got attempt number %d, want 0", entry, got)
		}
	}
}

// A replica that missed the stop of a plan recognizes the new attempt by its number.
func TestNewAttemptIsRecognizedByNumber(t *testing.T) {
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
			t.Errorf("got %d attempts, want %d", replica.Attempts(), token)
		}
	}
}

// A replica that dies during its change and returns with its previous version is ordered again before the ready
// timeout, so that the plan learns whether it refuses.
func TestReturnedReplicaIsOrderedAgain(t *testing.T) {
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
		t.Errorf("got replica %d ordered in phase %v, want replica %d", dead(), phase, i)
	}
}
