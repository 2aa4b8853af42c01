package proxy

import (
	"context"
	"iter"
	"maps"
	"slices"
	"time"

	"ryerill/config"
)

// poolSet holds the pools of a proxy. It is guarded by the proxy's mutex.
type poolSet struct {
	active   map[string]*core // routed to, by name; nil until Run
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

// activePools returns the pools that are routed to.
func (p *Proxy) activePools() []*core {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Values(p.pools.active))
}

// pushedListTimeout bounds how long startup waits for pushed lists, so that the proxy becomes ready even if discovery
// does not respond.
const pushedListTimeout = time.Second

// awaitPushedLists waits until each pool with pushed discovery has received its list, for at most pushedListTimeout.
// The agent's list must be in use from the start of the process, and the configured list may be older.
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
			p.log.Warn("discovery did not answer in time, using the last known endpoint list", "pool", c.name)
		}
	}
}

// hasPool reports whether there is an active pool with a name.
func (p *Proxy) hasPool(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pools.active[name] != nil
}

// newPoolLocked starts a pool, whose resources must be claimed already; index is its position in the configuration. A
// pool that follows a predecessor with the same endpoints starts with the predecessor's list, because the configured
// list may be as old as the configuration file.
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

// drainPoolLocked drains a pool that is no longer active, in a goroutine that Run waits for.
func (p *Proxy) drainPoolLocked(c *core) {
	p.running.Add(1)
	p.pools.draining[c] = struct{}{}
	go func() {
		defer p.running.Done()
		c.drain(c.cfg.Drain)
		p.mu.Lock()
		delete(p.pools.draining, c)
		p.mu.Unlock()
		if !p.hasPool(c.name) { // otherwise a new pool with the same name uses the resources
			p.resources.release(c.name)
		}
	}()
}
