package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"syscall"
	"time"

	"ryerill/admin"
	"ryerill/config"
	"ryerill/fleet"
	"ryerill/fleet/membership"
	"ryerill/fleet/placement"
	"ryerill/internal/handover"
)

// joinInterval is how often a second process tries to take the fleet's address over from
// the first.
const joinInterval = 100 * time.Millisecond

var (
	errNoFleet = errors.New("this proxy is in no fleet now")
	// errFleetRemoved ends the wait for the fleet's address after a reload.
	errFleetRemoved = errors.New("the configuration has no fleet any more")
)

// fleetMember is the proxy's membership in its fleet. Without a fleet in the configuration
// there is none: no socket, no goroutine, no timer.
type fleetMember struct {
	stop  context.CancelFunc // nil until it runs
	ended chan struct{}      // closed once it has run

	mu sync.Mutex
	// The fields below are guarded by mu.
	host      *fleet.Fleet // nil until its address is free
	positions map[string]placement.Position
}

func (m *fleetMember) setHost(host *fleet.Fleet) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.host = host
}

// joinFleet opens the fleet's address. A second process goes on without until the
// first has closed it.
func (p *Proxy) joinFleet() error {
	if p.cfg.Fleet == nil {
		return nil
	}
	p.fleet = &fleetMember{ended: make(chan struct{})}
	host, err := p.newFleetHost()
	if err != nil && p.processes.second && errors.Is(err, syscall.EADDRINUSE) {
		return nil
	}
	p.fleet.setHost(host)
	return err
}

func (p *Proxy) newFleetHost() (*fleet.Fleet, error) {
	p.mu.Lock()
	settings, text := p.cfg.Fleet, p.cfg.Text
	p.mu.Unlock()
	if settings == nil {
		return nil, errFleetRemoved
	}
	cfg := settings.Config
	cfg.ProgramVersion = p.version
	cfg.SettingsHash = config.CommonHash(text)
	host, err := fleet.New(cfg, p.log, p.setPositions)
	if err != nil {
		return nil, &config.AddressError{Key: "fleet.listen", Value: settings.Listen, Err: err}
	}
	host.SetSubject(p)
	if p.rollouts.change != nil {
		host.EnableRollouts(p.rollouts.change, p.poolActivity)
	}
	return host, nil
}

// runFleet keeps up the membership until leaveFleet.
func (p *Proxy) runFleet() {
	if p.fleet == nil {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	p.fleet.stop = stop
	go func() {
		defer close(p.fleet.ended)
		if p.awaitFleetHost(ctx) {
			p.announcePhase()
			p.fleetHost().Run(ctx)
		}
	}()
}

// awaitFleetHost waits until the fleet's address could be opened, and reports false if ctx
// ends before or it can't be.
func (p *Proxy) awaitFleetHost(ctx context.Context) bool {
	for p.fleetHost() == nil {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(joinInterval):
		}
		host, err := p.newFleetHost()
		if err == nil {
			p.fleet.setHost(host)
		} else if !errors.Is(err, syscall.EADDRINUSE) {
			p.log.Error("fleet not joined, serving without it", "err", err)
			return false
		}
	}
	return true
}

// fleetHost returns the host of the membership; nil is none, or none yet.
func (p *Proxy) fleetHost() *fleet.Fleet {
	if p.fleet == nil {
		return nil
	}
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.fleet.host
}

// leaveFleet ends the membership. Where another process of this proxy takes it over the
// name goes on, and the fleet is not notified of a departure. It may be called twice.
func (p *Proxy) leaveFleet() {
	if p.fleet == nil || p.fleet.stop == nil {
		return
	}
	if host := p.fleetHost(); host != nil && p.processes.successor() {
		host.Abandon()
	}
	p.fleet.stop()
	<-p.fleet.ended
}

// announcePhase announces the phase of this process to the fleet.
func (p *Proxy) announcePhase() {
	host := p.fleetHost()
	if host == nil {
		return
	}
	p.mu.Lock()
	phase := p.phaseLocked()
	hash := config.CommonHash(p.cfg.Text)
	p.mu.Unlock()
	host.Announce(phase, hash)
}

func (p *Proxy) phaseLocked() membership.Phase {
	switch {
	case p.ending || p.processes.state == handover.Leaving:
		return membership.Leaving
	case p.overrides.DrainSince != 0:
		return membership.Draining
	case p.ready:
		return membership.Serving
	}
	return membership.Starting
}

// setPositions takes over this replica's positions in its pools.
func (p *Proxy) setPositions(positions map[string]placement.Position) {
	p.fleet.mu.Lock()
	p.fleet.positions = positions
	p.fleet.mu.Unlock()
	go p.applyPositions() // the fleet does not wait for the pools
}

// applyPositions passes the newest positions on to the pools.
func (p *Proxy) applyPositions() {
	if p.fleet == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet.mu.Lock()
	positions := p.fleet.positions
	p.fleet.mu.Unlock()
	for name, c := range p.pools.active {
		if position, known := positions[name]; known {
			c.setPosition(position)
		}
	}
}

// setPosition states the position of this replica among those of the pool.
func (c *core) setPosition(position placement.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	quotaReplicas := position.QuotaReplicas
	if !position.Confirmed {
		quotaReplicas = 0
	}
	c.decisions.balancer.SetReplicas(position.Index, position.Of, quotaReplicas)
}

// reloadFleet takes over what a reload changes of the fleet: keys, pools, the hash of
// the settings. It reports whether something else has changed: addresses and names hold from
// the next start on.
func (p *Proxy) reloadFleet(old, cfg *config.Fleet) (restart bool) {
	host := p.fleetHost()
	if host == nil || cfg == nil || old == nil {
		return (p.fleet != nil) != (cfg != nil)
	}
	if err := host.SetKeys(cfg.Keys); err != nil {
		p.log.Error("fleet keys not replaced, the old ones hold", "err", err)
	}
	host.SetPools(cfg.Pools, cfg.ReplicaCounts)
	return old.Listen != cfg.Listen || old.Fleet != cfg.Fleet || old.Advertise != cfg.Advertise
}

// Fleet implements [admin.Controller].
func (p *Proxy) Fleet() (json.RawMessage, error) {
	if host := p.fleetHost(); host != nil {
		return json.Marshal(host.HostStatus())
	}
	if p.fleet != nil {
		return nil, admin.ErrFleetNotJoined
	}
	return nil, admin.ErrNoFleet
}

// SharedState implements [admin.Controller].
func (p *Proxy) SharedState() (json.RawMessage, error) {
	if host := p.fleetHost(); host != nil {
		if shared := host.SharedStatus(); shared != nil {
			return json.Marshal(shared)
		}
	}
	return nil, admin.ErrNothingShared
}

// ForgetReplica implements [admin.Controller].
func (p *Proxy) ForgetReplica(name string) error {
	if host := p.fleetHost(); host != nil {
		return host.Forget(name)
	}
	return errNoFleet
}
