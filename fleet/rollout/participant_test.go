package rollout

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"ryerill/lab/modelcheck"
	"ryerill/lab/modelcheck/mutant"
)

// fleet is a number of replicas that carry out a plan, each with its version.
type fleet struct {
	now      time.Duration
	members  []*member
	inFlight []delivery
	plan     Plan
	command  string // that an operator gave, or another event that happens once

	deadly      bool // the target kills a replica that takes it
	deadlyLater bool // but some time after it is ready
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
	token         uint64        // the highest whose orders it carried out
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

// view is what one replica knows of all.
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

// apply has a replica change, and checks what must hold when it does.
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

// deliver has a message arrive.
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
		c.err = fmt.Errorf("at %v %d replicas lead", c.now, leaders)
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

// report has all replicas report to the leader. cost is the goodput that the change costs.
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
	t.Fatalf("after %v the plan has not ended:\n%s", c.now, strings.Join(text, "\n"))
	return State{}
}

// agreed tells whether all replicas that are up have the same state.
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

var quickPlan = Plan{Stages: []Stage{{Count: 1, Observation: 5 * time.Second}, {PerZone: true, Observation: 5 * time.Second}, {Fraction: 1, Observation: 5 * time.Second}}, MaxUnavailable: 2, RollBack: true}

func TestRolloutsUnderFaults(t *testing.T) {
	for _, tc := range []struct {
		name string
		plan Plan
		cost float64
		play func(c *fleet) func() // returns what happens at each step
		want Phase
		hold int // replicas with the target in the end, of 10; -1 for any
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
					c.err = fmt.Errorf("the reason is missing: %q", reason)
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
				t.Error("a second plan is accepted")
			}
			s := c.play(t, 15*time.Minute, tc.cost, each)
			for i, h := range c.members { // replicas that were away return
				if !h.up && !c.deadly {
					c.start(i)
				}
			}
			for range 300 {
				c.step(100 * time.Millisecond)
			}
			if got := c.countVersion(target); s.Phase != tc.want || tc.hold >= 0 && got != tc.hold {
				t.Errorf("%v (%s), %d have the target; want %v, %d\n%s", s.Phase, s.Reason, got, tc.want, tc.hold, strings.Join(s.History, "\n"))
			}
			if c.err != nil {
				t.Error(c.err)
			}
		})
	}
}

// Clone, Moves, Do and Key make a fleet a system to explore.
func (c *fleet) Clone() modelcheck.System {
	d := *c
	d.members, d.inFlight = nil, slices.Clone(c.inFlight)
	for _, h := range c.members {
		k, r := *h, *h.participant
		k.participant = &r
		r.stages.epochs, r.stages.orderedAt = maps.Clone(r.stages.epochs), maps.Clone(r.stages.orderedAt)
		r.election.ballots = slices.Clone(r.election.ballots)
		for i := range r.election.ballots {
			r.election.ballots[i].voters = maps.Clone(r.election.ballots[i].voters)
		}
		r.election.preVote.voters = maps.Clone(r.election.preVote.voters)
		r.state.Selected, r.state.Failed, r.state.History = slices.Clone(r.state.Selected), slices.Clone(r.state.Failed), slices.Clone(r.state.History)
		if r.stages.evaluator != nil {
			evaluator := *r.stages.evaluator
			evaluator.open, evaluator.latestReports = map[cell]*comparison{}, map[reporterPool]uint64{}
			r.stages.evaluator = &evaluator
		}
		r.env.replicas, r.env.actions = slices.Clone(r.env.replicas), nil
		d.members = append(d.members, &k)
	}
	return &d
}

const maxInFlight = 4

func (c *fleet) Moves() (out []string) {
	for i, l := range c.inFlight {
		out = append(out, fmt.Sprintf("%d arrives: %s to %s, kind %d token %d", i, c.members[l.from].name, c.members[l.to].name, l.message.Kind, l.message.FencingToken), fmt.Sprintf("%d is lost", i))
	}
	for _, h := range c.members {
		if h.up {
			out = append(out, h.name+" ticks", h.name+" crashes")
		} else {
			out = append(out, h.name+" restarts", h.name+" stays down")
		}
	}
	return append(out, "half a second passes", "a lease passes", "an operator aborts")
}

func (c *fleet) Do(m int) error {
	switch n := 2 * len(c.inFlight); {
	case m < n:
		l := c.inFlight[m/2]
		c.inFlight = slices.Delete(slices.Clone(c.inFlight), m/2, m/2+1)
		if m%2 == 0 {
			c.deliver(l)
		}
	case m < n+2*len(c.members):
		i, which := (m-n)/2, (m-n)%2
		switch {
		case !c.members[i].up && which == 0:
			c.start(i)
		case !c.members[i].up:
		case which == 0:
			c.tick(i)
		default:
			c.members[i].up = false
		}
	case m == n+2*len(c.members):
		c.now += 500 * time.Millisecond
	case m == n+2*len(c.members)+1:
		c.now += Lease
	default:
		if c.command == "" {
			c.command = "abort"
			c.members[0].participant.Command(c.now, "abort")
		}
	}
	if len(c.inFlight) > maxInFlight {
		c.inFlight = slices.Clone(c.inFlight[len(c.inFlight)-maxInFlight:])
	}
	return c.err
}

func ballotVotes(r *Participant) (n int) {
	for _, ballot := range r.election.ballots {
		n = 10*n + len(ballot.voters)
	}
	return n
}

func (c *fleet) Key() string {
	var b strings.Builder
	for _, h := range c.members {
		r := h.participant
		left := func(at time.Duration) time.Duration { return max(at-c.now, -1) / (50 * time.Millisecond) }
		e := &r.election
		fmt.Fprint(&b, h.up, h.version, left(h.readyAt), left(h.changingUntil), h.token)
		fmt.Fprint(&b, e.highestToken, left(e.vote.until), e.vote.candidate, e.token, left(e.leaseUntil), left(e.nextCampaignAt))
		fmt.Fprint(&b, left(e.nextRenewalAt), ballotVotes(r), len(e.preVote.voters), left(e.ordersFrom), r.application.latest)
		fmt.Fprint(&b, r.state.FencingToken, r.state.Version, r.state.Phase, r.state.Stage, r.state.Selected, len(r.stages.orderedAt))
	}
	for _, l := range c.inFlight {
		fmt.Fprint(&b, l.from, l.to, l.message.Kind, l.message.FencingToken, l.message.Seq)
	}
	return b.String() + c.command
}

// startedFleet is three replicas with a plan that one of them has just started, after the time in which they vote for
// none.
func startedFleet() modelcheck.System {
	c := newFleet(3, Plan{Stages: []Stage{{Fraction: 1, Observation: time.Second}}, MaxUnavailable: 1, RollBack: true})
	c.now += 2 * Lease
	for i := range c.members {
		c.tick(i)
	}
	c.members[0].participant.Start(c.now, c.plan)
	c.tick(0)
	return c
}

// ledFleet is the same once one replica leads and may give orders.
func ledFleet() modelcheck.System {
	c := startedFleet().(*fleet)
	for range 80 {
		c.step(100 * time.Millisecond)
		if c.members[0].participant.IsLeader() && len(c.members[0].participant.stages.orderedAt) > 0 {
			break
		}
	}
	c.inFlight = c.inFlight[max(len(c.inFlight)-maxInFlight, 0):]
	return c
}

func TestExploreFleet(t *testing.T) {
	for name, start := range map[string]func() modelcheck.System{"a plan is started": startedFleet, "one leads": ledFleet} {
		b := modelcheck.Bounds{Depth: 6, States: 600_000}
		if testing.Short() {
			b.Depth = 5
		}
		res := modelcheck.Explore(start, b)
		if t.Logf("%s: %v", name, res); res.Err != nil || !res.Complete {
			t.Errorf("%s: %v", name, res)
		}
		for seed := range uint64(3) {
			if res := modelcheck.Walk(start, seed, 300, 150); res.Err != nil {
				t.Errorf("%s, walks: %v", name, res)
			}
		}
	}
}

// A vote holds for its time, over a restart too, goes to no lower token, and orders are accepted only from the leader
// that has it.
func TestVotesAndOrders(t *testing.T) {
	voter := func() *Participant {
		r, p := New("v", 0), Plan{ID: "p", Kind: Settings, Target: target}
		p.Complete()
		r.Restore(State{Plan: p, FencingToken: 3, Version: 5, Phase: Changing})
		return r
	}
	requestVote := func(r *Participant, now time.Duration, from string, token uint64) bool {
		for _, a := range r.Handle(now, Message{Kind: VoteRequest, From: from, FencingToken: token, Seq: 1}, nil) {
			if a.Message.Kind == VoteGranted && a.Message.FencingToken == token && a.Message.Seq == 1 {
				return true
			}
		}
		return false
	}
	giveOrder := func(r *Participant, now time.Duration, from string, token uint64) bool {
		return len(r.Handle(now, Message{Kind: ChangeOrder, From: from, FencingToken: token, Plan: "p", Target: target}, nil)) > 0
	}
	after := withMaxDrift(Lease) + 1
	r := voter()
	if requestVote(r, Lease, "a", 9) {
		t.Error("it votes although it may have voted before its restart")
	}
	if requestVote(r, after, "a", 2) || !requestVote(r, after, "a", 4) || requestVote(r, after+time.Second, "b", 5) || !requestVote(r, after+time.Second, "a", 4) {
		t.Error("votes for a lower token, not for a higher, for two at once, or not again")
	}
	if giveOrder(r, after+time.Second, "b", 9) || giveOrder(r, after+time.Second, "a", 3) || !giveOrder(r, after+time.Second, "a", 4) || giveOrder(r, after+time.Second, "a", 4) {
		t.Error("accepts orders without a vote, with a lower token, not from the leader, or one twice")
	}
	late := 2*after + 2*time.Second
	if r.application.latest = (order{}); giveOrder(r, late, "a", 4) {
		t.Error("accepts an order when the vote has ended")
	}
	if !requestVote(r, late, "b", 5) || requestVote(r, late, "a", 4) {
		t.Error("the next candidate does not get the vote, or the previous one does")
	}
	older, newer := r.State(), r.State()
	older.Version, older.Phase = 4, Paused
	newer.FencingToken, newer.Phase = 6, Aborted
	r.Handle(late, Message{Kind: StateUpdate, From: "a", FencingToken: older.FencingToken, State: &older}, nil)
	if r.State().Phase != Changing {
		t.Error("an older state supersedes")
	}
	r.Handle(late, Message{Kind: StateUpdate, From: "b", FencingToken: 6, State: &newer}, nil)
	if r.State().Phase != Aborted || requestVote(r, late, "b", 5) {
		t.Error("a newer state does not supersede, or a lower token than its gets a vote")
	}
}

func TestPlansAreChecked(t *testing.T) {
	for key, p := range map[string]Plan{
		"id":              {Kind: Settings, Target: "x"},
		"kind":            {ID: "a", Target: "x"},
		"target":          {ID: "a", Kind: Settings},
		"stages[0].part":  {ID: "a", Kind: Settings, Target: "x", Stages: []Stage{{Fraction: 2}}},
		"stages[0]":       {ID: "a", Kind: Settings, Target: "x", Stages: []Stage{{Observation: time.Second}}},
		"away":            {ID: "a", Kind: Settings, Target: "x", MaxUnavailable: -1},
		"guards.goodput":  {ID: "a", Kind: Settings, Target: "x", Guardrails: Guardrails{Goodput: 7}},
		"settings":        {ID: "a", Kind: Settings, Target: "x", Settings: make([]byte, MaxSettings+1)},
		"stages[0].count": {ID: "a", Kind: Settings, Target: "x", Stages: []Stage{{Count: -1}}},
	} {
		p.Complete()
		var fault *KeyError
		if err := p.Check(); !errors.As(err, &fault) || fault.Key != key {
			t.Errorf("%s: %v", key, err)
		}
	}
}

func TestMutantsAreFound(t *testing.T) {
	mutant.Find(t, "ExploreFleet|RolloutsUnderFaults|Votes", []mutant.Mutant{
		{Name: "two votes at once", File: "election.go", From: "	case request.FencingToken >= e.highestToken && e.vote.allows(request.From, env.now):", To: "	case request.FencingToken >= e.highestToken:"},
		{Name: "lower fencing tokens get votes", File: "election.go", From: "	case request.FencingToken >= e.highestToken && e.vote", To: "	case true && e.vote"},
		{Name: "the lease never ends", File: "election.go", From: "	return e.token != 0 && now < e.leaseUntil && e.token >= e.highestToken", To: "	return e.token != 0 && e.leaseUntil > 0 && e.token >= e.highestToken"},
		{Name: "a restarted replica votes at once", File: "election.go", From: "	return election{vote: vote{until: now + withMaxDrift(Lease)}}", To: "	return election{}"},
		{Name: "orders of previous leaders are accepted", File: "application.go", From: "	if !p.election.acceptsOrder(message, p.env.now) {", To: "	if false {"},
		{Name: "the limit of unavailable replicas is ignored", File: "stages.go", From: "	case p.stages.unavailable(p.env.replicas, done) < plan.MaxUnavailable:\n", To: "	case true:\n"},
		{Name: "an abort is ignored", File: "participant.go", From: "			p.transition(RollingBack, abortByOperator)\n", To: "			p.transition(Changing, abortByOperator)\n"},
		{Name: "an older state supersedes", File: "replication.go", From: "	if update.State.Newer(&p.state) {", To: "	if true {"},
		{Name: "a stage that regresses goes on", File: "stages.go", From: "	case assessment == Regressed:\n		p.failStage(\"\", reason)\n", To: ""},
		{Name: "a death during observation is ignored", File: "stages.go", From: "		if p.deathsExceedChance() {", To: "		if false {"},
		{Name: "a second plan is accepted", File: "participant.go", From: "	if !p.state.Phase.Ended() {\n		return &PlanStateError{p.state.Plan.ID, p.state.Phase}\n	}\n", To: ""},
		{Name: "a replica that was away keeps its version", File: "application.go", From: "	case state.Phase == Done:\n		p.apply(state.Plan.Target, false)", To: "	case state.Phase == Done:"},
	})
}
