package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ryerill/balancer"
	"ryerill/internal/buffer"
	"ryerill/message"
)

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// serve answers each request with text and then calls after, unless it is nil.
// It counts connections and requests.
func serve(t *testing.T, text string, after func(net.Conn)) (address string, conns, requests chan struct{}) {
	t.Helper()
	requests = make(chan struct{}, 64)
	address, conns = serveRequests(t, func(c net.Conn) {
		io.WriteString(c, text)
		if after != nil {
			after(c)
		}
		requests <- struct{}{}
	})
	return address, conns, requests
}

// serveRequests calls answer for each request on each connection. It counts connections.
func serveRequests(t *testing.T, answer func(net.Conn)) (address string, conns chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	conns = make(chan struct{}, 64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns <- struct{}{}
			go func() {
				defer c.Close()
				for r := bufio.NewReader(c); ; {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					answer(c)
				}
			}()
		}
	}()
	return l.Addr().String(), conns
}

// connectionBudget limits the number of open connections.
type connectionBudget struct{ free, size atomic.Int64 }

func newConnectionBudget(n int64) *connectionBudget {
	r := &connectionBudget{}
	r.free.Store(n)
	r.size.Store(n)
	return r
}

func (r *connectionBudget) Take(n int) bool {
	if r.free.Add(-int64(n)) < 0 {
		r.free.Add(int64(n))
		return false
	}
	return true
}

func (r *connectionBudget) Give(n int) { r.free.Add(int64(n)) }
func (r *connectionBudget) used() int  { return int(r.size.Load() - r.free.Load()) }

func newAttempt(address string) *Attempt {
	return &Attempt{Request: &message.OutgoingRequest{Method: "GET", Target: "/x", Host: "h"}, Address: address,
		Deadline: time.Now().Add(20 * time.Second), MaySend: func() bool { return true }}
}

// A connection is reused only while it is usable: a request written to one that
// the endpoint has closed would be lost in a reset and possibly executed.
func TestOnlyUsableConnectionsAreReused(t *testing.T) {
	for _, tc := range []struct {
		name      string
		text      string
		after     func(net.Conn)
		idleClose time.Duration
		conns     int
	}{
		{"kept", okResponse, nil, time.Hour, 1},
		{"closed by the endpoint", okResponse, func(c net.Conn) { c.Close() }, time.Hour, 2},
		{"reset by the endpoint", okResponse, func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() }, time.Hour, 2},
		{"Connection: close", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok", nil, time.Hour, 2},
		{"trailing bytes", okResponse + "HTTP", nil, time.Hour, 2},
		{"late bytes", okResponse, func(c net.Conn) { io.WriteString(c, "HTTP") }, time.Hour, 2},
		{"idle for too long", okResponse, nil, time.Nanosecond, 2},
	} {
		address, conns, requests := serve(t, tc.text, tc.after)
		p := NewPool(newConnectionBudget(8), tc.idleClose, 5*time.Second, new(buffer.Pool))
		recordCommonResponses(p)
		for range 2 {
			waitMinRest()
			outcome, response := p.Do(newAttempt(address))
			if outcome != balancer.OK || response.Body.Len() != 2 {
				t.Fatalf("%s: got outcome %v and response %+v, want OK and a body of 2 bytes", tc.name, outcome, response)
			}
			<-requests // the endpoint has called after
		}
		if len(conns) != tc.conns {
			t.Errorf("%s: unexpected number of connections %d", tc.name, len(conns))
		}
		p.Close()
	}
}

// An endpoint may start to drain while a connection to it is being opened, after
// which nothing may be written to it. The same holds for a cancelled attempt.
func TestNothingIsWrittenWithoutPermission(t *testing.T) {
	address, _, requests := serve(t, okResponse, nil)
	p := NewPool(newConnectionBudget(8), time.Hour, 5*time.Second, new(buffer.Pool))
	defer p.Close()
	drained := newAttempt(address)
	drained.MaySend = func() bool { return false }
	if outcome, _ := p.Do(drained); outcome != balancer.NotSent {
		t.Errorf("drained: got outcome %v, want NotSent", outcome)
	}
	cancelled := newAttempt(address)
	cancelled.Cancel()
	if outcome, _ := p.Do(cancelled); outcome != balancer.NotSent {
		t.Errorf("cancelled: got outcome %v, want NotSent", outcome)
	}
	if outcome, _ := p.Do(newAttempt(address)); outcome != balancer.OK || len(requests) > 1 {
		t.Errorf("next attempt: got outcome %v and %d requests, want OK and at most 1", outcome, len(requests))
	}
}

// An endpoint executes a request only after receiving its last byte. If the
// connection breaks before, the request never ran and may be retried anywhere.
func TestAttemptBrokenBeforeLastByteNeverRan(t *testing.T) {
	p, c := largeAttempt(t, func(c net.Conn) {
		c.Read(make([]byte, 1)) // leaves the rest unread, so Close resets the connection
		c.Close()
	})
	if outcome, _ := p.Do(c); outcome != balancer.ConnectFailed || !outcome.NeverRan() {
		t.Errorf("got outcome %v, want ConnectFailed", outcome)
	}
}

// largeAttempt returns an attempt whose body exceeds the socket buffers, to an endpoint that
// calls then with the accepted connection.
func largeAttempt(t *testing.T, then func(net.Conn)) (*Pool, *Attempt) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		if c, err := l.Accept(); err == nil {
			then(c)
		}
	}()
	buffers := new(buffer.Pool)
	body, err := buffers.ReadBody(io.LimitReader(zeros{}, 32<<20), 32<<20)
	if err != nil {
		t.Fatal(err)
	}
	p := NewPool(newConnectionBudget(8), time.Hour, 5*time.Second, buffers)
	t.Cleanup(func() { l.Close(); p.Close() })
	c := newAttempt(l.Addr().String())
	c.Request = &message.OutgoingRequest{Method: "POST", Target: "/x", Host: "h", Body: body}
	return p, c
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// When the budget is exhausted, the pool evicts an idle connection to any
// destination; with none idle, the attempt fails without being sent.
func TestPoolStaysWithinBudget(t *testing.T) {
	first, _, _ := serve(t, okResponse, nil)
	second, _, _ := serve(t, okResponse, nil)
	silent, _, requests := serve(t, "", nil)
	p := NewPool(newConnectionBudget(1), time.Hour, 5*time.Second, new(buffer.Pool))
	defer p.Close()
	for _, address := range []string{first, second, first} {
		if outcome, _ := p.Do(newAttempt(address)); outcome != balancer.OK {
			t.Errorf("with an idle connection: got outcome %v, want OK", outcome)
		}
	}
	pending, done := newAttempt(silent), make(chan balancer.Outcome)
	go func() { outcome, _ := p.Do(pending); done <- outcome }()
	<-requests
	if outcome, _ := p.Do(newAttempt(first)); outcome != balancer.NotSent { // no evidence against the endpoint
		t.Errorf("without an idle connection: got outcome %v, want NotSent", outcome)
	}
	pending.Cancel()
	if outcome := <-done; outcome != balancer.Cancelled || p.connections.(*connectionBudget).used() != 0 {
		t.Errorf("cancelled: got outcome %v and %d open connections, want Cancelled and 0", outcome, p.connections.(*connectionBudget).used())
	}
}

// A lack of local resources is no evidence against the endpoint.
func TestIsLocalFault(t *testing.T) {
	dial := func(err error) error { return &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", err)} }
	for _, tc := range []struct {
		err  error
		want bool
	}{{errNoDescriptor, true}, {dial(syscall.EMFILE), true}, {dial(syscall.EADDRNOTAVAIL), true},
		{dial(syscall.ECONNREFUSED), false}, {dial(syscall.EHOSTUNREACH), false}, {os.ErrDeadlineExceeded, false}, {nil, false}} {
		if got := isLocalFault(tc.err); got != tc.want {
			t.Errorf("isLocalFault(%v) = %v, want the opposite", tc.err, got)
		}
	}
}

// An address may be reassigned to another endpoint while a connection to the
// first is still open; a request on that connection would be lost.
func TestConnectionIsNotReusedForAnotherEndpoint(t *testing.T) {
	address, conns, _ := serve(t, okResponse, nil)
	p := NewPool(newConnectionBudget(8), time.Hour, 5*time.Second, new(buffer.Pool))
	defer p.Close()
	recordCommonResponses(p)
	for i, tc := range []struct {
		endpoint uint64
		conns    int
	}{{1, 1}, {1, 1}, {2, 2}, {1, 2}} {
		c := newAttempt(address)
		c.Endpoint = tc.endpoint
		waitMinRest()
		if outcome, _ := p.Do(c); outcome != balancer.OK || len(conns) != tc.conns {
			t.Errorf("attempt %d: got outcome %v, want OK, or unexpected number of connections %d", i, outcome, len(conns))
		}
	}
	if p.CloseIdle(1); p.connections.(*connectionBudget).used() != 1 || len(p.idle) != 1 {
		t.Errorf("after CloseIdle: got %d open connections to %d destinations, want 1 and 1", p.connections.(*connectionBudget).used(), len(p.idle))
	}
}
