package downstream

import "time"

const (
	// A connection is not evicted for this long after the accept or after the first byte of a request: the request, or
	// the rest of it, is likely to arrive.
	freshPeriod = 50 * time.Millisecond
	// A connection idle for at least this long is less likely to be used again, and is evicted earlier.
	settledAfter = 2 * time.Second
)

// evictionRank orders connections for eviction; the lowest rank is evicted first.
type evictionRank int

const (
	rankLingering    evictionRank = iota // the sending side is closed already
	rankNoRequest                        // no request received within freshPeriod of the accept
	rankIdle                             // idle for at least settledAfter
	rankIncomplete                       // request not received completely within freshPeriod
	rankRecentlyUsed                     // idle for less than settledAfter: the client is likely to use it again
	notEvictable
)

// freeDescriptor frees a reserved descriptor at once and evicts a connection, which soon frees its descriptor. It
// reports whether the reserve had a descriptor left.
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

// evictionCandidateLocked returns the connection with the lowest eviction rank, or nil if none can be evicted. Among
// equal ranks it returns the one that has been in its state for longest. Callers must hold s.mu.
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

// evictionRank returns the connection's rank at the given time. Callers must hold server.mu.
func (c *conn) evictionRank(now time.Time) evictionRank {
	inState := now.Sub(c.stateSince)
	switch {
	case c.evicted:
		return notEvictable
	case c.state == stateLingering:
		return rankLingering
	case c.state == stateIdle && !c.hasRequested && inState >= freshPeriod:
		return rankNoRequest
	case c.state == stateIdle && c.hasRequested && inState >= settledAfter:
		return rankIdle
	case c.state == stateReading && inState >= freshPeriod:
		return rankIncomplete
	case c.state == stateIdle && c.hasRequested:
		return rankRecentlyUsed
	}
	return notEvictable
}
