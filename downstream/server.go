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
	// Connections beyond the limit that are answered 503, their requests having been read.
	reservedConnections = 8
	// Descriptors kept aside for when the process has no others.
	reservedDescriptors = 2
	// Accepted connections that are made beside others, as the system does not register them at once.
	maxLateAdmissions = 64
	// Between two attempts at one of them: its client waits, and it takes several calls that all have to work.
	maxAdmissionPause = 5 * time.Millisecond

	// While all connections end, a new one may still bring a request for so long.
	newConnectionGrace = 500 * time.Millisecond

	overloadRetryAfter = time.Second // advice to clients that are rejected for lack of capacity
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

	// mu guards what follows, and the state of each connection.
	mu             sync.Mutex
	maxConnections int
	connEnded      *sync.Cond // a connection has ended, or goes on after all
	conns          map[*conn]struct{}
	lateAdmissions int              // accepted connections that the system does not register at once
	evicted        int              // connections that have been evicted and not ended yet
	openIDs        map[string]*conn // by Req-Id: connections whose request is open

	stoppedAt   time.Time     // when the shutdown began; zero before
	shutdown    drain.Plan    // from then on
	killDelay   time.Duration // after stoppedAt: when the process may be killed, at the earliest; 0 is never
	expireTimer *time.Timer   // has what is open answered before the kill; nil before the shutdown
	drainSince  time.Time     // when a drain began that an operator ordered; zero is none
	drainTimer  *time.Timer   // ends idle connections once that drain has come so far
}

// Listen opens the address for clients. Of the connections that it may hold, a few are reserved for answering clients
// beyond the limit that they are shed.
//
// A shared address may be listened at by several processes, to which the system distributes new connections.
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

// RecordFaults has the server record calls that fail, under its name, and why connections end. It must be called before
// Serve.
func (s *Server) RecordFaults(name string, faults *faultlog.Recorder) {
	s.name = name
	s.faults = faults
}

// withoutReserve is how many connections may bring requests, of all that a server may hold.
func withoutReserve(maxConnections int) int { return max(maxConnections-reservedConnections, 1) }

// SetMaxConnections changes how many connections the server may hold. Of those beyond it the ones that can be spared
// end now, the others when their requests do.
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

// Close ends a server that never served.
func (s *Server) Close() {
	s.listener.Close()
	s.descriptors.Close()
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve passes requests to router until ctx ends. It then goes on accepting for a while, since it takes time until
// clients know that this proxy ends, and serves the connections that it has for half the time that is left to it: until
// another proxy is back, there may be nobody else. It returns when all requests that were accepted have been answered.
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

// awaitConnections returns when all connections have ended.
func (s *Server) awaitConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer time.AfterFunc(time.Until(s.stoppedAt.Add(s.shutdown.CloseIdle)), s.closeIdle).Stop()
	if s.expireTimer != nil {
		defer s.expireTimer.Stop()
	}
	for len(s.conns)+s.lateAdmissions > 0 {
		s.connEnded.Wait()
	}
}

// addConn starts a connection. At the limit another is evicted for it; if all have requests open its requests are shed,
// and beyond the reserve it is answered unread. With shed, which means that it holds the last descriptor, its requests
// are shed in any case.
func (s *Server) addConn(nc *net.TCPConn, shed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.maxConnections + reservedConnections
	for len(s.conns) >= limit && s.evicted > 0 {
		s.connEnded.Wait() // for a moment: connections that are evicted have nothing left to do
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

// claimID records that a request with this id is open. It reports false if another one is: ids are fresh on every
// request, and endpoints identify requests by them.
func (s *Server) claimID(id string, c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openIDs[id] != nil {
		return false
	}
	s.openIDs[id] = c
	return true
}

// releaseID records that a connection's request with this id is not open any more.
func (s *Server) releaseID(id string, c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openIDs[id] == c {
		delete(s.openIDs, id)
	}
}
