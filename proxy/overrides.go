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

// openOverrides reads the overrides that the processes of this proxy share.
func (p *Proxy) openOverrides(path string) {
	p.store = overridestore.Open(path, p.log, p.setOverrides)
	p.statedOverrides = p.store.Current()
	p.overrides = p.statedOverrides.Found(p.clock.now())
	p.drainStart.found = p.overrides.DrainSince
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
		start := p.drainStartLocked() // now, also without a listener: see there
		for _, l := range p.listeners {
			l.server.Drain(start)
		}
	}
	if !maps.Equal(overrides.Down, previous.Down) {
		p.log.Info("endpoints taken down changed", "endpoint", slices.Sorted(maps.Keys(overrides.Down)))
	}
}

// drainStart is when a drain began, by the monotonic clock of this process.
type drainStart struct {
	found   time.Duration // the order that this process found at its start, as the overrides state it: Unix time
	ordered time.Duration // likewise, the order that at is of
	at      time.Time
}

// drainStartLocked is when the drain began that is ordered; zero is none. It
// may have been ordered at another process of this proxy, whose clock reads the same Unix time unless it has stepped
// since: then a drain that was not there when this process last looked began after that, and none begins later than
// now.
// It is worked out once: a listener that opens after the wall clock has stepped follows the others.
func (p *Proxy) drainStartLocked() time.Time {
	if p.overrides.DrainSince == 0 {
		return time.Time{}
	}
	if p.drainStart.ordered != p.overrides.DrainSince {
		now := time.Now()
		elapsed := time.Duration(now.UnixNano()) - p.overrides.DrainSince
		if p.store != nil && p.overrides.DrainSince != p.drainStart.found {
			elapsed = min(elapsed, now.Sub(p.store.KnownAt()))
		}
		p.drainStart.ordered = p.overrides.DrainSince
		p.drainStart.at = now.Add(-max(elapsed, 0))
	}
	return p.drainStart.at
}
