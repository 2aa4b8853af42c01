// Package proxy is a balancing proxy that a program can embed: [New] makes one
// from a configuration and [Proxy.Run] runs it.
//
// A request comes in at a listener, and a route leads it to a pool. There its
// invocation passes a chain of stages, each in a file of its own: take in, admit,
// route, send, relay, book. They stand round a core that knows no protocol. What
// is decided is decided by the Balancer of the root package, one for each pool.
package proxy

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"ryerill/admin"
	"ryerill/config"
	"ryerill/downstream"
	"ryerill/fleet"
	"ryerill/fleet/rollout"
	"ryerill/internal/buffer"
	"ryerill/internal/handover"
	"ryerill/internal/overridestore"
	"ryerill/override"
	"ryerill/route"
)

// front is a protocol before the pools: it brings invocations in and carries
// their answers out.
type front interface {
	// Serve hands invocations over until ctx ends and all of them have been answered.
	Serve(ctx context.Context, services downstream.Router) error
	Address() string
	SetMaxConnections(connections int)
	// Drain empties the front, counted from since, or ends that if it is zero.
	Drain(since time.Time)
	Close()
}

// Proxy balances invocations over the providers of its pools.
type Proxy struct {
	log     *slog.Logger
	buffers *buffer.Pool
	clock   clock
	machine *machine
	present atomic.Pointer[services] // what fronts find their way by

	reloading sync.Mutex // one reload at a time

	mu      sync.Mutex
	cfg     config.Config
	fronts  []*listener
	pools   map[string]*core // nil until Run
	leaving sync.WaitGroup   // pools and fronts that end
	life    context.Context  // of Run; nil before
	ending  bool             // Run waits for the last answers: nothing new begins
	ready   bool             // it has lists and listens
	word    override.Set     // what staff have ordered
	parting map[*core]struct{}
	failed  chan error

	figures  figures
	door     *admin.Server // nil is none
	kept     *overridestore.Store
	siblings *handover.Registry
	second   bool // another process of this proxy was there first
	lives    int  // processes of this proxy, and this one
	state    handover.State
	teach    sync.Once
	taught   chan struct{} // closed once another process has told what it has learnt
	onShare  func(part float64)
	side     *side  // in the fleet; nil is none
	program  string // its version
	changer  fleet.ChangeFunc
	plan     func(text []byte) (rollout.Plan, error)
}

// listener is a front at its address.
type listener struct {
	config.Listener
	front front
	stop  context.CancelFunc
}

// Option changes how a proxy is made.
type Option func(*Proxy)

// WithLogger makes the proxy log to log, which must not block, in place of
// slog's default.
func WithLogger(log *slog.Logger) Option { return func(p *Proxy) { p.log = log } }

// WithProcessShare makes the proxy tell what part of the machine's memory is its own:
// less than 1 while another process of the same proxy lives. share must not block.
func WithProcessShare(share func(part float64)) Option { return func(p *Proxy) { p.onShare = share } }

// WithProgram tells the version of the program, which the fleet is told.
func WithProgram(version string) Option { return func(p *Proxy) { p.program = version } }

// WithRollouts has the proxy take part in its fleet's rollouts: change brings settings
// about here, plan reads one that a person hands over.
func WithRollouts(change fleet.ChangeFunc, plan func(text []byte) (rollout.Plan, error)) Option {
	return func(p *Proxy) { p.changer, p.plan = change, plan }
}

// New returns a proxy that listens already; consumers wait until Run. One that
// finds another process of the same proxy listens in Run, when it is ready to serve.
func New(cfg config.Config, options ...Option) (*Proxy, error) {
	p := &Proxy{cfg: cfg, log: slog.Default(), buffers: new(buffer.Pool), failed: make(chan error, 1),
		machine: newMachine(cfg.Shared()), parting: make(map[*core]struct{}), lives: 1, state: handover.Starting, taught: make(chan struct{}), onShare: func(float64) {}}
	for _, option := range options {
		option(p)
	}
	if len(cfg.Listeners) == 0 || len(cfg.Pools) == 0 {
		return nil, fmt.Errorf("proxy %s: a listener or a pool is missing", cfg.Name)
	}
	path := ""
	if cfg.Admin != "" {
		if path = overridestore.Path(cfg.SharedDir, cfg.Name, cfg.Listeners[0].Address); path == "" {
			p.log.Warn("what staff order lasts only as long as this process", "reason", config.EnvTempDir+" is not set")
		}
	}
	p.kept = overridestore.Open(path, p.log, p.obey)
	p.word = p.kept.Current()
	var err error
	if p.siblings, err = handover.Register(path, p.log); err != nil { // serving goes before being known
		p.log.Warn("an upgrade will not find this process", "error", err)
	}
	if cfg.Admin != "" {
		if p.door, err = admin.Listen(cfg.Admin); err != nil {
			p.door = nil
			p.Close()
			return nil, fmt.Errorf("proxy %s: %w", cfg.Name, &config.AddressError{Key: "mgmt", Value: cfg.Admin, Err: err})
		}
	}
	others := p.siblings.Others()
	if p.second = len(others) > 0; !p.second {
		if err := p.open(cfg); err != nil {
			p.Close()
			return nil, err
		}
	}
	if err := p.joinFleet(); err != nil {
		p.Close()
		return nil, fmt.Errorf("proxy %s: %w", cfg.Name, err)
	}
	p.divide(others)
	return p, nil
}

// open listens for consumers.
func (p *Proxy) open(cfg config.Config) error {
	for _, l := range cfg.Listeners {
		f, err := p.listen(l, len(cfg.Listeners))
		if err != nil {
			return fmt.Errorf("proxy %s: %w", cfg.Name, err)
		}
		p.fronts = append(p.fronts, f)
	}
	return nil
}

// connections is how many each of so many listeners may hold.
func (p *Proxy) connections(listeners int) int {
	return p.cfg.Connections() / 2 / p.lives / max(listeners, 1)
}

func (p *Proxy) listen(l config.Listener, listeners int) (*listener, error) {
	// With a door comes a second process beside this one at an upgrade.
	s, err := downstream.Listen(l.Address, p.connections(listeners), p.cfg.Admin != "", p.buffers)
	if err != nil {
		return nil, fmt.Errorf("listener %s: %w", l.Name, err)
	}
	return &listener{Listener: l, front: s}, nil
}

// Close ends a proxy that never ran.
func (p *Proxy) Close() {
	p.siblings.Deregister()
	if host := p.fleetHost(); host != nil {
		host.Close()
	}
	if p.door != nil {
		p.door.Close()
	}
	for _, l := range p.fronts {
		l.front.Close()
	}
}

// Door returns the address of the operators' door, or "" if there is none.
func (p *Proxy) Door() string {
	if p.door == nil {
		return ""
	}
	return p.door.Address()
}

// Address returns the address that consumers reach the first listener at, or ""
// while it does not listen.
func (p *Proxy) Address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.fronts) == 0 {
		return ""
	}
	return p.fronts[0].front.Address()
}

// AddressOf returns the address of a listener, or "" if there is none of that name.
func (p *Proxy) AddressOf(name string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.fronts {
		if l.Name == name {
			return l.front.Address()
		}
	}
	return ""
}

// Find returns the way of a request by the present routes.
func (p *Proxy) Find(req *http.Request, class string) (downstream.Route, error) {
	return p.present.Load().Find(req, class)
}

// MaxDeadline is the longest deadline of the present pools.
func (p *Proxy) MaxDeadline() time.Duration { return p.present.Load().MaxDeadline() }

// Run serves until ctx ends and all that was taken in has been answered.
func (p *Proxy) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	p.mu.Lock()
	p.clock = clock{time.Now()}
	p.life = ctx
	cfg := p.cfg
	p.pools = map[string]*core{}
	if !p.machine.claim(cfg.Pools) {
		p.mu.Unlock()
		return fmt.Errorf("proxy %s: the pools' guarantees exceed what the machine has", cfg.Name)
	}
	for i, pool := range cfg.Pools {
		p.pools[pool.Name] = newCore(pool, cfg.Seed+uint64(i), p.machine.rooms(pool.Name), p.buffers, p.log, p.clock, &p.figures, p.word, p.second, p.shares())
	}
	now, problems := newServices(cfg.Routes, p.pools)
	if now == nil {
		p.mu.Unlock()
		return fmt.Errorf("proxy %s: %w", cfg.Name, fatal(problems))
	}
	p.present.Store(now)
	p.mu.Unlock()
	side, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	if p.door != nil {
		p.log.Info("operators' door", "at", p.door.Address(), "beside another", p.second)
		go p.door.Serve(side, p)
		go p.kept.Watch(side)
		go p.siblings.Watch(side, p.divide)
		defer p.siblings.Deregister()
	}
	p.runFleet()
	defer p.leaveFleet()
	if p.second {
		p.await(ctx)
	}
	p.mu.Lock()
	if p.second && ctx.Err() == nil {
		if err := p.open(p.cfg); err != nil {
			p.mu.Unlock()
			p.Close()
			return err
		}
	}
	for _, l := range p.fronts {
		p.serve(l)
		l.front.Drain(p.drainsSince())
	}
	p.ready = true
	p.mu.Unlock()
	p.say(handover.Serving)
	p.sayPhase()
	if len(cfg.Pools) > 1 || cfg.Pools[0].Settings.AnyPath {
		go p.machine.run(side)
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-p.failed:
	}
	stop()
	p.say(handover.Leaving)
	p.mu.Lock()
	p.ending = true
	p.mu.Unlock()
	if p.sayPhase(); p.succeeded() {
		p.leaveFleet() // the other takes its address over
	}
	p.leaving.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.pools {
		c.close()
	}
	if err != nil {
		return fmt.Errorf("proxy %s: %w", cfg.Name, err)
	}
	return nil
}

// serve starts a front. The mutex is held.
func (p *Proxy) serve(l *listener) {
	ctx, stop := context.WithCancel(p.life)
	l.stop = stop
	p.leaving.Add(1)
	p.log.Info("serving", "name", p.cfg.Name, "listener", l.Name, "pools", len(p.cfg.Pools), "address", l.front.Address())
	go func() {
		defer p.leaving.Done()
		defer stop()
		if err := l.front.Serve(ctx, p); err != nil {
			select {
			case p.failed <- err:
			default:
			}
		}
	}()
}

// fatal is the first problem of a table that can't be used.
func fatal(problems []route.Problem) error {
	for _, problem := range problems {
		if problem.Fatal() {
			return problem
		}
	}
	return errors.New("the routes are at fault")
}
