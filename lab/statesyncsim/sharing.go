// Package statesyncsim plays what copies share in virtual time: each proxy of a world has
// the real Balancer, and beside it the real pure parts that the fleet's host carries,
// over the laboratory's bad network.
package statesyncsim

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"ryerill/balancer"
	"ryerill/fleet/outlier"
	"ryerill/fleet/quota"
	"ryerill/fleet/statesync"
	"ryerill/lab/baseline"
	"ryerill/lab/faultnet"
	"ryerill/lab/scenario"
	"ryerill/lab/sim"
)

// Variants are what is compared. Oracle's copies hear each other at once and for nothing.
var Variants = []string{"off", "shared", "oracle"}

// Hub leads what the copies of one run say to each other.
type Hub struct {
	arm    string
	net    *faultnet.Network
	copies []*Copy
	zones  int
	now    time.Duration
	Bytes  uint64
	// Lost counts calls of all copies that ended badly at each server, from From on.
	Lost  map[balancer.EndpointID]int
	From  time.Duration
	Over  time.Duration
	cuts  []cut
	lives uint64
	due   time.Duration // when the next copy looks
}

// cut is something that happens to the network between copies.
type cut struct {
	at   time.Duration
	do   func(*faultnet.Network)
	done bool
}

// epoch is what deciders of the simulation see as its start.
const epoch = time.Hour

// Hubs lead what the copies of a world say to each other: those that send to one tier
// are a fleet.
type Hubs struct{ tiers []*Hub }

// NewHubs returns the hubs of a run of a world.
func NewHubs(arm string, seed uint64, w *scenario.Scenario) *Hubs {
	h := &Hubs{}
	for tier := range w.Tiers {
		one := New(arm, seed+uint64(tier)<<32, max(len(w.Network.Zones), 1))
		one.trouble(w, w.ProxyCount(tier))
		h.tiers = append(h.tiers, one)
	}
	return h
}

// Decider makes one copy; it goes into sim.Options.New.
func (h *Hubs) Decider(cfg balancer.Config, seed uint64) baseline.Decider {
	return h.tiers[cfg.Tier].Decider(cfg, seed)
}

// trouble puts a world's troubles between proxies on the hub's network.
func (h *Hub) trouble(w *scenario.Scenario, copies int) {
	for _, t := range w.Faults {
		if !t.BetweenProxies() {
			continue
		}
		var whom []string
		for i := range max(int(t.Fraction*float64(copies)), 1) {
			whom = append(whom, name(i))
		}
		begin, end := func(n *faultnet.Network) {
			for _, c := range whom {
				n.Isolate(c, t.Kind == scenario.OneWay)
			}
		}, (*faultnet.Network).Heal
		switch t.Kind {
		case scenario.Split:
			begin = func(n *faultnet.Network) { n.Split(whom) }
		case scenario.Lossy:
			begin, end = func(n *faultnet.Network) { n.Usual(t.Link) }, func(n *faultnet.Network) { n.Usual(lan) }
		}
		h.cuts = append(h.cuts, cut{at: epoch + t.At, do: begin}, cut{at: epoch + t.At + t.For, do: end})
	}
	slices.SortStableFunc(h.cuts, func(a, b cut) int { return cmp.Compare(a.at, b.at) })
}

func name(i int) string { return fmt.Sprintf("c%04d", i) }

// lan is the network between copies where nothing is wrong with it.
var lan = faultnet.Link{Delay: time.Millisecond, Jitter: 2 * time.Millisecond}

// Copy is one proxy.
type Copy struct {
	*balancer.Balancer
	hub     *Hub
	cfg     balancer.Config
	name    string
	zone    string
	share   *statesync.Syncer
	wants   []float64
	servers map[balancer.EndpointID]balancer.Endpoint
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
	return &Hub{arm: arm, net: faultnet.New(lan, seed), zones: zones, Lost: map[balancer.EndpointID]int{}}
}

// Decider makes one copy; it goes into sim.Options.New.
func (h *Hub) Decider(cfg balancer.Config, seed uint64) baseline.Decider {
	c := &Copy{Balancer: balancer.New(cfg, seed), hub: h, cfg: cfg, name: name(cfg.ReplicaIndex), zone: fmt.Sprint("z", cfg.Zone),
		wants: make([]float64, len(cfg.Tenants)), servers: map[balancer.EndpointID]balancer.Endpoint{}, next: -1}
	budget := 0
	if h.arm == "oracle" {
		budget = 1 << 30
	}
	// One that restarts is another life of its name: what it had lent is not known.
	h.lives++
	again := slices.IndexFunc(h.copies, func(o *Copy) bool { return o.name == c.name })
	c.share, _ = statesync.New(statesync.Config{Name: c.name, Zone: c.zone, Epoch: h.lives, Seed: seed, Quotas: true, Evidence: true, BytesPerSecond: budget, LostState: again >= 0}, h.now)
	if h.due = 0; again < 0 {
		h.copies = append(h.copies, c)
		return c
	}
	h.copies[again] = c
	for _, o := range h.copies {
		if o != c {
			o.share.ExpireReplica(c.name, h.lives-1)
		}
	}
	return c
}

// Handle is the Balancer's, with what copies say to each other round it.
func (c *Copy) Handle(now time.Duration, ev balancer.Event, out []balancer.Action) []balancer.Action {
	h := c.hub
	if h.now = max(h.now, now); h.arm != "off" {
		h.work()
	}
	switch ev.Kind {
	case balancer.EndpointListUpdated:
		for _, s := range ev.Endpoints {
			c.servers[s.ID] = s
		}
	case balancer.RequestArrived:
		if ev.Tenant >= 0 && ev.Tenant < len(c.wants) {
			c.wants[ev.Tenant]++
		}
	case balancer.AttemptEnded:
		o, says := outlier.Succeeded, true
		switch ev.Outcome {
		case balancer.OK:
		case balancer.Timeout, balancer.ConnectFailed, balancer.Reset:
			o = outlier.TimedOut
		case balancer.Error, balancer.Rejected:
			o = outlier.Failed
		default:
			says = false
		}
		if o != outlier.Succeeded && now >= h.From && now < h.Over {
			h.Lost[ev.Endpoint]++
		}
		if says && h.arm != "off" {
			c.share.Outliers.RecordOutcome(now, outlier.Endpoint{ID: uint64(ev.Endpoint), StartedAt: int64(c.servers[ev.Endpoint].StartedAt)}, o, c.Balancer.RelativeLatency(ev.Endpoint))
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
	if h.now < h.due {
		return
	}
	h.due = h.now + statesync.Interval
	for i, c := range h.copies {
		if c.next < 0 { // spread over the time between looks
			c.next = h.now + statesync.Interval*time.Duration(i%16)/16
		}
		if h.now >= c.next {
			c.next = h.now + statesync.Interval
			c.look()
		}
		h.due = min(h.due, c.next)
	}
}

func (c *Copy) look() {
	h := c.hub
	due := slices.Clone(c.post)
	c.post = slices.DeleteFunc(c.post, func(l letter) bool { return l.at <= h.now })
	for _, l := range due {
		if l.at <= h.now {
			c.send(c.share.Receive(h.now, l.from, l.text))
		}
	}
	var budgets []quota.Limit
	for i, t := range c.cfg.Tenants {
		if t.Quota > 0 {
			budgets = append(budgets, quota.Limit{Name: t.Name, Kind: quota.Rate, Total: t.Quota})
			c.share.Quotas.AddDemand(h.now, t.Name, c.wants[i])
		}
		c.wants[i] = 0
	}
	c.share.Quotas.SetLimits(h.now, budgets)
	var others []string
	var peers []statesync.Peer
	for _, o := range h.copies {
		if o != c {
			others, peers = append(others, o.name), append(peers, statesync.Peer{Name: o.name, Zone: o.zone})
		}
	}
	c.share.Quotas.SetReplicaCount(h.now, len(h.copies), others)
	c.send(c.share.Tick(h.now, peers))
	for i, t := range c.cfg.Tenants {
		for _, st := range c.share.Quotas.Status(h.now) {
			if st.Name == t.Name {
				c.Balancer.SetQuota(i, st.Rate/st.Total, max(st.Guaranteed-st.Lent, 0)/st.Total, time.Second)
			}
		}
	}
	var servers []outlier.Endpoint
	for id, s := range c.servers {
		if s.State == balancer.Ready {
			servers = append(servers, outlier.Endpoint{ID: uint64(id), StartedAt: int64(s.StartedAt)})
		}
	}
	slices.SortFunc(servers, func(a, b outlier.Endpoint) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	for _, j := range c.share.Outliers.Evaluate(h.now, servers, h.zones) {
		if !outlier.ShouldProbe(j.Endpoint, h.now, c.cfg.ReplicaIndex, len(h.copies)) {
			c.Balancer.Penalize(balancer.EndpointID(j.Endpoint))
		}
	}
}

func (c *Copy) send(out []statesync.Outgoing) {
	h := c.hub
	for _, o := range out {
		h.Bytes += uint64(len(o.Payload)) + 120
		to := slices.IndexFunc(h.copies, func(k *Copy) bool { return k.name == o.To })
		if h.arm == "oracle" {
			h.copies[to].post = append(h.copies[to].post, letter{h.now, c.name, o.Payload})
			continue
		}
		for _, k := range h.net.Send(h.now, c.name, o.To, len(o.Payload)) {
			h.copies[to].post = append(h.copies[to].post, letter{k.At, c.name, o.Payload})
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
	Replicas int
	Fault    string // err, hang, slow, or uneven: one tenant that asks at one copy most
	Cut      bool   // a third of the copies is cut off from the rest in the middle
}

// Play plays a case once.
func Play(ctx context.Context, k Case, arm string, seed uint64) (r Result, err error) {
	const length = 40 * time.Second
	rate, providers := 400.0, 8
	if k.Replicas >= 300 {
		rate = 900
	}
	cut := ""
	if k.Cut {
		cut = "\n  - {kind: split, at: 10s, for: 15s, part: 0.3334}"
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
%s%s`, length, k.Replicas, providers, int(rate/200)+2, rate, map[string]string{
		"err":  "  - {kind: err, at: 12s, for: 18s, part: 0.125, factor: 0.9}",
		"hang": "  - {kind: hang, at: 12s, for: 18s, part: 0.125}",
		"slow": "  - {kind: slow, at: 12s, for: 18s, part: 0.125, factor: 12}",
		"none": "  []",
	}[k.Fault], cut)
	if k.Fault == "none" {
		text = text[:len(text)-len("troubles:\n  []")]
	}
	w, err := scenario.Parse("sharing", []byte(text))
	if err != nil {
		return r, err
	}
	h := New(arm, seed, 3)
	h.trouble(w, k.Replicas)
	h.From, h.Over = epoch+12*time.Second, epoch+30*time.Second
	res, err := sim.Run(ctx, w, sim.Options{Seed: seed, New: h.Decider})
	if err != nil {
		return r, err
	}
	for _, n := range h.Lost {
		r.Lost += n
	}
	r.Goodput, r.Violated = res.Metrics["goodput"], len(res.Violations)
	r.Bytes = float64(h.Bytes) / float64(k.Replicas) / length.Seconds()
	return r, nil
}
