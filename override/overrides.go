// Package override holds what the operators have ordered in person: which endpoints are
// administratively down, which of those were restored, and whether the proxy drains.
// These overrides lie on top of the endpoint list. The package does no I/O.
package override

import (
	"errors"
	"maps"
	"time"

	"ryerill/balancer"
)

const (
	maxEntries    = 1024      // endpoints that are down, and that were restored
	maxNameBytes  = 256       // of an endpoint's name
	restoreExpiry = time.Hour // after which a restore is dropped: any endpoint has warmed up by then
)

// ErrTooMany means that as many endpoints are down as a [Set] can hold.
var ErrTooMany = errors.New("too many providers are out already: call some back first")

// Set is the overrides in force. It is an immutable value: its methods return a changed set, or,
// where nothing changes, the set itself. Times are Unix time.
type Set struct {
	Version    uint64                   // grows with each change
	Down       map[string]time.Duration // by endpoint name: since when it is down
	Restored   map[string]time.Duration // by endpoint name: when it was restored
	DrainSince time.Duration            // since when the proxy drains; 0: it doesn't
}

// next returns a copy with maps of its own and the next version.
func (s Set) next() Set {
	s.Version++
	s.Down = clone(s.Down)
	s.Restored = clone(s.Restored)
	return s
}

// clone returns a copy that can be written to, also of a nil map.
func clone(times map[string]time.Duration) map[string]time.Duration {
	if times == nil {
		return map[string]time.Duration{}
	}
	return maps.Clone(times)
}

// TakeDown takes an endpoint down. For one that is down already the earlier time stays.
// The error is [ErrTooMany].
func (s Set) TakeDown(name string, now time.Duration) (Set, error) {
	if s.IsDown(name) {
		return s, nil
	}
	if len(s.Down) >= maxEntries {
		return s, ErrTooMany
	}
	s = s.next()
	delete(s.Restored, name)
	s.Down[name] = now
	return s, nil
}

// Restore puts an endpoint that is down back in use. Beyond the bound the
// restores that are longest ago are dropped.
func (s Set) Restore(name string, now time.Duration) Set {
	if !s.IsDown(name) {
		return s
	}
	s = s.next()
	delete(s.Down, name)
	s.Restored[name] = now
	maps.DeleteFunc(s.Restored, func(_ string, at time.Duration) bool { return now-at > restoreExpiry })
	for len(s.Restored) > maxEntries {
		delete(s.Restored, s.oldestRestored(name))
	}
	return s
}

// oldestRestored returns the endpoint whose restore is longest ago, the first by name of several. It
// starts from a name that is among them.
func (s Set) oldestRestored(oldest string) string {
	for name, at := range s.Restored {
		if at < s.Restored[oldest] || at == s.Restored[oldest] && name < oldest {
			oldest = name
		}
	}
	return oldest
}

// StartDrain starts a drain. One that is under way goes on as it began.
func (s Set) StartDrain(now time.Duration) Set {
	if s.DrainSince == 0 {
		s = s.next()
		s.DrainSince = max(now, 1) // 0 would mean none
	}
	return s
}

// StopDrain ends a drain.
func (s Set) StopDrain() Set {
	if s.DrainSince != 0 {
		s = s.next()
		s.DrainSince = 0
	}
	return s
}

// IsDown reports whether an endpoint is administratively down.
func (s Set) IsDown(name string) bool {
	_, down := s.Down[name]
	return down
}

// Found returns the set as it counts in a process that finds it at its start, at a time of its own clock. A restore
// that is stated to be later is of now, as the wall clock has stepped back since; any other counts as stated.
func (s Set) Found(now time.Duration) Set {
	s.Restored = clone(s.Restored)
	for name, at := range s.Restored {
		s.Restored[name] = min(at, now)
	}
	return s
}

// Observed returns the set as it counts in a process that finds it in the place of another at a time of its own clock:
// stated is that other set, and counted is how it counted. A restore that is new is of now, as the wall clock by which
// it was ordered may have stepped since the process started. One that is known goes on counting as it did.
func (s Set) Observed(stated, counted Set, now time.Duration) Set {
	if len(s.Restored) == 0 {
		return s
	}
	restored := make(map[string]time.Duration, len(s.Restored))
	for name, at := range s.Restored {
		restored[name] = now
		if known, ok := stated.Restored[name]; ok && known == at {
			restored[name] = counted.Restored[name]
		}
	}
	s.Restored = restored
	return s
}

// Apply returns an endpoint of the list as it counts under the overrides: one that is down
// is draining, and one that was restored started then at the earliest, so that it warms up.
func (s Set) Apply(name string, endpoint balancer.Endpoint) balancer.Endpoint {
	if s.IsDown(name) && endpoint.State == balancer.Ready {
		endpoint.State = balancer.Draining
	}
	endpoint.StartedAt = max(endpoint.StartedAt, s.Restored[name])
	return endpoint
}
