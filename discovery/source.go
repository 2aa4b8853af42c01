package discovery

import "context"

// source is a discovery service as the client knows it. The client's mutex guards it.
type source struct {
	address      string
	holdsList    bool   // a list of it is known, so that changes of that can be requested
	index        uint64 // version of that list; any number may be one, 0 too
	overdueCalls int    // for a whole list in a row, whose answer did not begin in time
	watch        *watch // nil while there is none: it has failed and is not yet started again
}

// watch is a sequence of calls to one source, which ends when it is stopped or when a call fails.
type watch struct {
	stop context.CancelFunc
}

// stopWatchLocked ends the watch of a source, if there is one. c.mu is held.
func (s *source) stopWatchLocked() {
	if s == nil || s.watch == nil {
		return
	}
	s.watch.stop()
	s.watch = nil
}

// dropPreviousLocked ends the watch of the service before the present one. c.mu is held.
func (c *Client) dropPreviousLocked() {
	c.previous.stopWatchLocked()
	c.previous = nil
}
