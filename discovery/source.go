package discovery

import (
	"context"
	"errors"
	"fmt"
)

// source is a discovery service as the client knows it. The client's mutex guards it.
type source struct {
	address      string
	holdsList    bool             // a whole list of it is known
	watchedFirst bool             // its watch begins before its whole list is known, which is requested besides
	index        uint64           // version of what it has told; any number may be one, 0 too
	watchAnswers int              // lists that its watches have brought
	overdueCalls int              // for a whole list in a row, whose answer did not begin in time
	ready        map[string]int64 // what the list held states to be ready: when each started, in Unix milliseconds
	watch        *watch           // nil while there is none: it has failed and is not yet started again
}

// errListOutdated is the error for a whole list that is older than what a watch of its service has told meanwhile.
var errListOutdated = errors.New("whole list is older than what the watch has told")

// recordWatched accepts a list that a watch has brought.
func (s *source) recordWatched(list EndpointList) (receivedList, error) {
	received, err := s.record(list)
	if err == nil {
		s.watchAnswers++
	}
	return received, err
}

// recordFetched accepts a list that was requested besides the watch.
func (s *source) recordFetched(list EndpointList) (receivedList, error) {
	if list.Snapshot && s.watchedFirst && !s.holdsList && list.Index < s.index {
		return receivedList{}, errListOutdated
	}
	return s.record(list)
}

// record accepts a list that follows what is held; changes of another history are an error.
func (s *source) record(list EndpointList) (receivedList, error) {
	followed := s.holdsList || s.watchedFirst
	if !list.Snapshot && (!followed || list.Index < s.index) {
		s.holdsList = false
		s.watchedFirst = false // the next call asks for the whole list
		return receivedList{}, fmt.Errorf("changes up to version %d do not follow what is held", list.Index)
	}
	s.holdsList = s.holdsList || list.Snapshot
	s.index = list.Index
	return receivedList{EndpointList: list, withdrawn: s.hold(list)}, nil
}

// hasAnswered reports whether it has told anything.
func (s *source) hasAnswered() bool { return s.holdsList || s.watchAnswers > 0 }

// watch is a sequence of calls to one source, which ends when it is stopped or when a call fails.
type watch struct {
	stop   context.CancelFunc
	begins chan struct{} // closed once it has the turn to call, or has ended without
}

// receivedList is a list with the entries that it withdraws: those that it states not to be ready, and names that were
// ready in the list before it and are not in this whole one.
type receivedList struct {
	EndpointList
	withdrawn []Endpoint
}

// hold takes over the names of a list that follows the one held, and returns the entries that it withdraws.
func (s *source) hold(list EndpointList) (withdrawn []Endpoint) {
	var unnamed map[string]int64 // ready before, and not in the whole list so far
	if list.Snapshot || s.ready == nil {
		unnamed = s.ready
		s.ready = make(map[string]int64, len(list.Endpoints))
	}
	for _, entry := range list.Endpoints {
		delete(unnamed, entry.Name)
		if entry.Status == Ready {
			s.ready[entry.Name] = entry.SinceMS
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

// withdraw takes endpoints out of the list held before the list that withdraws them is known whole, and returns those
// entries that change it. Changes of another history say nothing of it, nor does an entry of an earlier start than the
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
