package downstream

import (
	"time"

	"ryerill/drain"
)

const (
	// After the stop signal, the process may be killed after the longest deadline or this, whichever is shorter, plus
	// killGrace.
	maxKillDelay = 3 * time.Second
	// Added to the delay above. Requests received during it may remain unanswered.
	killGrace = 700 * time.Millisecond
	// A request received this long after the stop signal must be answered before the kill. It is less than the grace by
	// what passes between the arrival of a request and the moment at which a process that is held up notices it.
	lateAfter = killGrace - killMargin/2
	// Open requests expire this long before the kill, so that their results are still written.
	killMargin = 400 * time.Millisecond
	// Lingering connections are closed this long before the kill.
	closeMargin = killMargin / 4
)

// beginShutdown starts the shutdown when the context of Serve ends.
func (s *Server) beginShutdown() {
	var killDelay time.Duration
	if longest := s.router.MaxDeadline(); longest > 0 {
		killDelay = min(longest, maxKillDelay) + killGrace
	}
	plan := s.router.ShutdownPlan(killDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stoppedAt = time.Now()
	s.killDelay = killDelay
	s.shutdown = plan
	// SetDeadline fails only on a closed listener, which accepts no connections anyway.
	_ = s.listener.SetDeadline(s.stoppedAt.Add(plan.StopAccepting))
	s.idleTimer = time.AfterFunc(plan.CloseIdle, s.closeIdle)
	if s.awaitsKillLocked() {
		s.expireTimer = time.AfterFunc(killDelay-killMargin, s.expireRequests)
	}
}

// openRequest identifies a request that its service has accepted.
type openRequest struct {
	service Service
	ticket  uint64
}

// expireRequests expires all open requests, so that they are answered before the process is killed.
func (s *Server) expireRequests() {
	for _, open := range s.openRequests() {
		open.service.Expire(open.ticket)
	}
}

func (s *Server) openRequests() (all []openRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.state == stateBusy && c.open.service != nil {
			all = append(all, c.open)
		}
	}
	return all
}

// beforeKillLocked returns t or closeMargin before the process may be killed, whichever is earlier. Callers must hold
// s.mu.
func (s *Server) beforeKillLocked(t time.Time) time.Time {
	if !s.awaitsKillLocked() {
		return t
	}
	return earlier(t, s.stoppedAt.Add(s.killDelay-closeMargin))
}

// awaitsKillLocked reports whether the process may be killed soon. Callers must hold s.mu.
func (s *Server) awaitsKillLocked() bool {
	return !s.stoppedAt.IsZero() && s.killDelay > 0 && !s.shutdown.KeepsProcess
}

// backlogEnd returns when the connections left in the listener's queue are given up, if accepting them fails until
// then. Clients whose connections a shutdown closes may be among them.
func (s *Server) backlogEnd() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := time.Now().Add(newConnectionGrace)
	lastAnswer := s.stoppedAt.Add(s.killDelay - killMargin)
	if s.awaitsKillLocked() && lastAnswer.After(end) {
		return lastAnswer
	}
	return end
}

// isLateLocked reports whether a request received at the given time must be answered before the process may be killed.
// Callers must hold s.mu.
func (s *Server) isLateLocked(receivedAt time.Time) bool {
	return s.awaitsKillLocked() && receivedAt.Sub(s.stoppedAt) >= lateAfter
}

// mayStream reports whether a response may be passed on while its endpoint still sends it. A late request gets only a
// response that the proxy has whole: the kill might cut off another.
func (c *conn) mayStream() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	receivedAt := c.receivedAt
	if receivedAt.IsZero() { // the client may still send its last byte, and then the request counts as received
		receivedAt = time.Now()
	}
	c.withheld = c.server.isLateLocked(receivedAt)
	return !c.withheld
}

// limitRemaining returns how long a request accepted now may take whose client waits for remaining: less than that if
// the process may be killed before.
func (s *Server) limitRemaining(remaining time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isLateLocked(time.Now()) {
		return remaining
	}
	return min(remaining, max(time.Until(s.stoppedAt.Add(s.killDelay-killMargin)), 0))
}

// Drain starts a drain ordered by an operator, whose phases count from since, or ends it if since is zero.
func (s *Server) Drain(since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drainTimer != nil {
		s.drainTimer.Stop()
		s.drainTimer = nil
	}
	s.drainSince = since
	if !since.IsZero() {
		s.drainTimer = time.AfterFunc(time.Until(since.Add(drain.Manual().CloseIdle)), s.closeIdle)
	}
}

// phaseLocked returns the combined phase of the shutdown and the drain. Callers must hold s.mu.
func (s *Server) phaseLocked() drain.Phase {
	phase := drain.Phase{Ready: true}
	if !s.stoppedAt.IsZero() {
		phase = s.shutdown.At(time.Since(s.stoppedAt))
	}
	if !s.drainSince.IsZero() {
		phase = drain.Combine(phase, drain.Manual().At(time.Since(s.drainSince)))
	}
	return phase
}

// phase returns the combined phase of the shutdown and the drain.
func (s *Server) phase() drain.Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phaseLocked()
}

// closeIdle ends all idle connections if the current phase still requires it: the drain may have ended meanwhile.
func (s *Server) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.phaseLocked().ClosesIdle {
		return
	}
	for c := range s.conns {
		if c.state == stateIdle {
			c.endWhenIdleLocked()
		}
	}
}
