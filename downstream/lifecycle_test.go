package downstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"ryerill/balancer"
	"ryerill/drain"
	"ryerill/internal/buffer"
	"ryerill/internal/socket"
	"ryerill/message"
)

const testTimeout = 20 * time.Second // for awaited events; only a failing test waits this long

// heldService accepts each request and answers it when the test calls serve.
type heldService struct {
	immediateService
	accepted chan *message.Request
	departed chan uint64
	expired  chan uint64
	plan     func(killDelay time.Duration) drain.Plan

	mu    sync.Mutex
	last  uint64
	ended map[uint64]bool // answered, expired, or its client has left
	open  map[uint64]*message.Request
}

func newHeldService(deadline time.Duration) *heldService {
	return &heldService{immediateService: immediateService{PoolClasses{Classes: []string{"read", "burn"}, Effects: []balancer.Effect{balancer.Safe, balancer.Unsafe},
		Deadlines: []time.Duration{deadline, deadline}}}, accepted: make(chan *message.Request, 64), departed: make(chan uint64, 64),
		expired: make(chan uint64, 64), plan: drain.Shutdown, ended: map[uint64]bool{}, open: map[uint64]*message.Request{}}
}

func (h *heldService) Find(req *http.Request, _ string) (Route, error) {
	return Route{Service: h, Target: req.RequestURI}, nil
}
func (h *heldService) ShutdownPlan(killDelay time.Duration) drain.Plan { return h.plan(killDelay) }
func (h *heldService) Accept(request *message.Request) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.last++
	h.open[h.last] = request
	h.accepted <- request
	return h.last
}
func (h *heldService) ClientLeft(ticket uint64) bool {
	if h.markEnded(ticket) {
		return false
	}
	h.departed <- ticket
	return true
}
func (h *heldService) Expire(ticket uint64) {
	if !h.markEnded(ticket) {
		h.expired <- ticket
		h.open[ticket].Reply(message.Result{Kind: message.TimedOut})
	}
}

// markEnded records the end of a request. It reports whether the request had already ended.
func (h *heldService) markEnded(ticket uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	was := h.ended[ticket]
	h.ended[ticket] = true
	return was
}

// serve answers a request unless it has already ended.
func (h *heldService) serve(ticket uint64) {
	h.mu.Lock()
	request := h.open[ticket]
	h.mu.Unlock()
	if !h.markEnded(ticket) {
		request.Reply(message.Result{Kind: message.Served})
	}
}

// startServer runs a server until the test ends. The cleanup checks that no connection, request id or goroutine leaks.
func startServer(t *testing.T, services Router, maxConnections int) (s *Server, stop func()) {
	t.Helper()
	leaks := goleak.IgnoreCurrent()
	s, err := Listen("127.0.0.1:0", maxConnections, false, new(buffer.Pool))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx, services) }()
	t.Cleanup(func() {
		cancel()
		select {
		case err := <-served:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(testTimeout):
			t.Fatal("timed out waiting for Serve to return")
		}
		if len(s.conns) != 0 || s.evicted != 0 || len(s.openIDs) != 0 {
			t.Errorf("after Serve returned: got %d connections, %d evicted, %d open ids, want none", len(s.conns), s.evicted, len(s.openIDs))
		}
		if err := goleak.Find(leaks); err != nil {
			t.Error(err)
		}
	})
	return s, cancel
}

func connect(t *testing.T, address string) (*net.TCPConn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return c.(*net.TCPConn), bufio.NewReader(c)
}

func get(id int, more string) string {
	return fmt.Sprintf("GET /read HTTP/1.1\r\nHost: x\r\nReq-Id: %d\r\n%s\r\n", id, more)
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

func expectOK(t *testing.T, r *bufio.Reader) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("got response %v, error %v, want status 200", resp, err)
	}
}

func receiveFrom[T any](t *testing.T, from <-chan T, event string) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for " + event)
	}
	return v
}

// The server closes the sending side of a connection first. A request that the client writes before it has seen the
// close must be neither forwarded nor answered by a reset, whatever the reason for the close.
func TestRequestsCrossingConnectionClose(t *testing.T) {
	for _, tc := range []struct {
		name  string
		first string // request answered before the close; empty if none
		end   func(s *Server, stop func())
	}{
		{"server shutdown", get(1, ""), func(_ *Server, stop func()) { stop() }},
		{"evicted for room", get(1, ""), func(s *Server, _ func()) {
			s.mu.Lock()
			defer s.mu.Unlock()
			for c := range s.conns {
				c.enterStateLocked(stateIdle, time.Now().Add(time.Hour))
				c.beginLingerLocked(time.Hour) // as serve does, and for as long as the test takes
				c.nc.SetReadDeadline(socket.PastDeadline)
			}
		}},
		{"Connection: close", get(1, "Connection: close\r\n"), func(*Server, func()) {}},
		{"readiness check with Connection: close", "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", func(*Server, func()) {}},
		{"malformed request", "GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n", func(*Server, func()) {}},
		{"no request sent", "", func(s *Server, _ func()) {
			s.mu.Lock()
			defer s.mu.Unlock()
			for c := range s.conns {
				c.nc.SetReadDeadline(socket.PastDeadline)
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHeldService(100 * time.Millisecond)
			s, stop := startServer(t, h, 64)
			c, r := connect(t, s.Address())
			if tc.first != "" {
				send(t, c, tc.first)
				if strings.Contains(tc.first, "/read ") {
					receiveFrom(t, h.accepted, "the first request")
					h.serve(1)
				}
				if _, err := http.ReadResponse(r, nil); err != nil {
					t.Fatal(err)
				}
			} else {
				for there := false; !there; {
					s.mu.Lock()
					there = len(s.conns) > 0
					s.mu.Unlock()
				}
			}
			tc.end(s, stop)
			if _, err := io.ReadAll(r); err != nil { // up to the end of the server's side
				t.Fatalf("got error %v, want EOF", err)
			}
			if tc.name == "evicted for room" {
				return // an evicted connection lingers only briefly
			}
			for id := 2; id < 40; id++ {
				if _, err := io.WriteString(c, get(id, "")); err != nil {
					t.Fatalf("write request %d after the close: %v", id, err)
				}
			}
			if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
				t.Errorf("read after requests written after the close: got %v, want EOF", err)
			}
			c.Close()
			select {
			case request := <-h.accepted:
				t.Errorf("request %s was accepted after the sending side was closed", request.Outgoing.Header.Get("Req-Id"))
			default:
			}
		})
	}
}

// Bytes that a client has sent after its request must not cause a reset that loses the response.
func TestUnreadBytesDoNotResetResponse(t *testing.T) {
	for _, size := range []int{1, 100, 5 << 10, 100 << 10} {
		h := newHeldService(time.Minute)
		s, _ := startServer(t, h, 64)
		c, r := connect(t, s.Address())
		send(t, c, get(1, "Connection: close\r\n")+strings.Repeat("x", size))
		receiveFrom(t, h.accepted, "the request")
		h.serve(1)
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("%d bytes after the request: got response %v, error %v, want status 200", size, resp, err)
		}
		if rest, err := io.ReadAll(r); err != nil || len(rest) > 0 {
			t.Errorf("%d bytes after the request: got %q, error %v after the response, want EOF", size, rest, err)
		}
		c.Close()
	}
}

// A client that disconnects while its request is open is detected, whatever it has sent after the request, and the
// request is cancelled once.
func TestClientCloseDetectedAfterPipelining(t *testing.T) {
	closes := func(c *net.TCPConn) { c.Close() }
	resets := func(c *net.TCPConn) { c.SetLinger(0); c.Close() }
	half := func(c *net.TCPConn) { c.CloseWrite() }
	for _, more := range []int{0, 1, 100, 4 << 10, 5 << 10, 64 << 10} {
		for name, leave := range map[string]func(*net.TCPConn){"closes": closes, "resets": resets, "closes its sending side": half} {
			t.Run(fmt.Sprint(more, " more, ", name), func(t *testing.T) {
				h := newHeldService(time.Minute)
				s, _ := startServer(t, h, 64)
				c, _ := connect(t, s.Address())
				send(t, c, get(1, "")+strings.Repeat("x", more))
				receiveFrom(t, h.accepted, "the request")
				leave(c)
				if got := receiveFrom(t, h.departed, "the disconnect"); got != 1 {
					t.Errorf("got disconnect for ticket %d, want 1", got)
				}
				h.serve(1) // no effect: the request has ended
			})
		}
	}
}

// Where no read detects a disconnect (further bytes after the request, an upload), Client.Left polls the connection
// before an attempt. It also ends the request, so that the disconnect is reported to the service once.
func TestClientCloseDetectedBeforeAttempt(t *testing.T) {
	const upload = "POST /burn HTTP/1.1\r\nHost: x\r\nReq-Id: %d\r\nContent-Length: 9000000\r\n\r\n"
	h := newHeldService(time.Minute)
	s, _ := startServer(t, h, 64)
	id := 0
	later := "" // sent once the request is open
	for name, text := range map[string]func() string{
		"one byte pipelined":             func() string { return get(id, "") + "x" },
		"more than the buffer pipelined": func() string { return get(id, "") + strings.Repeat("x", 64<<10) },
		"one byte later":                 func() string { later = "x"; return get(id, "") },
		"a request pipelined":            func() string { return get(id, "") + get(-id, "") },
		"in an upload":                   func() string { return fmt.Sprintf(upload, id) + strings.Repeat("y", 80<<10) },
	} {
		for how, leave := range map[string]func(*net.TCPConn){
			"closes":                  func(c *net.TCPConn) { c.Close() },
			"resets":                  func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
			"closes its sending side": func(c *net.TCPConn) { c.CloseWrite() },
		} {
			t.Run(name+", "+how, func(t *testing.T) {
				id++
				later = ""
				c, _ := connect(t, s.Address())
				send(t, c, text())
				client := receiveFrom(t, h.accepted, "the request").Outgoing.Client
				send(t, c, later)
				time.Sleep(10 * time.Millisecond) // until its bytes have been seen
				if client.Left() {
					t.Fatal("Left: got true before the disconnect, want false")
				}
				leave(c)
				left := time.Now()
				for !client.Left() {
					if took := time.Since(left); took > 100*time.Millisecond {
						t.Fatalf("disconnect not detected within %v", took)
					}
				}
				receiveFrom(t, h.departed, "the disconnect")
			})
		}
	}
}

// A client that disconnects during an upload is detected although no read of its body is in progress.
func TestClientCloseDetectedDuringUpload(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn){
		"closes": func(c *net.TCPConn) { c.Close() }, "resets": func(c *net.TCPConn) { c.SetLinger(0); c.Close() }} {
		t.Run(name, func(t *testing.T) {
			h := newHeldService(time.Minute)
			s, _ := startServer(t, h, 64)
			c, _ := connect(t, s.Address())
			send(t, c, "POST /burn HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\nContent-Length: 9000000\r\n\r\n"+strings.Repeat("y", 80<<10))
			request := receiveFrom(t, h.accepted, "the request")
			leave(c)
			receiveFrom(t, h.departed, "the disconnect")
			if _, err := io.Copy(io.Discard, request.Outgoing.Stream); err == nil { // nil means EOF
				t.Error("read of the truncated body: got EOF, want an error")
			}
		})
	}
}

// Pipelined requests are answered in order, including one of which a part was received while another was open.
func TestPipelinedRequestsAnsweredInOrder(t *testing.T) {
	for _, n := range []int{2, 3, 200} { // 200 requests exceed the read buffer
		for _, early := range []bool{true, false} { // whether the rest is sent before the first response
			h := newHeldService(time.Minute)
			s, _ := startServer(t, h, 64)
			c, r := connect(t, s.Address())
			text := ""
			for id := range n {
				text += get(id, "")
			}
			first := len(get(0, ""))
			send(t, c, text[:first+20])
			receiveFrom(t, h.accepted, "the first request")
			if early {
				send(t, c, text[first+20:])
			}
			h.serve(1)
			expectOK(t, r)
			if !early {
				send(t, c, text[first+20:])
			}
			for id := 1; id < n; id++ {
				receiveFrom(t, h.accepted, "the next request")
				h.serve(uint64(id + 1))
				expectOK(t, r)
			}
			c.Close()
		}
	}
}

// Requests still open shortly before the process may be killed are answered then, once. If the process stays and only
// the listener closes, they keep their deadline.
func TestOpenRequestsAnsweredBeforeKill(t *testing.T) {
	for _, stays := range []bool{false, true} {
		t.Run(fmt.Sprint("stays ", stays), func(t *testing.T) {
			h := newHeldService(300 * time.Millisecond)
			h.plan = func(killDelay time.Duration) drain.Plan {
				if stays {
					return drain.ListenerRemoved(killDelay)
				}
				return drain.Shutdown(killDelay)
			}
			s, stop := startServer(t, h, 64)
			c, r := connect(t, s.Address())
			send(t, c, get(1, "Req-Deadline-Ms: 60000\r\n"))
			receiveFrom(t, h.accepted, "the request")
			began := time.Now()
			stop()
			stop() // a second stop must have no effect
			if stays {
				for open := true; open; { // until after the kill delay
					s.mu.Lock()
					open = s.stoppedAt.IsZero() || time.Since(s.stoppedAt) < s.killDelay
					s.mu.Unlock()
					time.Sleep(time.Millisecond)
				}
				h.serve(1)
				expectOK(t, r)
				return
			}
			resp, err := http.ReadResponse(r, nil)
			if err != nil || resp.StatusCode != http.StatusGatewayTimeout || !resp.Close {
				t.Fatalf("got response %v, error %v, want status 504 with Connection: close", resp, err)
			}
			if killDelay := 300*time.Millisecond + killGrace; time.Since(began) > killDelay {
				t.Errorf("answered after %v, want at most the kill delay %v", time.Since(began), killDelay)
			}
			h.serve(1)
			if rest, err := io.ReadAll(r); err != nil || len(rest) > 0 {
				t.Errorf("after the response: got %q, error %v, want EOF", rest, err)
			}
			if len(h.expired) != 1 {
				t.Errorf("got %d expired requests, want 1", len(h.expired))
			}
		})
	}
}

// A result may be written after the client has disconnected and the connection has closed. The connection must then
// stay closed and must not count as evicted.
func TestClosedConnectionStaysClosed(t *testing.T) {
	s, err := Listen("127.0.0.1:0", 16, false, new(buffer.Pool))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	client, _ := connect(t, s.Address())
	nc, err := acceptOne(s)
	if err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	c := newConn(s, nc)
	s.conns[c] = struct{}{}
	c.hasRequested = true
	s.mu.Unlock()
	client.Close()
	c.close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainSince = time.Now().Add(-time.Hour) // the drain closes all idle connections
	c.becomeIdleLocked()
	c.evictLocked()
	c.beginLingerLocked(lingerPeriod)
	if c.state != stateClosed || c.evicted || s.evicted != 0 || len(s.conns) != 0 {
		t.Errorf("got state %d, evicted %v, %d evicted in all, %d connections, want a closed connection and no other", c.state, c.evicted, s.evicted, len(s.conns))
	}
}

// A connection beyond the reserve is answered 503 without its request being read, and is not reset.
func TestConnectionBeyondReserveAnswered503(t *testing.T) {
	s, err := Listen("127.0.0.1:0", 16, false, new(buffer.Pool))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for range s.maxConnections + reservedConnections {
		s.conns[&conn{state: stateBusy}] = struct{}{}
	}
	for _, size := range []int{0, 100, 16 << 10} {
		client, r := connect(t, s.Address())
		send(t, client, get(1, "")+strings.Repeat("x", size)) // received once it is written: loopback
		nc, err := acceptOne(s)
		if err != nil {
			t.Fatal(err)
		}
		s.addConn(nc, false)
		text, err := io.ReadAll(r)
		if err != nil || !strings.HasPrefix(string(text), "HTTP/1.1 503") {
			t.Errorf("%d bytes after the request: got %q, error %v, want status 503", size, text, err)
		}
		if _, err := io.WriteString(client, "x"); err != nil {
			t.Errorf("%d bytes after the request: write after the close failed: %v", size, err)
		}
	}
}

// A client may disconnect before its request is read, while the request waits in the listener's queue or behind another
// request. Such a request must not be accepted, because no client waits for the response.
func TestRequestNotAcceptedAfterClientClose(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn){
		"closes": func(c *net.TCPConn) { c.Close() }, "closes its sending side": func(c *net.TCPConn) { c.CloseWrite() }} {
		for _, text := range []string{get(1, ""), "POST /burn HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\nContent-Length: 90000\r\n\r\n" + strings.Repeat("y", 90000)} {
			t.Run(fmt.Sprint("in the queue, ", name, ", ", len(text), " bytes"), func(t *testing.T) {
				h := newHeldService(time.Minute)
				s, err := Listen("127.0.0.1:0", 64, false, new(buffer.Pool))
				if err != nil {
					t.Fatal(err)
				}
				c, _ := connect(t, s.Address())
				send(t, c, text)
				leave(c)
				ctx, cancel := context.WithCancel(context.Background())
				served := make(chan error, 1)
				go func() { served <- s.Serve(ctx, h) }()
				other, r := connect(t, s.Address()) // a second client, later in the queue
				send(t, other, get(2, ""))
				if request := receiveFrom(t, h.accepted, "the other request"); request.Outgoing.Header.Get("Req-Id") == "1" {
					t.Error("accepted the request of a client that had disconnected")
				} else {
					h.serve(1)
					expectOK(t, r)
				}
				other.Close()
				c.Close()
				cancel()
				if err := <-served; err != nil {
					t.Error(err)
				}
				if len(h.accepted) > 0 || len(s.conns) != 0 || len(s.openIDs) != 0 {
					t.Errorf("got %d more accepted requests, %d connections, %d open ids, want none", len(h.accepted), len(s.conns), len(s.openIDs))
				}
			})
		}
		t.Run("behind another request, "+name, func(t *testing.T) {
			h := newHeldService(time.Minute)
			s, _ := startServer(t, h, 64)
			c, _ := connect(t, s.Address())
			send(t, c, get(1, ""))
			receiveFrom(t, h.accepted, "the first request")
			send(t, c, get(2, ""))
			leave(c)
			h.serve(1)
			for open := 1; open > 0; { // until its connection has ended
				s.mu.Lock()
				open = len(s.conns)
				s.mu.Unlock()
				time.Sleep(time.Millisecond)
			}
			if len(h.accepted) > 0 {
				t.Error("accepted the second request of a client that had disconnected")
			}
		})
	}
}
