package proxy

import (
	"context"
	"log/slog"
	"reflect"
	"time"

	"ryerill/balancer"
	"ryerill/config"
	"ryerill/discovery"
	"ryerill/downstream"
	"ryerill/internal/buffer"
	"ryerill/override"
	"ryerill/upstream"
)

// newCore starts a pool: its Balancer, its connections, its directory. In a second
// process of a proxy the whole list is asked for, whatever is known.
func newCore(cfg config.Pool, seed uint64, r *rooms, buffers *buffer.Pool, log *slog.Logger, clock clock, figures *figures, w override.Set, second, shares bool) *core {
	settings := cfg.Settings
	b := &settings.Balancer
	life, end := context.WithCancel(context.Background()) // the list is watched until the last answer
	c := &core{
		log:       log,
		clock:     clock,
		cfg:       cfg,
		settings:  settings,
		rooms:     r,
		pool:      upstream.NewPool(&r.sockets, settings.IdleClose, b.Limits.ConnectTimeout, buffers),
		end:       end,
		balancer:  balancer.New(settings.Balancer, seed),
		open:      make(map[balancer.RequestID]*entry),
		providers: make(map[balancer.EndpointID]*target),
		timers:    make(map[*time.Timer]struct{}),
		empty:     make(chan struct{}),
		seen:      make(map[string]struct{}),
		heard:     make(chan struct{}),
		figures:   figures,
		word:      w,
	}
	c.pool.SetBodyBudget(&r.bodies)
	if shares {
		c.booked = &booked{wants: make([]float64, len(b.Tenants)), came: make([]uint64, len(b.Classes))}
	}
	for _, k := range b.Classes {
		c.tallies = append(c.tallies, figures.class(k.Name))
		c.names.Classes = append(c.names.Classes, k.Name)
		c.names.Deadlines = append(c.names.Deadlines, k.Deadline)
		c.names.Effects = append(c.names.Effects, k.Effect)
	}
	for _, t := range b.Tenants {
		c.names.Tenants = append(c.names.Tenants, t.Name)
	}
	c.names.AnyPath = settings.AnyPath
	shed := c.pool.TrimIdle
	r.shed.Store(&shed)
	kind, known := balancer.ListFull, cfg.KnownEndpoints // the file's own list is all there is
	if cfg.Discovery == "" {
		close(c.heard)
	} else {
		known.Snapshot = known.Snapshot && !second // else the first call waits until there is something newer
		kind = balancer.ListCached
	}
	if cfg.CountsDiscoverySocket {
		r.sockets.used.Add(1) // of its guarantee: no other pool can have it
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case cfg.Discovery == "":
	case settings.PushedDiscovery:
		c.directory = discovery.NewAgentClient(life, cfg.Discovery, known, buffers, c)
	default:
		c.directory = discovery.NewClient(life, cfg.Discovery, known, buffers, c)
	}
	c.list(kind, cfg.KnownEndpoints)
	return c
}

// Classes are the words of the pool's settings.
func (c *core) Classes() *downstream.PoolClasses { return &c.names }

// ReserveBody takes room for a body.
func (c *core) ReserveBody(bytes int) (give func(), ok bool) {
	if !c.rooms.bodies.Take(bytes) {
		return nil, false
	}
	return func() { c.rooms.bodies.Give(bytes) }, true
}

// follows tells whether a pool can take a new configuration over with all that
// it has learnt: what it decides by is the same but for what may be adjusted.
func (c *core) follows(cfg config.Pool) bool {
	old, next := c.settings, cfg.Settings
	old.Balancer.Limits, next.Balancer.Limits = balancer.Limits{}, balancer.Limits{}
	old.IdleClose, next.IdleClose = 0, 0
	return reflect.DeepEqual(old, next) && (c.cfg.Discovery == "") == (cfg.Discovery == "") && c.cfg.CountsDiscoverySocket == cfg.CountsDiscoverySocket
}

// adjust takes a configuration over that the pool follows. Nothing that is open
// is disturbed.
func (c *core) adjust(cfg config.Pool) {
	limits := cfg.Settings.Balancer.Limits
	c.pool.SetTimeouts(cfg.Settings.IdleClose, limits.ConnectTimeout)
	if c.directory != nil {
		c.directory.SetAddress(cfg.Discovery)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if limits != c.settings.Balancer.Limits {
		c.balancer.SetLimits(limits)
	}
	if c.directory == nil && !reflect.DeepEqual(c.cfg.KnownEndpoints.Endpoints, cfg.KnownEndpoints.Endpoints) {
		c.list(balancer.ListFull, cfg.KnownEndpoints)
	}
	c.settings.Balancer.Limits, c.settings.IdleClose, c.cfg = limits, cfg.Settings.IdleClose, cfg
}

// drain ends the pool once what it has taken is answered, after its bound at
// the latest; nothing leads to it any more. What its calls still hold then they
// give back at their own deadlines.
func (c *core) drain(most time.Duration) {
	c.mu.Lock()
	c.leaving = true
	c.emptied()
	c.mu.Unlock()
	limit := time.NewTimer(most)
	defer limit.Stop()
	select {
	case <-c.empty:
	case <-limit.C:
		c.log.Warn("a pool did not drain in time", "pool", c.cfg.Name, "bound", most)
	}
	c.close()
}

// emptied notes that a pool that leaves has nothing open. The mutex is held.
func (c *core) emptied() {
	if c.leaving && !c.ended && len(c.open) == 0 {
		c.ended = true
		close(c.empty)
	}
}

// close ends the pool's directory, timers and idle connections.
func (c *core) close() {
	c.end()
	c.pool.Close()
	if c.cfg.CountsDiscoverySocket {
		c.rooms.sockets.Give(1)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for t := range c.timers {
		t.Stop()
	}
	clear(c.timers)
}
