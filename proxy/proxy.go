// Package proxy is a balancing proxy that a program can embed: [New] makes one
// from a configuration and [Proxy.Run] runs it.
//
// An invocation passes a chain of stages, each in a file of its own: take in,
// admit, route, send, relay, book. They stand round a core that knows no
// protocol. What is decided is decided by the Balancer of the root package.
package proxy

import (
	"context"
	"fmt"
	"log/slog"
	"reflect"
	"sync"
	"time"

	"ryerill"
	"ryerill/config"
	"ryerill/consumer"
	"ryerill/directory"
	"ryerill/internal/buffer"
	"ryerill/invocation"
	"ryerill/provider"
)

// spareSockets are kept for the listener, the directory, standard streams and
// the runtime's own descriptors.
const spareSockets = 16

// front is a protocol before the core: it brings invocations in and carries
// their answers out.
type front interface {
	// Serve hands invocations over until ctx ends and all of them have been answered.
	Serve(ctx context.Context, intake invocation.Intake) error
	Address() string
}

// Proxy balances invocations over the providers of one tier.
type Proxy struct {
	log     *slog.Logger
	buffers *buffer.Pool
	front   front

	mu        sync.Mutex
	cfg       config.Config
	directory *directory.Client // nil until Run
}

// Option changes how a proxy is made.
type Option func(*Proxy)

// WithLogger makes the proxy log to log, which must not block, in place of
// slog's default.
func WithLogger(log *slog.Logger) Option { return func(p *Proxy) { p.log = log } }

// New returns a proxy that listens already; consumers wait until Run.
func New(cfg config.Config, options ...Option) (*Proxy, error) {
	p := &Proxy{cfg: cfg, log: slog.Default(), buffers: new(buffer.Pool)}
	for _, option := range options {
		option(p)
	}
	b := &cfg.Settings.Balancer
	var names consumer.Names
	for _, c := range b.Classes {
		names.Classes = append(names.Classes, c.Name)
		names.Deadlines = append(names.Deadlines, c.Deadline)
		names.Effects = append(names.Effects, c.Effect)
	}
	for _, t := range b.Tenants {
		names.Tenants = append(names.Tenants, t.Name)
	}
	server, err := consumer.Listen(cfg.Listen, (cfg.Limits.Sockets-spareSockets)/2, names, p.buffers)
	if err != nil {
		return nil, fmt.Errorf("proxy %s: %w", cfg.Name, err)
	}
	p.front = server
	return p, nil
}

// Address returns the address that consumers reach the proxy at.
func (p *Proxy) Address() string { return p.front.Address() }

// Run serves until ctx ends and all that was taken in has been answered.
func (p *Proxy) Run(ctx context.Context) error {
	p.mu.Lock()
	cfg := p.cfg
	p.mu.Unlock()
	settings := cfg.Settings
	limits := settings.Balancer.Limits
	pool := provider.NewPool((cfg.Limits.Sockets-spareSockets)/2, settings.IdleClose, limits.ConnectTimeout, p.buffers)
	defer pool.Close()
	c := &core{
		log:       p.log,
		clock:     clock{time.Now()},
		settings:  settings,
		pool:      pool,
		balancer:  ryerill.New(settings.Balancer, cfg.Seed),
		open:      make(map[ryerill.RequestID]*entry),
		providers: make(map[ryerill.ServerID]*target),
	}
	life, end := context.WithCancel(context.WithoutCancel(ctx)) // the list is watched until the last answer
	defer end()
	p.mu.Lock()
	c.directory = directory.NewClient(life, p.cfg.Directory, cfg.Known, p.buffers, c)
	p.directory = c.directory
	p.mu.Unlock()
	c.mu.Lock()
	c.list(ryerill.ListCached, cfg.Known)
	c.mu.Unlock()
	p.log.Info("serving", "name", cfg.Name, "tier", settings.Balancer.Tier, "address", p.Address())
	if err := p.front.Serve(ctx, c); err != nil {
		return fmt.Errorf("proxy %s: %w", cfg.Name, err)
	}
	return nil
}

// Reload takes over what may change while a proxy runs: the address of the
// directory. What else a configuration says holds from the next start on.
// Nothing that is open is disturbed.
func (p *Proxy) Reload(cfg config.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.cfg
	p.cfg.Directory = cfg.Directory
	if p.directory != nil {
		p.directory.Move(cfg.Directory)
	}
	later := old.Name != cfg.Name || old.Listen != cfg.Listen || old.Limits != cfg.Limits ||
		!reflect.DeepEqual(old.Settings, cfg.Settings)
	p.log.Info("configuration reloaded", "discovery", cfg.Directory, "moved", old.Directory != cfg.Directory,
		"restart needed for the rest", later)
}
