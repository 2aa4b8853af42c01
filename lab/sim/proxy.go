package sim

import (
	"maps"
	"slices"
	"time"

	"ryerill/balancer"
	"ryerill/lab/baseline"
	"ryerill/lab/invariant"
)

// callerSlack is how long beyond the rules' slack an endpoint waits for the response to its call: the oracle names
// a decider that holds a request.
const callerSlack = time.Millisecond

// proxy hosts one decider, as the real one does: it turns what happens into events and executes the actions in order.
type proxy struct {
	simulation  *simulation
	number      int   // for the oracle; never used twice
	tier        *tier // that it sends to
	zone        int
	decider     baseline.Decider
	alive       bool
	requests    map[balancer.RequestID]*request // open, or with an attempt in flight
	lastID      balancer.RequestID
	connections map[balancer.EndpointID]*idleConnections
	events      []balancer.Event // to be dispatched
	dispatching bool
	listVersion uint64 // of the endpoint list that it has
}

// newProxy starts a proxy that sends to a tier; index is its index among that tier's proxies.
func (s *simulation) newProxy(t *tier, index, zone int, name string) *proxy {
	p := &proxy{
		simulation:  s,
		number:      len(s.proxyNames),
		tier:        t,
		zone:        zone,
		alive:       true,
		requests:    map[balancer.RequestID]*request{},
		connections: map[balancer.EndpointID]*idleConnections{},
	}
	s.proxyNames = append(s.proxyNames, name)
	cfg := s.scenario.Balancer(t.index, index, zone)
	seed := s.draws.seed.Uint64()
	if s.options.New != nil {
		p.decider = s.options.New(cfg, seed)
	} else {
		p.decider, _ = baseline.New(s.options.Decider, cfg, seed) // its name was checked
	}
	t.proxies = append(t.proxies, p)
	p.updateEndpoints(balancer.ListCached, t.discovery.all())
	return p
}

// dispatch gives an event to the decider and executes its actions. Events that these cause follow in order.
func (p *proxy) dispatch(event balancer.Event) {
	if !p.alive {
		return
	}
	p.events = append(p.events, event)
	if p.dispatching {
		return
	}
	p.dispatching = true
	s := p.simulation
	actions := s.borrowList()
	for i := 0; i < len(p.events); i++ {
		actions = p.decider.Handle(epoch+s.now, p.events[i], actions[:0])
		for j := range actions {
			p.execute(&actions[j])
		}
	}
	clear(p.events)
	p.events = p.events[:0]
	p.dispatching = false
	s.spareLists = append(s.spareLists, actions)
}

// borrowList returns an action list that no dispatch uses, or nil.
func (s *simulation) borrowList() []balancer.Action {
	last := len(s.spareLists) - 1
	if last < 0 {
		return nil
	}
	list := s.spareLists[last]
	s.spareLists = s.spareLists[:last]
	return list
}

// execute executes an action of the decider.
func (p *proxy) execute(action *balancer.Action) {
	switch action.Kind {
	case balancer.Send:
		p.send(action)
	case balancer.Shed:
		p.respond(action.Request, invariant.Shed, action.RetryAfter)
	case balancer.Fail:
		p.respond(action.Request, invariant.Failed, 0)
	case balancer.Cancel:
		p.cancel(action.Request, action.Attempt)
	case balancer.SetTimer:
		token := action.Token
		p.simulation.after(action.Delay, func() {
			p.dispatch(balancer.Event{Kind: balancer.TimerFired, Token: token})
		})
	case balancer.CloseIdle:
		p.closeIdle(action.Endpoint)
	case balancer.Subscribe:
		if action.Enabled {
			p.tier.discovery.subscribe(p)
		} else {
			p.tier.discovery.unsubscribe(p)
		}
	case balancer.FetchEndpoints:
		p.tier.discovery.fetch(p)
	}
}

// accept accepts a request; its reply is called once.
func (p *proxy) accept(r *request) *request {
	s := p.simulation
	p.lastID++
	r.proxy = p
	r.id = p.lastID
	p.requests[r.id] = r
	s.oracle.Accepted(s.now, p.number, uint64(r.id), r.class, r.deadline)
	p.dispatch(balancer.Event{
		Kind: balancer.RequestArrived, Request: r.id, Class: r.class, Tenant: r.tenant, Key: r.key,
		Remaining: max(r.deadline-s.now, 0), ClientRetry: r.clientRetry,
	})
	if !r.done && p.tier.index > 0 {
		s.at(r.deadline+s.scenario.Rules.Slack+callerSlack, func() {
			if !r.done {
				r.clientLeft()
				r.reply(r, invariant.Failed, 0)
			}
		})
	}
	return r
}

// respond answers a request that wasn't served.
func (p *proxy) respond(id balancer.RequestID, result invariant.Result, retryAfter time.Duration) {
	p.simulation.oracle.Answered(p.simulation.now, p.number, uint64(id), result, 0)
	r := p.requests[id]
	if r == nil || r.done {
		return
	}
	r.finish(result, retryAfter)
	r.release()
}

// cancel ends an attempt that the decider has cancelled.
func (p *proxy) cancel(id balancer.RequestID, number int) {
	r := p.requests[id]
	if r == nil || number >= len(r.attempts) {
		return
	}
	if a := r.attempts[number]; !a.ended {
		a.cancel()
		a.end(balancer.Cancelled)
	}
}

// kill ends the proxy at once: its connections close.
func (p *proxy) kill() {
	if !p.alive {
		return
	}
	p.alive = false
	p.simulation.oracle.ProxyKilled(p.number)
	for _, id := range slices.Sorted(maps.Keys(p.requests)) {
		for _, a := range p.requests[id].attempts {
			a.abandon()
		}
	}
	for id := range p.connections { // the order doesn't show: it only counts
		p.closeIdle(id)
	}
	p.tier.proxies = slices.DeleteFunc(p.tier.proxies, func(other *proxy) bool { return other == p })
	p.tier.discovery.unsubscribe(p)
}

// updateEndpoints gives an endpoint list to the decider.
func (p *proxy) updateEndpoints(kind balancer.ListKind, list []balancer.Endpoint) {
	s := p.simulation
	for i := range list {
		s.oracle.EndpointUpdated(s.now, p.number, uint64(list[i].ID), list[i].State == balancer.Ready)
	}
	if kind != balancer.ListChanges { // what a whole list leaves out is gone
		list = slices.DeleteFunc(list, func(e balancer.Endpoint) bool { return e.State == balancer.Gone })
	}
	p.dispatch(balancer.Event{
		Kind: balancer.EndpointListUpdated, ListKind: kind, Version: p.listVersion, Endpoints: list,
	})
}
