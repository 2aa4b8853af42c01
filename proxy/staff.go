package proxy

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"ryerill/admin"
	"ryerill/balancer"
	"ryerill/override"
)

// mostSeen bounds the names of providers that a pool remembers as once listed,
// beyond those that are.
const mostSeen = 4096

// errNotReady are the reasons for a no to whether the proxy is ready.
var (
	errStarting = errors.New("not ready: it has no list of backends yet, or does not listen")
	errEnding   = errors.New("not ready: it ends")
	errDraining = errors.New("not ready: it drains, until POST /ops/drain/stop")
)

// cores are the present pools.
func (p *Proxy) cores() []*core {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Values(p.pools))
}

// Readiness tells why this process is not ready to serve, or nil. A drain is no
// reason while it stands beside the process that it replaces: it is ready to take
// over what that one has, the drain among it.
func (p *Proxy) Readiness() error {
	p.mu.Lock()
	ready, life, drains := p.ready, p.life, p.word.DrainSince != 0 && !(p.second && p.lives > 1)
	p.mu.Unlock()
	switch {
	case !ready:
		return errStarting
	case life.Err() != nil:
		return errEnding
	case drains:
		return errDraining
	}
	return nil
}

// TakeDown takes a provider out until Up.
func (p *Proxy) TakeDown(id string) error {
	if !p.knows(id) {
		return fmt.Errorf("%q: %w", id, admin.ErrUnknownEndpoint)
	}
	return p.kept.Update(func(w override.Set, now time.Duration) (override.Set, error) { return w.TakeDown(id, now) })
}

// Restore uses a provider again. One that is not out is no error.
func (p *Proxy) Restore(id string) error {
	return p.kept.Update(func(w override.Set, now time.Duration) (override.Set, error) {
		if !w.IsDown(id) && !p.knows(id) {
			return w, fmt.Errorf("%q: %w", id, admin.ErrUnknownEndpoint)
		}
		return w.Restore(id, now), nil
	})
}

// StartDrain empties the proxy until StopDrain.
func (p *Proxy) StartDrain() error {
	return p.kept.Update(func(w override.Set, now time.Duration) (override.Set, error) { return w.StartDrain(now), nil })
}

// StopDrain ends a drain.
func (p *Proxy) StopDrain() error {
	return p.kept.Update(func(w override.Set, _ time.Duration) (override.Set, error) { return w.StopDrain(), nil })
}

func (p *Proxy) knows(name string) bool {
	return slices.ContainsFunc(p.cores(), func(c *core) bool { return c.knows(name) })
}

// obey brings a new word into force: everywhere, before it returns.
func (p *Proxy) obey(w override.Set) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.word
	p.word = w
	for _, c := range p.pools {
		c.obey(w)
	}
	for c := range p.parting {
		c.obey(w)
	}
	if w.DrainSince != before.DrainSince {
		p.log.Info("operators' word", "drains", w.DrainSince != 0)
		if p.side != nil {
			go p.sayPhase()
		}
		for _, l := range p.fronts {
			l.front.Drain(p.drainsSince())
		}
	}
	if !maps.Equal(w.Down, before.Down) {
		p.log.Info("operators' word", "out", slices.Sorted(maps.Keys(w.Down)))
	}
}

// drainsSince is when the drain began that staff have ordered; zero is none. It
// may have been ordered at another process of this proxy. The mutex is held.
func (p *Proxy) drainsSince() time.Time {
	if p.word.DrainSince == 0 {
		return time.Time{}
	}
	now := time.Now()
	return now.Add(-max(time.Duration(now.UnixNano())-p.word.DrainSince, 0))
}

// knows tells whether the pool's list has a name, or had it since its start.
func (c *core) knows(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, seen := c.seen[name]
	return seen
}

// see notes names that are listed. At the bound those that are not listed any
// more are forgotten. The mutex is held.
func (c *core) see(name string) {
	if len(c.seen) >= mostSeen+2*len(c.providers) { // so that forgetting is rare, however many are listed
		clear(c.seen)
		for _, t := range c.providers {
			c.seen[t.listed.name] = struct{}{}
		}
	}
	c.seen[name] = struct{}{}
}

// obey lays a new word over the list as it was told last. Nothing is sent to who
// is out from here on.
func (c *core) obey(w override.Set) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.word = w
	var servers []balancer.Endpoint
	for _, t := range c.providers {
		before := t.told
		if c.overlay(t); t.told != before {
			servers = append(servers, t.told)
			if t.told.State != balancer.Ready {
				go c.pool.CloseIdle(uint64(t.id)) // staff may restart it now
			}
		}
	}
	if len(servers) > 0 {
		slices.SortFunc(servers, func(a, b balancer.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
		c.happen(balancer.Event{Kind: balancer.EndpointListUpdated, ListKind: balancer.ListChanges, Version: c.version, Endpoints: servers})
	}
}

// overlay makes out what a provider counts as, by the list and the word.
func (c *core) overlay(t *target) {
	t.told = c.word.Apply(t.listed.name, t.listed.server)
	t.ready.Store(t.told.State == balancer.Ready)
}

// standing adds the names of the listed providers, and which of them the pool
// sends nothing to now.
func (c *core) standing(listed map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, t := range c.providers {
		listed[t.listed.name] = listed[t.listed.name] || c.balancer.Avoids(id)
	}
}
