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

// faultyTransport is a connection whose reads, or whose writes from a byte on, fail with an error of the system.
type faultyTransport struct {
	transport        // not embedded as a net.TCPConn, which would take several buffers past Write
	writeFault error // nil is none
	writable   int   // bytes that are written before it
	readFault  error // nil is none
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

// faultyPool returns a pool whose connections have the faults of a faultyTransport.
func faultyPool(faults faultyTransport) (*Pool, *descriptors) {
	descriptors := newDescriptors(1)
	p := NewPool(descriptors, time.Hour, 5*time.Second, new(buffer.Pool))
	p.dial = func(ctx context.Context, timeout time.Duration, address string) (transport, error) {
		opened, err := dialTCP(ctx, timeout, address)
		if err != nil {
			return nil, err
		}
		faulty := faults
		faulty.transport = opened
		return &faulty, nil
	}
	return p, descriptors
}

// A connection that can't be opened has surely not carried the request. What this machine lacks is no evidence against
// the endpoint; what the network or the endpoint answers is. The budget of connections is given back each time.
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
			address, _, requests := serve(t, okay, nil)
			descriptors := newDescriptors(1)
			p := NewPool(descriptors, time.Hour, 5*time.Second, new(buffer.Pool))
			defer p.Close()
			p.dial = func(context.Context, time.Duration, string) (transport, error) {
				return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", fault)}
			}
			for range 3 {
				if outcome, _ := p.Do(newCall(address)); outcome != want || !outcome.NeverRan() {
					t.Errorf("%v, want %v", outcome, want)
				}
			}
			if descriptors.used() != 0 || len(requests) != 0 {
				t.Errorf("%d connections held, %d requests", descriptors.used(), len(requests))
			}
			p.dial = dialTCP
			if outcome, _ := p.Do(newCall(address)); outcome != balancer.OK {
				t.Errorf("once the fault is over: %v", outcome)
			}
		})
	}
}

// posting is a call with a body of some bytes.
func posting(t *testing.T, p *Pool, address string, size int) *Attempt {
	t.Helper()
	body, err := p.buffers.ReadBody(io.LimitReader(zeros{}, int64(size)), size)
	if err != nil {
		t.Fatal(err)
	}
	a := newCall(address)
	a.Request = &message.OutgoingRequest{Method: "POST", Target: "/x", Host: "h", Body: body}
	return a
}

// serveWhole answers requests that it has received whole, and counts them.
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
					_, _ = io.WriteString(c, okay)
				}
			}()
		}
	}()
	return listener.Addr().String(), requests
}

// A request whose last byte was not written never ran, whatever broke the writing off and wherever. What this machine
// lacks is no evidence against the endpoint.
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
					t.Parallel() // a fault that stays is endured for a while
					address, requests := serveWhole(t)
					p, descriptors := faultyPool(faultyTransport{writeFault: fault, writable: writable})
					defer p.Close()
					a := posting(t, p, address, 4<<10)
					if streamed {
						a.Request.Stream = &zeroUpload{left: 4 << 10}
						a.Request.Length = 8 << 10
					}
					outcome, _ := p.Do(a)
					if outcome != want || !outcome.NeverRan() {
						t.Errorf("%v, want %v", outcome, want)
					}
					if descriptors.used() != 0 || requests.Load() != 0 {
						t.Errorf("%d connections held, %d requests", descriptors.used(), requests.Load())
					}
				})
			}
		}
	}
}

// A request that was written whole may have run, whatever the reading of its response fails with.
func TestOutcomesOfReadErrors(t *testing.T) {
	for _, fault := range []syscall.Errno{
		syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EINTR, syscall.EIO,
	} {
		t.Run(fault.Error(), func(t *testing.T) {
			t.Parallel() // a fault that stays is endured for a while
			address, _, requests := serve(t, okay, nil)
			p, descriptors := faultyPool(faultyTransport{readFault: fault})
			defer p.Close()
			outcome, _ := p.Do(newCall(address))
			if outcome != balancer.Reset || outcome.NeverRan() {
				t.Errorf("%v", outcome)
			}
			<-requests
			if descriptors.used() != 0 {
				t.Errorf("%d connections held", descriptors.used())
			}
		})
	}
}

// zeroUpload is the remainder of a body that is received as fast as it is read.
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

// An endpoint that takes a long body in small pieces, which cuts the system's writes short, gets all of it.
func TestShortWritesAreContinued(t *testing.T) {
	received := make(chan int64, 1)
	p, a := largeCall(t, func(c net.Conn) {
		defer c.Close()
		time.Sleep(50 * time.Millisecond) // until the buffers are full
		request, err := http.ReadRequest(bufio.NewReaderSize(c, 1000))
		if err != nil {
			return
		}
		n, _ := io.Copy(io.Discard, request.Body)
		received <- n
		_, _ = io.WriteString(c, okay)
	})
	outcome, _ := p.Do(a)
	if n := <-received; outcome != balancer.OK || n != 32<<20 {
		t.Errorf("%v, %d bytes", outcome, n)
	}
}
