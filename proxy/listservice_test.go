package proxy

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"ryerill/discovery"
)

const (
	// unseenChangeKnown is the longest time until a proxy must know a change that its reachable service has.
	unseenChangeKnown = 6 * time.Second
	// watchGap is how long a watch counts as open after a response without a further call.
	watchGap = 200 * time.Millisecond

	// resetDelay is the delay between a watch response and the reset of its connection before the next call.
	resetDelay = 30 * time.Millisecond

	connectionsOfService = 64 // initial map size, not a limit on clients
)

// listFaults are the faults of a list service.
type listFaults struct {
	pieces           int           // number of writes for a whole list; 0 means 1
	piecePause       time.Duration // between them
	indented         bool
	wholeFirst       bool // the first response on a connection is the whole list
	omitDraining     bool // a whole list omits endpoints that are not ready
	overloaded       bool // calls that continue no watch get 503, except the first ones
	admittedFirst    int  // number of calls admitted before overload applies
	continuesWatches bool // after a move: the same service at another address
	rejected         int  // number of further calls that get 503
	rejectionDelay   time.Duration
	unreachable      bool   // connections are reset at once
	resetBetween     bool   // reset the connection after the next watch response
	invalidText      string // sent instead of lists unless empty
}

// listService is a discovery service for one proxy. It records which list versions it has sent to the proxy.
type listService struct {
	net.Listener
	registry *endpointRegistry
	pushed   bool // an agent: its proxy must know its list at once

	before     *listService // the proxy's previous service; nil if none
	replacedAt time.Time    // when this service replaced it

	mu          sync.Mutex
	faults      listFaults
	open        map[*net.TCPConn]*serviceConnection
	answers     []listAnswer // completely written
	calls       []time.Time
	admitted    int       // calls that continued no watch, while overloaded
	watchedAt   time.Time // time of the last watch response
	reachableAt time.Time // when it became reachable; zero means before the proxy's start
	silentAt    time.Time // when all watches last fell silent: responses before then continue no watch
}

// serviceConnection is the state of a connection from the proxy.
type serviceConnection struct {
	answered bool // a call on it has been processed
	silent   bool // nothing is written to it any more
}

// listAnswer is a completely written response.
type listAnswer struct {
	version uint64
	at      time.Time
}

func newListService(t *testing.T, registry *endpointRegistry, pushed bool) *listService {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &listService{
		Listener: l,
		registry: registry,
		pushed:   pushed,
		open:     make(map[*net.TCPConn]*serviceConnection, connectionsOfService),
	}
	t.Cleanup(func() { l.Close(); s.resetAll() })
	go s.accept()
	return s
}

func (s *listService) accept() {
	for {
		c, err := s.Accept()
		if err != nil {
			return
		}
		conn := c.(*net.TCPConn)
		if s.currentFaults().unreachable {
			reset(conn)
			continue
		}
		state := new(serviceConnection)
		s.mu.Lock()
		s.open[conn] = state
		s.mu.Unlock()
		go s.serve(conn, state)
	}
}

func reset(conn *net.TCPConn) {
	conn.SetLinger(0)
	conn.Close()
}

// resetAll resets all connections, including open watches.
func (s *listService) resetAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.open {
		reset(conn)
	}
}

// silenceAll stops all writes to open connections.
func (s *listService) silenceAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, state := range s.open {
		state.silent = true
	}
	s.silentAt = time.Now()
}

// goDown makes the service unreachable until comeBack.
func (s *listService) goDown() {
	s.setFaults(func(f *listFaults) { f.unreachable = true })
	s.resetAll()
}

func (s *listService) comeBack() {
	s.setFaults(func(f *listFaults) { f.unreachable = false })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reachableAt = time.Now()
}

func (s *listService) currentFaults() listFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *listService) setFaults(change func(*listFaults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
}

// follow records that this service now replaces another one.
func (s *listService) follow(before *listService) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.before = before
	s.replacedAt = time.Now()
	if s.pushed {
		s.reachableAt = s.replacedAt.Add(moveKnown)
	}
}

// lastWatchAnswerLocked returns the time of the last watch response, including those from the service's previous
// address. Callers must hold s.mu.
func (s *listService) lastWatchAnswerLocked() time.Time {
	if s.before == nil || !s.faults.continuesWatches {
		return s.watchedAt
	}
	s.before.mu.Lock()
	defer s.before.mu.Unlock()
	if s.before.watchedAt.After(s.watchedAt) {
		return s.before.watchedAt
	}
	return s.watchedAt
}

// isWatch reports whether a call belongs to a watch.
func isWatch(request *http.Request) bool { return request.URL.Query().Has("since") }

// rejects records a call and reports whether it gets 503.
func (s *listService) rejects(request *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.calls = append(s.calls, now)
	continues := isWatch(request) && now.Sub(s.lastWatchAnswerLocked()) < watchGap
	if s.faults.overloaded && !continues {
		s.admitted++
		if s.admitted > s.faults.admittedFirst {
			return true
		}
	}
	if s.faults.rejected == 0 {
		return false
	}
	s.faults.rejected--
	return true
}

func (s *listService) answerCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.answers)
}

func (s *listService) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

func (s *listService) serve(conn *net.TCPConn, state *serviceConnection) {
	defer func() {
		s.mu.Lock()
		delete(s.open, conn)
		s.mu.Unlock()
		conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if s.rejects(request) {
			time.Sleep(s.currentFaults().rejectionDelay)
			io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		list := s.answer(request, state)
		if s.isSilent(state) {
			io.Copy(io.Discard, conn) // until the proxy closes the connection
			return
		}
		s.recordWatchAnswer(request) // also before the write: the next call may arrive at once on another connection
		if s.write(conn, list) != nil {
			return
		}
		s.recordWatchAnswer(request)
		if s.resetsAfter(request) {
			time.Sleep(resetDelay)
			reset(conn)
			return
		}
	}
}

// resetsAfter reports whether the connection is reset after the response to this call.
func (s *listService) resetsAfter(request *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.resetBetween || !isWatch(request) {
		return false
	}
	s.faults.resetBetween = false
	return true
}

// recordWatchAnswer records the time of a response to a watch.
func (s *listService) recordWatchAnswer(request *http.Request) {
	if !isWatch(request) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchedAt = time.Now()
}

func (s *listService) isSilent(state *serviceConnection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return state.silent
}

// answer returns the list for a call, after up to the wait that the call requests.
func (s *listService) answer(request *http.Request, state *serviceConnection) discovery.EndpointList {
	query := request.URL.Query()
	since, err := strconv.ParseUint(query.Get("since"), 10, 64)
	faults := s.currentFaults()
	first := !state.answered
	state.answered = true
	if err != nil || faults.wholeFirst && first {
		return s.registry.whole(faults.omitDraining)
	}
	wait, _ := strconv.Atoi(query.Get("timeout_ms"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for s.registry.currentVersion() <= since && time.Now().Before(end) && !s.isSilent(state) {
		time.Sleep(2 * time.Millisecond)
	}
	return s.registry.changesSince(since)
}

// write writes a list with the current faults and records it once it is completely written.
func (s *listService) write(conn *net.TCPConn, list discovery.EndpointList) error {
	faults := s.currentFaults()
	text, err := json.Marshal(list)
	if faults.indented {
		text, err = json.MarshalIndent(list, "", "    ")
	}
	if err != nil {
		return err
	}
	if faults.invalidText != "" {
		text = []byte(faults.invalidText)
	}
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(text)); err != nil {
		return err
	}
	pieces := 1
	if list.Snapshot {
		pieces = max(faults.pieces, 1)
	}
	size := max((len(text)+pieces-1)/pieces, 1)
	for len(text) > 0 {
		piece := text[:min(size, len(text))]
		if _, err := conn.Write(piece); err != nil {
			return err
		}
		text = text[len(piece):]
		if len(text) > 0 {
			time.Sleep(faults.piecePause)
		}
	}
	if faults.invalidText != "" {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers = append(s.answers, listAnswer{version: list.Index, at: time.Now()})
	return nil
}

// knownAt returns when the proxy must know a change, from this service or a previous one.
func (s *listService) knownAt(change registeredEndpoint) time.Time {
	known := s.knownHereAt(change)
	if s.before == nil || !change.changedAt.Before(s.replacedAt) {
		return known
	}
	if before := s.before.knownAt(change); before.Before(known) {
		return before
	}
	return known
}

// knownHereAt returns when the proxy must know a change from this service alone.
func (s *listService) knownHereAt(change registeredEndpoint) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	had := change.changedAt
	if s.reachableAt.After(had) {
		had = s.reachableAt
	}
	if s.pushed {
		return had
	}
	known := had.Add(unseenChangeKnown)
	for _, answer := range s.answers {
		if answer.version >= change.version && answer.at.Before(known) {
			known = answer.at
		}
		// A change between two calls of a watch counts as known at once.
		between := !change.changedAt.Before(answer.at) && change.changedAt.Before(s.gapEndLocked(answer.at))
		if between && change.changedAt.Before(known) && answer.at.After(s.silentAt) {
			known = change.changedAt
		}
	}
	return known
}

// gapEndLocked returns the end of the gap between a response and the next call of a watch. Callers must hold s.mu.
func (s *listService) gapEndLocked(answeredAt time.Time) time.Time {
	end := answeredAt.Add(watchGap)
	for _, call := range s.calls {
		if call.After(answeredAt) && call.Before(end) {
			return call
		}
	}
	return end
}

// exchanges formats the calls and responses of this and the previous services, relative to a time.
func (s *listService) exchanges(after time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var calls, answers []string
	for _, call := range s.calls {
		calls = append(calls, call.Sub(after).Round(time.Millisecond).String())
	}
	for _, answer := range s.answers {
		answers = append(answers, fmt.Sprintf("%v of version %d", answer.at.Sub(after).Round(time.Millisecond), answer.version))
	}
	text := fmt.Sprintf("calls %v, answers %v", calls, answers)
	if s.before == nil {
		return text
	}
	return fmt.Sprintf("%s; replaced %v: %s", s.before.exchanges(after), s.replacedAt.Sub(after).Round(time.Millisecond), text)
}
