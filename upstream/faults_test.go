package upstream

import (
	"bufio"
	"context"
	"fmt"
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

// faultyTransport is a connection whose reads fail, or whose writes fail after some bytes, with a system error.
type faultyTransport struct {
	transport        // not a net.TCPConn, which would write several buffers without calling Write
	writeFault error // nil for no fault
	writable   int   // bytes written before writeFault
	readFault  error // nil for no fault
}

func (f *faultyTransport) Write(b []byte) (int, error) {
	if f.writeFault == nil || len(b) < f.writable {
		f.writable -= len(b)
		return f.transport.Write(b)
	}
	n, err := f.transport.Write(b[:f.writable])
	f.writable -= n
	if err == nil {
		err = &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", f.writeFault)}
	}
	return n, err
}

func (f *faultyTransport) Read(b []byte) (int, error) {
	if f.readFault != nil {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", f.readFault)}
	}
	return f.transport.Read(b)
}

// faultyPool returns a pool whose connections have the given faults.
func faultyPool(faults faultyTransport) (*Pool, *connectionBudget) {
	budget := newConnectionBudget(1)
	p := NewPool(budget, time.Hour, 5*time.Second, new(buffer.Pool))
	p.dial = func(ctx context.Context, timeout time.Duration, address string) (transport, error) {
		opened, err := dialTCP(ctx, timeout, address)
		if err != nil {
			return nil, err
		}
		faulty := faults
		faulty.transport = opened
		return &faulty, nil
	}
	return p, budget
}

// A request whose connection can't be opened never ran. A local fault is no evidence against the endpoint (NotSent); an
// error from the network or the endpoint is (ConnectFailed). The connection budget is returned each time.
func TestOutcomesOfDialErrors(t *testing.T) {
	for fault, want := range map[syscall.Errno]balancer.Outcome{
		syscall.EADDRNOTAVAIL: balancer.NotSent,
		syscall.ENOBUFS:       balancer.NotSent,
		syscall.ENOMEM:        balancer.NotSent,
		syscall.EMFILE:        balancer.NotSent,
		syscall.ENFILE:        balancer.NotSent,
		syscall.EINTR:         balancer.NotSent,
		syscall.ECONNREFUSED:  balancer.ConnectFailed,
		syscall.ENETUNREACH:   balancer.ConnectFailed,
		syscall.EHOSTUNREACH:  balancer.ConnectFailed,
		syscall.ETIMEDOUT:     balancer.ConnectFailed,
	} {
		t.Run(fault.Error(), func(t *testing.T) {
			address, _, requests := serve(t, okResponse, nil)
			budget := newConnectionBudget(1)
			p := NewPool(budget, time.Hour, 5*time.Second, new(buffer.Pool))
			defer p.Close()
			p.dial = func(context.Context, time.Duration, string) (transport, error) {
				return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", fault)}
			}
			for range 3 {
				if outcome, _ := p.Do(newAttempt(address)); outcome != want || !outcome.NeverRan() {
					t.Errorf("got outcome %v, want %v", outcome, want)
				}
			}
			if budget.used() != 0 || len(requests) != 0 {
				t.Errorf("got %d open connections and %d requests, want 0 and 0", budget.used(), len(requests))
			}
			p.dial = dialTCP
			if outcome, _ := p.Do(newAttempt(address)); outcome != balancer.OK {
				t.Errorf("after the fault: got outcome %v, want OK", outcome)
			}
		})
	}
}

// newPost returns an attempt with a body of size bytes.
func newPost(t *testing.T, p *Pool, address string, size int) *Attempt {
	t.Helper()
	body, err := p.buffers.ReadBody(io.LimitReader(zeros{}, int64(size)), size)
	if err != nil {
		t.Fatal(err)
	}
	a := newAttempt(address)
	a.Request = &message.OutgoingRequest{Method: "POST", Target: "/x", Host: "h", Body: body}
	return a
}

// serveWhole answers the requests that it has received completely, and counts them.
func serveWhole(t *testing.T) (address string, requests *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	requests = new(atomic.Int64)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				request, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, request.Body); err == nil {
					requests.Add(1)
					_, _ = io.WriteString(c, okResponse)
				}
			}()
		}
	}()
	return listener.Addr().String(), requests
}

// A request whose last byte was not written never ran, whichever error stopped the write and at whichever byte. A local
// fault is no evidence against the endpoint.
func TestOutcomesOfWriteErrors(t *testing.T) {
	for fault, want := range map[syscall.Errno]balancer.Outcome{
		syscall.ENOBUFS:      balancer.NotSent,
		syscall.ENOMEM:       balancer.NotSent,
		syscall.EINTR:        balancer.NotSent,
		syscall.EPIPE:        balancer.ConnectFailed,
		syscall.ECONNRESET:   balancer.ConnectFailed,
		syscall.ETIMEDOUT:    balancer.ConnectFailed,
		syscall.EHOSTUNREACH: balancer.ConnectFailed,
		syscall.ENETUNREACH:  balancer.ConnectFailed,
	} {
		for _, writable := range []int{0, 1, 1000} {
			for _, streamed := range []bool{false, true} {
				t.Run(fmt.Sprintf("%v after %d bytes, streamed %v", fault, writable, streamed), func(t *testing.T) {
					t.Parallel() // a lasting fault is retried for a while
					address, requests := serveWhole(t)
					p, budget := faultyPool(faultyTransport{writeFault: fault, writable: writable})
					defer p.Close()
					a := newPost(t, p, address, 4<<10)
					if streamed {
						a.Request.Stream = &zeroUpload{left: 4 << 10}
						a.Request.Length = 8 << 10
					}
					outcome, _ := p.Do(a)
					if outcome != want || !outcome.NeverRan() {
						t.Errorf("got outcome %v, want %v", outcome, want)
					}
					if budget.used() != 0 || requests.Load() != 0 {
						t.Errorf("got %d open connections and %d requests, want 0 and 0", budget.used(), requests.Load())
					}
				})
			}
		}
	}
}

// A request that was written completely is possibly executed, whichever error reading its response returns.
func TestOutcomesOfReadErrors(t *testing.T) {
	for _, fault := range []syscall.Errno{
		syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EINTR, syscall.EIO,
	} {
		t.Run(fault.Error(), func(t *testing.T) {
			t.Parallel() // a lasting fault is retried for a while
			address, _, requests := serve(t, okResponse, nil)
			p, budget := faultyPool(faultyTransport{readFault: fault})
			defer p.Close()
			outcome, _ := p.Do(newAttempt(address))
			if outcome != balancer.Reset || outcome.NeverRan() {
				t.Errorf("got outcome %v, want Reset", outcome)
			}
			<-requests
			if budget.used() != 0 {
				t.Errorf("got %d open connections, want 0", budget.used())
			}
		})
	}
}

// zeroUpload is the remainder of a body; it returns left bytes without waiting.
type zeroUpload struct {
	left     int64
	consumed atomic.Bool
}

func (u *zeroUpload) Read(b []byte) (int, error) {
	u.consumed.Store(true)
	n := min(u.left, int64(len(b)))
	u.left -= n
	if u.left == 0 {
		return int(n), io.EOF
	}
	return int(n), nil
}

func (u *zeroUpload) Consumed() bool { return u.consumed.Load() }

// An endpoint that reads a long body in small pieces, which makes the system's writes short, receives all of it.
func TestShortWritesAreContinued(t *testing.T) {
	received := make(chan int64, 1)
	p, a := largeAttempt(t, func(c net.Conn) {
		defer c.Close()
		time.Sleep(50 * time.Millisecond) // long enough for the socket buffers to fill
		request, err := http.ReadRequest(bufio.NewReaderSize(c, 1000))
		if err != nil {
			return
		}
		n, _ := io.Copy(io.Discard, request.Body)
		received <- n
		_, _ = io.WriteString(c, okResponse)
	})
	outcome, _ := p.Do(a)
	if n := <-received; outcome != balancer.OK || n != 32<<20 {
		t.Errorf("got outcome %v and %d bytes received, want OK and 32 MiB", outcome, n)
	}
}
