package rollout

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"ryerill/lab/modelcheck"
)

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
			evaluator.open, evaluator.latestReports, evaluator.pools = map[cell]*comparison{}, map[reporterPool]uint64{}, map[string]*evidence{}
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

// startedFleet returns three replicas, one of which has just started a plan, after the period without votes that
// follows their start.
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

// ledFleet returns a startedFleet in which one replica is the leader and may give orders.
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
