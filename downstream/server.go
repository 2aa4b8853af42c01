package downstream

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"ryerill/drain"
	"ryerill/internal/buffer"
	"ryerill/internal/faultlog"
	"ryerill/internal/socket"
)

const (
	// Connections beyond the limit whose requests are read and answered 503.
	reservedConnections = 8
	// Descriptors held in reserve for when the process has no others.
	reservedDescriptors = 2
	// Accepted connections whose admission is retried in goroutines of their own, because the system failed to register
	// them at once.
	maxPendingAdmissions = 64
	// The longest pause between two attempts to admit one of them. It is short because the client waits and an attempt
	// takes several system calls that must all succeed.
	maxAdmissionPause = 5 * time.Millisecond

	// During a shutdown or drain, a new connection may still send its first request for this long.
	newConnectionGrace = 500 * time.Millisecond

	overloadRetryAfter = time.Second // Retry-After of responses to clients rejected for lack of capacity
)

// Server accepts the connections of clients and speaks HTTP/1.1 on them.
type Server struct {
	listener    clientListener
	router      Router
	buffers     *buffer.Pool
	descriptors *socket.Reserve
	fileConn    func(*os.File) (net.Conn, error) // net.FileConn, outside of tests
	closeWrite  func(*net.TCPConn) error         // socket.CloseWrite, outside of tests
	name        string                           // of the listener
	faults      *faultlog.Recorder               // nil records nothing

	// mu guards the following fields and the state of each connection.
	mu                sync.Mutex
	maxConnections    int
	connEnded         *sync.Cond // a connection or pending admission has ended, or an eviction was cancelled
	conns             map[*conn]struct{}
	pendingAdmissions int              // accepted connections whose admission is being retried
	evicted           int              // connections that have been evicted and have not ended yet
	openIDs           map[string]*conn // by Req-Id: connections whose request is open

	stoppedAt   time.Time     // when the shutdown began; zero before
	shutdown    drain.Plan    // valid once stoppedAt is set
	killDelay   time.Duration // the process may be killed this long after stoppedAt, at the earliest; 0 is never
	idleTimer   *time.Timer   // closes idle connections at the shutdown's CloseIdle; nil before the shutdown
	expireTimer *time.Timer   // expires open requests before the kill; nil before the shutdown
	drainSince  time.Time     // when the drain ordered by an operator began; zero if there is none
	drainTimer  *time.Timer   // closes idle connections at that drain's CloseIdle
}

// Listen returns a server that listens for clients on an address. Of its maxConnections, a few are reserved for
// answering 503 to clients beyond the limit.
//
// If shared is set, several processes may listen on the address; the system distributes new connections among them.
func Listen(address string, maxConnections int, shared bool, buffers *buffer.Pool) (*Server, error) {
	listener, err := socket.Listen(address, shared)
	if err != nil {
		return nil, fmt.Errorf("listen for clients: %w", err)
	}
	s := &Server{
		listener:       listener,
		buffers:        buffers,
		maxConnections: withoutReserve(maxConnections),
		descriptors:    socket.NewReserve(reservedDescriptors),
		fileConn:       net.FileConn,
		closeWrite:     func(nc *net.TCPConn) error { return socket.CloseWrite(nc) },
		conns:          make(map[*conn]struct{}),
		openIDs:        make(map[string]*conn),
	}
	s.connEnded = sync.NewCond(&s.mu)
	return s, nil
}

// RecordFaults makes the server record failed system calls, under the given name of the listener, and the reasons why
// connections end. It must be called before Serve.
func (s *Server) RecordFaults(name string, faults *faultlog.Recorder) {
	s.name = name
	s.faults = faults
}

// withoutReserve returns how many of maxConnections may have requests accepted.
func withoutReserve(maxConnections int) int { return max(maxConnections-reservedConnections, 1) }

// SetMaxConnections changes how many connections the server may hold. If there are more, it evicts those without an
// open request, in the order of eviction; later connections evict others as usual.
func (s *Server) SetMaxConnections(maxConnections int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxConnections = withoutReserve(maxConnections)
	for now := time.Now(); len(s.conns)-s.evicted > s.maxConnections; {
		candidate := s.evictionCandidateLocked(now)
		if candidate == nil {
			return
		}
		candidate.evictLocked()
	}
}

// Close releases the listener and the reserved descriptors. Serve calls it; other callers need it only for a server
// that never served.
func (s *Server) Close() {
	s.listener.Close()
	s.descriptors.Close()
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve passes requests to router until ctx ends. Then it shuts down by the router's plan: it accepts connections and
// serves existing ones for a while, because clients take time to learn of the shutdown. It returns when all accepted
// requests have been answered.
func (s *Server) Serve(ctx context.Context, router Router) error {
	s.router = router
	defer s.Close()
	defer context.AfterFunc(ctx, s.beginShutdown)()
	done := make(chan struct{})
	defer close(done)
	go s.watchUnread(done)
	if err := s.acceptAll(); err != nil {
		return err
	}
	s.acceptBacklog()
	s.listener.Close()
	s.awaitConnections()
	return nil
}

// awaitConnections waits until all connections and pending admissions have ended.
func (s *Server) awaitConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idleTimer != nil {
		defer s.idleTimer.Stop()
	}
	if s.expireTimer != nil {
		defer s.expireTimer.Stop()
	}
	for len(s.conns)+s.pendingAdmissions > 0 {
		s.connEnded.Wait()
	}
}

// addConn starts serving a connection. At the limit it evicts another one; if none can be evicted, the requests of the
// new connection are shed, and beyond the reserve it is answered 503 without reading a request. shed is set if the
// connection holds the last descriptor: its requests are shed in any case.
func (s *Server) addConn(nc *net.TCPConn, shed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.maxConnections + reservedConnections
	for len(s.conns) >= limit && s.evicted > 0 {
		s.connEnded.Wait() // takes only a moment: evicted connections have no open request
	}
	if len(s.conns) >= limit {
		s.faults.Ended(string(endUnread))
		refuseUnread(nc)
		return
	}
	c := newConn(s, nc)
	c.overLimit = shed
	if len(s.conns)-s.evicted >= s.maxConnections {
		candidate := s.evictionCandidateLocked(c.stateSince)
		if candidate != nil {
			candidate.evictLocked()
		} else {
			c.overLimit = true
		}
	}
	s.conns[c] = struct{}{}
	go c.serve()
}

// claimID records that the request with this id is open. It reports false if the id belongs to another open request:
// ids must be unique, because endpoints identify requests by them.
func (s *Server) claimID(id string, c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openIDs[id] != nil {
		return false
	}
	s.openIDs[id] = c
	return true
}

// releaseID records that the connection's request with this id is no longer open.
func (s *Server) releaseID(id string, c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openIDs[id] == c {
		delete(s.openIDs, id)
	}
}
