package rollout

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// fleet simulates replicas that execute a plan.
type fleet struct {
	now      time.Duration
	members  []*member
	inFlight []delivery
	plan     Plan
	command  string // given by an operator, or another one-time event

	quiet       bool // there is no traffic
	deadly      bool // the target kills each replica that applies it
	deadlyLater bool // the target kills each replica some time after it is ready
	partition   int  // replicas below this index reach only each other; 0 is no partition
	err         error
	random      *rand.Rand
	loss        float64
	healAt      time.Duration // when a partition ends
	maxDelay    time.Duration
}

type member struct {
	participant   *Participant
	name          string
	epoch         uint64
	up            bool
	suspended     bool
	version       string
	previous      string
	readyAt       time.Duration
	changingUntil time.Duration // because of the plan
	token         uint64        // highest fencing token of an executed order
}

type delivery struct {
	at      time.Duration
	from    int
	to      int
	message Message
}

const old, target = "v1", "v2"

func (c *fleet) zone(i int) string { return fmt.Sprint("z", i%3) }

func newFleet(n int, plan Plan) *fleet {
	plan.ID, plan.Target = "p", target
	if plan.Kind == 0 {
		plan.Kind = Settings
	}
	plan.Complete()
	c := &fleet{plan: plan}
	for i := range n {
		c.members = append(c.members, &member{name: fmt.Sprintf("c%02d", i), version: old, previous: old})
		c.start(i)
	}
	return c
}

func (c *fleet) start(i int) {
	h := c.members[i]
	h.epoch++
	h.up, h.suspended, h.readyAt = true, false, c.now+500*time.Millisecond
	var s State
	if h.participant != nil {
		s = h.participant.State() // was persisted
	}
	h.participant = New(h.name, c.now)
	h.participant.Restore(s)
}

// view returns the fleet as one replica sees it.
func (c *fleet) view(by int) (all []Replica) {
	for i, h := range c.members {
		all = append(all, Replica{Name: h.name, Zone: c.zone(i), Alive: h.up && !h.suspended && c.reaches(by, i), Ready: h.up && c.now >= h.readyAt, Version: h.version, Epoch: h.epoch})
	}
	return all
}

func (c *fleet) reaches(a, b int) bool {
	return c.partition == 0 || (a < c.partition) == (b < c.partition)
}

func (c *fleet) act(i int, out []Action) {
	for _, a := range out {
		switch a.Kind {
		case Send:
			to := slices.IndexFunc(c.members, func(h *member) bool { return h.name == a.To })
			if c.reaches(i, to) && (c.random == nil || c.random.Float64() >= c.loss) {
				at := c.now + time.Millisecond
				if c.random != nil && c.maxDelay > 0 {
					at += time.Duration(c.random.Int64N(int64(c.maxDelay)))
				}
				c.inFlight = append(c.inFlight, delivery{at, i, to, a.Message})
			}
		case Apply:
			c.apply(i, a)
		}
	}
}

// apply changes a replica and checks the invariants of a change.
func (c *fleet) apply(i int, a Action) {
	h := c.members[i]
	fail := func(format string, args ...any) {
		if c.err == nil {
			c.err = fmt.Errorf("at %v: "+format, append([]any{c.now}, args...)...)
		}
	}
	if h.participant.election.highestToken < h.token {
		fail("%s accepts token %d after %d", h.name, h.participant.election.highestToken, h.token)
	}
	h.token = h.participant.election.highestToken
	want := a.Target
	if a.RollBack {
		want = h.previous
	}
	if want == h.version {
		return
	}
	phase := h.participant.state.Phase
	outcome := phase == Done && want == target || phase == RolledBack && want == old
	if phase.Ended() && !outcome {
		fail("%s changes to %s although its plan is %v", h.name, want, phase)
	}
	h.version, h.readyAt, h.changingUntil = want, c.now+time.Second, c.now+time.Second
	unavailable := 0
	for _, o := range c.members {
		if o.up && !o.suspended && c.now < o.changingUntil {
			unavailable++
		}
	}
	if unavailable > c.plan.MaxUnavailable && c.random == nil {
		fail("%d replicas are unavailable at once, %d may be", unavailable, c.plan.MaxUnavailable)
	}
	if c.deadly && want == target && !c.deadlyLater {
		h.up = false
	}
}

// deliver delivers a message to its recipient.
func (c *fleet) deliver(l delivery) {
	if h := c.members[l.to]; h.up && !h.suspended && c.reaches(l.from, l.to) {
		c.act(l.to, h.participant.Handle(c.now, l.message, nil))
	}
}

func (c *fleet) tick(i int) {
	if h := c.members[i]; h.up && !h.suspended {
		c.act(i, h.participant.Tick(c.now, c.view(i), nil))
	}
	leaders := 0
	for _, h := range c.members {
		if h.up && h.participant.IsLeader() && (h == c.members[i] && !h.suspended || c.now < h.participant.election.leaseUntil) { // others by the real time: they tick later
			leaders++
		}
	}
	if leaders > 1 && c.err == nil {
		c.err = fmt.Errorf("at %v: got %d leaders, want at most 1", c.now, leaders)
	}
}

// step advances the time.
func (c *fleet) step(d time.Duration) {
	c.now += d
	for _, h := range c.members {
		if c.deadly && c.deadlyLater && h.version == target && c.now > h.readyAt+2*time.Second {
			h.up = false
		}
	}
	slices.SortStableFunc(c.inFlight, func(a, b delivery) int { return int(a.at - b.at) })
	for len(c.inFlight) > 0 && c.inFlight[0].at <= c.now {
		l := c.inFlight[0]
		c.inFlight = c.inFlight[1:]
		c.deliver(l)
	}
	for i := range c.members {
		c.tick(i)
	}
}

// report sends the reports of all replicas to the leader. cost is the loss of goodput by the change.
func (c *fleet) report(cost float64) {
	span := uint64(c.now / time.Second)
	for i, h := range c.members {
		if !h.up || h.suspended {
			continue
		}
		good := 0.96
		if h.version == target {
			good -= cost
		}
		rep := Report{Name: h.name, Zone: c.zone(i), Pool: "main", Interval: span, OfferedWeight: 50, ServedWeight: 50 * good, Responses: 50, ResponseSeconds: 5}
		if c.quiet {
			rep.OfferedWeight, rep.ServedWeight, rep.Responses, rep.ResponseSeconds = 0, 0, 0, 0
		}
		for j, to := range c.members {
			if to.up && to.participant.IsLeader() && c.reaches(i, j) {
				c.act(j, to.participant.Handle(c.now, Message{Kind: ReportUpdate, From: h.name, Report: &rep}, nil))
			}
		}
	}
}

// play runs until all replicas that are up agree that the plan has ended or stopped.
func (c *fleet) play(t *testing.T, limit time.Duration, cost float64, each func()) State {
	t.Helper()
	second := time.Duration(0)
	for c.now < limit {
		c.step(100 * time.Millisecond)
		if c.now-second >= time.Second {
			second = c.now
			c.report(cost)
		}
		if c.err != nil {
			t.Fatal(c.err)
		}
		if each != nil {
			each()
		}
		for _, h := range c.members {
			if s := h.participant.State(); h.up && !h.suspended && s.Plan.ID != "" && (s.Phase.Ended() || s.Phase == Stopped) && c.agreed() {
				return s
			}
		}
	}
	var text []string
	for _, h := range c.members {
		s := h.participant.State()
		text = append(text, fmt.Sprintf("%s up %v version %s leader %v token %d: %v stage %d selected %v: %s", h.name, h.up, h.version, h.participant.IsLeader(), h.participant.election.highestToken, s.Phase, s.Stage, s.Selected, s.Reason))
	}
	t.Fatalf("got no end of the plan after %v:\n%s", c.now, strings.Join(text, "\n"))
	return State{}
}

// agreed reports whether all replicas that are up have the same state.
func (c *fleet) agreed() bool {
	var first *State
	for _, h := range c.members {
		if !h.up || h.suspended {
			continue
		}
		s := h.participant.State()
		if first == nil {
			first = &s
		} else if s.FencingToken != first.FencingToken || s.Version != first.Version {
			return false
		}
	}
	return true
}

func (c *fleet) countVersion(version string) (n int) {
	for _, h := range c.members {
		if h.version == version {
			n++
		}
	}
	return n
}
