package rollout

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// until steps until a condition holds, and fails the test after a minute.
func (c *fleet) until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := c.now + time.Minute; !holds(); {
		if c.now > end {
			t.Fatalf("got no %s within a minute", what)
		}
		c.step(100 * time.Millisecond)
		if c.err != nil {
			t.Fatal(c.err)
		}
	}
}

// leader returns the leader, or nil if there is none.
func (c *fleet) leader() *member {
	i := slices.IndexFunc(c.members, func(m *member) bool { return m.up && !m.suspended && m.participant.IsLeader() })
	if i < 0 {
		return nil
	}
	return c.members[i]
}

// startPlan starts the fleet's plan at a replica, and waits until a leader has selected the first replica to change.
func (c *fleet) startPlan(t *testing.T, at int) {
	t.Helper()
	if err := c.members[at].participant.Start(c.now, c.plan); err != nil {
		t.Fatal(err)
	}
	c.until(t, "leader that changes replicas", func() bool {
		leader := c.leader()
		return leader != nil && len(leader.participant.state.Selected) > 0
	})
}

// A replica that missed the end of a plan receives the final state, and does not resume the plan.
func TestEndedPlanIsNotRevived(t *testing.T) {
	for _, size := range []int{3, 10, 40} {
		for _, asleep := range []int{1, 2} {
			t.Run(fmt.Sprintf("copy %d of %d was away", asleep, size), func(t *testing.T) {
				t.Parallel()
				c := newFleet(size, quickPlan)
				c.step(4 * time.Second)
				c.startPlan(t, 0)
				away := c.members[asleep]
				away.suspended = true
				c.until(t, "leader without it", func() bool { return c.leader() != nil })
				if err := c.members[0].participant.Command(c.now, commandAbort); err != nil {
					t.Fatal(err)
				}
				ended := func(m *member) bool { return m == away || m.participant.state.Phase.Ended() }
				c.until(t, "end of the plan", func() bool { return !slices.ContainsFunc(c.members, func(m *member) bool { return !ended(m) }) })
				away.suspended = false
				returned := c.now
				for c.now < returned+time.Minute {
					c.step(100 * time.Millisecond)
					if state := away.participant.State(); c.now > returned+2*periodicUpdateInterval && !state.Phase.Ended() {
						t.Fatalf("%v after its return: got phase %v, want the end of the plan", c.now-returned, state.Phase)
					}
					for _, m := range c.members {
						if state := m.participant.State(); !ended(m) {
							t.Fatalf("%v after its return: %s has phase %v, history %q", c.now-returned, m.name, state.Phase, state.History)
						}
					}
				}
			})
		}
	}
}

// A candidate with an older state than a voter gets no vote, and receives the newer state.
func TestVotersRefuseCandidateWithOlderState(t *testing.T) {
	plan := Plan{ID: "p", Kind: Settings, Target: target}
	plan.Complete()
	voter := New("v", 0)
	voter.Restore(State{Plan: plan, FencingToken: 3, Version: 5, Phase: Aborted})
	now := withMaxDrift(Lease) + 1
	for _, tc := range []struct {
		name  string
		state *State
		want  bool
	}{
		{"older by its token", &State{FencingToken: 2, Version: 9}, false},
		{"older by its version", &State{FencingToken: 3, Version: 4}, false},
		{"as new", &State{FencingToken: 3, Version: 5}, true},
		{"newer", &State{FencingToken: 4, Version: 1}, true},
		{"not stated, by an older program", nil, true},
	} {
		for request, grant := range map[MessageKind]MessageKind{PreVoteRequest: PreVoteGranted, VoteRequest: VoteGranted} {
			voter.election.vote = vote{}
			got, told := false, false
			for _, a := range voter.Handle(now, Message{Kind: request, From: "a", FencingToken: voter.election.highestToken + 1, Seq: 1, State: tc.state}, nil) {
				got = got || a.Message.Kind == grant && a.Message.Seq == 1
				told = told || a.Message.Kind == StateUpdate && a.To == "a"
			}
			if got != tc.want || told == tc.want {
				t.Errorf("%s, kind %d: got vote %v, state sent %v", tc.name, request, got, told)
			}
		}
	}
}

// A leader discards the records of its earlier terms.
func TestLeaderDiscardsRecordsOfEarlierTerm(t *testing.T) {
	c := newFleet(3, Plan{Stages: []Stage{{Fraction: 1, Observation: time.Second}}, MaxUnavailable: 1})
	c.step(4 * time.Second)
	c.startPlan(t, 0)
	first := c.leader()
	stages := &first.participant.stages
	c.until(t, "order", func() bool { return len(stages.orderedAt) > 0 })
	name := first.participant.state.Selected[0]
	if err := first.participant.Command(c.now, commandPause); err != nil {
		t.Fatal(err)
	}
	for range 10 {
		c.step(100 * time.Millisecond)
	}
	stages.epochs[name] = 99 // epoch of a process that has since been replaced
	if err := first.participant.Command(c.now, commandResume); err != nil {
		t.Fatal(err)
	}
	c.until(t, "leader", func() bool { return c.leader() != nil })
	stages = &c.leader().participant.stages
	if c.leader() != first {
		t.Fatalf("got leader %s, want the first by name", c.leader().name)
	}
	if at, ordered := stages.orderedAt[name]; ordered || stages.epochs[name] == 99 {
		t.Errorf("got an order at %v and epoch %d of an earlier term, want none", at, stages.epochs[name])
	}
}

// Repeated changes of leader do not grow the history beyond its limit.
func TestHistoryIsBoundedWhenLeadersChange(t *testing.T) {
	participant := New("a", 0)
	participant.state.History = []string{"taken by a"}
	for range 10 * maxHistory {
		participant.takeOver()
	}
	if history := participant.state.History; len(history) > maxHistory || history[0] != "taken by a" {
		t.Errorf("got %d history entries, the first %q", len(history), history[0])
	}
}

// A replica that fails after each resume is listed in Failed once.
func TestRepeatedlyFailingReplicaIsListedOnce(t *testing.T) {
	participant := New("a", 0)
	participant.state = State{Plan: Plan{ID: "p"}, Phase: Changing}
	for range 3 {
		participant.failStage("b", "could not take it: disk full")
	}
	participant.failStage("c", "could not take it: disk full")
	if failed := participant.state.Failed; !slices.Equal(failed, []string{"b", "c"}) {
		t.Errorf("got failed replicas %q", failed)
	}
}

// A replica that starts without state receives the outcome of the plan soon, also in a large fleet.
func TestReplicaWithoutStateReceivesOutcome(t *testing.T) {
	c := newFleet(40, quickPlan)
	c.step(4 * time.Second)
	c.members[33].up = false
	c.startPlan(t, 0)
	if err := c.members[0].participant.Command(c.now, commandAbort); err != nil {
		t.Fatal(err)
	}
	ended := func(m *member) bool { return !m.up || m.participant.state.Phase == RolledBack }
	c.until(t, "end of the plan", func() bool {
		return !slices.ContainsFunc(c.members, func(m *member) bool { return !ended(m) })
	})
	for range 50 {
		c.step(100 * time.Millisecond)
	}
	c.start(33)
	started := c.now
	c.until(t, "outcome at the one that started", func() bool { return ended(c.members[33]) })
	if took := c.now - started; took > 2*periodicUpdateInterval {
		t.Errorf("got the outcome after %v", took)
	}
}
