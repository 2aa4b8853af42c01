package discovery

import (
	"context"
	"errors"
	"fmt"
)

// source is the client's state for one discovery service. Client.mu guards it.
type source struct {
	address           string
	holdsList         bool             // the full list of the service is known
	watchBeforeList   bool             // the watch begins before the full list is known, which is requested separately
	index             uint64           // version of the last accepted list; any number is valid, also 0
	acceptedFromWatch int              // lists accepted from its watches
	overdueCalls      int              // consecutive calls for a full list whose answer did not begin in time
	ready             map[string]int64 // ready endpoints of the list: start in Unix milliseconds, by name
	watch             *watch           // nil if there is none, also after a failure until the restart
}

// errListOutdated is the error for a full list that is older than the last list of the service's watch.
var errListOutdated = errors.New("full list is older than the last list of the watch")

// recordWatched accepts a list received by the watch.
func (s *source) recordWatched(list EndpointList) (receivedList, error) {
	received, err := s.record(list)
	if err == nil {
		s.acceptedFromWatch++
	}
	return received, err
}

// recordFetched accepts a list that was requested separately from the watch.
func (s *source) recordFetched(list EndpointList) (receivedList, error) {
	if list.Snapshot && s.watchBeforeList && !s.holdsList && list.Index < s.index {
		return receivedList{}, errListOutdated
	}
	return s.record(list)
}

// record accepts a full list, or changes to a known one. Changes of another history are an error.
func (s *source) record(list EndpointList) (receivedList, error) {
	followed := s.holdsList || s.watchBeforeList
	if !list.Snapshot && (!followed || list.Index < s.index) {
		s.holdsList = false
		s.watchBeforeList = false // the next call requests the full list
		return receivedList{}, fmt.Errorf("changes up to version %d do not follow the known list", list.Index)
	}
	s.holdsList = s.holdsList || list.Snapshot
	s.index = list.Index
	return receivedList{EndpointList: list, withdrawn: s.apply(list)}, nil
}

// hasAnswered reports whether the service has sent a list.
func (s *source) hasAnswered() bool { return s.holdsList || s.acceptedFromWatch > 0 }

// watch is a sequence of calls to one source. It ends when it is stopped or when a call fails.
type watch struct {
	stop      context.CancelFunc
	turnTaken chan struct{} // closed when the watch first has the turn to call, or has ended without it
}

// receivedList is a list with the endpoints that it withdraws: entries that are not ready, and endpoints that were
// ready in the previous list and are missing from a full one.
type receivedList struct {
	EndpointList
	withdrawn []Endpoint
}

// apply updates the ready endpoints with a list and returns the entries that the list withdraws.
func (s *source) apply(list EndpointList) (withdrawn []Endpoint) {
	var missing map[string]int64 // ready before, and not found in the full list so far
	if list.Snapshot || s.ready == nil {
		missing = s.ready
		s.ready = make(map[string]int64, len(list.Endpoints))
	}
	for _, entry := range list.Endpoints {
		delete(missing, entry.Name)
		if entry.Status == Ready {
			s.ready[entry.Name] = entry.SinceMS
			continue
		}
		withdrawn = append(withdrawn, entry)
		delete(s.ready, entry.Name)
	}
	for name := range missing {
		withdrawn = append(withdrawn, Endpoint{Name: name, Status: Gone})
	}
	return withdrawn
}

// withdraw removes endpoints from the ready ones before the list that withdraws them is complete, and returns the
// entries that had an effect. Changes of another history are ignored, as is an entry with an earlier start than the
// endpoint's.
func (s *source) withdraw(withdrawals Withdrawals) (withdrawn []Endpoint) {
	if !withdrawals.Snapshot && withdrawals.Version < s.index {
		return nil
	}
	for _, entry := range withdrawals.Endpoints {
		startedAt, isReady := s.ready[entry.Name]
		isCurrent := entry.Status == Gone || entry.SinceMS >= startedAt
		if s.ready != nil && !isReady || !isCurrent {
			continue
		}
		delete(s.ready, entry.Name)
		withdrawn = append(withdrawn, entry)
	}
	return withdrawn
}

// stopWatchLocked ends the watch of a source, if there is one. Callers must hold Client.mu.
func (s *source) stopWatchLocked() {
	if s == nil || s.watch == nil {
		return
	}
	s.watch.stop()
	s.watch = nil
}

// dropPreviousLocked ends the watch of the previous service. Callers must hold c.mu.
func (c *Client) dropPreviousLocked() {
	c.previous.stopWatchLocked()
	c.previous = nil
}
