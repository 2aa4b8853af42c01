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
	// unseenChangeKnown is when a change counts as known to a proxy at the latest, after the service had it and could be
	// reached.
	unseenChangeKnown = 6 * time.Second
	// watchGap is how long a watch goes on after an answer without a further call.
	watchGap = 200 * time.Millisecond

	// resetDelay is when a connection is reset between two calls of a watch, after the first one's answer.
	resetDelay = 30 * time.Millisecond

	connectionsOfService = 64 // bounds the bookkeeping of one service, not its clients
)

// listFaults is how a list service treats its callers.
type listFaults struct {
	pieces         int           // an answer of a whole list comes in so many; 0 is one
	piecePause     time.Duration // between them
	indented       bool
	wholeFirst     bool // the first answer on a connection is the whole list
	omitDraining   bool // a whole list leaves out what is not ready
	crowded        bool // calls that continue no watch are answered with 503, but for some
	letsIn         int  // which are let in at first
	goesOn         bool // after a move it is the same service at another address
	rejected       int  // so many further calls are answered with 503
	rejectionDelay time.Duration
	unreachable    bool   // connections are reset at once
	resetBetween   bool   // the next answer to a watch is followed by a reset in place of the next call
	spoilt         string // further answers have this text in place of a list; empty is none
}

// listService is a discovery service for one proxy. It keeps its own account of what the proxy has been told.
type listService struct {
	net.Listener
	registry *endpointRegistry
	pushed   bool // an agent: what it has counts as told

	before     *listService // that of the proxy before; nil is none
	replacedAt time.Time    // when this one took its place

	mu          sync.Mutex
	faults      listFaults
	open        map[*net.TCPConn]*serviceConnection
	answers     []listAnswer // written whole
	calls       []time.Time
	letIn       int       // calls that continued no watch
	watchedAt   time.Time // when a watch was answered last
	reachableAt time.Time // since when it can be reached; zero is from before the proxy's start
	silentAt    time.Time // when all watches fell silent last: none goes on from an answer before that
}

// serviceConnection is the state of a connection of the proxy.
type serviceConnection struct {
	answered bool // a call on it was answered
	silent   bool // it is never written to again
}

// listAnswer is an answer that was written whole.
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

// resetAll resets all connections, and with them the open watches.
func (s *listService) resetAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.open {
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

// goDown makes the service unreachable, comeBack ends that.
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

// follow has the service take the place of another one, now.
func (s *listService) follow(before *listService) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.before = before
	s.replacedAt = time.Now()
	if s.pushed {
		s.reachableAt = s.replacedAt.Add(moveKnown)
	}
}

// lastWatchAnswerLocked returns when a watch was answered last, also at the service's address before.
func (s *listService) lastWatchAnswerLocked() time.Time {
	if s.before == nil || !s.faults.goesOn {
		return s.watchedAt
	}
	s.before.mu.Lock()
	defer s.before.mu.Unlock()
	if s.before.watchedAt.After(s.watchedAt) {
		return s.before.watchedAt
	}
	return s.watchedAt
}

// isWatch reports whether a call is one of a watch.
func isWatch(request *http.Request) bool { return request.URL.Query().Has("since") }

// rejects records a call, and reports whether it is to be answered with 503.
func (s *listService) rejects(request *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.calls = append(s.calls, now)
	continues := isWatch(request) && now.Sub(s.lastWatchAnswerLocked()) < watchGap
	if s.faults.crowded && !continues {
		s.letIn++
		if s.letIn > s.faults.letsIn {
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
			io.Copy(io.Discard, conn) // until the proxy gives it up
			return
		}
		s.recordWatchAnswer(request) // before the write too: the next call may follow it at once, on another connection
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

// resetsAfter reports whether the connection is to be reset before the call after this one.
func (s *listService) resetsAfter(request *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.resetBetween || !isWatch(request) {
		return false
	}
	s.faults.resetBetween = false
	return true
}

// recordWatchAnswer records the time of an answer if that is one to a watch.
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

// answer returns the answer to a call, after the wait that the call asks for.
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

// write writes a list as the faults want it, and accounts for it once it is written whole.
func (s *listService) write(conn *net.TCPConn, list discovery.EndpointList) error {
	faults := s.currentFaults()
	text, err := json.Marshal(list)
	if faults.indented {
		text, err = json.MarshalIndent(list, "", "    ")
	}
	if err != nil {
		return err
	}
	if faults.spoilt != "" {
		text = []byte(faults.spoilt)
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
	if faults.spoilt != "" {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers = append(s.answers, listAnswer{version: list.Index, at: time.Now()})
	return nil
}

// told returns when a change counts as known to the proxy: also one that the service before has told of.
func (s *listService) told(change registeredEndpoint) time.Time {
	told := s.toldHere(change)
	if s.before == nil || !change.changedAt.Before(s.replacedAt) {
		return told
	}
	if before := s.before.told(change); before.Before(told) {
		return before
	}
	return told
}

// toldHere returns when a change counts as known to the proxy by this service alone.
func (s *listService) toldHere(change registeredEndpoint) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	had := change.changedAt
	if s.reachableAt.After(had) {
		had = s.reachableAt
	}
	if s.pushed {
		return had
	}
	told := had.Add(unseenChangeKnown)
	for _, answer := range s.answers {
		if answer.version >= change.version && answer.at.Before(told) {
			told = answer.at
		}
		// What changes between two calls of a watch is known at once.
		between := !change.changedAt.Before(answer.at) && change.changedAt.Before(s.gapEndLocked(answer.at))
		if between && change.changedAt.Before(told) && answer.at.After(s.silentAt) {
			told = change.changedAt
		}
	}
	return told
}

// gapEndLocked returns the end of the time between an answer and the next call, in which a watch goes on.
func (s *listService) gapEndLocked(answeredAt time.Time) time.Time {
	end := answeredAt.Add(watchGap)
	for _, call := range s.calls {
		if call.After(answeredAt) && call.Before(end) {
			return call
		}
	}
	return end
}

// exchanges states the calls and answers after a time, as spans from it, also of the services before.
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
