// Package admin is the management endpoint: a separate listener at which operators query the state of a proxy and give
// it commands. It speaks HTTP/1.1, with one request per connection, and passes each request to a [Controller]. It has
// no access to endpoints or discovery.
package admin

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"ryerill/internal/socket"
)

// Descriptors is the number of file descriptors reserved for the server; it may hold no more.
const Descriptors = maxConnections + 8

const (
	maxConnections = 32
	readTimeout    = 3 * time.Second        // from the accept until the request has been received
	openTimeout    = time.Second            // from the accept until the system has registered the connection
	writeTimeout   = 500 * time.Millisecond // for writing the response
	lingerTimeout  = 200 * time.Millisecond // input after a response is read for this long to avoid a reset
	maxLingerBytes = 64 << 10               // bytes of that input

	reservedDescriptors = 2 // for use when the process is out of descriptors
)

// Server is the listener of the management endpoint, with its connections.
type Server struct {
	listener   *socket.Listener
	controller Controller
	reserve    *socket.Reserve
	serving    sync.WaitGroup // counts one goroutine per connection

	mu      sync.Mutex
	conns   map[*conn]struct{} // guarded by mu, as are the mutable fields of each
	changed *sync.Cond         // on mu: a connection has been registered or has ended
	stopped bool               // no more requests are received; guarded by mu
}

type conn struct {
	accepted   *os.File // the descriptor that tcp is created from
	acceptedAt time.Time
	tcp        *net.TCPConn // nil until the system has registered the connection
	received   bool         // the request has been received
	answered   bool         // the response has been written: the connection only lingers
}

// Listen returns a server that listens at an address. It answers no request before [Server.Serve].
func Listen(address string) (*Server, error) {
	listener, err := socket.Listen(address, false)
	if err != nil {
		return nil, err
	}
	s := &Server{
		listener: listener,
		reserve:  socket.NewReserve(reservedDescriptors),
		conns:    make(map[*conn]struct{}),
	}
	s.changed = sync.NewCond(&s.mu)
	return s, nil
}

// Address returns the address at which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close closes a server on which Serve was not called.
func (s *Server) Close() {
	s.listener.Close()
	s.reserve.Close()
}

// Serve answers requests until ctx ends and all requests received by then have been answered.
func (s *Server) Serve(ctx context.Context, controller Controller) {
	s.controller = controller
	defer context.AfterFunc(ctx, s.stop)()
	defer s.reserve.Close()
	var backoff socket.Backoff
	for {
		descriptor, err := s.listener.Await()
		if socket.OutOfDescriptors(err) && s.reserve.Lend() {
			descriptor, err = s.listener.Await()
		}
		if socket.IsClosed(err) {
			break
		}
		if err != nil { // the client has left, or another socket has taken the descriptor
			s.reserve.Fill()
			time.Sleep(backoff.Next())
			continue
		}
		backoff.Reset()
		s.add(&conn{accepted: os.NewFile(uintptr(descriptor), "management"), acceptedAt: time.Now()})
	}
	s.serving.Wait()
}

// stop closes the listener, and ends connections whose request has not been received.
func (s *Server) stop() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for c := range s.conns {
		if c.tcp != nil && !c.received {
			c.tcp.SetDeadline(socket.PastDeadline)
		}
	}
}

// add serves a connection. At maxConnections it evicts another one, or closes c if none can be evicted.
func (s *Server) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.makeRoomLocked() {
		c.accepted.Close()
		return
	}
	s.conns[c] = struct{}{}
	s.serving.Add(1)
	go s.serve(c)
}

// makeRoomLocked evicts connections while there are maxConnections or more. Connections that the system has not
// registered yet cannot be evicted: it waits until one of them can. It returns false if all connections wait for their
// response. Callers must hold s.mu.
func (s *Server) makeRoomLocked() bool {
	for len(s.conns) >= maxConnections {
		evicted := s.evictableLocked()
		switch {
		case evicted != nil:
			delete(s.conns, evicted)
			evicted.tcp.Close()
		case s.isRegisteringLocked():
			s.changed.Wait()
		default:
			return false
		}
	}
	return true
}

// isRegisteringLocked reports whether a connection has not been registered yet. It is registered, or ends, within
// openTimeout. Callers must hold s.mu.
func (s *Server) isRegisteringLocked() bool {
	for c := range s.conns {
		if c.tcp == nil {
			return true
		}
	}
	return false
}

// evictableLocked returns the connection to evict for a new one: the oldest one that has its response, else the oldest
// one whose request has not been received. It returns nil if all others wait for their response or to be registered,
// which takes moments. Callers must hold s.mu.
func (s *Server) evictableLocked() (evicted *conn) {
	for c := range s.conns {
		switch {
		case c.tcp == nil, c.received && !c.answered:
		case evicted == nil,
			c.answered && !evicted.answered,
			c.answered == evicted.answered && c.acceptedAt.Before(evicted.acceptedAt):
			evicted = c
		}
	}
	return evicted
}

// open creates the connection from its descriptor. If the system cannot register it now, open retries for openTimeout,
// as the client has already connected. It returns false if there is no connection to serve.
func (s *Server) open(c *conn) bool {
	defer c.accepted.Close()
	var backoff socket.Backoff
	for {
		opened, err := net.FileConn(c.accepted)
		if err == nil {
			return s.setOpen(c, opened.(*net.TCPConn))
		}
		if time.Since(c.acceptedAt) > openTimeout {
			return false
		}
		if !socket.OutOfDescriptors(err) || !s.reserve.Lend() {
			time.Sleep(backoff.Next())
		}
	}
}

// setOpen records the open connection. It returns false if the server has been stopped meanwhile.
func (s *Server) setOpen(c *conn, tcp *net.TCPConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		tcp.Close()
		return false
	}
	c.tcp = tcp
	s.changed.Broadcast()
	return true
}

// serve answers the request of a connection and closes it.
func (s *Server) serve(c *conn) {
	defer s.serving.Done()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.changed.Broadcast()
		s.mu.Unlock()
		s.reserve.Fill()
	}()
	if !s.open(c) {
		return
	}
	defer c.tcp.Close()
	c.tcp.SetReadDeadline(c.acceptedAt.Add(readTimeout))
	steady := socket.RetryingConn{Conn: c.tcp} // transient faults do not end the call
	req, err := readRequest(bufio.NewReaderSize(steady, maxHead), steady)
	var invalid *statusError
	var resp response
	switch {
	case err == nil:
		s.mu.Lock()
		c.received = true
		s.mu.Unlock()
		resp = handle(s.controller, req)
	case errors.As(err, &invalid):
		resp = invalid.response()
	case errors.Is(err, os.ErrDeadlineExceeded):
		late := failf(http.StatusRequestTimeout, "the call did not come whole in %v: send it at once", readTimeout)
		resp = late.response()
	default:
		return // the client has left
	}
	c.tcp.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := steady.Write(resp.encode()); err != nil {
		return
	}
	_ = socket.CloseWrite(c.tcp) // an error does not matter: the connection is closed next
	s.mu.Lock()
	c.received = true
	c.answered = true
	s.mu.Unlock()
	c.tcp.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(steady, maxLingerBytes)) // the connection is closed next in any case
}
