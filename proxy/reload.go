package proxy

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"ryerill/config"
)

// guaranteeTimeout bounds how long a reload waits until borrowed resources guaranteed to new pools are returned. After
// it the pools start and receive the rest as it is returned.
const guaranteeTimeout = time.Second

var (
	errNotRunning        = errors.New("not running")
	errGuaranteesTooHigh = errors.New("the pools' guarantees exceed what the machine has")
)

// reload is the state of one reload. Steps that may fail run first; until the commit [reload.rollback] can undo all of
// them.
type reload struct {
	proxy         *Proxy
	old           config.Config
	cfg           config.Config
	restartNeeded bool // cfg has changes that need a restart

	maxConnections int         // per listener
	listeners      []*listener // listeners of cfg
	opened         []*listener // new listeners among them
	claimed        bool        // resources are claimed for the pools of cfg
	pools          map[string]*core
	created        []*core // new pools among them
	replaced       []*core // removed pools that a new pool with another name replaces
	router         *router
}

// Reload applies a complete configuration while the proxy runs: listeners, routes, pools and their limits. If it
// returns an error, nothing has changed. Requests stay in the pool that accepted them; a removed pool drains, and a
// pool whose limits alone change keeps its learnt state. Changes of the machine's limits, the management address, the
// name or the seed take effect at the next start. It is safe for concurrent use.
func (p *Proxy) Reload(cfg config.Config) error {
	if err := p.reload(cfg); err != nil {
		p.counters.reloadsFailed.Add(1)
		return fmt.Errorf("proxy %s: %w", p.name, err)
	}
	p.counters.reloadsOK.Add(1)
	return nil
}

func (p *Proxy) reload(cfg config.Config) (err error) {
	p.reloading.Lock()
	defer p.reloading.Unlock()
	r, err := p.newReload(cfg)
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			r.rollback()
		}
	}()
	if err := r.openListeners(); err != nil {
		return err
	}
	if err := r.claimResources(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := r.createPoolsLocked(); err != nil {
		return err
	}
	r.commitLocked()
	return nil
}

// newReload prepares a reload. Settings that need a restart keep their current values.
func (p *Proxy) newReload(cfg config.Config) (*reload, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ready || p.shuttingDown {
		return nil, errNotRunning
	}
	old := p.cfg
	restart := cfg.Limits != old.Limits || cfg.Admin != old.Admin
	cfg.Name = p.name
	cfg.Seed = old.Seed
	cfg.Limits = old.Limits
	cfg.Admin = old.Admin
	cfg.SharedDir = old.SharedDir
	return &reload{
		proxy:          p,
		old:            old,
		cfg:            cfg,
		restartNeeded:  restart,
		maxConnections: p.maxConnectionsLocked(len(cfg.Listeners)),
		pools:          map[string]*core{},
	}, nil
}

// openListeners keeps listeners that are already open and opens the others.
func (r *reload) openListeners() error {
	for _, entry := range r.cfg.Listeners {
		if kept := r.findListener(entry); kept != nil {
			r.listeners = append(r.listeners, kept)
			continue
		}
		l, err := r.proxy.openListener(entry, r.maxConnections)
		if err != nil {
			return err
		}
		r.listeners = append(r.listeners, l)
		r.opened = append(r.opened, l)
	}
	return nil
}

// findListener returns the open listener at an entry's address, or nil if there is none or another entry uses it. It
// reads the proxy's listeners without the proxy's mutex, because only a reload changes them while the proxy runs.
func (r *reload) findListener(entry config.Listener) *listener {
	anyPort := strings.HasSuffix(entry.Address, ":0") // each gets a port of its own, so listeners match by name
	i := slices.IndexFunc(r.proxy.listeners, func(l *listener) bool {
		if l.Address != entry.Address || anyPort && l.Name != entry.Name {
			return false
		}
		return !slices.Contains(r.listeners, l)
	})
	if i < 0 {
		return nil
	}
	return r.proxy.listeners[i]
}

// claimResources claims the pools' guarantees, and waits for at most guaranteeTimeout until they are available.
func (r *reload) claimResources() error {
	resources := r.proxy.resources
	if !resources.claim(r.cfg.Pools) {
		return errGuaranteesTooHigh
	}
	r.claimed = true
	end := time.Now().Add(guaranteeTimeout)
	for !resources.guaranteesMet(r.cfg.Pools) && time.Now().Before(end) {
		resources.rebalance()
		time.Sleep(rebalanceInterval / 4)
	}
	return nil
}

// createPoolsLocked keeps adjustable pools, creates the others and the router, and checks that the proxy is still
// running.
func (r *reload) createPoolsLocked() error {
	p := r.proxy
	for i, pool := range r.cfg.Pools {
		if c := p.pools.active[pool.Name]; c != nil && c.adjustable(pool) {
			r.pools[pool.Name] = c
			continue
		}
		c := p.newPoolLocked(pool, i, false, r.successionLocked(pool))
		r.pools[pool.Name] = c
		r.created = append(r.created, c)
	}
	var err error
	r.router, err = newRouter(r.cfg.Routes, r.pools)
	if p.shuttingDown {
		return errNotRunning
	}
	return err
}

// rollback undoes all steps of a failed reload.
func (r *reload) rollback() {
	for _, c := range r.created {
		c.close()
	}
	for _, l := range r.opened {
		l.server.Close()
	}
	if !r.claimed {
		return
	}
	r.proxy.resources.claim(r.old.Pools)
	for name := range r.pools {
		if !r.proxy.hasPool(name) {
			r.proxy.resources.release(name)
		}
	}
}

// commitLocked puts the new configuration in force. It cannot fail.
func (r *reload) commitLocked() {
	p := r.proxy
	removed := r.replacePoolsLocked()
	r.replaceListenersLocked()
	for _, c := range removed {
		p.drainPoolLocked(c)
	}
	if p.reloadFleet(r.old.Fleet, r.cfg.Fleet) {
		r.restartNeeded = true
	}
	if p.fleet != nil {
		go func() {
			p.announcePhase()
			p.applyPositions()
		}()
	}
	p.log.Info("configuration reloaded", "listeners", len(r.listeners), "routes", len(r.cfg.Routes),
		"pools_kept", len(r.pools)-len(r.created), "pools_new", len(r.created), "pools_removed", len(removed),
		"restart_needed", r.restartNeeded)
}

// replacePoolsLocked routes new requests to the new pools, and returns the pools that are no longer active.
func (r *reload) replacePoolsLocked() (removed []*core) {
	p := r.proxy
	for _, pool := range r.cfg.Pools {
		c := r.pools[pool.Name]
		if c == p.pools.active[pool.Name] {
			c.adjust(pool)
		} else {
			c.discovery.setAddress(pool.Discovery) // of a client shared with the replaced pool
		}
	}
	for name, c := range p.pools.active {
		if r.pools[name] != c {
			removed = append(removed, c)
			c.connections.Close() // its idle connections use the allowance of the pool that replaces it
		}
	}
	p.router.Store(r.router)
	p.pools.active = r.pools
	p.cfg = r.cfg
	return removed
}

// replaceListenersLocked starts the new listeners and stops those that are no longer configured.
func (r *reload) replaceListenersLocked() {
	p := r.proxy
	for _, l := range p.listeners {
		if !slices.Contains(r.listeners, l) {
			l.stop() // it finishes its open requests first
		}
	}
	p.listeners = r.listeners
	for _, l := range r.listeners {
		if slices.Contains(r.opened, l) {
			p.serveLocked(l)
		} else {
			l.server.SetMaxConnections(p.maxConnectionsLocked(len(r.listeners)))
		}
	}
}
