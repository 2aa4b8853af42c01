package soak

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"ryerill/discovery"
)

const (
	// watchGap is how long a watch goes on after an answer without a further call.
	watchGap = 200 * time.Millisecond
	listPoll = 2 * time.Millisecond // between two looks at the registry
	// agentCallTime is within which a proxy calls an agent after a call that failed, and reads its list.
	agentCallTime  = 500 * time.Millisecond
	rejectionDelay = 15 * time.Millisecond // of an overloaded service
	unsentTimeout  = time.Second           // for the last bytes before a reset to reach the proxy's machine
	pieceBytes     = 16 << 10              // of an answer that comes at once

	overloadedResponse = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
)

// listFaults is how a list service treats its caller.
type listFaults struct {
	indented     bool
	wholeFirst   bool          // the first answer on a connection is the whole list
	omitDraining bool          // a whole list leaves out what is not ready
	piecePause   time.Duration // between the pieces of an answer
	cutAt        int           // answers are reset after so many bytes of their body; 0 is never
	crowded      bool          // calls that continue no watch are answered with 503
	unreachable  bool          // connections are reset at once
	lagging      bool          // the first answer on a connection is the whole list before its last change
}

// listService is a discovery service for one proxy. It keeps its own account of what the proxy has been told.
type listService struct {
	listener net.Listener
	registry *endpointRegistry
	pushed   bool // an agent: what it has counts as told

	mu        sync.Mutex
	faults    listFaults
	open      map[*net.TCPConn]*listConnection
	answers   []*listAnswer
	calls     []time.Time
	watchedAt time.Time // when a watch was answered last
	outages   []span    // in which it can't be reached
	cuts      []span    // in which it resets answers in their middle
	crowds    []span    // in which it rejects calls that continue no watch
	silentAt  time.Time // when all watches fell silent last
}

// span is a time from its begin to its end, which is zero while it lasts.
type span struct{ begin, end time.Time }

// listConnection is the state of a connection of the proxy.
type listConnection struct {
	answered bool        // a call on it was answered
	silent   bool        // it is never written to again
	last     *listAnswer // that is written, or was
}

// listAnswer is what was written of an answer.
type listAnswer struct {
	version   uint64
	snapshot  bool
	at        time.Time         // when the last byte was written; zero if it was cut off
	withdrawn map[int]time.Time // when the entries of endpoints that are not ready were written
	ends      map[int]int       // where in the text those entries end
	written   int               // bytes
	reset     bool              // its connection has been reset
}

func startListService(registry *endpointRegistry, pushed bool, faults listFaults) (*listService, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &listService{
		listener: listener,
		registry: registry,
		pushed:   pushed,
		faults:   faults,
		open:     make(map[*net.TCPConn]*listConnection),
	}
	go s.accept() // ends when the listener is closed
	return s, nil
}

func (s *listService) address() string { return s.listener.Addr().String() }

func (s *listService) close() {
	_ = s.listener.Close() // nothing can be lost
	s.resetAll()
}

func (s *listService) accept() {
	for {
		accepted, err := s.listener.Accept()
		if err != nil {
			return
		}
		conn := accepted.(*net.TCPConn)
		if s.currentFaults().unreachable {
			reset(conn)
			continue
		}
		state := new(listConnection)
		s.mu.Lock()
		s.open[conn] = state
		s.mu.Unlock()
		go s.serve(conn, state) // ends when the connection is closed
	}
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // an orderly end is as good
	_ = conn.Close()
}

// resetAll resets all connections, and with them the open watches. What has not reached the other side's machine is
// dropped by that and tells nobody.
func (s *listService) resetAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn, state := range s.open {
		if state.last != nil {
			state.last.dropUnsent(unsentBytes(conn))
		}
		reset(conn)
	}
}

// silenceAll lets all open watches fall silent.
func (s *listService) silenceAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, state := range s.open {
		state.silent = true
	}
	s.silentAt = time.Now()
}

func (s *listService) currentFaults() listFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// setFaults changes the faults.
func (s *listService) setFaults(change func(*listFaults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.faults
	change(&s.faults)
	s.outages = recordSpan(s.outages, before.unreachable, s.faults.unreachable)
	s.crowds = recordSpan(s.crowds, before.crowded, s.faults.crowded)
	s.cuts = recordSpan(s.cuts, before.cutAt > 0, s.faults.cutAt > 0)
}

// recordSpan begins or ends a span where a fault begins or ends.
func recordSpan(spans []span, before, after bool) []span {
	switch {
	case !before && after:
		return append(spans, span{begin: time.Now()})
	case before && !after:
		spans[len(spans)-1].end = time.Now()
	}
	return spans
}

// endOfSpan returns the end of the span that holds a time, or begins soon after it; now while that lasts, and the time
// itself if there is none.
func endOfSpan(spans []span, at time.Time, soon time.Duration) time.Time {
	for _, s := range spans {
		switch {
		case at.Add(soon).Before(s.begin):
		case s.end.IsZero():
			return time.Now()
		case at.Before(s.end):
			return s.end
		}
	}
	return at
}

// hadLocked returns when a service that learns nothing while it is unreachable had a change that proxies could ask for.
// s.mu is held.
func (s *listService) hadLocked(change endpointChange) time.Time {
	if s.pushed { // what an agent has counts without an answer
		return endOfSpan(s.outages, change.at, agentCallTime)
	}
	return endOfSpan(s.outages, change.at, 0)
}

func (s *listService) serve(conn *net.TCPConn, state *listConnection) {
	defer func() {
		s.mu.Lock()
		delete(s.open, conn)
		s.mu.Unlock()
		_ = conn.Close() // reset before, or ended by the proxy
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if s.rejects(request) {
			time.Sleep(rejectionDelay)
			if _, err := io.WriteString(conn, overloadedResponse); err != nil {
				return
			}
			continue
		}
		list := s.answer(request, state)
		if s.isSilent(state) {
			_, _ = io.Copy(io.Discard, conn) // until the proxy gives it up
			return
		}
		s.recordWatchAnswer(request) // before the write too: the next call may follow it at once
		if s.write(conn, state, list) != nil {
			return
		}
		s.recordWatchAnswer(request)
	}
}

// isWatch reports whether a call is one of a watch.
func isWatch(request *http.Request) bool { return request.URL.Query().Has("since") }

// rejects records a call, and reports whether it is to be answered with 503.
func (s *listService) rejects(request *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.calls = append(s.calls, now)
	continues := isWatch(request) && now.Sub(s.watchedAt) < watchGap
	return s.faults.crowded && !continues
}

func (s *listService) recordWatchAnswer(request *http.Request) {
	if !isWatch(request) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchedAt = time.Now()
}

func (s *listService) isSilent(state *listConnection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return state.silent
}

// answer returns the answer to a call, after the wait that the call asks for.
func (s *listService) answer(request *http.Request, state *listConnection) discovery.EndpointList {
	query := request.URL.Query()
	since, err := strconv.ParseUint(query.Get("since"), 10, 64)
	faults := s.currentFaults()
	first := !state.answered
	state.answered = true
	version := s.registry.currentVersion()
	if faults.lagging && first && version > 1 {
		return s.registry.whole(version-1, faults.omitDraining)
	}
	if err != nil || faults.wholeFirst && first {
		return s.registry.whole(version, faults.omitDraining)
	}
	wait, _ := strconv.Atoi(query.Get("timeout_ms")) // 0 if it isn't a number
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for s.registry.currentVersion() <= since && time.Now().Before(end) && !s.isSilent(state) {
		time.Sleep(listPoll)
	}
	return s.registry.changesSince(since)
}

// write writes a list as the faults want it, and accounts for what was written of it.
func (s *listService) write(conn *net.TCPConn, state *listConnection, list discovery.EndpointList) error {
	faults := s.currentFaults()
	text, ends, err := encodeList(list, faults.indented)
	if err != nil {
		return err
	}
	account := &listAnswer{version: list.Index, snapshot: list.Snapshot, withdrawn: make(map[int]time.Time), ends: ends}
	s.mu.Lock()
	s.answers = append(s.answers, account)
	state.last = account
	s.mu.Unlock()
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(text)); err != nil {
		return err
	}
	written := 0
	for written < len(text) && err == nil {
		size := min(pieceBytes, len(text)-written)
		isCut := faults.cutAt > 0 && written+size > faults.cutAt
		if isCut {
			size = max(faults.cutAt-written, 0)
		}
		_, err = conn.Write(text[written : written+size])
		if err == nil {
			written += size
			s.recordWritten(account, written, len(text))
		}
		if isCut {
			awaitSent(conn)
			reset(conn)
			err = net.ErrClosed
		}
		time.Sleep(faults.piecePause)
	}
	return err
}

// awaitSent waits until what was written has reached the other side's machine: a reset drops what has not, and nobody
// is told by that.
func awaitSent(conn *net.TCPConn) {
	for deadline := time.Now().Add(unsentTimeout); time.Now().Before(deadline); time.Sleep(listPoll) {
		if unsentBytes(conn) == 0 {
			return
		}
	}
}

// unsentBytes returns how much of what was written has not reached the other side's machine; 0 if the connection is
// closed.
func unsentBytes(conn *net.TCPConn) (unsent int) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(descriptor uintptr) {
		unsent, _ = unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ) // 0 if it fails
	})
	return unsent
}

// recordWritten records that so many bytes of an answer have been written of all.
func (s *listService) recordWritten(answer *listAnswer, written, length int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if answer.reset {
		return
	}
	now := time.Now()
	answer.written = written
	for endpoint, end := range answer.ends {
		if _, known := answer.withdrawn[endpoint]; !known && end <= written {
			answer.withdrawn[endpoint] = now
		}
	}
	if written == length {
		answer.at = now
	}
}

// dropUnsent takes back the last bytes, which a reset has dropped.
func (a *listAnswer) dropUnsent(unsent int) {
	a.reset = true
	if unsent == 0 {
		return
	}
	a.at = time.Time{}
	for endpoint, end := range a.ends {
		if end > a.written-unsent {
			delete(a.withdrawn, endpoint)
		}
	}
}

// encodeList returns the text of a list, and where in it the entries of endpoints end that are not ready.
func encodeList(list discovery.EndpointList, indented bool) (text []byte, ends map[int]int, err error) {
	separator := ","
	if indented {
		separator = ",\n        "
	}
	ends = make(map[int]int)
	var all bytes.Buffer
	fmt.Fprintf(&all, `{"index":%d,"snapshot":%v,"endpoints":[`, list.Index, list.Snapshot)
	for i := range list.Endpoints {
		entry, err := json.Marshal(&list.Endpoints[i])
		if err != nil {
			return nil, nil, err
		}
		if i > 0 {
			all.WriteString(separator)
		}
		all.Write(entry)
		if list.Endpoints[i].Status != discovery.Ready {
			ends[numberOf(list.Endpoints[i].Name)] = all.Len()
		}
	}
	all.WriteString("]}")
	return all.Bytes(), ends, nil
}

// numberOf returns the number of an endpoint by its name.
func numberOf(name string) int {
	var number int
	_, _ = fmt.Sscanf(name, "endpoint-%d", &number) // the registry has made it
	return number
}

// told returns when a withdrawal counts as known to a process of the proxy that began at a time.
func (s *listService) told(endpoint int, change endpointChange, processBegan time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	had := latest(s.hadLocked(change), processBegan)
	told := had.Add(unseenChangeKnown)
	if s.pushed { // known at once, unless its watch is silent, calls are rejected or their answers break off
		told = latest(endOfSpan(s.cuts, had, agentCallTime), endOfSpan(s.crowds, had, agentCallTime),
			endOfSpan(s.silenceLocked(), had, 0))
	}
	if !s.pushed && !s.silentAt.IsZero() && !change.at.Before(s.silentAt) { // missed by a watch that is silent
		told = earliest(told, latest(had, s.silentAt.Add(unseenChangeKnown)))
	}
	reachable := endOfSpan(s.outages, change.at, watchGap).Equal(change.at)
	mayAsk := reachable && endOfSpan(s.cuts, change.at, watchGap).Equal(change.at)
	for _, answer := range s.answers {
		if at := answer.tells(endpoint, change); at.After(processBegan) && at.Before(told) {
			told = at
		}
		// What changes between two calls of a watch is known at once, unless the next is surely in vain.
		isStanding := !answer.at.IsZero() && answer.at.After(processBegan) && answer.at.After(s.silentAt)
		between := isStanding && mayAsk && had.Equal(change.at) && !change.at.Before(answer.at) &&
			change.at.Before(s.gapEndLocked(answer.at))
		if between && change.at.Before(told) {
			told = change.at
		}
	}
	return told
}

// silenceLocked returns the time in which the watch is silent: until the next call, and 6 s at most. s.mu is held.
func (s *listService) silenceLocked() []span {
	if s.silentAt.IsZero() {
		return nil
	}
	silence := span{begin: s.silentAt, end: s.silentAt.Add(unseenChangeKnown)}
	for _, call := range s.calls {
		if call.After(s.silentAt) {
			silence.end = earliest(silence.end, call)
		}
	}
	return []span{silence}
}

// tells returns when an answer has told of a withdrawal; zero is never.
func (a *listAnswer) tells(endpoint int, change endpointChange) time.Time {
	if a.version < change.version {
		return time.Time{}
	}
	if at, named := a.withdrawn[endpoint]; named {
		return at
	}
	if !a.snapshot {
		return time.Time{} // the proxy had it before
	}
	return a.at // left out of the whole list
}

// gapEndLocked returns the end of the time between an answer and the next call, in which a watch goes on. s.mu is held.
func (s *listService) gapEndLocked(answeredAt time.Time) time.Time {
	end := answeredAt.Add(watchGap)
	for _, call := range s.calls {
		if call.After(answeredAt) && call.Before(end) {
			return call
		}
	}
	return end
}

func latest(times ...time.Time) time.Time { return slices.MaxFunc(times, time.Time.Compare) }

func earliest(times ...time.Time) time.Time { return slices.MinFunc(times, time.Time.Compare) }

// timeline states the calls and answers after a time, as spans from it.
func (s *listService) timeline(from, until time.Time) (lines []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, call := range s.calls {
		if call.After(from) && call.Before(until) {
			lines = append(lines, fmt.Sprintf("%8.3f discovery is called", call.Sub(from).Seconds()))
		}
	}
	for _, answer := range s.answers {
		switch {
		case answer.at.After(from) && answer.at.Before(until):
			lines = append(lines, fmt.Sprintf("%8.3f discovery has answered with version %d, whole: %v, %d withdrawn",
				answer.at.Sub(from).Seconds(), answer.version, answer.snapshot, len(answer.withdrawn)))
		case answer.at.IsZero():
			lines = append(lines, fmt.Sprintf(
				"         an answer with version %d was cut off, %d withdrawn were written",
				answer.version, len(answer.withdrawn)))
		}
	}
	slices.Sort(lines)
	return lines
}
