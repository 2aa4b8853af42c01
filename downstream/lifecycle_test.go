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

const longWait = 20 * time.Second // for what must come; no test waits so long unless it fails

// holding takes each request and answers it when the test says so.
type holding struct {
	prompt
	taken   chan *message.Request
	left    chan uint64
	expired chan uint64
	plan    func(killed time.Duration) drain.Plan

	mu     sync.Mutex
	last   uint64
	ending map[uint64]bool // answered or left
	open   map[uint64]*message.Request
}

func newHolding(deadline time.Duration) *holding {
	return &holding{prompt: prompt{PoolClasses{Classes: []string{"read", "burn"}, Effects: []balancer.Effect{balancer.Safe, balancer.Unsafe},
		Deadlines: []time.Duration{deadline, deadline}}}, taken: make(chan *message.Request, 64), left: make(chan uint64, 64),
		expired: make(chan uint64, 64), plan: drain.Shutdown, ending: map[uint64]bool{}, open: map[uint64]*message.Request{}}
}

func (h *holding) Find(req *http.Request, _ string) (Route, error) {
	return Route{Service: h, Target: req.RequestURI}, nil
}
func (h *holding) ShutdownPlan(killed time.Duration) drain.Plan { return h.plan(killed) }
func (h *holding) Accept(inv *message.Request) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.last++
	h.open[h.last] = inv
	h.taken <- inv
	return h.last
}
func (h *holding) ClientLeft(ticket uint64) bool {
	if h.over(ticket) {
		return false
	}
	h.left <- ticket
	return true
}
func (h *holding) Expire(ticket uint64) {
	if !h.over(ticket) {
		h.expired <- ticket
		h.open[ticket].Reply(message.Result{Kind: message.TimedOut})
	}
}

// over notes the one end of a request. It reports whether it had one.
func (h *holding) over(ticket uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	was := h.ending[ticket]
	h.ending[ticket] = true
	return was
}

// serve answers a request, unless its client has left.
func (h *holding) serve(ticket uint64) {
	h.mu.Lock()
	inv := h.open[ticket]
	h.mu.Unlock()
	if !h.over(ticket) {
		inv.Reply(message.Result{Kind: message.Served})
	}
}

// serving runs a server for a test, whose end leaves nothing behind.
func serving(t *testing.T, services Router, most int) (s *Server, stop func()) {
	t.Helper()
	leaks := goleak.IgnoreCurrent()
	s, err := Listen("127.0.0.1:0", most, false, new(buffer.Pool))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan error, 1)
	go func() { over <- s.Serve(ctx, services) }()
	t.Cleanup(func() {
		cancel()
		select {
		case err := <-over:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(longWait):
			t.Fatal("the server does not end")
		}
		if len(s.conns) != 0 || s.evicted != 0 || len(s.openIDs) != 0 {
			t.Errorf("left over: %d connections, %d leaving, %d ids", len(s.conns), s.evicted, len(s.openIDs))
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
	c.SetDeadline(time.Now().Add(longWait))
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

func status200(t *testing.T, r *bufio.Reader) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("answered %v, %v", resp, err)
	}
}

func came[T any](t *testing.T, from <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(longWait):
		t.Fatal("never: " + what)
	}
	return v
}

// A connection ends by its sending side first: a request that crosses the end, which
// the client writes before it has seen it, is neither sent on nor answered by a reset.
// Whoever has ended it, for being idle, for room, or because all ends.
func TestRequestsThatCrossTheEndOfAConnection(t *testing.T) {
	for _, tc := range []struct {
		name  string
		first string // asked and answered before
		end   func(s *Server, stop func())
	}{
		{"all ends", get(1, ""), func(_ *Server, stop func()) { stop() }},
		{"given up for room", get(1, ""), func(s *Server, _ func()) {
			s.mu.Lock()
			defer s.mu.Unlock()
			for c := range s.conns {
				c.enterStateLocked(stateIdle, time.Now().Add(time.Hour))
				c.beginLingerLocked(time.Hour) // as serve does, and for as long as the test takes
				c.nc.SetReadDeadline(socket.PastDeadline)
			}
		}},
		{"asked to close", get(1, "Connection: close\r\n"), func(*Server, func()) {}},
		{"ready, asked to close", "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", func(*Server, func()) {}},
		{"not understood", "GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n", func(*Server, func()) {}},
		{"never asked", "", func(s *Server, _ func()) {
			s.mu.Lock()
			defer s.mu.Unlock()
			for c := range s.conns {
				c.nc.SetReadDeadline(socket.PastDeadline)
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHolding(100 * time.Millisecond)
			s, stop := serving(t, h, 64)
			c, r := connect(t, s.Address())
			if tc.first != "" {
				send(t, c, tc.first)
				if strings.Contains(tc.first, "/read ") {
					came(t, h.taken, "the first request")
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
				t.Fatalf("the end is no plain one: %v", err)
			}
			if tc.name == "given up for room" {
				return // there it lasts a moment only
			}
			for id := 2; id < 40; id++ {
				if _, err := io.WriteString(c, get(id, "")); err != nil {
					t.Fatalf("request %d across the end: %v", id, err)
				}
			}
			if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
				t.Errorf("after requests across the end: %v", err)
			}
			c.Close()
			select {
			case inv := <-h.taken:
				t.Errorf("%s was sent on after the sending side was shut", inv.Outgoing.Header.Get("Req-Id"))
			default:
			}
		})
	}
}

// What a client has sent beyond its request is no reason to reset the answer.
func TestNoCloseOverUnreadBytes(t *testing.T) {
	for _, size := range []int{1, 100, 5 << 10, 100 << 10} {
		h := newHolding(time.Minute)
		s, _ := serving(t, h, 64)
		c, r := connect(t, s.Address())
		send(t, c, get(1, "Connection: close\r\n")+strings.Repeat("x", size))
		came(t, h.taken, "the request")
		h.serve(1)
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("%d bytes beyond: %v, %v", size, resp, err)
		}
		if rest, err := io.ReadAll(r); err != nil || len(rest) > 0 {
			t.Errorf("%d bytes beyond: then %q, %v", size, rest, err)
		}
		c.Close()
	}
}

// A client that leaves while its request is open is noticed, whatever it has sent
// behind it, and the request is cancelled once.
func TestClientsThatLeaveAfterPipelining(t *testing.T) {
	closes := func(c *net.TCPConn) { c.Close() }
	resets := func(c *net.TCPConn) { c.SetLinger(0); c.Close() }
	half := func(c *net.TCPConn) { c.CloseWrite() }
	for _, more := range []int{0, 1, 100, 4 << 10, 5 << 10, 64 << 10} {
		for name, leave := range map[string]func(*net.TCPConn){"closes": closes, "resets": resets, "ends its side": half} {
			t.Run(fmt.Sprint(more, " more, ", name), func(t *testing.T) {
				h := newHolding(time.Minute)
				s, _ := serving(t, h, 64)
				c, _ := connect(t, s.Address())
				send(t, c, get(1, "")+strings.Repeat("x", more))
				came(t, h.taken, "the request")
				leave(c)
				if got := came(t, h.left, "the client has left"); got != 1 {
					t.Errorf("request %d", got)
				}
				h.serve(1) // too late: of no effect
			})
		}
	}
}

// Where no read notices that a client leaves, right before an attempt it is asked: behind more bytes and in an upload.
// What it is told of at once is the end of the request too, and that is not noticed a second time.
func TestClientsThatLeaveAreNoticedBeforeAnAttempt(t *testing.T) {
	const upload = "POST /burn HTTP/1.1\r\nHost: x\r\nReq-Id: %d\r\nContent-Length: 9000000\r\n\r\n"
	h := newHolding(time.Minute)
	s, _ := serving(t, h, 64)
	id := 0
	later := "" // sent once the request is open
	for name, text := range map[string]func() string{
		"one byte behind":   func() string { return get(id, "") + "x" },
		"more than is held": func() string { return get(id, "") + strings.Repeat("x", 64<<10) },
		"one byte later":    func() string { later = "x"; return get(id, "") },
		"a request behind":  func() string { return get(id, "") + get(-id, "") },
		"in an upload":      func() string { return fmt.Sprintf(upload, id) + strings.Repeat("y", 80<<10) },
	} {
		for how, leave := range map[string]func(*net.TCPConn){
			"closes":        func(c *net.TCPConn) { c.Close() },
			"resets":        func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
			"ends its side": func(c *net.TCPConn) { c.CloseWrite() },
		} {
			t.Run(name+", "+how, func(t *testing.T) {
				id++
				later = ""
				c, _ := connect(t, s.Address())
				send(t, c, text())
				client := came(t, h.taken, "the request").Outgoing.Client
				send(t, c, later)
				time.Sleep(10 * time.Millisecond) // until its bytes have been seen
				if client.Left() {
					t.Fatal("it has not left")
				}
				leave(c)
				left := time.Now()
				for !client.Left() {
					if took := time.Since(left); took > 100*time.Millisecond {
						t.Fatalf("not noticed in %v", took)
					}
				}
				came(t, h.left, "the client has left")
			})
		}
	}
}

// One that has sent much of a request that nobody reads yet is noticed too.
func TestClientsThatLeaveDuringAnUpload(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn){
		"closes": func(c *net.TCPConn) { c.Close() }, "resets": func(c *net.TCPConn) { c.SetLinger(0); c.Close() }} {
		t.Run(name, func(t *testing.T) {
			h := newHolding(time.Minute)
			s, _ := serving(t, h, 64)
			c, _ := connect(t, s.Address())
			send(t, c, "POST /burn HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\nContent-Length: 9000000\r\n\r\n"+strings.Repeat("y", 80<<10))
			inv := came(t, h.taken, "the request")
			leave(c)
			came(t, h.left, "the client has left")
			if _, err := io.Copy(io.Discard, inv.Outgoing.Stream); err == nil { // which takes an end for no error
				t.Error("the rest of its body ends as if it were whole")
			}
		})
	}
}

// Requests that come at once are answered in turn, the one that had begun to come in
// while another was open too.
func TestRequestsBehindOneAnother(t *testing.T) {
	for _, n := range []int{2, 3, 200} { // the last are more than is kept
		for _, early := range []bool{true, false} { // the next come before the first is answered, or after
			h := newHolding(time.Minute)
			s, _ := serving(t, h, 64)
			c, r := connect(t, s.Address())
			text := ""
			for id := range n {
				text += get(id, "")
			}
			first := len(get(0, ""))
			send(t, c, text[:first+20])
			came(t, h.taken, "the first request")
			if early {
				send(t, c, text[first+20:])
			}
			h.serve(1)
			status200(t, r)
			if !early {
				send(t, c, text[first+20:])
			}
			for id := 1; id < n; id++ {
				came(t, h.taken, "the next request")
				h.serve(uint64(id + 1))
				status200(t, r)
			}
			c.Close()
		}
	}
}

// What is open when the process is about to be killed is answered before, once; where
// only a listener goes, it has its time.
func TestAnsweredBeforeTheKill(t *testing.T) {
	for _, stays := range []bool{false, true} {
		t.Run(fmt.Sprint("stays ", stays), func(t *testing.T) {
			h := newHolding(300 * time.Millisecond)
			h.plan = func(killed time.Duration) drain.Plan {
				p := drain.Shutdown(killed)
				p.KeepsProcess = stays
				return p
			}
			s, stop := serving(t, h, 64)
			c, r := connect(t, s.Address())
			send(t, c, get(1, "Req-Deadline-Ms: 60000\r\n"))
			came(t, h.taken, "the request")
			began := time.Now()
			stop()
			stop() // stopping again changes nothing
			if stays {
				for open := true; open; { // past the time at which it would have been killed
					s.mu.Lock()
					open = s.stoppedAt.IsZero() || time.Since(s.stoppedAt) < s.killDelay
					s.mu.Unlock()
					time.Sleep(time.Millisecond)
				}
				h.serve(1)
				status200(t, r)
				return
			}
			resp, err := http.ReadResponse(r, nil)
			if err != nil || resp.StatusCode != http.StatusGatewayTimeout || !resp.Close {
				t.Fatalf("answered %v, %v", resp, err)
			}
			if killed := 300*time.Millisecond + killGrace; time.Since(began) > killed {
				t.Errorf("after %v, killed after %v", time.Since(began), killed)
			}
			h.serve(1)
			if rest, err := io.ReadAll(r); err != nil || len(rest) > 0 {
				t.Errorf("then %q, %v", rest, err)
			}
			if len(h.expired) != 1 {
				t.Errorf("expired %d times", len(h.expired))
			}
		})
	}
}

// An answer may be through only after its client has gone and the connection has
// ended: it must not come back to life, nor count among those that leave.
func TestAnEndedConnectionStaysEnded(t *testing.T) {
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
	s.drainSince = time.Now().Add(-time.Hour) // all go
	c.becomeIdleLocked()
	c.evictLocked()
	c.beginLingerLocked(lingerPeriod)
	if c.state != stateClosed || c.evicted || s.evicted != 0 || len(s.conns) != 0 {
		t.Errorf("state %d, gone %v, %d leaving, %d connections", c.state, c.evicted, s.evicted, len(s.conns))
	}
}

// Beyond the connections reserved for rejections a new one is answered 503, though its request is unread.
func TestRequestRefusedUnreadIsAnswered(t *testing.T) {
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
		send(t, client, get(1, "")+strings.Repeat("x", size)) // has arrived once it is written
		nc, err := acceptOne(s)
		if err != nil {
			t.Fatal(err)
		}
		s.addConn(nc, false)
		text, err := io.ReadAll(r)
		if err != nil || !strings.HasPrefix(string(text), "HTTP/1.1 503") {
			t.Errorf("%d bytes behind: %q, %v", size, text, err)
		}
		if _, err := io.WriteString(client, "x"); err != nil {
			t.Errorf("%d bytes behind: the end was a reset: %v", size, err)
		}
	}
}

// A client may have left before its request is read: it lay in the listener's queue, or
// behind another request. Nobody waits for an answer any more, so it is not accepted.
func TestRequestOfAClientThatLeftIsNotAccepted(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn){
		"closes": func(c *net.TCPConn) { c.Close() }, "ends its side": func(c *net.TCPConn) { c.CloseWrite() }} {
		for _, text := range []string{get(1, ""), "POST /burn HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\nContent-Length: 90000\r\n\r\n" + strings.Repeat("y", 90000)} {
			t.Run(fmt.Sprint("in the queue, ", name, ", ", len(text), " bytes"), func(t *testing.T) {
				h := newHolding(time.Minute)
				s, err := Listen("127.0.0.1:0", 64, false, new(buffer.Pool))
				if err != nil {
					t.Fatal(err)
				}
				c, _ := connect(t, s.Address())
				send(t, c, text)
				leave(c)
				ctx, cancel := context.WithCancel(context.Background())
				over := make(chan error, 1)
				go func() { over <- s.Serve(ctx, h) }()
				other, r := connect(t, s.Address()) // whose request comes behind it
				send(t, other, get(2, ""))
				if inv := came(t, h.taken, "the other request"); inv.Outgoing.Header.Get("Req-Id") == "1" {
					t.Error("sent on though its client had left")
				} else {
					h.serve(1)
					status200(t, r)
				}
				other.Close()
				c.Close()
				cancel()
				if err := <-over; err != nil {
					t.Error(err)
				}
				if len(h.taken) > 0 || len(s.conns) != 0 || len(s.openIDs) != 0 {
					t.Errorf("%d more taken, %d connections, %d ids", len(h.taken), len(s.conns), len(s.openIDs))
				}
			})
		}
		t.Run("behind another, "+name, func(t *testing.T) {
			h := newHolding(time.Minute)
			s, _ := serving(t, h, 64)
			c, _ := connect(t, s.Address())
			send(t, c, get(1, ""))
			came(t, h.taken, "the first request")
			send(t, c, get(2, ""))
			leave(c)
			h.serve(1)
			for open := 1; open > 0; { // until its connection has ended
				s.mu.Lock()
				open = len(s.conns)
				s.mu.Unlock()
				time.Sleep(time.Millisecond)
			}
			if len(h.taken) > 0 {
				t.Error("the second was sent on though its client had left")
			}
		})
	}
}
