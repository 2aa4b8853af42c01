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

// joinInterval is the interval at which a second process retries to open the fleet's address, until the first process
// has closed it.
const joinInterval = 100 * time.Millisecond

var (
	errNoFleet = errors.New("this proxy is in no fleet now")
	// errFleetRemoved ends the wait for the fleet's address after a reload has removed the fleet.
	errFleetRemoved = errors.New("the configuration no longer has a fleet")
)

// fleetMember is the proxy's membership in its fleet. Without a configured fleet the proxy has no fleetMember and uses
// no socket, goroutine or timer for it.
type fleetMember struct {
	stop  context.CancelFunc // nil until runFleet
	ended chan struct{}      // closed when the membership has ended

	mu sync.Mutex
	// The fields below are guarded by mu.
	host      *fleet.Fleet // nil until its address could be opened
	positions map[string]placement.Position
}

func (m *fleetMember) setHost(host *fleet.Fleet) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.host = host
}

// joinFleet opens the fleet's address. A second process starts without a host if the first process still uses the
// address; runFleet then retries.
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

// runFleet maintains the membership until leaveFleet.
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

// awaitFleetHost waits until the fleet's address is open. It reports false if ctx ends first or the fleet can't be
// joined.
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

// fleetHost returns the fleet host, or nil if there is no fleet or its address is not open yet.
func (p *Proxy) fleetHost() *fleet.Fleet {
	if p.fleet == nil {
		return nil
	}
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.fleet.host
}

// leaveFleet ends the membership. If another process of this proxy takes over, the replica's name remains in use and
// the fleet is not notified of a departure. It may be called twice.
func (p *Proxy) leaveFleet() {
	if p.fleet == nil || p.fleet.stop == nil {
		return
	}
	if host := p.fleetHost(); host != nil && p.processes.hasSuccessor() {
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
	case p.shuttingDown || p.processes.state == handover.Leaving:
		return membership.Leaving
	case p.overrides.DrainSince != 0:
		return membership.Draining
	case p.ready:
		return membership.Serving
	}
	return membership.Starting
}

// setPositions stores this replica's positions in its pools and applies them.
func (p *Proxy) setPositions(positions map[string]placement.Position) {
	p.fleet.mu.Lock()
	p.fleet.positions = positions
	p.fleet.mu.Unlock()
	go p.applyPositions() // in the background, so that the fleet does not wait for the pools
}

// applyPositions passes the latest positions to the pools.
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

// setPosition sets the position of this replica among the replicas of the pool. An unconfirmed position claims no quota
// share.
func (c *core) setPosition(position placement.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	quotaReplicas := position.QuotaReplicas
	if !position.Confirmed {
		quotaReplicas = 0
	}
	c.decisions.balancer.SetReplicas(position.Index, position.Of, quotaReplicas)
}

// reloadFleet applies a reload's changes of the fleet's keys and pools. It reports whether other fleet settings have
// changed, such as addresses or names, which take effect only after a restart.
func (p *Proxy) reloadFleet(old, cfg *config.Fleet) (restart bool) {
	host := p.fleetHost()
	if host == nil || cfg == nil || old == nil {
		return (p.fleet != nil) != (cfg != nil)
	}
	if err := host.SetKeys(cfg.Keys); err != nil {
		p.log.Error("fleet keys not replaced, keeping the old keys", "err", err)
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
