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

// core is a running pool. It is independent of the protocol: it turns occurrences on sockets into events, passes them
// to the Balancer, and executes the resulting actions.
//
// mu guards the Balancer and all state that its decisions depend on. Actions are executed in order while mu is held, so
// no action may block. Callers of methods whose names end in Locked must hold mu.
type core struct {
	log           *slog.Logger // has the pool's name as an attribute
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
	activity     *activity // for the fleet; nil if no state is shared
	ends         endCounters
}

// coreConfig holds the dependencies of a pool in addition to its own configuration.
type coreConfig struct {
	seed      uint64
	resources *poolResources
	buffers   *buffer.Pool
	log       *slog.Logger
	clock     clock
	counters  *counters
	faults    *faultlog.Recorder
	overrides override.Set
	// refetch requests the complete list from discovery even if a list is known: in the second process of a proxy the
	// known list may be as old as the first process.
	refetch    bool
	succession succession
	shared     bool // record activity for the fleet
}

// newCore starts a pool with its Balancer, connections and discovery.
func newCore(cfg config.Pool, deps coreConfig) *core {
	settings := cfg.Settings
	budget := &deps.resources.sockets
	connectTimeout := settings.Balancer.Limits.ConnectTimeout
	log := deps.log.With("pool", cfg.Name)
	c := &core{
		log:         log,
		graceCheck:  graceCheck{log: log},
		unsolicited: newUnsolicitedLog(log),
		name:        cfg.Name,
		clock:       deps.clock,
		cfg:         cfg,
		settings:    settings,
		resources:   deps.resources,
		connections: upstream.NewPool(budget, settings.IdleClose, connectTimeout, deps.buffers),
		counters:    deps.counters,
		decisions: decisionLoop{
			log:      log,
			clock:    deps.clock,
			balancer: balancer.New(settings.Balancer, deps.seed),
		},
		requests:  newRequestTable(),
		endpoints: newEndpointTable(),
		overrides: deps.overrides,
		timers:    timerSet{pending: make(map[*time.Timer]struct{})},
		discovery: newDiscoveryWatch(),
	}
	c.connections.RecordFaults(cfg.Name, deps.faults)
	c.connections.ObserveUnsolicited(c.unsolicited)
	c.connections.SetBodyBudget(&deps.resources.bodies)
	trim := c.connections.TrimIdle
	deps.resources.trimIdle.Store(&trim)
	if deps.shared {
		c.activity = newActivity(&settings.Balancer)
	}
	c.setClasses()
	if cfg.CountsDiscoverySocket {
		c.resources.sockets.used.Add(1) // part of the pool's guarantee, so always available
	}
	c.startDiscovery(deps)
	return c
}

// startDiscovery applies the endpoint list known at the start and watches discovery for newer ones.
func (c *core) startDiscovery(deps coreConfig) {
	predecessor := deps.succession.predecessor
	if c.sharesDiscovery(deps.succession) && c.joinDiscovery(predecessor) {
		return
	}
	kind := balancer.ListFull // without discovery the configured list is complete
	known := c.cfg.KnownEndpoints
	refetch := deps.refetch
	discovered := false // whether another pool's discovery provided the list
	if c.cfg.Discovery != "" {
		kind = balancer.ListCached
		if list, inherits := predecessor.discoveredList(); inherits {
			known = list
			refetch = true // its version may belong to another discovery service
			discovered = true
		} else {
			known, discovered = deps.succession.current(known)
		}
	}
	clientList := known
	clientList.Snapshot = known.Snapshot && !refetch // otherwise the first call would block until the list changes
	c.mu.Lock()
	defer c.mu.Unlock()
	c.discovery.start(&c.cfg, clientList, deps, c)
	c.applyListLocked(kind, known)
	c.endpoints.discovered = discovered
}

// setClasses sets the classes and tenants from the settings.
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

// adjustable reports whether the pool can apply a new configuration and keep its learnt state: only limits and the idle
// timeout of the settings may differ.
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

// adjust applies a configuration for which adjustable reports true. Open requests are not affected.
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

// drain closes a pool that is no longer routed to, once all its requests have their results or the timeout has passed.
// Attempts still in flight after the timeout release their resources at their own deadlines.
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

// close stops the pool's discovery and timers and closes its idle connections.
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
