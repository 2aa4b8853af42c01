package proxy

import (
	"context"
	"iter"
	"maps"
	"slices"
	"time"

	"ryerill/config"
)

// poolSet holds the pools of a proxy. The proxy's mutex guards it.
type poolSet struct {
	active   map[string]*core // that routes lead to, by name; nil until Run
	draining map[*core]struct{}
}

// all returns the active and the draining pools.
func (s *poolSet) all() iter.Seq[*core] {
	return func(yield func(*core) bool) {
		for _, c := range s.active {
			if !yield(c) {
				return
			}
		}
		for c := range s.draining {
			if !yield(c) {
				return
			}
		}
	}
}

// activePools returns the pools that routes lead to.
func (p *Proxy) activePools() []*core {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Values(p.pools.active))
}

// pushedListTimeout bounds how long a start waits for lists that are pushed: whatever discovery does, the proxy is
// ready soon after.
const pushedListTimeout = time.Second

// awaitPushedLists waits until each pool whose list is pushed has received it. What an agent has counts as known from
// the first moment of the process, and the list in the configuration may be older. An agent that is silent is not
// waited for long.
func (p *Proxy) awaitPushedLists(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pushedListTimeout)
	defer cancel()
	for _, c := range p.activePools() {
		if !c.settings.PushedDiscovery {
			continue
		}
		select {
		case <-c.discovery.listed:
		case <-ctx.Done():
			p.log.Warn("discovery did not answer in time, using the endpoint list known before", "pool", c.name)
		}
	}
}

// hasPool reports whether routes lead to a pool of a name.
func (p *Proxy) hasPool(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pools.active[name] != nil
}

// newPoolLocked starts a pool that has a claim to resources; index is its place in the configuration. A pool that
// replaces another of the same endpoints begins with the list that is in force there: the configuration's may be as old
// as the file.
func (p *Proxy) newPoolLocked(cfg config.Pool, index int, refetch bool, from succession) *core {
	return newCore(cfg, coreConfig{
		seed:       p.cfg.Seed + uint64(index),
		resources:  p.resources.pool(cfg.Name),
		buffers:    p.buffers,
		log:        p.log,
		clock:      p.clock,
		counters:   &p.counters,
		faults:     p.faults,
		overrides:  p.overrides,
		refetch:    refetch,
		succession: from,
		shared:     p.cfg.Fleet != nil,
	})
}

// drainPoolLocked has a pool that is active no more end in a goroutine for which Run waits.
func (p *Proxy) drainPoolLocked(c *core) {
	p.leaving.Add(1)
	p.pools.draining[c] = struct{}{}
	go func() {
		defer p.leaving.Done()
		c.drain(c.cfg.Drain)
		p.mu.Lock()
		delete(p.pools.draining, c)
		p.mu.Unlock()
		if !p.hasPool(c.name) { // else another pool of its name has its resources
			p.resources.release(c.name)
		}
	}()
}
