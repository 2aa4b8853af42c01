package balancer

import (
	"math"
	"time"
)

// listUpdated applies an endpoint list, or records that the request for it failed.
func (b *Balancer) listUpdated(event *Event) {
	switch event.ListKind {
	case ListFailed:
		b.poll.failures++
		if b.poll.failures >= minReportedFailures && isPowerOfTwo(b.poll.failures) {
			b.logf("server list: %d calls failed in a row", b.poll.failures)
		}
		b.schedulePoll()
		return
	case ListCached:
		b.schedulePoll()
	case ListWithdrawn: // the rest of the call may still fail
	default:
		b.poll.failures = 0
	}
	b.endpoints.applyList(event, b.now)
	b.chooseSubset()
}

// isComplete reports whether endpoints that the list omits are gone.
func (k ListKind) isComplete() bool { return k == ListFull || k == ListCached }

// applyList applies the entries of a list. Draining and gone endpoints get no more attempts.
func (s *endpointSet) applyList(event *Event, now time.Duration) {
	for _, e := range s.listed {
		if e.State != Gone {
			e.lastKnownAt = now
			e.lastResult = resultUnknown
			if penalty, _ := e.health.at(now, s.halfLife); penalty >= 1 {
				e.lastResult = resultFailed
			}
		}
		if event.ListKind.isComplete() {
			e.State = Gone
		}
	}
	older := event.Version < s.version
	for _, entry := range event.Endpoints {
		if s.withdrawn.rejects(&entry, older) && entry.State == Ready {
			entry.State = Draining
		}
		s.applyEntry(entry, older || s.cfg.Contract.OnlyDrainingBinds, now)
	}
	s.sortRing()
	s.removeIf(func(e *endpoint) bool { return e.State == Gone && !s.retained(e, now) })
	s.version = event.Version
}

// applyEntry applies one entry. With mayBeOld, the entry neither ends a drain nor a warm-up.
func (s *endpointSet) applyEntry(entry Endpoint, mayBeOld bool, now time.Duration) {
	e := s.byID[entry.ID]
	statedStart := entry.StartedAt
	entry.StartedAt = boundStart(e, statedStart, now)
	switch {
	case e == nil:
		e = s.add(entry, now)
		e.statedStart = statedStart
	case entry.State == Gone: // the entry may lack the zone and cell, which retries of keyed requests need
		entry.Zone = e.Zone
		entry.Cell = e.Cell
		if statedStart <= e.statedStart {
			entry.StartedAt, statedStart = e.StartedAt, e.statedStart
		}
	case mayBeOld && statedStart <= e.statedStart:
		entry.StartedAt, statedStart = e.StartedAt, e.statedStart
		if e.drained {
			entry.State = Draining
		}
	}
	restarted := statedStart != e.statedStart
	e.drained = entry.State == Draining || e.drained && !restarted
	if restarted || e.warmUpBudget.filledAt == 0 { // new or restarted: earlier observations don't apply
		e.resetForStart(now, math.Mod(float64(s.cfg.ReplicaIndex)*math.Phi, 1))
	}
	e.Endpoint = entry
	e.statedStart = statedStart
}

// boundStart returns the start time to use for a start time that a list states. The clock of this or another
// machine may be wrong, so a start in the future counts as the time at which it was first stated.
func boundStart(e *endpoint, stated, now time.Duration) time.Duration {
	switch {
	case stated <= now:
		return stated
	case e != nil && e.statedStart == stated:
		return e.StartedAt
	}
	return now
}
