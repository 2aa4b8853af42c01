package proxy

import (
	"time"

	"ryerill/balancer"
)

// timerSet holds the timers that the Balancer has set. Its owner's mutex guards it.
type timerSet struct {
	pending map[*time.Timer]struct{}
	stopped bool // none is set any more
}

// fired removes a timer, and reports false if it had been stopped.
func (s *timerSet) fired(timer *time.Timer) bool {
	_, pending := s.pending[timer]
	delete(s.pending, timer)
	return pending
}

// stop stops all timers for good.
func (s *timerSet) stop() {
	s.stopped = true
	for timer := range s.pending {
		timer.Stop()
	}
	clear(s.pending)
}

// scheduleTimerLocked dispatches a timer's event once it is due, unless the pool has
// ended by then.
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
	c.timers.pending[timer] = struct{}{} // before the function can get the mutex
}
