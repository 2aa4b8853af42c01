package downstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ryerill/drain"
	"ryerill/internal/buffer"
	"ryerill/internal/socket"
)

// faultyListener fails a set number of accept calls with a system error, and accepts normally otherwise.
type faultyListener struct {
	clientListener

	mu      sync.Mutex
	fault   error
	faults  int           // number of calls still to fail
	failed  atomic.Int64  // number of calls that have failed
	backlog bool          // Next fails instead of Await, and Await accepts nothing before the deadline
	stopped chan struct{} // closed once a deadline is set
}

// next returns the error of the next call, or nil. backlog is set for calls of Next.
func (l *faultyListener) next(backlog bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.backlog != backlog || l.faults == 0 {
		return nil
	}
	l.faults--
	l.failed.Add(1)
	return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", l.fault)}
}

// failNext makes the next calls fail: those of Next if backlog is set, otherwise those of Await.
func (l *faultyListener) failNext(calls int, fault error, backlog bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault, l.faults, l.backlog = fault, calls, backlog
	l.failed.Store(0)
}

func (l *faultyListener) Await() (int, error) {
	if err := l.next(false); err != nil {
		return -1, err
	}
	l.mu.Lock()
	backlog := l.backlog
	l.mu.Unlock()
	if backlog {
		<-l.stopped
		return -1, os.ErrDeadlineExceeded
	}
	return l.clientListener.Await()
}

func (l *faultyListener) SetDeadline(t time.Time) error {
	close(l.stopped)
	return l.clientListener.SetDeadline(t)
}

func (l *faultyListener) Next() (int, error) {
	if err := l.next(true); err != nil {
		return -1, err
	}
	return l.clientListener.Next()
}

// listenFaulty returns a server and its listener, whose accept calls can be made to fail.
func listenFaulty(t *testing.T) (*Server, *faultyListener) {
	t.Helper()
	s, err := Listen("127.0.0.1:0", 64, false, new(buffer.Pool))
	if err != nil {
		t.Fatal(err)
	}
	listener := &faultyListener{clientListener: s.listener, stopped: make(chan struct{})}
	s.listener = listener
	return s, listener
}

// getAll sends concurrent requests, each on a connection of its own, and returns their errors joined.
func getAll(address string, requests int) error {
	failures := make(chan error, requests)
	for range requests {
		go func() {
			client := http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
			response, err := client.Get("http://" + address + "/ready")
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
				response.Body.Close()
			}
			failures <- err
		}()
	}
	var all error
	for range requests {
		all = errors.Join(all, <-failures)
	}
	return all
}

// acceptFaults are errors of accept that do not concern the other clients in the queue.
var acceptFaults = []syscall.Errno{
	syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO,
	syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ETIMEDOUT, syscall.EPERM,
}

// After any error of accept, the server accepts again after a short pause. It loses no waiting client, and a persistent
// fault does not make it spin.
func TestAcceptContinuesAfterFaults(t *testing.T) {
	for _, fault := range acceptFaults {
		t.Run(fault.Error(), func(t *testing.T) {
			t.Parallel()
			s, listener := listenFaulty(t)
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			listener.failNext(20, fault, false)
			began := time.Now()
			go func() { ended <- s.Serve(ctx, newHeldService(time.Second)) }()
			if err := getAll(s.Address(), 5); err != nil {
				t.Errorf("requests during accept faults failed: %v", err)
			}
			if took := time.Since(began); took > 2*time.Second {
				t.Errorf("answered after %v, want at most 2s", took)
			}

			listener.failNext(1<<30, fault, false)
			if conn, err := net.Dial("tcp", s.Address()); err == nil { // wakes the pending accept
				defer conn.Close()
			}
			time.Sleep(500 * time.Millisecond)
			if n := listener.failed.Load(); n > 60 { // two per pause of 50 ms, and the first calls with shorter pauses
				t.Errorf("got %d failed accept calls in 500ms, want at most 60", n)
			}
			listener.failNext(0, nil, false)
			if err := getAll(s.Address(), 5); err != nil {
				t.Errorf("requests after a long accept fault failed: %v", err)
			}
			cancel()
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
}

// Creating a connection from an accepted descriptor briefly takes a second one. If none is free for a client accepted
// during the shutdown, the client is served once there is one.
func TestShutdownAdmitsConnectionOnceDescriptorIsFree(t *testing.T) {
	for _, fault := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		t.Run(fault.Error(), func(t *testing.T) {
			t.Parallel()
			s, listener := listenFaulty(t)
			service := newHeldService(time.Second)
			service.plan = func(time.Duration) drain.Plan { return drain.Plan{CloseIdle: time.Millisecond} }
			listener.failNext(0, nil, true)
			var failures atomic.Int64
			failures.Store(5)
			s.fileConn = func(file *os.File) (net.Conn, error) {
				if failures.Add(-1) >= 0 {
					return nil, os.NewSyscallError("fcntl", fault)
				}
				return net.FileConn(file)
			}
			answered := make(chan error, 1)
			go func() { answered <- getAll(s.Address(), 4) }()
			time.Sleep(50 * time.Millisecond) // until the clients wait in the queue: the server does not accept yet
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			if err := s.Serve(ctx, service); err != nil {
				t.Error(err)
			}
			if err := <-answered; err != nil {
				t.Errorf("lost: %v", err)
			}
		})
	}
}

// During the shutdown, the server accepts all clients in the listener's queue, whatever errors accept returns
// meanwhile.
func TestShutdownAcceptsBacklogDespiteFaults(t *testing.T) {
	for _, fault := range acceptFaults {
		t.Run(fault.Error(), func(t *testing.T) {
			t.Parallel()
			s, listener := listenFaulty(t)
			service := newHeldService(time.Second)
			service.plan = func(time.Duration) drain.Plan { return drain.Plan{CloseIdle: time.Millisecond} }
			listener.failNext(3, fault, true)
			answered := make(chan error, 1)
			go func() { answered <- getAll(s.Address(), 4) }()
			time.Sleep(50 * time.Millisecond) // until the clients wait in the queue: the server does not accept yet
			ctx, cancel := context.WithCancel(context.Background())
			cancel() // Serve stops accepting at once and only empties the queue
			if err := s.Serve(ctx, service); err != nil {
				t.Error(err)
			}
			if err := <-answered; err != nil {
				t.Errorf("lost: %v", err)
			}
		})
	}
}

// When the proxy evicts an idle connection and the shutdown of its sending side fails for some milliseconds, the client
// is not notified and may send a request. The proxy once discarded that request as received after the close, so the
// client got no response, only the end of the connection; a trace showed the request being read between the failed call
// and the close. Such a request must be served as if the connection had not been evicted.
func TestRequestServedWhenCloseWriteFails(t *testing.T) {
	for name, end := range map[string]func(t *testing.T, s *Server, stop func()){
		"evicted": func(t *testing.T, s *Server, _ func()) {
			awaitIdle(t, s)
			evictAll(s)
		},
		"shut down": func(_ *testing.T, _ *Server, stop func()) { stop() },
	} {
		t.Run(name, func(t *testing.T) {
			s, stop := startServer(t, immediateCloseService{readingService{immediateService{testClasses}}}, 64)
			client, reader := connect(t, s.Address())
			send(t, client, get(1, ""))
			expectOK(t, reader)
			var failures atomic.Int64
			s.closeWrite = func(nc *net.TCPConn) error {
				switch failures.Add(1) {
				case 1:
					send(t, client, get(2, ""))
					for until := time.Now().Add(testTimeout); socket.Peek(nc) != socket.Waiting && time.Now().Before(until); {
						time.Sleep(time.Millisecond)
					}
					return syscall.ENOBUFS
				case 2, 3:
					return syscall.ENOBUFS
				}
				return socket.CloseWrite(nc)
			}
			end(t, s, stop)
			expectOK(t, reader)
			if failures.Load() == 0 {
				t.Error("got no CloseWrite call, want the connection evicted")
			}
		})
	}
}

// awaitIdle waits until the server's only connection is idle. The client may have the whole response before that, and a
// busy connection is not evictable.
func awaitIdle(t *testing.T, s *Server) {
	t.Helper()
	for until := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		open, idle := len(s.conns), 0
		for c := range s.conns {
			if c.state == stateIdle {
				idle++
			}
		}
		s.mu.Unlock()
		if open == 1 && idle == 1 {
			return
		}
		if time.Now().After(until) {
			t.Fatalf("after %v: got %d connections, %d of them idle, want one idle connection", testTimeout, open, idle)
		}
	}
}

// evictAll evicts all connections that are evictable now.
func evictAll(s *Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for candidate := s.evictionCandidateLocked(time.Now()); candidate != nil; {
		candidate.evictLocked()
		candidate = s.evictionCandidateLocked(time.Now())
	}
}

// immediateCloseService plans shutdowns that close idle connections at once.
type immediateCloseService struct{ readingService }

func (immediateCloseService) ShutdownPlan(time.Duration) drain.Plan {
	return drain.Plan{CloseIdle: time.Millisecond, Reject: time.Second}
}

// If the sending side of an evicted connection can't be shut down, the connection is closed soon all the same, because
// other clients wait for its slot.
func TestConnectionClosedWhenCloseWriteKeepsFailing(t *testing.T) {
	s, _ := startServer(t, readingService{immediateService{testClasses}}, 64)
	client, reader := connect(t, s.Address())
	send(t, client, get(1, ""))
	expectOK(t, reader)
	awaitIdle(t, s)
	s.closeWrite = func(*net.TCPConn) error { return syscall.ENOBUFS }
	began := time.Now()
	evictAll(s)
	if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("got %v, want EOF", err)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("closed after %v, want at most 1s", took)
	}
}
