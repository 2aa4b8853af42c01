package proxy

import (
	"log/slog"
	"reflect"
	"sync"
	"time"

	"ryerill/balancer"
	"ryerill/config"
	"ryerill/downstream"
	"ryerill/internal/buffer"
	"ryerill/internal/faultlog"
	"ryerill/override"
	"ryerill/upstream"
)

// core is a pool. It connects sockets with decisions and knows no protocol: it turns what
// happens into events, has the Balancer decide them, and executes the actions.
//
// One mutex guards the Balancer and all that belongs to its decisions. Actions
// are executed in order before it is released, so none of them may block.
// Methods whose names end in Locked are called with the mutex held.
type core struct {
	log           *slog.Logger // names the pool
	name          string
	clock         clock
	classes       downstream.PoolClasses
	resources     *poolResources
	connections   *upstream.Pool
	counters      *counters
	classCounters []*classCounters // by class
	discovery     discoveryWatch
	graceCheck    graceCheck
	unsolicited   *unsolicitedLog

	mu sync.Mutex
	// The fields below are guarded by mu.
	cfg          config.Pool
	settings     config.Settings
	decisions    decisionLoop
	requests     requestTable
	endpoints    endpointTable
	overrides    override.Set
	timers       timerSet
	listObserver listObserver
	activity     *activity // for the fleet; nil where nothing is shared
	reasons      reasons
}

// coreConfig is what a pool is made of, beside its own configuration.
type coreConfig struct {
	seed      uint64
	resources *poolResources
	buffers   *buffer.Pool
	log       *slog.Logger
	clock     clock
	counters  *counters
	faults    *faultlog.Recorder
	overrides override.Set
	// refetch requests the whole list from discovery even where one is known: the known list of a
	// second process of a proxy may be as old as the first one.
	refetch    bool
	succession succession
	shared     bool // activity is recorded for the fleet
}

// newCore starts a pool: its Balancer, its connections, its discovery.
func newCore(cfg config.Pool, parts coreConfig) *core {
	settings := cfg.Settings
	budget := &parts.resources.sockets
	connectTimeout := settings.Balancer.Limits.ConnectTimeout
	log := parts.log.With("pool", cfg.Name)
	c := &core{
		log:         log,
		graceCheck:  graceCheck{log: log},
		unsolicited: newUnsolicitedLog(log),
		name:        cfg.Name,
		clock:       parts.clock,
		cfg:         cfg,
		settings:    settings,
		resources:   parts.resources,
		connections: upstream.NewPool(budget, settings.IdleClose, connectTimeout, parts.buffers),
		counters:    parts.counters,
		decisions: decisionLoop{
			log:      log,
			clock:    parts.clock,
			balancer: balancer.New(settings.Balancer, parts.seed),
		},
		requests:  newRequestTable(),
		endpoints: newEndpointTable(),
		overrides: parts.overrides,
		timers:    timerSet{pending: make(map[*time.Timer]struct{})},
		discovery: newDiscoveryWatch(),
	}
	c.connections.RecordFaults(cfg.Name, parts.faults)
	c.connections.ObserveUnsolicited(c.unsolicited)
	c.connections.SetBodyBudget(&parts.resources.bodies)
	trim := c.connections.TrimIdle
	parts.resources.trimIdle.Store(&trim)
	if parts.shared {
		c.activity = newActivity(&settings.Balancer)
	}
	c.setClasses()
	if cfg.CountsDiscoverySocket {
		c.resources.sockets.used.Add(1) // of its guarantee: no other pool can have it
	}
	c.startDiscovery(parts)
	return c
}

// startDiscovery puts the list in force that is known at the start, and has discovery tell of what is newer.
func (c *core) startDiscovery(parts coreConfig) {
	predecessor := parts.succession.predecessor
	if c.sharesDiscovery(parts.succession) && c.joinDiscovery(predecessor) {
		return
	}
	kind := balancer.ListFull // without discovery the configuration's list is complete
	known := c.cfg.KnownEndpoints
	refetch := parts.refetch
	discovered := false // by another pool
	if c.cfg.Discovery != "" {
		kind = balancer.ListCached
		if list, inherits := predecessor.discoveredList(); inherits {
			known = list
			refetch = true // its version may be another service's
			discovered = true
		} else {
			known, discovered = parts.succession.current(known)
		}
	}
	held := known
	held.Snapshot = known.Snapshot && !refetch // else the first call waits until there is something newer
	c.mu.Lock()
	defer c.mu.Unlock()
	c.discovery.start(&c.cfg, held, parts, c)
	c.applyListLocked(kind, known)
	c.endpoints.discovered = discovered
}

// setClasses takes the classes and tenants from the settings.
func (c *core) setClasses() {
	for _, class := range c.settings.Balancer.Classes {
		c.classCounters = append(c.classCounters, c.counters.class(class.Name))
		c.classes.Classes = append(c.classes.Classes, class.Name)
		c.classes.Deadlines = append(c.classes.Deadlines, class.Deadline)
		c.classes.Effects = append(c.classes.Effects, class.Effect)
	}
	for _, tenant := range c.settings.Balancer.Tenants {
		c.classes.Tenants = append(c.classes.Tenants, tenant.Name)
	}
	c.classes.AnyPath = c.settings.AnyPath
}

// Classes implements [downstream.Service].
func (c *core) Classes() *downstream.PoolClasses { return &c.classes }

// ReserveBody implements [downstream.Service].
func (c *core) ReserveBody(bytes int) (release func(), ok bool) {
	if !c.resources.bodies.Take(bytes) {
		return nil, false
	}
	return func() { c.resources.bodies.Give(bytes) }, true
}

// adjustable reports whether the pool can take a new configuration over with all that
// it has learnt: what it decides by is the same but for what may be adjusted.
func (c *core) adjustable(cfg config.Pool) bool {
	old, next := c.settings, cfg.Settings
	old.Balancer.Limits = balancer.Limits{}
	next.Balancer.Limits = balancer.Limits{}
	old.IdleClose = 0
	next.IdleClose = 0
	return reflect.DeepEqual(old, next) &&
		(c.cfg.Discovery == "") == (cfg.Discovery == "") &&
		c.cfg.CountsDiscoverySocket == cfg.CountsDiscoverySocket
}

// adjust takes over a configuration for which the pool is adjustable. No open request
// is disturbed.
func (c *core) adjust(cfg config.Pool) {
	limits := cfg.Settings.Balancer.Limits
	c.connections.SetTimeouts(cfg.Settings.IdleClose, limits.ConnectTimeout)
	c.discovery.setAddress(cfg.Discovery)
	c.mu.Lock()
	defer c.mu.Unlock()
	if limits != c.settings.Balancer.Limits {
		c.decisions.balancer.SetLimits(limits)
	}
	relisted := !reflect.DeepEqual(c.cfg.KnownEndpoints.Endpoints, cfg.KnownEndpoints.Endpoints)
	if c.discovery.client == nil && relisted {
		c.applyListLocked(balancer.ListFull, cfg.KnownEndpoints)
	}
	c.settings.Balancer.Limits = limits
	c.settings.IdleClose = cfg.Settings.IdleClose
	c.cfg = cfg
}

// drain ends a pool that no route leads to any more, once all its requests have their results,
// after the timeout at the latest. Attempts that are still in flight then release what they
// hold at their own deadlines.
func (c *core) drain(timeout time.Duration) {
	c.mu.Lock()
	c.requests.drain()
	c.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-c.requests.drained:
	case <-timer.C:
		c.log.Warn("pool did not drain in time", "timeout", timeout)
	}
	c.close()
}

// close ends the pool's discovery, timers and idle connections.
func (c *core) close() {
	c.discovery.stop(c)
	c.connections.Close()
	if c.cfg.CountsDiscoverySocket {
		c.resources.sockets.Give(1)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timers.stop()
	if delayed := c.listObserver.delayed; delayed != nil {
		delayed.Stop()
	}
}
