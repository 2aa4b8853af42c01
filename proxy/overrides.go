package proxy

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"ryerill/admin"
	"ryerill/internal/overridestore"
	"ryerill/override"
)

// TakeDown implements [admin.Controller].
func (p *Proxy) TakeDown(endpoint string) error {
	if !p.hasListed(endpoint) {
		return unknownEndpoint(endpoint)
	}
	return p.store.Update(func(set override.Set, now time.Duration) (override.Set, error) {
		return set.TakeDown(endpoint, now)
	})
}

// Restore implements [admin.Controller]. Restoring an endpoint that is not down is not an error.
func (p *Proxy) Restore(endpoint string) error {
	return p.store.Update(func(set override.Set, now time.Duration) (override.Set, error) {
		if !set.IsDown(endpoint) && !p.hasListed(endpoint) {
			return set, unknownEndpoint(endpoint)
		}
		return set.Restore(endpoint, now), nil
	})
}

// StartDrain implements [admin.Controller].
func (p *Proxy) StartDrain() error {
	return p.store.Update(func(set override.Set, now time.Duration) (override.Set, error) {
		return set.StartDrain(now), nil
	})
}

// StopDrain implements [admin.Controller].
func (p *Proxy) StopDrain() error {
	return p.store.Update(func(set override.Set, _ time.Duration) (override.Set, error) {
		return set.StopDrain(), nil
	})
}

func unknownEndpoint(name string) error {
	return fmt.Errorf("%q: %w", name, admin.ErrUnknownEndpoint)
}

// hasListed reports whether any pool's list contains an endpoint or contained it before.
func (p *Proxy) hasListed(endpoint string) bool {
	return slices.ContainsFunc(p.activePools(), func(c *core) bool { return c.hasListed(endpoint) })
}

// openOverrides reads the overrides shared by the processes of this proxy.
func (p *Proxy) openOverrides(path string) {
	p.store = overridestore.Open(path, p.log, p.setOverrides)
	p.storedOverrides = p.store.Current()
	p.overrides = p.storedOverrides.AtStartup(p.clock.now())
	p.drainStart.foundAtStartup = p.overrides.DrainSince
}

// setOverrides applies new overrides to all pools and listeners before it returns.
func (p *Proxy) setOverrides(overrides override.Set) {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := p.overrides
	stated := p.storedOverrides
	p.storedOverrides = overrides
	overrides = overrides.AfterReread(stated, previous, p.clock.now())
	p.overrides = overrides
	for c := range p.pools.all() {
		c.setOverrides(overrides)
	}
	if overrides.DrainSince != previous.DrainSince {
		p.log.Info("drain changed", "draining", overrides.DrainSince != 0)
		if p.fleet != nil {
			go p.announcePhase()
		}
		start := p.drainStartLocked() // computed now even without a listener, see drainStartLocked
		for _, l := range p.listeners {
			l.server.Drain(start)
		}
	}
	if !maps.Equal(overrides.Down, previous.Down) {
		p.log.Info("administratively down endpoints changed", "endpoint", slices.Sorted(maps.Keys(overrides.Down)))
	}
}

// drainStart is the start of a drain by the monotonic clock of this process.
type drainStart struct {
	foundAtStartup time.Duration // DrainSince found at the start of this process (Unix time), or 0
	requestedAt    time.Duration // DrainSince that startedAt was computed from (Unix time)
	startedAt      time.Time
}

// drainStartLocked returns the start of the current drain, or zero if there is none. Another process of this proxy may
// have started the drain, by a wall clock that has stepped since. The result is therefore not after now and, for a
// drain that this process did not find at its start, not before the store was last read without it. It is computed once
// per drain, so that listeners opened after a step of the wall clock use the same time.
func (p *Proxy) drainStartLocked() time.Time {
	if p.overrides.DrainSince == 0 {
		return time.Time{}
	}
	if p.drainStart.requestedAt != p.overrides.DrainSince {
		now := time.Now()
		elapsed := time.Duration(now.UnixNano()) - p.overrides.DrainSince
		if p.store != nil && p.overrides.DrainSince != p.drainStart.foundAtStartup {
			elapsed = min(elapsed, now.Sub(p.store.KnownAt()))
		}
		p.drainStart.requestedAt = p.overrides.DrainSince
		p.drainStart.startedAt = now.Add(-max(elapsed, 0))
	}
	return p.drainStart.startedAt
}
