package discovery

import "context"

// source is a discovery service as the client knows it. The client's mutex guards it.
type source struct {
	address      string
	holdsList    bool                // a list of it is known, so that changes of that can be requested
	index        uint64              // version of that list; any number may be one, 0 too
	answers      int                 // lists that it has given
	overdueCalls int                 // for a whole list in a row, whose answer did not begin in time
	ready        map[string]struct{} // names that the list held states to be ready
	watch        *watch              // nil while there is none: it has failed and is not yet started again
}

// watch is a sequence of calls to one source, which ends when it is stopped or when a call fails.
type watch struct {
	stop context.CancelFunc
}

// receivedList is a list with the entries that it withdraws: those that it states not to be ready, and names that were
// ready in the list before it and are not in this whole one.
type receivedList struct {
	EndpointList
	withdrawn []Endpoint
}

// hold takes over the names of a list that follows the one held, and returns the entries that it withdraws.
func (s *source) hold(list EndpointList) (withdrawn []Endpoint) {
	var unnamed map[string]struct{} // ready before, and not in the whole list so far
	if list.Snapshot || s.ready == nil {
		unnamed = s.ready
		s.ready = make(map[string]struct{}, len(list.Endpoints))
	}
	for _, entry := range list.Endpoints {
		delete(unnamed, entry.Name)
		if entry.Status == Ready {
			s.ready[entry.Name] = struct{}{}
			continue
		}
		withdrawn = append(withdrawn, entry)
		delete(s.ready, entry.Name)
	}
	for name := range unnamed {
		withdrawn = append(withdrawn, Endpoint{Name: name, Status: Gone})
	}
	return withdrawn
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
