package downstream

import (
	"time"

	"ryerill/drain"
)

const (
	// After the signal to stop, a process is killed after the longest deadline or this, whichever is shorter,
	maxKillDelay = 3 * time.Second
	// and this on top. What is received up to then may go unanswered.
	killGrace = 700 * time.Millisecond
	// The last results are written so long before the kill.
	killMargin = 400 * time.Millisecond
	// Connections are closed so long before the kill.
	closeMargin = killMargin / 4
)

// beginShutdown is called when the context of Serve ends.
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
	// It can't fail on a listener that is open, and a closed one accepts nothing.
	_ = s.listener.SetDeadline(s.stoppedAt.Add(plan.StopAccepting))
	if killDelay > 0 && !plan.KeepsProcess {
		s.expireTimer = time.AfterFunc(killDelay-killMargin, s.expireRequests)
	}
}

// openRequest is a request that has been accepted by its service.
type openRequest struct {
	service Service
	ticket  uint64
}

// expireRequests has all that is still open answered: the process will be killed.
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

// beforeKillLocked is t, or shortly before this process may be killed. s.mu is held.
func (s *Server) beforeKillLocked(t time.Time) time.Time {
	if s.stoppedAt.IsZero() || s.killDelay == 0 || s.shutdown.KeepsProcess {
		return t
	}
	return earlier(t, s.stoppedAt.Add(s.killDelay-closeMargin))
}

// limitRemaining is how long a request accepted now may take whose client waits for remaining.
func (s *Server) limitRemaining(remaining time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stoppedAt.IsZero() || s.shutdown.KeepsProcess || time.Since(s.stoppedAt) < killGrace-killMargin/2 {
		return remaining
	}
	return min(remaining, max(time.Until(s.stoppedAt.Add(s.killDelay-killMargin)), 0))
}

// Drain empties the server as an operator has ordered, counted from since, or ends the drain if since is zero.
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

// phaseLocked is the phase of the shutdown and of the drain together. s.mu is held.
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

// phase is the present phase.
func (s *Server) phase() drain.Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phaseLocked()
}

// closeIdle ends all connections that have no request open, if the phase still wants that.
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
