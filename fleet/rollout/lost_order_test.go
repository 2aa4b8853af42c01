package rollout

import (
	"errors"
	"slices"
	"testing"
	"time"
)

// partitioned returns a fleet of 5 with an active plan, whose first two replicas are partitioned; the others have
// elected a leader. It gives the command to a partitioned replica.
func partitioned(t *testing.T, plan Plan, during Phase, command string) *fleet {
	t.Helper()
	c := newFleet(5, plan)
	c.step(4 * time.Second)
	c.startPlan(t, 0)
	if during == Stopped {
		c.leader().participant.transition(Stopped, "a replica refused")
	}
	c.until(t, "state at all", func() bool { return c.members[0].participant.state.Phase == during && c.agreed() })
	c.partition = 2
	if err := c.members[0].participant.Command(c.now, command); err != nil {
		t.Fatal(err)
	}
	for range 300 { // longer than an election takes
		c.step(100 * time.Millisecond)
	}
	if leader := c.leader(); leader == nil || leader == c.members[0] || leader == c.members[1] {
		t.Fatal("got no leader in the majority, want one")
	}
	return c
}

// allAre reports whether all replicas know that the plan has a phase.
func (c *fleet) allAre(phase Phase) bool {
	return !slices.ContainsFunc(c.members, func(m *member) bool { return m.participant.state.Phase != phase })
}

// An abort given in a minority partition takes effect after the partition heals, whatever the majority did meanwhile.
func TestMinorityAbortAppliesAfterPartitionHeals(t *testing.T) {
	long := []Stage{{Count: 1, Observation: time.Hour}, {Fraction: 1, Observation: time.Hour}}
	for _, tc := range []struct {
		name      string
		plan      Plan
		during    Phase
		command   string
		meanwhile Phase // at the minority
		want      Phase
	}{
		{"with a way back", Plan{Stages: long, RollBack: true}, Changing, commandAbort, RollingBack, RolledBack},
		{"while it is observed", Plan{Stages: long, RollBack: true}, Observing, commandAbort, RollingBack, RolledBack},
		{"without a way back", Plan{Stages: long}, Changing, commandAbort, Aborted, Aborted},
		{"of a stopped plan", Plan{Stages: long, RollBack: true}, Stopped, commandAbort, RollingBack, RolledBack},
		{"back", Plan{Stages: long}, Observing, commandBack, RollingBack, RolledBack},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := partitioned(t, tc.plan, tc.during, tc.command)
			cutOff := c.members[0].participant
			if cutOff.state.Phase != tc.meanwhile {
				t.Errorf("got phase %v in the minority, want the effect of the command", cutOff.state.Phase)
			}
			if explanation, _ := cutOff.Evidence(); explanation == "" {
				t.Error("got no explanation of the pending command")
			}
			c.partition = 0
			c.until(t, "abort at all", func() bool { return c.allAre(tc.want) })
			for range 600 {
				c.step(100 * time.Millisecond)
			}
			if !c.allAre(tc.want) || c.countVersion(target) > 0 && tc.want == RolledBack {
				t.Errorf("a minute later: got %d replicas with the target, history %q", c.countVersion(target), cutOff.state.History)
			}
		})
	}
}

// An abort is repeated once, but not for a plan that was resumed after it, that has ended, or that was started again.
func TestLostAbortIsRepeatedOnce(t *testing.T) {
	const taken, aborted = "taken by a, number 1", "aborted: " + abortByOperator
	plan := Plan{ID: "p", Kind: Settings, Target: target}
	plan.Complete()
	for _, tc := range []struct {
		name  string
		newer State
		again bool
	}{
		{"not known", State{Phase: Changing, History: []string{taken}}, true},
		{"not known, and stopped", State{Phase: Stopped, History: []string{taken, "stopped: b refused"}}, true},
		{"resumed after it", State{Phase: Changing, History: []string{taken, aborted, "taken up again by b, number 9"}}, false},
		{"ended", State{Phase: Done, History: []string{taken}}, false},
		{"going back anyhow", State{Phase: RollingBack, History: []string{taken}}, false},
		{"handed over again", State{Phase: Changing, History: []string{"taken by a, number 9"}}, false},
		{"handed over again by an older program", State{Phase: Changing, History: []string{"taken by a"}}, false},
		{"another plan", State{Plan: Plan{ID: "q"}, Phase: Changing, History: []string{taken}}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			replica := New("a", 0)
			replica.state = State{Plan: plan, FencingToken: 2, Version: 1, Phase: Aborted, History: []string{taken, aborted}}
			newer := tc.newer
			id := newer.Plan.ID
			newer.Plan, newer.FencingToken, newer.Version = plan, 9, 1
			if id != "" {
				newer.Plan.ID = id
			}
			replica.Handle(time.Second, Message{Kind: StateUpdate, From: "b", FencingToken: 9, State: &newer}, nil)
			state := replica.State()
			if again := state.FencingToken > 9; again != tc.again || again != (state.Phase == Aborted) {
				t.Errorf("got fencing token %d, phase %v, history %q", state.FencingToken, state.Phase, state.History)
			}
			var ended *PlanStateError
			if err := replica.Command(time.Second, commandAbort); tc.again && !errors.As(err, &ended) {
				t.Errorf("got %v for a second abort, want a PlanStateError", err)
			}
		})
	}
}
