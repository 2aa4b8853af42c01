package proxy

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"ryerill/admin"
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

// Restore implements [admin.Controller]. To restore an endpoint that is not down is no error.
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

// hasListed reports whether the list of one pool at least has an endpoint, or had it.
func (p *Proxy) hasListed(endpoint string) bool {
	return slices.ContainsFunc(p.activePools(), func(c *core) bool { return c.hasListed(endpoint) })
}

// setOverrides brings new overrides into force: everywhere, before it returns.
func (p *Proxy) setOverrides(overrides override.Set) {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := p.overrides
	stated := p.statedOverrides
	p.statedOverrides = overrides
	overrides = overrides.Observed(stated, previous, p.clock.now())
	p.overrides = overrides
	for c := range p.pools.all() {
		c.setOverrides(overrides)
	}
	if overrides.DrainSince != previous.DrainSince {
		p.log.Info("drain changed", "draining", overrides.DrainSince != 0)
		if p.fleet != nil {
			go p.announcePhase()
		}
		for _, l := range p.listeners {
			l.server.Drain(p.drainStartLocked())
		}
	}
	if !maps.Equal(overrides.Down, previous.Down) {
		p.log.Info("endpoints taken down changed", "endpoint", slices.Sorted(maps.Keys(overrides.Down)))
	}
}

// drainStart is when a drain began, by the monotonic clock of this process.
type drainStart struct {
	ordered time.Duration // as the overrides state it: Unix time
	at      time.Time
}

// drainStartLocked is when the drain began that is ordered; zero is none. It
// may have been ordered at another process of this proxy, whose clock reads the same Unix time.
// It is worked out once: a listener that opens after the wall clock has stepped follows the others.
func (p *Proxy) drainStartLocked() time.Time {
	if p.overrides.DrainSince == 0 {
		return time.Time{}
	}
	if p.drainStart.ordered != p.overrides.DrainSince {
		now := time.Now()
		elapsed := time.Duration(now.UnixNano()) - p.overrides.DrainSince
		p.drainStart = drainStart{ordered: p.overrides.DrainSince, at: now.Add(-max(elapsed, 0))}
	}
	return p.drainStart.at
}
