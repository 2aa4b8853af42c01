// Package proxy is a balancing proxy that a program can embed: [New] makes one
// from a configuration and [Proxy.Run] runs it.
//
// A request comes in at a listener, and the router finds its pool. There it
// is accepted and goes through attempts to its result (request.go, attempt.go). A
// pool is a core that knows no protocol: what happens becomes events, package
// balancer decides them, and the core executes the actions (decisions.go).
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

// Reasons why the proxy is not ready. Their texts are the management endpoint's responses.
var (
	errStarting = errors.New("not ready: it has no list of backends yet, or does not listen")
	errEnding   = errors.New("not ready: it ends")
	errDraining = errors.New("not ready: it drains, until POST /ops/drain/stop")
)

// Proxy balances requests over the endpoints of its pools. Its exported methods
// may be called concurrently unless they say otherwise.
//
// Methods whose names end in Locked are called with the mutex held. It is taken before
// that of any pool, of the fleet's member or of the resources.
type Proxy struct {
	name      string
	version   string // of the program
	log       *slog.Logger
	buffers   *buffer.Pool
	resources *resources // of the machine
	counters  counters
	faults    *faultlog.Recorder
	router    atomic.Pointer[router] // set by Run
	admin     *admin.Server          // nil is none
	store     *overridestore.Store
	processes processes
	fleet     *fleetMember // nil is none
	rollouts  rollouts
	leaving   sync.WaitGroup // pools and listeners that end
	failed    chan error     // the first error of a listener

	reloading sync.Mutex // held by a reload from its beginning to its end

	mu sync.Mutex
	// The fields below are guarded by mu.
	cfg             config.Config
	clock           clock // set by Run
	listeners       []*listener
	pools           poolSet
	overrides       override.Set    // those that came since the start with their restores by clock
	statedOverrides override.Set    // the same as they are stored
	drainStart      drainStart      // of the latest drain
	life            context.Context // of Run; nil before
	ready           bool            // it has lists and listens
	ending          bool            // Run waits for the last results: nothing new begins
}

// Option changes how a proxy is made.
type Option func(*Proxy)

// WithLogger makes the proxy log to log, which must not block, instead of
// slog's default.
func WithLogger(log *slog.Logger) Option { return func(p *Proxy) { p.log = log } }

// WithProcessShare makes the proxy report which part of the machine's memory is its own:
// less than 1 while another process of the same proxy is running. The function must not block.
func WithProcessShare(share func(part float64)) Option {
	return func(p *Proxy) { p.processes.onShare = share }
}

// WithProgram states the version of the program, which the fleet publishes.
func WithProgram(version string) Option { return func(p *Proxy) { p.version = version } }

// WithRollouts has the proxy take part in its fleet's rollouts: change brings settings
// into force here, parsePlan parses a plan that an operator submits.
func WithRollouts(change fleet.ChangeFunc, parsePlan func(text []byte) (rollout.Plan, error)) Option {
	return func(p *Proxy) { p.rollouts = rollouts{change: change, parsePlan: parsePlan} }
}

// New returns a proxy that listens already; clients wait until Run. One that
// finds another process of the same proxy listens in Run, when it is ready to serve.
// An address that can't be listened at is a [config.AddressError].
func New(cfg config.Config, options ...Option) (*Proxy, error) {
	p := &Proxy{
		name:      cfg.Name,
		cfg:       cfg,
		log:       slog.Default(),
		buffers:   new(buffer.Pool),
		resources: newResources(cfg.Shared()),
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

// openShared opens what the processes of this proxy share: overrides and their registry. Without
// either the proxy serves all the same.
func (p *Proxy) openShared() {
	path := ""
	if p.cfg.Admin != "" {
		path = overridestore.Path(p.cfg.SharedDir, p.name, p.cfg.Listeners[0].Address)
		if path == "" {
			p.log.Warn("overrides last only as long as this process", "reason", config.EnvTempDir+" is not set")
		}
	}
	p.openOverrides(path)
	var err error
	p.processes.registry, err = handover.Register(path, p.log)
	if err != nil {
		p.log.Warn("an upgrade will not find this process", "err", err)
	}
}

// open opens the proxy's addresses, as far as this process is to have them now.
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

// Close ends a proxy that never ran.
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

// Readiness implements [admin.Controller]. A drain does not make a second process unready while
// the first one runs: it is ready to take over the first one's state, including its drain.
func (p *Proxy) Readiness() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	takesOver := p.processes.second && p.processes.count > 1
	switch {
	case !p.ready:
		return errStarting
	case p.life.Err() != nil:
		return errEnding
	case p.overrides.DrainSince != 0 && !takesOver:
		return errDraining
	}
	return nil
}

// Starting reports whether the proxy doesn't serve yet.
func (p *Proxy) Starting() bool { return errors.Is(p.Readiness(), errStarting) }

// Run serves until ctx ends and all that was accepted has its result. It is called once.
func (p *Proxy) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if err := p.startPools(ctx); err != nil {
		return fmt.Errorf("proxy %s: %w", p.name, err)
	}
	divides := p.dividesResources()
	// What runs beside the requests goes on until the last has its result.
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

// startPools starts the pools and the router that leads to them.
func (p *Proxy) startPools(ctx context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clock = clock{time.Now()}
	p.life = ctx
	p.pools.active = map[string]*core{}
	if !p.resources.claim(p.cfg.Pools) {
		return errGuarantees
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

// runAdmin starts the management endpoint, and what passes orders and states between the processes of
// this proxy.
func (p *Proxy) runAdmin(ctx context.Context) {
	p.log.Info("management endpoint listening", "address", p.admin.Address(), "second_process", p.processes.second)
	go p.admin.Serve(ctx, p)
	go p.store.Watch(ctx)
	go p.processes.registry.Watch(ctx, p.setProcesses)
}

// startListeners begins to serve clients.
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

// dividesResources reports whether resources may ever have to be divided among pools: the
// platform's form of configuration has one pool, and its reloads add none.
func (p *Proxy) dividesResources() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.cfg.Pools) > 1 || p.cfg.Pools[0].Settings.AnyPath
}

// finish waits until all that was accepted has its result, and ends the pools.
func (p *Proxy) finish() {
	p.setState(handover.Leaving)
	p.mu.Lock()
	p.ending = true
	p.mu.Unlock()
	p.announcePhase()
	if p.processes.successor() {
		p.leaveFleet() // the other process takes its address over
	}
	p.leaving.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.pools.active {
		c.close()
	}
}
