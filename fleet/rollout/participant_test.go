package rollout

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"
)

var quickPlan = Plan{Stages: []Stage{{Count: 1, Observation: 5 * time.Second}, {PerZone: true, Observation: 5 * time.Second}, {Fraction: 1, Observation: 5 * time.Second}}, MaxUnavailable: 2, RollBack: true}

func TestRolloutsUnderFaults(t *testing.T) {
	for _, tc := range []struct {
		name string
		plan Plan
		cost float64
		play func(c *fleet) func() // returns a function to run at each step
		want Phase
		hold int // wanted number of replicas with the target at the end, of 10; -1 for any
	}{
		{"harmless", quickPlan, 0, nil, Done, 10},
		{"default stages", Plan{}, 0, nil, Done, 10},
		{"it costs 20 points", quickPlan, 0.2, nil, RolledBack, 0},
		{"it costs 5 points", quickPlan, 0.05, nil, RolledBack, 0},
		{"it stops for an operator", Plan{Stages: quickPlan.Stages}, 0.2, nil, Stopped, 1},
		{"it crashes replicas", quickPlan, 0, func(c *fleet) func() { c.deadly = true; return nil }, RolledBack, 1},
		{"it crashes replicas some time after", quickPlan, 0, func(c *fleet) func() { c.deadly, c.deadlyLater = true, true; return nil }, RolledBack, 1},
		{"the leader crashes again and again", quickPlan, 0, func(c *fleet) func() {
			next := 5 * time.Second
			return func() {
				for i, h := range c.members {
					if h.up && h.participant.IsLeader() && c.now > next && h.participant.state.Phase == Changing && h.version == old {
						next = c.now + 12*time.Second
						h.up = false
					}
					if !h.up && c.now > next-9*time.Second {
						c.start(i)
					}
				}
			}
		}, Done, 10},
		{"the leader is suspended and resumes with its old lease", quickPlan, 0, func(c *fleet) func() {
			var who *member
			return func() {
				for _, h := range c.members {
					if who == nil && h.up && h.participant.IsLeader() && c.now > 8*time.Second {
						who = h
						h.suspended = true
					}
				}
				if who != nil && c.now > 20*time.Second {
					who.suspended = false
				}
			}
		}, Done, 10},
		{"the leader is partitioned, and heals", quickPlan, 0, func(c *fleet) func() {
			return func() {
				for i, h := range c.members {
					if c.healAt == 0 && c.now > 8*time.Second && h.participant.IsLeader() {
						c.members[0], c.members[i] = c.members[i], c.members[0]
						c.inFlight, c.partition, c.healAt = nil, 1, c.now+17*time.Second // the first by name leads at once when its vote has ended
					}
				}
				if c.now > c.healAt {
					c.partition = 0
				}
			}
		}, Done, 10},
		{"the leader is partitioned with the smaller half, and heals", quickPlan, 0, func(c *fleet) func() {
			return func() {
				for i, h := range c.members {
					if c.healAt == 0 && c.now > 8*time.Second && h.participant.IsLeader() {
						c.members[0], c.members[i] = c.members[i], c.members[0]
						c.inFlight, c.partition, c.healAt = nil, 4, c.now+17*time.Second
					}
				}
				if c.now > c.healAt {
					c.partition = 0
				}
			}
		}, Done, 10},
		{"too little traffic to know", Plan{Stages: quickPlan.Stages, RollBack: true, ExtraObservation: 20 * time.Second}, 0, func(c *fleet) func() { c.quiet = true; return nil }, Stopped, 1},
		{"too little traffic to know, until there is more and an operator resumes", Plan{Stages: quickPlan.Stages, MaxUnavailable: 2, RollBack: true, ExtraObservation: 20 * time.Second}, 0, func(c *fleet) func() {
			c.quiet = true
			return func() {
				if p := c.members[5].participant; c.quiet && p.state.Phase == Stopped {
					c.quiet = false
					p.Command(c.now, "resume")
				}
			}
		}, Done, 10},
		{"paused for a minute", quickPlan, 0, func(c *fleet) func() {
			until := time.Duration(0)
			return func() {
				p := c.members[3].participant
				switch {
				case until == 0 && len(p.state.Selected) > 0:
					until = c.now + time.Minute
					p.Command(c.now, "pause")
				case until > 0 && c.now > until && c.command == "":
					c.command = "resume"
					p.Command(c.now, "resume")
				case until > 0 && c.command == "" && c.countVersion(target) > 1:
					c.err = fmt.Errorf("got %d replicas with the target during the pause", c.countVersion(target))
				}
			}
		}, Done, 10},
		{"a fifth of the messages is lost, the others are delayed", quickPlan, 0, func(c *fleet) func() {
			c.random, c.loss, c.maxDelay = rand.New(rand.NewPCG(1, 1)), 0.2, 500*time.Millisecond
			return nil
		}, Done, 10},
		{"one is down during the change and returns", quickPlan, 0, func(c *fleet) func() { c.members[7].up = false; return nil }, Done, 10},
		{"aborted during the change", quickPlan, 0, func(c *fleet) func() {
			return func() {
				if c.now > 14*time.Second && c.command == "" {
					c.command = "abort"
					c.members[9].participant.Command(c.now, "abort")
				}
			}
		}, RolledBack, 0},
		{"aborted during the rollback", quickPlan, 0.2, func(c *fleet) func() {
			return func() {
				if c.members[4].participant.state.Phase == RollingBack && c.command == "" {
					c.command = "abort"
					c.members[4].participant.Command(c.now, "abort")
				}
			}
		}, RolledBack, 0},
		{"paused and resumed during the rollback", quickPlan, 0.2, func(c *fleet) func() {
			return func() {
				p := c.members[4].participant
				switch {
				case c.command == "" && p.state.Phase == RollingBack:
					c.command = "pause"
					p.Command(c.now, "pause")
				case c.command == "pause" && p.state.Age > 40*time.Second:
					c.command = "resume"
					p.Command(c.now, "resume")
				case c.command == "resume" && p.state.Phase == Changing:
					c.err = errors.New("it changes replicas again")
				}
			}
		}, RolledBack, 0},
		{"one is reloaded by hand during the rollout", quickPlan, 0, func(c *fleet) func() {
			done := false
			return func() {
				for _, h := range c.members {
					if s := h.participant.State(); !done && h.participant.IsLeader() && s.Phase == Observing && s.Stage == 1 {
						for _, k := range c.members {
							if !done && k.name == s.Selected[len(s.Selected)-1] {
								done, k.version = true, "by hand"
							}
						}
					}
				}
			}
		}, Done, 10},
		{"the fleet grows during the rollout", quickPlan, 0, func(c *fleet) func() {
			return func() {
				if len(c.members) < 14 && c.now > time.Duration(10+len(c.members))*time.Second {
					c.members = append(c.members, &member{name: fmt.Sprintf("c%02d", len(c.members)), version: old, previous: old})
					c.start(len(c.members) - 1)
				}
			}
		}, Done, 14},
		{"the first that changes is partitioned at once, and heals", quickPlan, 0, func(c *fleet) func() {
			return func() {
				for i, h := range c.members {
					if h.version == target && c.command == "" {
						c.command = "cut"
						c.members[0], c.members[i] = c.members[i], c.members[0]
						c.inFlight, c.partition = nil, 1
						c.healAt = c.now + 6*time.Second
					}
				}
				if c.now > c.healAt {
					c.partition = 0
				}
			}
		}, Done, 10},
		{"a majority is gone until it has expired", Plan{Stages: quickPlan.Stages, ExpiresAfter: time.Minute}, 0, func(c *fleet) func() {
			for _, h := range c.members[3:] {
				h.up = false // there is no leader, and the reason is given
			}
			return func() {
				if reason, _ := c.members[0].participant.Evidence(); c.now > 20*time.Second && c.now < 80*time.Second && !strings.Contains(reason, "3 of 10") {
					c.err = fmt.Errorf("got %q, want the reason why there is no leader", reason)
				}
				for i, h := range c.members {
					if c.now > 80*time.Second && !h.up {
						c.start(i)
					}
				}
			}
		}, Expired, 0},
		{"expired", Plan{Stages: quickPlan.Stages, ExpiresAfter: 15 * time.Second}, 0, nil, Expired, -1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newFleet(10, tc.plan)
			var each func()
			if tc.play != nil {
				each = tc.play(c)
			}
			c.step(4 * time.Second)
			if err := c.members[2].participant.Start(c.now, c.plan); err != nil {
				t.Fatal(err)
			}
			if err := c.members[2].participant.Start(c.now, c.plan); err == nil {
				t.Error("got a second plan accepted, want an error")
			}
			s := c.play(t, 15*time.Minute, tc.cost, each)
			for i, h := range c.members { // replicas that were down return
				if !h.up && !c.deadly {
					c.start(i)
				}
			}
			for range 300 {
				c.step(100 * time.Millisecond)
			}
			if got := c.countVersion(target); s.Phase != tc.want || tc.hold >= 0 && got != tc.hold {
				t.Errorf("got phase %v (%s), %d replicas with the target; want %v, %d\n%s", s.Phase, s.Reason, got, tc.want, tc.hold, strings.Join(s.History, "\n"))
			}
			if c.err != nil {
				t.Error(c.err)
			}
		})
	}
}

// An unknown command is refused, and changes neither the plan nor its leader.
func TestUnknownCommandIsRefused(t *testing.T) {
	c := newFleet(3, quickPlan)
	c.step(4 * time.Second)
	leader := c.members[0].participant
	if err := leader.Command(c.now, "x"); !errors.As(err, new(*PlanStateError)) {
		t.Errorf("without a plan: got error %v", err)
	}
	if err := leader.Start(c.now, c.plan); err != nil {
		t.Fatal(err)
	}
	for range 100 {
		c.step(100 * time.Millisecond)
	}
	for _, m := range c.members {
		p := m.participant
		before, led := p.State(), p.IsLeader()
		for _, word := range []string{"x", "", "Abort", "refused"} {
			var refused *CommandError
			if err := p.Command(c.now, word); !errors.As(err, &refused) || refused.Command != word {
				t.Errorf("%s: command %q: got error %v", m.name, word, err)
			}
		}
		if after := p.State(); !reflect.DeepEqual(after, before) {
			t.Errorf("%s: state before %+v, after %+v, want no change", m.name, before, after)
		}
		if p.IsLeader() != led {
			t.Errorf("%s: leader before %v, after %v, want no change", m.name, led, p.IsLeader())
		}
	}
}
