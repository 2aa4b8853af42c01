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

const okay = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// serve answers each request with text and then does what after says. It
// counts connections and requests.
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

// serveRequests has each request answered that a connection brings. It counts connections.
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

// descriptors is a number of connections that may be open.
type descriptors struct{ left, most atomic.Int64 }

func newDescriptors(n int64) *descriptors {
	r := &descriptors{}
	r.left.Store(n)
	r.most.Store(n)
	return r
}

func (r *descriptors) Take(n int) bool {
	if r.left.Add(-int64(n)) < 0 {
		r.left.Add(int64(n))
		return false
	}
	return true
}

func (r *descriptors) Give(n int) { r.left.Add(int64(n)) }
func (r *descriptors) used() int  { return int(r.most.Load() - r.left.Load()) }

func newCall(address string) *Attempt {
	return &Attempt{Request: &message.OutgoingRequest{Method: "GET", Target: "/x", Host: "h"}, Address: address,
		Deadline: time.Now().Add(20 * time.Second), MaySend: func() bool { return true }}
}

// A connection is used again only while it is sound: a request written to one
// that the endpoint has closed would be lost in a reset, and may have run.
func TestConnectionsAreUsedAgainWhileSound(t *testing.T) {
	for _, tc := range []struct {
		name      string
		text      string
		after     func(net.Conn)
		idleClose time.Duration
		conns     int
	}{
		{"kept", okay, nil, time.Hour, 1},
		{"closed by the endpoint", okay, func(c net.Conn) { c.Close() }, time.Hour, 2},
		{"reset by the endpoint", okay, func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() }, time.Hour, 2},
		{"said to be closed", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok", nil, time.Hour, 2},
		{"more bytes than the answer", okay + "HTTP", nil, time.Hour, 2},
		{"more bytes later", okay, func(c net.Conn) { io.WriteString(c, "HTTP") }, time.Hour, 2},
		{"idle for too long", okay, nil, time.Nanosecond, 2},
	} {
		address, conns, requests := serve(t, tc.text, tc.after)
		p := NewPool(newDescriptors(8), tc.idleClose, 5*time.Second, new(buffer.Pool))
		knowResponses(p)
		for range 2 {
			letRest()
			outcome, response := p.Do(newCall(address))
			if outcome != balancer.OK || response.Body.Len() != 2 {
				t.Fatalf("%s: %v, %+v", tc.name, outcome, response)
			}
			<-requests // what the endpoint does after its answer is done
		}
		if len(conns) != tc.conns {
			t.Errorf("%s: %d connections", tc.name, len(conns))
		}
		p.Close()
	}
}

// An endpoint may be told to drain while its connection is being opened: then
// nothing may be written any more.
func TestNothingIsWrittenAfterTheRecheck(t *testing.T) {
	address, _, requests := serve(t, okay, nil)
	p := NewPool(newDescriptors(8), time.Hour, 5*time.Second, new(buffer.Pool))
	defer p.Close()
	drained := newCall(address)
	drained.MaySend = func() bool { return false }
	if outcome, _ := p.Do(drained); outcome != balancer.NotSent {
		t.Errorf("drained: %v", outcome)
	}
	cancelled := newCall(address)
	cancelled.Cancel()
	if outcome, _ := p.Do(cancelled); outcome != balancer.NotSent {
		t.Errorf("cancelled: %v", outcome)
	}
	if outcome, _ := p.Do(newCall(address)); outcome != balancer.OK || len(requests) > 1 {
		t.Errorf("then: %v, %d requests", outcome, len(requests))
	}
}

// An endpoint starts on a request when its last byte has arrived: one that
// breaks off before has not run it, and the call may be made again anywhere.
func TestBrokenBeforeTheLastByteNeverRan(t *testing.T) {
	p, c := largeCall(t, func(c net.Conn) {
		c.Read(make([]byte, 1)) // and leaves the rest unread: the proxy's end is reset
		c.Close()
	})
	if outcome, _ := p.Do(c); outcome != balancer.ConnectFailed || !outcome.NeverRan() {
		t.Errorf("recorded as: %v", outcome)
	}
}

// largeCall is a call with more of a body than sockets hold, to an endpoint that does
// something with the connection.
func largeCall(t *testing.T, then func(net.Conn)) (*Pool, *Attempt) {
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
	p := NewPool(newDescriptors(8), time.Hour, 5*time.Second, buffers)
	t.Cleanup(func() { l.Close(); p.Close() })
	c := newCall(l.Addr().String())
	c.Request = &message.OutgoingRequest{Method: "POST", Target: "/x", Host: "h", Body: body}
	return p, c
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// At the limit an idle connection makes room, wherever it leads; with none
// idle the call fails without having been sent.
func TestPoolStaysUnderItsLimit(t *testing.T) {
	first, _, _ := serve(t, okay, nil)
	second, _, _ := serve(t, okay, nil)
	silent, _, requests := serve(t, "", nil)
	p := NewPool(newDescriptors(1), time.Hour, 5*time.Second, new(buffer.Pool))
	defer p.Close()
	for _, address := range []string{first, second, first} {
		if outcome, _ := p.Do(newCall(address)); outcome != balancer.OK {
			t.Errorf("idle makes room: %v", outcome)
		}
	}
	held, over := newCall(silent), make(chan balancer.Outcome)
	go func() { outcome, _ := p.Do(held); over <- outcome }()
	<-requests
	if outcome, _ := p.Do(newCall(first)); outcome != balancer.NotSent { // no fault of the endpoint's
		t.Errorf("with none idle: %v", outcome)
	}
	held.Cancel()
	if outcome := <-over; outcome != balancer.Cancelled || p.connections.(*descriptors).used() != 0 {
		t.Errorf("cancelled: %v, %d open", outcome, p.connections.(*descriptors).used())
	}
}

// What is missing here says nothing of the endpoint that was to be called.
func TestLocalFailuresAreNotBlamedOnTheEndpoint(t *testing.T) {
	dial := func(err error) error { return &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", err)} }
	for _, tc := range []struct {
		err  error
		want bool
	}{{errNoDescriptor, true}, {dial(syscall.EMFILE), true}, {dial(syscall.EADDRNOTAVAIL), true},
		{dial(syscall.ECONNREFUSED), false}, {dial(syscall.EHOSTUNREACH), false}, {os.ErrDeadlineExceeded, false}, {nil, false}} {
		if got := isOwnFault(tc.err); got != tc.want {
			t.Errorf("%v: %v", tc.err, got)
		}
	}
}

// An address may pass to another endpoint: a connection to the first may still
// be open, and a request on it would be lost.
func TestConnectionsBelongToTheirEndpoint(t *testing.T) {
	address, conns, _ := serve(t, okay, nil)
	p := NewPool(newDescriptors(8), time.Hour, 5*time.Second, new(buffer.Pool))
	defer p.Close()
	knowResponses(p)
	for i, tc := range []struct {
		endpoint uint64
		conns    int
	}{{1, 1}, {1, 1}, {2, 2}, {1, 2}} {
		c := newCall(address)
		c.Endpoint = tc.endpoint
		letRest()
		if outcome, _ := p.Do(c); outcome != balancer.OK || len(conns) != tc.conns {
			t.Errorf("call %d: %v, %d connections", i, outcome, len(conns))
		}
	}
	if p.CloseIdle(1); p.connections.(*descriptors).used() != 1 || len(p.idle) != 1 {
		t.Errorf("without the first endpoint: %d open at %d places", p.connections.(*descriptors).used(), len(p.idle))
	}
}
