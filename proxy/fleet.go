package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
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

// again is how often a second process tries to take the fleet's address over from
// the first.
const again = 100 * time.Millisecond

// side is the proxy's place in its fleet. Without one in the configuration there
// is none: no socket, no goroutine, no timer.
type side struct {
	mu     sync.Mutex
	host   *fleet.Fleet // nil until its address is free
	places map[string]placement.Position
	stop   context.CancelFunc
	gone   chan struct{}
}

// joinFleet opens the fleet's address. A second process goes on without until the
// first has let it go.
func (p *Proxy) joinFleet() error {
	if p.cfg.Fleet == nil {
		return nil
	}
	p.side = &side{gone: make(chan struct{})}
	host, err := p.newHost()
	if err != nil && p.second && errors.Is(err, syscall.EADDRINUSE) {
		return nil
	}
	p.side.host = host
	return err
}

func (p *Proxy) newHost() (*fleet.Fleet, error) {
	p.mu.Lock()
	c, text := p.cfg.Fleet, p.cfg.Text
	p.mu.Unlock()
	own := c.Config
	own.ProgramVersion, own.SettingsHash = p.program, config.CommonHash(text)
	host, err := fleet.New(own, p.log, p.placed)
	if err != nil {
		return nil, &config.AddressError{Key: "fleet.listen", Value: c.Listen, Err: err}
	}
	host.SetSubject(p)
	if p.changer != nil {
		host.EnableRollouts(p.changer, p.done)
	}
	return host, nil
}

// runFleet keeps the place until leaveFleet.
func (p *Proxy) runFleet() {
	if p.side == nil {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	p.side.stop = stop
	go func() {
		defer close(p.side.gone)
		for p.fleetHost() == nil {
			select {
			case <-ctx.Done():
				return
			case <-time.After(again):
			}
			host, err := p.newHost()
			if err == nil {
				p.side.mu.Lock()
				p.side.host = host
				p.side.mu.Unlock()
			} else if !errors.Is(err, syscall.EADDRINUSE) {
				p.log.Error("fleet: going on without", "error", err)
				return
			}
		}
		p.sayPhase()
		p.fleetHost().Run(ctx)
	}()
}

func (p *Proxy) fleetHost() *fleet.Fleet {
	if p.side == nil {
		return nil
	}
	p.side.mu.Lock()
	defer p.side.mu.Unlock()
	return p.side.host
}

// leaveFleet ends the place. Where another process of this proxy takes it over the
// name goes on, and the fleet is not told that it leaves.
func (p *Proxy) leaveFleet() {
	if p.side == nil || p.side.stop == nil {
		return
	}
	if host := p.fleetHost(); host != nil && p.succeeded() {
		host.Abandon()
	}
	p.side.stop()
	<-p.side.gone
}

// succeeded tells whether another process of this proxy serves.
func (p *Proxy) succeeded() bool {
	return slices.ContainsFunc(p.siblings.Others(), func(s handover.Process) bool { return s.State == handover.Serving })
}

// sayPhase tells the fleet what this process is at.
func (p *Proxy) sayPhase() {
	host := p.fleetHost()
	if host == nil {
		return
	}
	p.mu.Lock()
	phase := membership.Starting
	switch {
	case p.ending || p.state == handover.Leaving:
		phase = membership.Leaving
	case p.word.DrainSince != 0:
		phase = membership.Draining
	case p.ready:
		phase = membership.Serving
	}
	hash := config.CommonHash(p.cfg.Text)
	p.mu.Unlock()
	host.Announce(phase, hash)
}

// placed takes in this copy's places and tells the pools.
func (p *Proxy) placed(places map[string]placement.Position) {
	p.side.mu.Lock()
	p.side.places = places
	p.side.mu.Unlock()
	go p.place() // the fleet does not wait for the pools
}

// place tells the pools their places, the newest there are.
func (p *Proxy) place() {
	if p.side == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.side.mu.Lock()
	places := p.side.places
	p.side.mu.Unlock()
	for name, c := range p.pools {
		if at, told := places[name]; told {
			c.place(at)
		}
	}
}

// place tells the Balancer its place among the copies.
func (c *core) place(at placement.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	among := at.QuotaReplicas
	if !at.Confirmed {
		among = 0
	}
	c.balancer.SetReplicas(at.Index, at.Of, among)
}

// refleet takes over what a reload changes of the fleet: keys, pools, the hash of
// the settings. Its addresses and names hold from the next start on.
func (p *Proxy) refleet(old, cfg config.Config) (later bool) {
	host := p.fleetHost()
	if host == nil || cfg.Fleet == nil || old.Fleet == nil {
		return (p.side != nil) != (cfg.Fleet != nil)
	}
	if err := host.SetKeys(cfg.Fleet.Keys); err != nil {
		p.log.Error("fleet: the old keys hold", "error", err)
	}
	host.SetPools(cfg.Fleet.Pools, cfg.Fleet.ReplicaCounts)
	a, b := old.Fleet, cfg.Fleet
	return a.Listen != b.Listen || a.Fleet != b.Fleet || a.Advertise != b.Advertise
}

// Fleet implements [admin.Controller].
func (p *Proxy) Fleet() (json.RawMessage, error) {
	if host := p.fleetHost(); host != nil {
		return json.Marshal(host.Status())
	}
	if p.side != nil {
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

// Rollout implements [admin.Controller].
func (p *Proxy) Rollout() (json.RawMessage, error) {
	if host := p.fleetHost(); host != nil {
		if status, enabled := host.RolloutStatus(); enabled {
			return json.Marshal(status)
		}
	}
	return nil, admin.ErrNoRollouts
}

// StartRollout hands a plan over, as a person wrote it.
func (p *Proxy) StartRollout(text []byte) error {
	host := p.fleetHost()
	if host == nil || p.plan == nil {
		return errNoFleet
	}
	plan, err := p.plan(text)
	if err != nil {
		return err
	}
	return host.StartRollout(plan)
}

// RolloutCommand passes staff's word on: pause, resume, abort, back; or refused, with the
// plan and why the operator's own means could not.
func (p *Proxy) RolloutCommand(word, body string) error {
	host := p.fleetHost()
	switch {
	case host == nil:
		return errNoFleet
	case word == "refused":
		plan, why, _ := strings.Cut(body, " ")
		host.RolloutRefused(plan, why)
		return nil
	}
	return host.RolloutCommand(word)
}

// AwaitReady waits until the proxy is ready and every pool has heard its directory.
func (p *Proxy) AwaitReady(within time.Duration) error {
	limit := time.NewTimer(within)
	defer limit.Stop()
	for _, c := range p.cores() {
		select {
		case <-c.heard:
		case <-limit.C:
			return fmt.Errorf("pool %s: its directory does not answer within %v", c.cfg.Name, within)
		}
	}
	return p.Readiness()
}

// ForgetReplica takes staff's word that a dead copy is gone for good.
func (p *Proxy) ForgetReplica(name string) error {
	if host := p.fleetHost(); host != nil {
		return host.Forget(name)
	}
	return errNoFleet
}

var errNoFleet = errors.New("this proxy is in no fleet now")
