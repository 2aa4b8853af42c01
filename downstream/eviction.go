package downstream

import "time"

const (
	// For this long a new connection is expected to bring a request, and one that has begun to be received whole.
	freshPeriod = 50 * time.Millisecond
	// A connection that has been idle for longer may be closed at any time.
	settledAfter = 2 * time.Second
)

// evictionRank orders connections for eviction; the lowest rank is evicted first.
type evictionRank int

const (
	rankLingering    evictionRank = iota // only lingers
	rankSilent                           // was to bring a request and does not
	rankIdle                             // idle for long
	rankIncomplete                       // its request does not come to its end
	rankRecentlyUsed                     // idle for a short time: its client is likely to use it again
	notEvictable
)

// freeDescriptor frees a descriptor of the reserve at once, and evicts a connection, whose descriptor is free soon. It
// reports whether the reserve had one.
func (s *Server) freeDescriptor() bool {
	s.mu.Lock()
	candidate := s.evictionCandidateLocked(time.Now())
	if candidate != nil {
		candidate.evictLocked()
	}
	s.mu.Unlock()
	s.router.CloseSpareConnections()
	return s.descriptors.Lend()
}

// evictionCandidateLocked returns the connection of the lowest eviction rank, or nil. Among equals it is the one that
// has been in its state for longest. s.mu is held.
func (s *Server) evictionCandidateLocked(now time.Time) (candidate *conn) {
	lowest := notEvictable
	for c := range s.conns {
		rank := c.evictionRank(now)
		if rank == notEvictable {
			continue
		}
		if rank < lowest || rank == lowest && c.stateSince.Before(candidate.stateSince) {
			candidate = c
			lowest = rank
		}
	}
	return candidate
}

// evictionRank is the connection's rank. The server's mutex is held.
func (c *conn) evictionRank(now time.Time) evictionRank {
	inState := now.Sub(c.stateSince)
	switch {
	case c.evicted:
		return notEvictable
	case c.state == stateLingering:
		return rankLingering
	case c.state == stateIdle && !c.hasRequested && inState >= freshPeriod:
		return rankSilent
	case c.state == stateIdle && c.hasRequested && inState >= settledAfter:
		return rankIdle
	case c.state == stateReading && inState >= freshPeriod:
		return rankIncomplete
	case c.state == stateIdle && c.hasRequested:
		return rankRecentlyUsed
	}
	return notEvictable
}
