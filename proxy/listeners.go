package proxy

import (
	"context"
	"fmt"

	"ryerill/config"
	"ryerill/downstream"
)

// listener is a configured listener and its server.
type listener struct {
	config.Listener
	server *downstream.Server
	stop   context.CancelFunc // stops the server; nil until it serves
}

// openListenersLocked opens all configured listeners.
func (p *Proxy) openListenersLocked(cfg config.Config) error {
	maxConnections := p.maxConnectionsLocked(len(cfg.Listeners))
	for _, entry := range cfg.Listeners {
		l, err := p.openListener(entry, maxConnections)
		if err != nil {
			return fmt.Errorf("proxy %s: %w", p.name, err)
		}
		p.listeners = append(p.listeners, l)
	}
	return nil
}

func (p *Proxy) openListener(cfg config.Listener, maxConnections int) (*listener, error) {
	// A proxy with a management endpoint can be upgraded by a second process, which shares the address.
	shared := p.admin != nil
	server, err := downstream.Listen(cfg.Address, maxConnections, shared, p.buffers)
	if err != nil {
		return nil, fmt.Errorf("listener %s: %w", cfg.Name, err)
	}
	server.RecordFaults(cfg.Name, p.faults)
	return &listener{Listener: cfg, server: server}, nil
}

// maxConnectionsLocked returns the connection limit of each listener, given the number of listeners.
func (p *Proxy) maxConnectionsLocked(listeners int) int {
	return p.cfg.Connections() / 2 / p.processes.count / max(listeners, 1)
}

// serveLocked starts a listener's server.
func (p *Proxy) serveLocked(l *listener) {
	ctx, stop := context.WithCancel(p.runCtx)
	l.stop = stop
	p.log.Info("serving", "name", p.name, "listener", l.Name, "pools", len(p.cfg.Pools), "address", l.server.Address())
	p.running.Add(1)
	go func() {
		defer p.running.Done()
		defer stop()
		if err := l.server.Serve(ctx, p); err != nil {
			select {
			case p.failed <- err:
			default: // another listener's error is already reported
			}
		}
	}()
	l.server.Drain(p.drainStartLocked())
}

// Address returns the address of the first listener, or "" before any listener is open.
func (p *Proxy) Address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.listeners) == 0 {
		return ""
	}
	return p.listeners[0].server.Address()
}

// AddressOf returns the address of the named listener, or "" if there is none.
func (p *Proxy) AddressOf(name string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.listeners {
		if l.Name == name {
			return l.server.Address()
		}
	}
	return ""
}
