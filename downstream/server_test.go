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

// A request that has reached this machine counts as accepted. Evicting its connection at the same moment must not reset
// the connection and lose the request.
func TestEvictionKeepsConnectionWithUnreadBytes(t *testing.T) {
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
			runtime.Gosched() // until the bytes have been received
		}
		s.mu.Lock()
		c.evictLocked()
		s.mu.Unlock()
		if got := c.awaitRequest(); got != tc.want {
			t.Errorf("%q received before the eviction: awaitRequest returned %v", tc.text, got)
		}
	}
}

// At the limit the connection with the lowest rank is evicted. New connections that send nothing must not displace the
// kept-alive connections of active clients, and a connection with an open or expected request is not evicted.
func TestEvictionOrder(t *testing.T) {
	now := time.Now()
	c := func(state connState, hasRequested bool, inState time.Duration) *conn {
		return &conn{state: state, hasRequested: hasRequested, stateSince: now.Add(-inState)}
	}
	order := []*conn{ // in order of eviction
		c(stateLingering, true, 0),
		c(stateIdle, false, 2*freshPeriod),
		c(stateIdle, false, freshPeriod),
		c(stateIdle, true, 2*settledAfter),
		c(stateIdle, true, settledAfter),
		c(stateReading, false, 2*freshPeriod),
		c(stateIdle, true, settledAfter/2),
		c(stateIdle, true, 0),
	}
	evicted := c(stateLingering, true, time.Hour)
	evicted.evicted = true
	s := &Server{conns: map[*conn]struct{}{c(stateBusy, true, time.Hour): {}, c(stateIdle, false, 0): {}, c(stateReading, true, 0): {}, evicted: {}}}
	for _, c := range order {
		s.conns[c] = struct{}{}
	}
	for i, want := range order {
		got := s.evictionCandidateLocked(now)
		if got != want {
			t.Fatalf("eviction candidate %d: got %+v, want %+v", i, got, want)
		}
		delete(s.conns, got)
	}
	if got := s.evictionCandidateLocked(now); got != nil {
		t.Errorf("got eviction candidate %+v, want none left", got)
	}
}

// A client that sends nothing, sends slowly or stalls in its first request is answered, or its connection closed,
// within 3 s of connecting. The time is checked by the constants, the response on a socket.
func TestSlowFirstRequestTimesOut(t *testing.T) {
	if firstRequestTimeout < settledAfter || firstRequestTimeout >= 3*time.Second || requestTimeout >= 3*time.Second {
		t.Errorf("got firstRequestTimeout %v and requestTimeout %v, want both below 3s and the first at least settledAfter", firstRequestTimeout, requestTimeout)
	}
	s, err := Listen("127.0.0.1:0", 64, false, new(buffer.Pool))
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error)
	ctx, stop := context.WithCancel(t.Context())
	go func() { served <- s.Serve(ctx, immediateService{testClasses}) }()
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
				t.Errorf("%q: got response %q, error %v", tc.text, got, err)
			}
		})
	}
	t.Cleanup(func() {
		stop()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
}

// immediateService answers each request at once.
type immediateService struct{ classes PoolClasses }

func (p immediateService) Classes() *PoolClasses                { return &p.classes }
func (immediateService) ReserveBody(int) (give func(), ok bool) { return func() {}, true }
func (p immediateService) MaxDeadline() time.Duration           { return slices.Max(p.classes.Deadlines) }
func (p immediateService) ShutdownPlan(killDelay time.Duration) drain.Plan {
	return drain.Shutdown(killDelay)
}
func (p immediateService) CountRejected(string, bool) {}
func (p immediateService) CloseSpareConnections()     {}
func (p immediateService) Find(req *http.Request, _ string) (Route, error) {
	return Route{Service: p, Target: req.RequestURI}, nil
}
func (immediateService) Accept(request *message.Request) uint64 {
	request.Reply(message.Result{Kind: message.Served})
	return 0
}
func (immediateService) ClientLeft(uint64) bool         { return false }
func (immediateService) BodyReceived(uint64, time.Time) {}
func (immediateService) Expire(uint64)                  {}

// After the shutdown has begun, idle connections are still served, because clients take time to learn of it. Later they
// are closed.
func TestIdleConnectionsServedAfterShutdownBegins(t *testing.T) {
	s, err := Listen("127.0.0.1:0", 64, false, new(buffer.Pool))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error)
	go func() {
		served <- s.Serve(ctx, immediateService{PoolClasses{Classes: testClasses.Classes, Effects: testClasses.Effects, Deadlines: []time.Duration{time.Minute, 0, 0}}})
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
		t.Fatalf("before the shutdown: got response %+v, want status 200", resp)
	}
	began := time.Now()
	stop()
	awaitShutdown(s, 0)
	resp := ask("2")
	switch late := time.Since(began) >= s.shutdown.CloseAfterResponse; { // on a busy machine, it may be closed already
	case resp == nil && !late:
		t.Error("after the shutdown began: got no response, want status 200")
	case resp != nil && (resp.StatusCode != 200 || resp.Close && !late):
		t.Errorf("after the shutdown began: got status %s, close %v, want 200, false", resp.Status, resp.Close)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("end of the connection: got %v, want EOF", err)
	}
	if err := <-served; err != nil {
		t.Error(err)
	}
	for _, tc := range []struct{ since, want time.Duration }{{0, time.Hour}, {lateAfter, s.killDelay - killMargin - lateAfter}, {time.Second, s.killDelay - killMargin - time.Second}} {
		s.stoppedAt = time.Now().Add(-tc.since)
		if got := s.limitRemaining(time.Hour); got > tc.want || got < tc.want-10*time.Second {
			t.Errorf("%v after the shutdown began: got remaining time %v, want up to 10s less than %v", tc.since, got, tc.want)
		}
	}
}

// failedUploadService accepts an upload, reads it to its end and does not answer it. The server must answer it when the
// upload fails.
type failedUploadService struct {
	immediateService
	rejected chan string
}

func (s failedUploadService) CountRejected(class string, _ bool) { s.rejected <- class }
func (s failedUploadService) CloseSpareConnections()             {}
func (s failedUploadService) Find(req *http.Request, _ string) (Route, error) {
	return Route{Service: s, Target: req.RequestURI}, nil
}
func (failedUploadService) Accept(request *message.Request) uint64 {
	go io.Copy(io.Discard, request.Outgoing.Stream)
	return 1
}
func (failedUploadService) ClientLeft(uint64) bool { return true } // it records the end of the request

// The end of a request whose upload fails is recorded by the service that accepted it. The server answers the client
// and must not record the end a second time.
func TestBrokenUploadIsRecordedOnce(t *testing.T) {
	s, err := Listen("127.0.0.1:0", 16, false, new(buffer.Pool))
	if err != nil {
		t.Fatal(err)
	}
	service := failedUploadService{immediateService{PoolClasses{Classes: []string{"burn"}, Deadlines: []time.Duration{time.Second}, Effects: []balancer.Effect{balancer.Unsafe}}}, make(chan string, 4)}
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error)
	go func() { served <- s.Serve(ctx, service) }()
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
		t.Errorf("got response %v, error %v, want status 400", resp, err)
	}
	c.Close()
	stop()
	if err := <-served; err != nil {
		t.Error(err)
	}
	select {
	case class := <-service.rejected:
		t.Errorf("server recorded the failed upload too, with class %q", class)
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
