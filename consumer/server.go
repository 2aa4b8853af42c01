package consumer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"ryerill/internal/buffer"
	"ryerill/internal/socket"
)

const (
	idleTimeout  = 2 * time.Minute        // a connection without requests is closed after this
	readTimeout  = 10 * time.Second       // a request is in this long after its first byte
	writeTimeout = 5 * time.Second        // an answer is out in this time
	leaveMargin  = 30 * time.Second       // a connection is watched this long beyond its invocation's time
	acceptOn     = 550 * time.Millisecond // connections keep arriving for up to 0.4 s after the word to stop
	linger       = 500 * time.Millisecond // what comes in after a last answer is read for so long, lest it be reset
	reserve      = 8                      // connections beyond the limit that are told so
)

// Server accepts the consumers' connections and speaks HTTP/1.1 on them.
type Server struct {
	listener *net.TCPListener
	names    Names
	intake   Intake
	buffers  *buffer.Pool
	most     int // connections

	mu       sync.Mutex
	room     *sync.Cond // a connection has ended
	conns    map[*conn]struct{}
	stopping bool // no connection outlives its present invocation
	closed   bool // no connection is waited for either
}

// Listen opens the address for consumers. Of the most connections that it may
// hold, a few are kept for telling consumers that there is no room.
func Listen(address string, most int, names Names, buffers *buffer.Pool) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for consumers: %w", err)
	}
	s := &Server{listener: l.(*net.TCPListener), names: names, buffers: buffers, most: most - reserve,
		conns: make(map[*conn]struct{})}
	s.room = sync.NewCond(&s.mu)
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve hands invocations to intake until ctx ends. It then goes on accepting
// for a while, since the word that this proxy stops spreads slowly, and
// returns when all that was taken in has been answered.
func (s *Server) Serve(ctx context.Context, intake Intake) error {
	s.intake = intake
	defer s.listener.Close()
	defer context.AfterFunc(ctx, s.stop)()
	for {
		nc, err := s.listener.AcceptTCP()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			break // Accept waits only when the backlog is empty: nothing is left in it
		}
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("accept consumers: %w", err)
		}
		if err != nil { // the consumer is gone again, or the machine has no descriptor to spare
			time.Sleep(time.Millisecond)
			continue
		}
		s.add(nc)
	}
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		c.giveUp()
	}
	for len(s.conns) > 0 {
		s.room.Wait()
	}
	return nil
}

func (s *Server) stop() {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	s.listener.SetDeadline(time.Now().Add(acceptOn))
}

// add starts a connection. At the limit the one idle for longest makes room;
// if all are busy the new one is told so, and beyond the reserve it waits.
func (s *Server) add(nc *net.TCPConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.conns) >= s.most+reserve {
		s.room.Wait()
	}
	c := &conn{server: s, nc: nc}
	c.rest()
	if len(s.conns) >= s.most {
		var oldest *conn
		for other := range s.conns {
			if other.idle && (oldest == nil || other.since.Before(oldest.since)) {
				oldest = other
			}
		}
		if c.refused = oldest == nil; oldest != nil {
			oldest.giveUp()
			oldest.idle = false // its place is given away once
		}
	}
	c.limit.r = nc
	c.limit.N = maxHead
	c.r = s.buffers.Reader(&c.limit)
	s.conns[c] = struct{}{}
	go c.serve()
}

// conn is a consumer's connection. One goroutine reads it; while an invocation
// is out this read tells when the consumer leaves.
type conn struct {
	server  *Server
	nc      *net.TCPConn
	limit   limitReader
	r       *bufio.Reader
	refused bool // beyond the limit

	idle  bool      // between requests; guarded by server.mu
	since time.Time // when it became idle
}

// limitReader bounds what one request may bring in.
type limitReader struct {
	r      io.Reader
	N      int64
	failed bool // the connection itself broke
}

func (l *limitReader) Read(p []byte) (int, error) {
	if l.N <= 0 {
		return 0, io.EOF
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.N)])
	l.N -= int64(n)
	l.failed = err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}

// giveUp ends a connection that is between requests. It wakes the reader, which
// alone can tell that no request has come in at the last moment: a request
// that has reached this machine counts as taken, so closing over it loses it.
// The server's mutex is held.
func (c *conn) giveUp() {
	if c.idle {
		c.nc.SetReadDeadline(time.Unix(1, 0))
	}
}

// rest notes that the connection is between requests.
// The server's mutex is held.
func (c *conn) rest() {
	c.idle, c.since = true, time.Now()
	c.nc.SetReadDeadline(c.since.Add(idleTimeout))
	if c.server.closed {
		c.giveUp()
	}
}

// begin waits for the first byte of the next request. It reports false when
// the connection has ended, or was given up and nothing has come in.
func (c *conn) begin() bool {
	_, err := c.r.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && socket.Peek(c.nc) == socket.Waiting {
		c.nc.SetReadDeadline(time.Now().Add(readTimeout))
		_, err = c.r.Peek(1)
	}
	if err != nil {
		return false
	}
	c.server.mu.Lock()
	c.idle = false
	c.server.mu.Unlock()
	c.nc.SetReadDeadline(time.Now().Add(readTimeout))
	return true
}

func (c *conn) serve() {
	defer c.end()
	answered := make(chan bool, 1)
	for {
		c.limit.N = maxHead
		if !c.begin() {
			return
		}
		req, body, err := c.readRequest()
		if err != nil {
			c.reject(err)
			return
		}
		if req.Method == http.MethodGet && req.RequestURI == readyPath {
			body.Free()
			if !c.ready(req.Close) {
				return
			}
			continue
		}
		inv, err := c.server.names.parse(req, body, time.Now())
		if err != nil {
			c.reject(err)
			return
		}
		if c.refused {
			inv.Request.Free()
			c.write(head(http.StatusServiceUnavailable, 0, nil, time.Second, true), nil)
			c.lingerClose()
			return
		}
		closes := req.Close
		inv.Reply = func(a Answer) { go c.answer(a, closes, answered) }
		c.nc.SetReadDeadline(inv.Taken.Add(inv.Left + leaveMargin))
		c.limit.N = maxHead
		ticket := c.server.intake.Take(inv)
		_, err = c.r.Peek(1) // the next request, which comes after the answer, or the consumer's end
		if err != nil {
			c.server.mu.Lock() // an answer that is through lets go of it after all is booked
			settled := len(answered) > 0
			c.server.mu.Unlock()
			if !settled {
				c.server.intake.Leave(ticket)
				return
			}
		}
		if !<-answered {
			return
		}
	}
}

// answer writes a final answer and tells the reader whether the connection
// goes on.
func (c *conn) answer(a Answer, closes bool, answered chan<- bool) {
	defer a.Response.Free()
	c.server.mu.Lock()
	closes = closes || c.server.stopping
	c.server.mu.Unlock()
	var header http.Header
	var body *buffer.Body
	if a.Response != nil {
		header, body = a.Response.Header, a.Response.Body
	}
	goesOn := c.write(head(a.Verdict.status(), body.Len(), header, a.RetryAfter, closes), body) && !closes
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	answered <- goesOn
	if goesOn {
		c.rest()
	} else {
		c.nc.Close() // also ends the read that waits for the next request
	}
}

func (c *conn) write(head []byte, body *buffer.Body) bool {
	c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	message := body.AppendTo(net.Buffers{head})
	_, err := message.WriteTo(c.nc)
	return err == nil
}

// ready answers the question whether this proxy can be used. It can from its
// first moment on, with the providers known from before.
func (c *conn) ready(closes bool) bool {
	c.server.mu.Lock()
	stopping := c.server.stopping
	c.server.mu.Unlock()
	status := http.StatusOK
	if stopping {
		status, closes = http.StatusServiceUnavailable, true
	}
	if !c.write(head(status, 0, nil, 0, closes), nil) || closes {
		return false
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.rest()
	return true
}

// reject answers what is no invocation, if there is still somebody to answer.
func (c *conn) reject(err error) {
	var e *httpError
	if errors.As(err, &e) && c.write(head(e.status, 0, nil, 0, true), nil) {
		c.lingerClose()
	}
}

// lingerClose ends the sending first and reads on for a moment: closing with
// unread bytes would reset the connection, and the answer with it.
func (c *conn) lingerClose() {
	if c.nc.CloseWrite() == nil {
		c.nc.SetReadDeadline(time.Now().Add(linger))
		io.Copy(io.Discard, io.LimitReader(c.nc, 1<<20))
	}
}

func (c *conn) end() {
	c.nc.Close()
	c.server.buffers.PutReader(c.r)
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	delete(c.server.conns, c)
	c.server.room.Broadcast()
}
