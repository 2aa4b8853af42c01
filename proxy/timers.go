package proxy

import (
	"time"

	"ryerill/balancer"
)

// timerSet holds the timers set by the Balancer. It is guarded by its owner's mutex.
type timerSet struct {
	pending map[*time.Timer]struct{}
	stopped bool // no further timers are set
}

// fired removes a timer that has fired. It reports false if the timer has been stopped.
func (s *timerSet) fired(timer *time.Timer) bool {
	_, pending := s.pending[timer]
	delete(s.pending, timer)
	return pending
}

// stop stops all timers and prevents new ones.
func (s *timerSet) stop() {
	s.stopped = true
	for timer := range s.pending {
		timer.Stop()
	}
	clear(s.pending)
}

// scheduleTimerLocked dispatches a timer event after wait, unless the pool has been closed by then.
func (c *core) scheduleTimerLocked(wait time.Duration, token uint32) {
	if c.timers.stopped {
		return
	}
	var timer *time.Timer
	timer = time.AfterFunc(wait, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.timers.fired(timer) {
			c.dispatchLocked(balancer.Event{Kind: balancer.TimerFired, Token: token})
		}
	})
	c.timers.pending[timer] = struct{}{} // before the function can acquire the mutex
}
