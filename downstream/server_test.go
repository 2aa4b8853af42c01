package downstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"slices"
	"testing"
	"time"

	"ryerill/balancer"
	"ryerill/drain"
	"ryerill/internal/buffer"
	"ryerill/internal/socket"
	"ryerill/message"
)

// A request that has reached this machine counts as taken: giving up its
// connection in the same moment would reset it and lose the request.
func TestGivenUpOnlyWhenNothingHasComeIn(t *testing.T) {
	for _, tc := range []struct {
		text string
		want bool
	}{{"", false}, {"GET", true}} {
		s, err := Listen("127.0.0.1:0", 16, false, new(buffer.Pool))
		if err != nil {
			t.Fatal(err)
		}
		defer s.listener.Close()
		client, err := net.Dial("tcp", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		nc, err := acceptOne(s)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		s.mu.Lock()
		c := newConn(s, nc)
		s.mu.Unlock()
		io.WriteString(client, tc.text)
		for until := time.Now().Add(20 * time.Second); (socket.Peek(nc) == socket.Waiting) != tc.want && time.Now().Before(until); {
			runtime.Gosched() // until the bytes have come in
		}
		s.mu.Lock()
		c.evictLocked()
		s.mu.Unlock()
		if got := c.awaitRequest(); got != tc.want {
			t.Errorf("%q came in: goes on %v", tc.text, got)
		}
	}
}

// At the limit the connection that is worth least makes room: silent newcomers
// must not drive out the kept connections of good clients, and what has a
// request open or is about to bring one stays.
func TestEvictionOrder(t *testing.T) {
	now := time.Now()
	c := func(s connState, asked bool, so time.Duration) *conn {
		return &conn{state: s, hasRequested: asked, stateSince: now.Add(-so)}
	}
	order := []*conn{ // from what goes first to what goes last
		c(stateLingering, true, 0),
		c(stateIdle, false, 2*freshPeriod),
		c(stateIdle, false, freshPeriod),
		c(stateIdle, true, 2*settledAfter),
		c(stateIdle, true, settledAfter),
		c(stateReading, false, 2*freshPeriod),
		c(stateIdle, true, settledAfter/2),
		c(stateIdle, true, 0),
	}
	gone := c(stateLingering, true, time.Hour)
	gone.evicted = true
	s := &Server{conns: map[*conn]struct{}{c(stateBusy, true, time.Hour): {}, c(stateIdle, false, 0): {}, c(stateReading, true, 0): {}, gone: {}}}
	for _, c := range order {
		s.conns[c] = struct{}{}
	}
	for i, want := range order {
		got := s.evictionCandidateLocked(now)
		if got != want {
			t.Fatalf("place %d: %+v, want %+v", i, got, want)
		}
		delete(s.conns, got)
	}
	if got := s.evictionCandidateLocked(now); got != nil {
		t.Errorf("then %+v", got)
	}
}

// Who is silent, drips or stops in its first request is told within 3 s of
// connecting. How long that takes is what the constants say; that it happens
// is shown on a socket.
func TestNobodyHoldsAConnectionWithoutAsking(t *testing.T) {
	if firstRequestTimeout < settledAfter || firstRequestTimeout >= 3*time.Second || requestTimeout >= 3*time.Second {
		t.Errorf("waits %v for a request to begin and %v for its end", firstRequestTimeout, requestTimeout)
	}
	s, err := Listen("127.0.0.1:0", 64, false, new(buffer.Pool))
	if err != nil {
		t.Fatal(err)
	}
	over := make(chan error)
	ctx, stop := context.WithCancel(t.Context())
	go func() { over <- s.Serve(ctx, prompt{names}) }()
	for _, tc := range []struct{ text, want string }{
		{"", ""},
		{"GET /read HTTP/1.1\r\nHo", "HTTP/1.1 408"},
		{"POST /burn HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\nContent-Length: 9\r\n\r\nhalf", "HTTP/1.1 408"},
	} {
		t.Run(tc.want, func(t *testing.T) {
			t.Parallel()
			c, err := net.Dial("tcp", s.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(20 * time.Second))
			io.WriteString(c, tc.text)
			got, err := io.ReadAll(c)
			if err != nil || len(got) < len(tc.want) || string(got[:len(tc.want)]) != tc.want {
				t.Errorf("%q: answered %q, %v", tc.text, got, err)
			}
		})
	}
	t.Cleanup(func() {
		stop()
		if err := <-over; err != nil {
			t.Error(err)
		}
	})
}

// prompt serves each request at once.
type prompt struct{ names PoolClasses }

func (p prompt) Classes() *PoolClasses                        { return &p.names }
func (prompt) ReserveBody(int) (give func(), ok bool)         { return func() {}, true }
func (p prompt) MaxDeadline() time.Duration                   { return slices.Max(p.names.Deadlines) }
func (p prompt) ShutdownPlan(killed time.Duration) drain.Plan { return drain.Shutdown(killed) }
func (p prompt) CountRejected(string, bool)                   {}
func (p prompt) CloseSpareConnections()                       {}
func (p prompt) Find(req *http.Request, _ string) (Route, error) {
	return Route{Service: p, Target: req.RequestURI}, nil
}
func (prompt) Accept(inv *message.Request) uint64 {
	inv.Reply(message.Result{Kind: message.Served})
	return 0
}
func (prompt) ClientLeft(uint64) bool { return false }
func (prompt) Expire(uint64)          {}

// After shutdown has begun, clients go on with the connections that they have:
// until another proxy is back there may be nobody else. Then they are told.
func TestIdleConnectionsAreServedAfterShutdownBegins(t *testing.T) {
	s, err := Listen("127.0.0.1:0", 64, false, new(buffer.Pool))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	over := make(chan error)
	go func() {
		over <- s.Serve(ctx, prompt{PoolClasses{Classes: names.Classes, Effects: names.Effects, Deadlines: []time.Duration{time.Minute, 0, 0}}})
	}()
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	r := bufio.NewReader(c)
	ask := func(id string) *http.Response {
		io.WriteString(c, "GET /read HTTP/1.1\r\nHost: x\r\nReq-Id: "+id+"\r\n\r\n")
		resp, _ := http.ReadResponse(r, nil)
		return resp
	}
	if resp := ask("1"); resp == nil || resp.StatusCode != 200 {
		t.Fatalf("before shutdown: %+v", resp)
	}
	began := time.Now()
	stop()
	for s.limitRemaining(time.Hour) == time.Hour && time.Since(began) < killGrace { // until shutdown has begun, and past the grace
		runtime.Gosched()
	}
	resp := ask("2")
	switch late := time.Since(began) >= s.killDelay/2; { // on a busy machine: nothing is promised
	case resp == nil && !late:
		t.Error("after shutdown there is no answer")
	case resp != nil && (resp.StatusCode != 200 || resp.Close && !late):
		t.Errorf("after shutdown: %s, closes %v", resp.Status, resp.Close)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("it ends with %v", err)
	}
	if err := <-over; err != nil {
		t.Error(err)
	}
	for _, tc := range []struct{ since, want time.Duration }{{0, time.Hour}, {time.Second, s.killDelay - killMargin - time.Second}} {
		s.stoppedAt = time.Now().Add(-tc.since)
		if got := s.limitRemaining(time.Hour); got > tc.want || got < tc.want-10*time.Second {
			t.Errorf("%v after shutdown a request may take %v, want %v", tc.since, got, tc.want)
		}
	}
}

// torn takes a long request in, reads it to its end, and is owed an answer then.
type torn struct {
	prompt
	turned chan string
}

func (s torn) CountRejected(class string, _ bool) { s.turned <- class }
func (s torn) CloseSpareConnections()             {}
func (s torn) Find(req *http.Request, _ string) (Route, error) {
	return Route{Service: s, Target: req.RequestURI}, nil
}
func (torn) Accept(inv *message.Request) uint64 {
	go io.Copy(io.Discard, inv.Outgoing.Stream)
	return 1
}
func (torn) ClientLeft(uint64) bool { return true } // and books its end

// An upload that breaks off is recorded as a request's end where it was taken; the
// front, which tells the client, must not book it too.
func TestBrokenUploadIsRecordedOnce(t *testing.T) {
	s, err := Listen("127.0.0.1:0", 16, false, new(buffer.Pool))
	if err != nil {
		t.Fatal(err)
	}
	service := torn{prompt{PoolClasses{Classes: []string{"burn"}, Deadlines: []time.Duration{time.Second}, Effects: []balancer.Effect{balancer.Unsafe}}}, make(chan string, 4)}
	ctx, stop := context.WithCancel(context.Background())
	over := make(chan error)
	go func() { over <- s.Serve(ctx, service) }()
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(20 * time.Second))
	io.WriteString(c, "POST /burn HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n")
	c.Write(make([]byte, 0x20000))
	io.WriteString(c, "\r\nno chunk\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusBadRequest {
		t.Errorf("answered %v, %v", resp, err)
	}
	c.Close()
	stop()
	if err := <-over; err != nil {
		t.Error(err)
	}
	select {
	case class := <-service.turned:
		t.Errorf("recorded by the server too, as of class %q", class)
	default:
	}
}

// acceptOne accepts the next connection.
func acceptOne(s *Server) (*net.TCPConn, error) {
	descriptor, err := s.listener.Await()
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(descriptor), "client")
	defer file.Close()
	nc, err := net.FileConn(file)
	if err != nil {
		return nil, err
	}
	return nc.(*net.TCPConn), nil
}
