// Package proxy implements an embeddable load-balancing proxy. [New] creates a proxy from a configuration and
// [Proxy.Run] runs it.
//
// A listener receives a request and the router selects its pool. The pool accepts the request and executes attempts
// until the request has a result (request.go, attempt.go). A pool is a core, which is independent of the protocol: it
// turns occurrences into events, passes them to package balancer, and executes the resulting actions (decisions.go).
package proxy

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"ryerill/admin"
	"ryerill/config"
	"ryerill/fleet"
	"ryerill/fleet/rollout"
	"ryerill/internal/buffer"
	"ryerill/internal/faultlog"
	"ryerill/internal/handover"
	"ryerill/internal/overridestore"
	"ryerill/override"
)

// Reasons why the proxy is not ready. The management endpoint returns their texts.
var (
	errStarting     = errors.New("not ready: it has no list of backends yet, or does not listen")
	errShuttingDown = errors.New("not ready: it ends")
	errDraining     = errors.New("not ready: it drains, until POST /ops/drain/stop")
)

// Proxy balances requests over the endpoints of its pools. Its exported methods are safe for concurrent use unless
// documented otherwise.
//
// Callers of methods whose names end in Locked must hold mu. Lock order: mu is acquired before the mutex of a pool, of
// the fleet member or of the resources.
type Proxy struct {
	name      string
	version   string // version of the program
	log       *slog.Logger
	buffers   *buffer.Pool
	resources *resources // the machine's resources
	counters  counters
	faults    *faultlog.Recorder
	router    atomic.Pointer[router] // set by Run
	admin     *admin.Server          // nil if there is no management endpoint
	store     *overridestore.Store
	processes processes
	fleet     *fleetMember // nil if no fleet is configured
	rollouts  rollouts
	running   sync.WaitGroup // serving listeners and draining pools
	failed    chan error     // the first error of a listener

	reloading sync.Mutex // held for the whole duration of a reload

	mu sync.Mutex
	// The fields below are guarded by mu.
	cfg             config.Config
	clock           clock // set by Run
	listeners       []*listener
	pools           poolSet
	overrides       override.Set    // in force; restores since the start are timed by clock
	storedOverrides override.Set    // as read from the store
	drainStart      drainStart      // of the latest drain
	runCtx          context.Context // context of Run; nil before Run
	ready           bool            // has endpoint lists and is listening
	shuttingDown    bool            // Run waits for the last results and accepts no reload
}

// Option configures a proxy.
type Option func(*Proxy)

// WithLogger sets the logger, which must not block. The default is slog's default logger.
func WithLogger(log *slog.Logger) Option { return func(p *Proxy) { p.log = log } }

// WithProcessShare sets a function that receives this process's fraction of the machine's memory, which is less than 1
// while another process of the same proxy is running. The function must not block.
func WithProcessShare(share func(part float64)) Option {
	return func(p *Proxy) { p.processes.onMemoryShare = share }
}

// WithProgram sets the version of the program that the proxy publishes to its fleet.
func WithProgram(version string) Option { return func(p *Proxy) { p.version = version } }

// WithRollouts enables the proxy to take part in its fleet's rollouts. change applies settings to this proxy; parsePlan
// parses a plan submitted by an operator.
func WithRollouts(change fleet.ChangeFunc, parsePlan func(text []byte) (rollout.Plan, error)) Option {
	return func(p *Proxy) { p.rollouts = rollouts{change: change, parsePlan: parsePlan} }
}

// New returns a proxy that is already listening; clients are served from Run on. If another process of the same proxy
// is running, the listeners are opened in Run instead, when the proxy is ready to serve. New returns a
// [config.AddressError] if it can't listen on an address.
func New(cfg config.Config, options ...Option) (*Proxy, error) {
	p := &Proxy{
		name:      cfg.Name,
		cfg:       cfg,
		log:       slog.Default(),
		buffers:   new(buffer.Pool),
		resources: newResources(cfg.SharedResources()),
		pools:     poolSet{draining: make(map[*core]struct{})},
		processes: newProcesses(),
		failed:    make(chan error, 1),
	}
	for _, option := range options {
		option(p)
	}
	if len(cfg.Listeners) == 0 || len(cfg.Pools) == 0 {
		return nil, fmt.Errorf("proxy %s: a listener or a pool is missing", cfg.Name)
	}
	p.faults = faultlog.New(p.log)
	p.openShared()
	if err := p.open(); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

// openShared opens the overrides and the registry shared by the processes of this proxy. The proxy can serve without
// them.
func (p *Proxy) openShared() {
	path := ""
	if p.cfg.Admin != "" {
		path = overridestore.Path(p.cfg.SharedDir, p.name, p.cfg.Listeners[0].Address)
		if path == "" {
			p.log.Warn("overrides are not stored beyond this process", "reason", config.EnvTempDir+" is not set")
		}
	}
	p.openOverrides(path)
	var err error
	p.processes.registry, err = handover.Register(path, p.log)
	if err != nil {
		p.log.Warn("process not registered, an upgrade will not detect it", "err", err)
	}
}

// open opens the management and fleet addresses and, unless another process is running, the listeners.
func (p *Proxy) open() error {
	if p.cfg.Admin != "" {
		server, err := admin.Listen(p.cfg.Admin)
		if err != nil {
			address := &config.AddressError{Key: "mgmt", Value: p.cfg.Admin, Err: err}
			return fmt.Errorf("proxy %s: %w", p.name, address)
		}
		p.admin = server
	}
	others := p.processes.registry.Others()
	p.processes.second = len(others) > 0
	if !p.processes.second {
		p.mu.Lock()
		err := p.openListenersLocked(p.cfg)
		p.mu.Unlock()
		if err != nil {
			return err
		}
	}
	if err := p.joinFleet(); err != nil {
		return fmt.Errorf("proxy %s: %w", p.name, err)
	}
	p.setProcesses(others)
	return nil
}

// Close releases the resources of a proxy that has not been run.
func (p *Proxy) Close() {
	p.processes.registry.Deregister()
	if host := p.fleetHost(); host != nil {
		host.Close()
	}
	if p.admin != nil {
		p.admin.Close()
	}
	for _, l := range p.listeners {
		l.server.Close()
	}
}

// AdminAddress returns the address of the management endpoint, or "" if there is none.
func (p *Proxy) AdminAddress() string {
	if p.admin == nil {
		return ""
	}
	return p.admin.Address()
}

// Readiness implements [admin.Controller]. A drain does not make a second process unready while the first process runs:
// the second is ready to take over the first one's state, including its drain.
func (p *Proxy) Readiness() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	takesOver := p.processes.second && p.processes.count > 1
	switch {
	case !p.ready:
		return errStarting
	case p.runCtx.Err() != nil:
		return errShuttingDown
	case p.overrides.DrainSince != 0 && !takesOver:
		return errDraining
	}
	return nil
}

// Starting reports whether the proxy is not serving yet.
func (p *Proxy) Starting() bool { return errors.Is(p.Readiness(), errStarting) }

// Run serves until ctx ends and all accepted requests have their results. It must be called at most once.
func (p *Proxy) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if err := p.startPools(ctx); err != nil {
		return fmt.Errorf("proxy %s: %w", p.name, err)
	}
	divides := p.dividesResources()
	// Background tasks continue until the last request has its result.
	background, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	if p.admin != nil {
		p.runAdmin(background)
		defer p.processes.registry.Deregister()
	}
	p.runFleet()
	defer p.leaveFleet()
	if p.processes.second {
		p.awaitHandover(ctx)
	} else {
		p.awaitPushedLists(ctx)
	}
	if err := p.startListeners(ctx); err != nil {
		p.Close()
		return err
	}
	p.setState(handover.Serving)
	p.announcePhase()
	if divides {
		go p.resources.run(background)
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-p.failed:
	}
	stop()
	p.finish()
	if err != nil {
		return fmt.Errorf("proxy %s: %w", p.name, err)
	}
	return nil
}

// startPools starts the pools and the router.
func (p *Proxy) startPools(ctx context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clock = clock{time.Now()}
	p.runCtx = ctx
	p.pools.active = map[string]*core{}
	if !p.resources.claim(p.cfg.Pools) {
		return errGuaranteesTooHigh
	}
	for i, pool := range p.cfg.Pools {
		p.pools.active[pool.Name] = p.newPoolLocked(pool, i, p.processes.second, succession{})
	}
	router, err := newRouter(p.cfg.Routes, p.pools.active)
	if err != nil {
		return err
	}
	p.router.Store(router)
	return nil
}

// runAdmin starts the management endpoint, and the watches of the overrides and the states shared by the processes of
// this proxy.
func (p *Proxy) runAdmin(ctx context.Context) {
	p.log.Info("management endpoint listening", "address", p.admin.Address(), "second_process", p.processes.second)
	go p.admin.Serve(ctx, p)
	go p.store.Watch(ctx)
	go p.processes.registry.Watch(ctx, p.setProcesses)
}

// startListeners starts serving clients on all listeners.
func (p *Proxy) startListeners(ctx context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.processes.second && ctx.Err() == nil {
		if err := p.openListenersLocked(p.cfg); err != nil {
			return err
		}
	}
	for _, l := range p.listeners {
		p.serveLocked(l)
	}
	p.ready = true
	return nil
}

// dividesResources reports whether resources may have to be divided among pools. A configuration in the platform's
// format has a single pool, also after reloads.
func (p *Proxy) dividesResources() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.cfg.Pools) > 1 || p.cfg.Pools[0].Settings.AnyPath
}

// finish waits until all accepted requests have their results, and closes the pools.
func (p *Proxy) finish() {
	p.setState(handover.Leaving)
	p.mu.Lock()
	p.shuttingDown = true
	p.mu.Unlock()
	p.announcePhase()
	if p.processes.hasSuccessor() {
		p.leaveFleet() // lets the other process open the fleet's address
	}
	p.running.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.pools.active {
		c.close()
	}
}
