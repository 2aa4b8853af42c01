package proxy

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"ryerill/config"
)

// guaranteeTimeout is how long a reload waits for new pools' guarantees to come back from
// those that have borrowed. Later they come as they are given back.
const guaranteeTimeout = time.Second

var (
	errNotRunning = errors.New("not running")
	errGuarantees = errors.New("the pools' guarantees exceed what the machine has")
)

// reload is one reload. What may fail is done first; until it is committed it changes nothing
// that [reload.rollback] does not undo.
type reload struct {
	proxy   *Proxy
	old     config.Config
	cfg     config.Config
	restart bool // something in cfg holds only from the next start on

	maxConnections int         // of each listener
	listeners      []*listener // of cfg
	opened         []*listener // those among them that are new
	claimed        bool        // the pools of cfg have their claims
	pools          map[string]*core
	created        []*core // those among them that are new
	replaced       []*core // active pools that go and whose place a new one of another name takes
	router         *router
}

// Reload takes a whole configuration over while the proxy runs: listeners,
// routes, pools and their limits. After an error nothing has changed.
// Requests end in the pool that they met at their start; a pool
// that goes finishes them, and one of which only limits change keeps what it has
// learnt. What the machine allows, the proxy's name and its seed hold from the
// next start on. It may be called concurrently.
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

// newReload sets what holds until the next start as it is.
func (p *Proxy) newReload(cfg config.Config) (*reload, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ready || p.ending {
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
		restart:        restart,
		maxConnections: p.maxConnectionsLocked(len(cfg.Listeners)),
		pools:          map[string]*core{},
	}, nil
}

// openListeners keeps the listeners that there are, and opens the others.
func (r *reload) openListeners() error {
	for _, entry := range r.cfg.Listeners {
		if kept := r.present(entry); kept != nil {
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

// present returns the listener that listens already at an entry's address, if no other entry has it.
// Only a reload changes the proxy's listeners while it runs, so they can be read without its mutex.
func (r *reload) present(entry config.Listener) *listener {
	anyPort := strings.HasSuffix(entry.Address, ":0") // each is another address: the name decides
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

// claimResources claims what the pools are guaranteed, and waits for that a while.
func (r *reload) claimResources() error {
	resources := r.proxy.resources
	if !resources.claim(r.cfg.Pools) {
		return errGuarantees
	}
	r.claimed = true
	end := time.Now().Add(guaranteeTimeout)
	for !resources.guaranteed(r.cfg.Pools) && time.Now().Before(end) {
		resources.rebalance()
		time.Sleep(rebalanceInterval / 4)
	}
	return nil
}

// createPoolsLocked keeps the pools that can be adjusted, creates the others, and checks that routes lead
// to them and that the proxy still runs.
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
	if p.ending {
		return errNotRunning
	}
	return err
}

// rollback undoes all that was done before an error.
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

// commitLocked puts the new configuration in force. Nothing fails any more.
func (r *reload) commitLocked() {
	p := r.proxy
	removed := r.replacePoolsLocked()
	r.replaceListenersLocked()
	for _, c := range removed {
		p.drainPoolLocked(c)
	}
	if p.reloadFleet(r.old.Fleet, r.cfg.Fleet) {
		r.restart = true
	}
	if p.fleet != nil {
		go func() {
			p.announcePhase()
			p.applyPositions()
		}()
	}
	p.log.Info("configuration reloaded", "listeners", len(r.listeners), "routes", len(r.cfg.Routes),
		"pools_kept", len(r.pools)-len(r.created), "pools_new", len(r.created), "pools_removed", len(removed),
		"restart_needed", r.restart)
}

// replacePoolsLocked leads new requests to the new pools, and returns those that are active no more.
func (r *reload) replacePoolsLocked() (removed []*core) {
	p := r.proxy
	for _, pool := range r.cfg.Pools {
		c := r.pools[pool.Name]
		if c == p.pools.active[pool.Name] {
			c.adjust(pool)
		} else {
			c.discovery.setAddress(pool.Discovery) // of a client that it shares with the pool that it replaces
		}
	}
	for name, c := range p.pools.active {
		if r.pools[name] != c {
			removed = append(removed, c)
			c.connections.Close() // its idle connections are of the allowance of the pool that replaces it
		}
	}
	p.router.Store(r.router)
	p.pools.active = r.pools
	p.cfg = r.cfg
	return removed
}

// replaceListenersLocked serves at the new listeners, and at others no more.
func (r *reload) replaceListenersLocked() {
	p := r.proxy
	for _, l := range p.listeners {
		if !slices.Contains(r.listeners, l) {
			l.stop() // it serves what it has and ends
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
