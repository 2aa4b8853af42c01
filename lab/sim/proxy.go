package sim

import (
	"maps"
	"slices"
	"time"

	"ryerill/balancer"
	"ryerill/lab/baseline"
	"ryerill/lab/invariant"
	"ryerill/lab/scenario"
)

func serverID(name string) balancer.EndpointID { return scenario.EndpointID(name) }

// proxy hosts one decider, as the real one does: it turns what happens into
// events and carries out the actions in order.
type proxy struct {
	s        *Sim
	number   int // for the oracle; never used twice
	tier     *tier
	zone     int
	decider  baseline.Decider
	alive    bool
	requests map[balancer.RequestID]*request
	newest   balancer.RequestID
	conns    map[balancer.EndpointID]*conns
	queue    []balancer.Event
	busy     bool
	watching bool
	version  uint64 // of the list as last told
}

// conns are a proxy's idle connections to one provider.
type conns struct {
	process int
	idle    []time.Duration // when each was last used
}

// request is one invocation at one proxy.
type request struct {
	p        *proxy
	id       balancer.RequestID
	class    int
	tenant   int
	key      uint64
	work     float64
	repeat   bool
	until    time.Duration
	attempts []*attempt
	out      int
	done     bool
	useful   float64 // work that went into the answer
	reply    func(r *request, v invariant.Result, retryAfter time.Duration)
}

// attempt is one invoker call.
type attempt struct {
	r       *request
	number  int
	to      *provider
	server  balancer.EndpointID
	process int // of the provider, that the connection is to
	sent    time.Duration
	way     time.Duration // delay one way
	held    bool          // holds a connection
	ended   bool
	job     *job
	work    float64
}

func (s *Sim) newProxy(t *tier, self, zone int, name string) *proxy {
	p := &proxy{s: s, number: len(s.proxies), tier: t, zone: zone, alive: true,
		requests: map[balancer.RequestID]*request{}, conns: map[balancer.EndpointID]*conns{}}
	s.proxies = append(s.proxies, name)
	cfg, seed := s.w.Balancer(t.index, self, zone), s.seeds.Uint64()
	if s.opt.New != nil {
		p.decider = s.opt.New(cfg, seed)
	} else {
		p.decider, _ = baseline.New(s.opt.Decider, cfg, seed) // its name was checked
	}
	t.proxies = append(t.proxies, p)
	p.listed(balancer.ListCached, t.directory.all())
	return p
}

// happen tells the decider of an event and carries out what it answers.
func (p *proxy) happen(ev balancer.Event) {
	if !p.alive {
		return
	}
	p.queue = append(p.queue, ev)
	if p.busy {
		return
	}
	p.busy = true
	var actions []balancer.Action
	if n := len(p.s.actions); n > 0 {
		actions, p.s.actions = p.s.actions[n-1], p.s.actions[:n-1]
	}
	for i := 0; i < len(p.queue); i++ {
		actions = p.decider.Handle(epoch+p.s.now, p.queue[i], actions[:0])
		for j := range actions {
			p.carryOut(&actions[j])
		}
	}
	clear(p.queue)
	p.queue, p.busy = p.queue[:0], false
	p.s.actions = append(p.s.actions, actions)
}

func (p *proxy) carryOut(a *balancer.Action) {
	switch a.Kind {
	case balancer.Send:
		p.send(a)
	case balancer.Shed:
		p.answer(a.Request, invariant.Shed, a.RetryAfter)
	case balancer.Fail:
		p.answer(a.Request, invariant.Failed, 0)
	case balancer.Cancel:
		if r := p.requests[a.Request]; r != nil && a.Attempt < len(r.attempts) {
			if t := r.attempts[a.Attempt]; !t.ended {
				t.giveUp()
				t.end(balancer.Cancelled)
			}
		}
	case balancer.SetTimer:
		token := a.Token
		p.s.after(a.Delay, func() { p.happen(balancer.Event{Kind: balancer.TimerFired, Token: token}) })
	case balancer.CloseIdle:
		p.forget(a.Endpoint)
	case balancer.Subscribe:
		p.tier.directory.subscribe(p, a.Enabled)
	case balancer.FetchEndpoints:
		p.tier.directory.fetch(p)
	}
}

// take takes a request in; its reply comes once.
func (p *proxy) take(r *request) *request {
	p.newest++
	r.p, r.id = p, p.newest
	p.requests[r.id] = r
	p.s.oracle.Took(p.s.now, p.number, uint64(r.id), r.class, r.until)
	p.happen(balancer.Event{Kind: balancer.RequestArrived, Request: r.id, Class: r.class, Tenant: r.tenant, Key: r.key,
		Remaining: max(r.until-p.s.now, 0), ClientRetry: r.repeat})
	if !r.done && p.tier.index > 0 {
		// A caller waits no longer than the slack; a decider that holds a request is the oracle's to name.
		p.s.at(r.until+p.s.w.Rules.Slack+time.Millisecond, func() {
			if !r.done {
				r.leave()
				r.reply(r, invariant.Failed, 0)
			}
		})
	}
	return r
}

func (p *proxy) answer(id balancer.RequestID, v invariant.Result, wait time.Duration) {
	p.s.oracle.Answered(p.s.now, p.number, uint64(id), v, 0)
	if r := p.requests[id]; r != nil && !r.done {
		r.done = true
		reply := r.reply
		p.s.after(0, func() { reply(r, v, wait) }) // never from within a decision
		r.release()
	}
}

// leave is word that nobody waits for a request any more.
func (r *request) leave() {
	if r.done || !r.p.alive {
		return
	}
	r.done = true
	r.p.s.oracle.Left(r.p.s.now, r.p.number, uint64(r.id))
	r.p.happen(balancer.Event{Kind: balancer.ClientLeft, Request: r.id})
	r.release()
}

func (r *request) release() {
	if r.done && r.out == 0 {
		delete(r.p.requests, r.id)
	}
}

// send starts an attempt.
func (p *proxy) send(act *balancer.Action) {
	s, r, to := p.s, p.requests[act.Request], p.tier.byID[act.Endpoint]
	if to != nil {
		s.oracle.Sent(s.now, p.number, uint64(act.Request), invariant.Endpoint{ID: uint64(to.id), Name: to.name, Zone: to.zone, Group: to.group})
	}
	if r == nil {
		return
	}
	a := &attempt{r: r, number: len(r.attempts), to: to, server: act.Endpoint, sent: s.now}
	r.attempts = append(r.attempts, a)
	r.out++
	if r.done || to == nil {
		s.after(0, func() { a.end(balancer.NotSent) })
		return
	}
	s.rec.Count("attempts", 1)
	if p.tier.index == len(s.tiers)-1 {
		s.rec.Count("attempts_last", 1)
	}
	if p.tier.index == 0 {
		s.rec.Count("attempts_first", 1)
		s.rec.Attempt(s.now)
	}
	if to.zone != p.zone {
		s.rec.Count("crossed", 1)
	}
	until := r.until
	if act.Timeout > 0 {
		until = min(until, s.now+act.Timeout)
	}
	s.at(until, func() {
		if !a.ended {
			a.giveUp()
			a.end(balancer.Timeout)
		}
	})
	a.way = s.delay(p.zone, to.zone)
	a.process = to.process
	if c := p.idle(to); c != nil {
		a.process = c.process
		a.held = true
		process := a.process
		s.after(a.way, func() { to.arrive(a, process) })
		return
	}
	s.rec.Count("opened", 1)
	spec := &p.tier.spec.Node.Connect
	switch {
	case to.silent:
		s.after(spec.Timeout, func() { a.end(balancer.ConnectFailed) })
	case !to.up || to.node.Conns >= spec.Most:
		s.after(2*a.way, func() { a.end(balancer.ConnectFailed) })
	default:
		process, n := to.process, to.node
		n.Conns++
		a.held = true
		s.after(a.way, func() {
			if process == to.process && to.up {
				n.Extra(s.now, spec.Work.Seconds())
				to.check()
				to.wake()
			}
		})
		s.after(a.way+time.Duration(2*spec.Trips*float64(a.way)), func() { to.arrive(a, process) })
	}
}

// idle takes an idle connection to a provider, or nil. Those that stood too
// long, or were closed by the provider's end, are let go of.
func (p *proxy) idle(to *provider) *conns {
	c := p.conns[to.id]
	if c == nil {
		return nil
	}
	if c.process != to.process && !to.silent {
		c.idle = c.idle[:0] // reset when the process ended or came back
		return nil
	}
	for len(c.idle) > 0 && p.s.now-c.idle[0] >= p.tier.spec.Node.Connect.Idle {
		c.idle = c.idle[1:]
		to.node.Conns--
	}
	if len(c.idle) == 0 || !to.up && !to.silent {
		return nil
	}
	c.idle = c.idle[:len(c.idle)-1]
	return c
}

func (p *proxy) forget(id balancer.EndpointID) {
	if c, to := p.conns[id], p.tier.byID[id]; c != nil && to != nil && c.process == to.process {
		to.node.Conns -= len(c.idle)
	}
	delete(p.conns, id)
}

// later ends the attempt once the provider's word has travelled.
func (a *attempt) later(o balancer.Outcome) { a.r.p.s.after(a.way, func() { a.end(o) }) }

// giveUp tells the provider that nobody waits.
func (a *attempt) giveUp() {
	process := a.process
	a.r.p.s.after(a.way, func() { a.to.abandon(a, process) })
}

// end books how an attempt ended. The first answer that served goes on at once.
func (a *attempt) end(o balancer.Outcome) {
	r, p := a.r, a.r.p
	if a.ended || !p.alive {
		return
	}
	a.ended = true
	r.out--
	if a.held {
		a.settle(o == balancer.OK || o == balancer.Error || o == balancer.Rejected)
	}
	p.s.oracle.Ended(p.s.now, p.number, uint64(r.id), a.number, o.NeverRan())
	if o == balancer.OK && !r.done {
		r.done, r.useful = true, a.work
		p.s.oracle.Answered(p.s.now, p.number, uint64(r.id), invariant.Served, uint64(a.server))
		reply := r.reply
		p.s.after(0, func() { reply(r, invariant.Served, 0) })
	}
	p.happen(balancer.Event{Kind: balancer.AttemptEnded, Request: r.id, Attempt: a.number, Endpoint: a.server, Outcome: o,
		RequestClosed: r.done, Elapsed: p.s.now - a.sent})
	r.release()
}

// settle gives the connection back, or closes it.
func (a *attempt) settle(again bool) {
	if a.process != a.to.process {
		return
	}
	if !again {
		a.to.node.Conns--
		return
	}
	p := a.r.p
	c := p.conns[a.to.id]
	if c == nil || c.process != a.process {
		c = &conns{process: a.process}
		p.conns[a.to.id] = c
	}
	c.idle = append(c.idle, p.s.now)
}

// die ends the proxy at once: its connections close.
func (p *proxy) die() {
	if !p.alive {
		return
	}
	p.alive = false
	p.s.oracle.Died(p.number)
	for _, id := range slices.Sorted(maps.Keys(p.requests)) {
		r := p.requests[id]
		for _, a := range r.attempts {
			if !a.ended {
				a.ended = true
				if a.held {
					a.settle(false)
				}
				if a.to != nil {
					a.giveUp()
				}
			}
		}
	}
	for id := range p.conns { // the order doesn't show: it only counts
		p.forget(id)
	}
	p.tier.proxies = slices.DeleteFunc(p.tier.proxies, func(q *proxy) bool { return q == p })
	p.tier.directory.subscribe(p, false)
}

// listed takes a list in.
func (p *proxy) listed(kind balancer.ListKind, list []balancer.Endpoint) {
	for i := range list {
		p.s.oracle.Told(p.s.now, p.number, uint64(list[i].ID), list[i].State == balancer.Ready)
	}
	if kind != balancer.ListChanges { // what a whole list leaves out is gone
		list = slices.DeleteFunc(list, func(e balancer.Endpoint) bool { return e.State == balancer.Gone })
	}
	p.happen(balancer.Event{Kind: balancer.EndpointListUpdated, ListKind: kind, Version: p.version, Endpoints: list})
}
