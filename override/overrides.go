// Package override holds the overrides that operators set by hand: which endpoints are administratively down, which of
// those were restored, and whether the proxy drains. Overrides apply on top of the endpoint list. The package does no
// I/O.
package override

import (
	"errors"
	"maps"
	"time"

	"ryerill/balancer"
)

const (
	maxEntries    = 1024      // limit for endpoints that are down, and for restored ones
	maxNameBytes  = 256       // limit for an endpoint's name
	restoreExpiry = time.Hour // age at which a restore is dropped: every endpoint has warmed up by then
)

// ErrTooMany is the error for taking down more endpoints than a [Set] can hold.
var ErrTooMany = errors.New("too many providers are out already: call some back first")

// Set holds the overrides in force. It is an immutable value: its methods return a changed copy or, if nothing
// changes, the set itself. Times are Unix time.
type Set struct {
	Version    uint64                   // increases with each change
	Down       map[string]time.Duration // time at which an endpoint was taken down, by name
	Restored   map[string]time.Duration // time at which an endpoint was restored, by name
	DrainSince time.Duration            // start of the drain; 0 if the proxy does not drain
}

// next returns a copy with its own maps and the next version.
func (s Set) next() Set {
	s.Version++
	s.Down = clone(s.Down)
	s.Restored = clone(s.Restored)
	return s
}

// clone returns a writable copy, also of a nil map.
func clone(times map[string]time.Duration) map[string]time.Duration {
	if times == nil {
		return map[string]time.Duration{}
	}
	return maps.Clone(times)
}

// TakeDown takes an endpoint down. An endpoint that is already down keeps its time. The error is [ErrTooMany].
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

// Restore puts an endpoint that is down back in use. If there are too many restores, the oldest ones are dropped.
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

// oldestRestored returns the endpoint with the oldest restore; of several, the first by name. The argument must be a
// restored endpoint.
func (s Set) oldestRestored(oldest string) string {
	for name, at := range s.Restored {
		if at < s.Restored[oldest] || at == s.Restored[oldest] && name < oldest {
			oldest = name
		}
	}
	return oldest
}

// StartDrain starts a drain. A drain in progress keeps its start time.
func (s Set) StartDrain(now time.Duration) Set {
	if s.DrainSince == 0 {
		s = s.next()
		s.DrainSince = max(now, 1) // 0 means no drain
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

// AtStartup returns the set for a process that reads it at its start; now is the process's time. It sets restores that
// are in the future to now, as the wall clock has stepped back since they were made. Other times are unchanged.
func (s Set) AtStartup(now time.Duration) Set {
	s.Restored = clone(s.Restored)
	for name, at := range s.Restored {
		s.Restored[name] = min(at, now)
	}
	return s
}

// AfterReread returns the set for a running process that reads it after another set; now is the process's time. stored
// is the other set as it was read, applied as AtStartup or AfterReread returned it. It sets new restores to now, as the
// wall clock that they were ordered by may have stepped since the process started. Known restores keep their applied
// time.
func (s Set) AfterReread(stored, applied Set, now time.Duration) Set {
	if len(s.Restored) == 0 {
		return s
	}
	restored := make(map[string]time.Duration, len(s.Restored))
	for name, at := range s.Restored {
		restored[name] = now
		if known, ok := stored.Restored[name]; ok && known == at {
			restored[name] = applied.Restored[name]
		}
	}
	s.Restored = restored
	return s
}

// Apply returns an endpoint of the list with the overrides applied: a ready endpoint that is down becomes draining,
// and a restored one counts as started at its restore or later, so that it warms up.
func (s Set) Apply(name string, endpoint balancer.Endpoint) balancer.Endpoint {
	if s.IsDown(name) && endpoint.State == balancer.Ready {
		endpoint.State = balancer.Draining
	}
	endpoint.StartedAt = max(endpoint.StartedAt, s.Restored[name])
	return endpoint
}
