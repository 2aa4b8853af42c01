// Package sharing plays what copies share in virtual time: each proxy of a world has
// the real Balancer, and beside it the real pure parts that the fleet's host carries,
// over the laboratory's bad network.
package sharing

import (
	"context"
	"fmt"
	"slices"
	"time"

	"ryerill"
	"ryerill/fleet/allot"
	"ryerill/fleet/share"
	"ryerill/fleet/verdict"
	"ryerill/lab/baseline"
	badnet "ryerill/lab/net"
	"ryerill/lab/sim"
	"ryerill/lab/world"
)

// Arms are what is compared. Oracle's copies hear each other at once and for nothing.
var Arms = []string{"off", "on", "oracle"}

// Hub leads what the copies of one run say to each other.
type Hub struct {
	arm    string
	net    *badnet.Net
	copies []*Copy
	zones  int
	now    time.Duration
	Bytes  uint64
	// Lost counts calls of all copies that ended badly at each server, from From on.
	Lost map[ryerill.ServerID]int
	From time.Duration
	Over time.Duration
	cuts []cut
}

type cut struct {
	at   time.Duration
	do   func(*badnet.Net)
	done bool
}

// Copy is one proxy.
type Copy struct {
	*ryerill.Balancer
	hub     *Hub
	cfg     ryerill.Config
	name    string
	zone    string
	share   *share.Share
	wants   []float64
	servers map[ryerill.ServerID]ryerill.Server
	next    time.Duration
	post    []letter
}

type letter struct {
	at   time.Duration
	from string
	text []byte
}

// New returns the hub of a run.
func New(arm string, seed uint64, zones int) *Hub {
	return &Hub{arm: arm, net: badnet.New(badnet.Link{Delay: time.Millisecond, Jitter: 2 * time.Millisecond}, seed), zones: zones, Lost: map[ryerill.ServerID]int{}}
}

// Decider makes one copy; it goes into sim.Options.New.
func (h *Hub) Decider(cfg ryerill.Config, seed uint64) baseline.Decider {
	c := &Copy{Balancer: ryerill.New(cfg, seed), hub: h, cfg: cfg, name: fmt.Sprintf("c%04d", len(h.copies)), zone: fmt.Sprint("z", cfg.Zone),
		wants: make([]float64, len(cfg.Tenants)), servers: map[ryerill.ServerID]ryerill.Server{}, next: -1}
	budget := 0
	if h.arm == "oracle" {
		budget = 1 << 30
	}
	c.share, _ = share.New(share.Config{Name: c.name, Zone: c.zone, Epoch: 1, Seed: seed, Quotas: true, Verdicts: true, Budget: budget}, 0)
	h.copies = append(h.copies, c)
	return c
}

// Handle is the Balancer's, with what copies say to each other round it.
func (c *Copy) Handle(now time.Duration, ev ryerill.Event, out []ryerill.Action) []ryerill.Action {
	h := c.hub
	if h.now = max(h.now, now); h.arm != "off" {
		h.work()
	}
	switch ev.Kind {
	case ryerill.ServerList:
		for _, s := range ev.Servers {
			c.servers[s.ID] = s
		}
	case ryerill.Arrival:
		if ev.Tenant >= 0 && ev.Tenant < len(c.wants) {
			c.wants[ev.Tenant]++
		}
	case ryerill.AttemptEnded:
		o, says := verdict.Good, true
		switch ev.Outcome {
		case ryerill.OK:
		case ryerill.Timeout, ryerill.ConnectFailed, ryerill.Reset:
			o = verdict.Hung
		case ryerill.Error, ryerill.Full:
			o = verdict.Failed
		default:
			says = false
		}
		if o != verdict.Good && now >= h.From && now < h.Over {
			h.Lost[ev.Server]++
		}
		if says && h.arm != "off" {
			c.share.Verdict.Saw(now, verdict.Server{ID: uint64(ev.Server), Since: int64(c.servers[ev.Server].Started)}, o, c.Balancer.Slowness(ev.Server))
		}
	}
	return c.Balancer.Handle(now, ev, out)
}

// work lets what is due happen: letters come, copies look.
func (h *Hub) work() {
	for i := range h.cuts {
		if k := &h.cuts[i]; !k.done && h.now >= k.at {
			k.done = true
			k.do(h.net)
		}
	}
	for _, c := range h.copies {
		if c.next < 0 {
			c.next = h.now + time.Duration(len(c.name)*int(c.name[len(c.name)-1]))%share.Every
		}
		if h.now >= c.next {
			c.next = h.now + share.Every
			c.look()
		}
	}
}

func (c *Copy) look() {
	h := c.hub
	due := slices.Clone(c.post)
	c.post = slices.DeleteFunc(c.post, func(l letter) bool { return l.at <= h.now })
	for _, l := range due {
		if l.at <= h.now {
			c.send(c.share.Hear(h.now, l.from, l.text))
		}
	}
	var budgets []allot.Budget
	for i, t := range c.cfg.Tenants {
		if t.Quota > 0 {
			budgets = append(budgets, allot.Budget{Name: t.Name, Kind: allot.Rate, Whole: t.Quota})
			c.share.Allot.Want(h.now, t.Name, c.wants[i])
		}
		c.wants[i] = 0
	}
	c.share.Allot.Set(h.now, budgets)
	var others []string
	var peers []share.Peer
	for _, o := range h.copies {
		if o != c {
			others, peers = append(others, o.name), append(peers, share.Peer{Name: o.name, Zone: o.zone})
		}
	}
	c.share.Allot.Among(h.now, len(h.copies), others)
	c.send(c.share.Tick(h.now, peers))
	for i, t := range c.cfg.Tenants {
		for _, st := range c.share.Allot.Standings(h.now) {
			if st.Name == t.Name {
				c.Balancer.Quota(i, st.Rate/st.Whole, max(st.Guaranteed-st.Lent, 0)/st.Whole, time.Second)
			}
		}
	}
	var servers []verdict.Server
	for id, s := range c.servers {
		if s.State == ryerill.Ready {
			servers = append(servers, verdict.Server{ID: uint64(id), Since: int64(s.Started)})
		}
	}
	slices.SortFunc(servers, func(a, b verdict.Server) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	for _, j := range c.share.Verdict.Judge(h.now, servers, h.zones) {
		if !verdict.Probes(j.Server, h.now, c.cfg.Self, len(h.copies)) {
			c.Balancer.Hearsay(ryerill.ServerID(j.Server))
		}
	}
}

func (c *Copy) send(out []share.Out) {
	h := c.hub
	for _, o := range out {
		h.Bytes += uint64(len(o.Text)) + 120
		to := slices.IndexFunc(h.copies, func(k *Copy) bool { return k.name == o.To })
		if h.arm == "oracle" {
			h.copies[to].post = append(h.copies[to].post, letter{h.now, c.name, o.Text})
			continue
		}
		for _, k := range h.net.Send(h.now, c.name, o.To, len(o.Text)) {
			h.copies[to].post = append(h.copies[to].post, letter{k.At, c.name, o.Text})
		}
	}
}

// Result is what one run came to.
type Result struct {
	Goodput  float64
	Lost     int     // calls that ended badly at the server in trouble, while it was
	Bytes    float64 // a copy a second
	Worth    float64 // answered within quota, as the world values it
	Violated int
}

// Case is one thing that is played.
type Case struct {
	Copies  int
	Trouble string // err, hang, slow, or uneven: one tenant that asks at one copy most
	Cut     bool   // a third of the copies is cut off from the rest in the middle
}

// Play plays a case once.
func Play(ctx context.Context, k Case, arm string, seed uint64) (r Result, err error) {
	const length = 40 * time.Second
	rate, providers := 400.0, 8
	if k.Copies >= 300 {
		rate = 900
	}
	text := fmt.Sprintf(`
name: sharing
length: %v
warmup: 5s
network: {zones: [a, b, c], same: 200us, cross: 2ms, consumer: 500us, jitter: 0.2}
tiers:
  - {name: only, proxies: %d, providers: %d, work: 1, node: {cores: %d, slots: 80, room: 200}}
classes:
  - {name: read, share: 1, work: 20ms, spread: 0.5, aim: 500ms, deadline: 2s, worth: 1, late: 0}
load: {rate: %g}
consumers: {retries: 1, try: 0.6, wait: 100ms, honour: 0.3}
troubles:
%s`, length, k.Copies, providers, int(rate/200)+2, rate, map[string]string{
		"err":  "  - {kind: err, at: 12s, for: 18s, part: 0.125, factor: 0.9}",
		"hang": "  - {kind: hang, at: 12s, for: 18s, part: 0.125}",
		"slow": "  - {kind: slow, at: 12s, for: 18s, part: 0.125, factor: 12}",
		"none": "  []",
	}[k.Trouble])
	if k.Trouble == "none" {
		text = text[:len(text)-len("troubles:\n  []")]
	}
	w, err := world.Parse("sharing", []byte(text))
	if err != nil {
		return r, err
	}
	h := New(arm, seed, 3)
	const epoch = time.Hour // as the simulation's deciders see its start
	h.From, h.Over = epoch+12*time.Second, epoch+30*time.Second
	if k.Cut {
		h.cuts = []cut{{at: epoch + 10*time.Second, do: func(n *badnet.Net) {
			var part []string
			for i := range k.Copies / 3 {
				part = append(part, fmt.Sprintf("c%04d", i))
			}
			n.Split(part)
		}}, {at: epoch + 25*time.Second, do: func(n *badnet.Net) { n.Heal() }}}
	}
	res, err := sim.Run(ctx, w, sim.Options{Seed: seed, New: h.Decider})
	if err != nil {
		return r, err
	}
	for _, n := range h.Lost {
		r.Lost += n
	}
	r.Goodput, r.Violated = res.Metrics["goodput"], len(res.Violations)
	r.Bytes = float64(h.Bytes) / float64(k.Copies) / length.Seconds()
	return r, nil
}
