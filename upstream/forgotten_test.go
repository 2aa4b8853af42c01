package upstream

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ryerill/balancer"
	"ryerill/internal/buffer"
)

// forgettable is a connection that a machine between may forget while it is idle: what is written then is lost, and
// nothing comes back, or a reset.
type forgettable struct {
	transport // not embedded as a net.TCPConn, which would take several buffers past Write
	forgotten *atomic.Bool
	resets    bool
}

func (f *forgettable) Write(b []byte) (int, error) {
	if f.forgotten.Load() {
		return len(b), nil
	}
	return f.transport.Write(b)
}

func (f *forgettable) Read(b []byte) (int, error) {
	if f.forgotten.Load() && f.resets {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	}
	return f.transport.Read(b)
}

// A request that is written to a connection which is forgotten may have run, as far as the proxy can know: it is neither
// sent again by the pool nor taken for one that never ran. The connection is not used again, and a new one is.
func TestForgottenIdleConnections(t *testing.T) {
	for _, tc := range []struct {
		name   string
		resets bool
		want   balancer.Outcome
	}{{"a reset comes back", true, balancer.Reset}, {"nothing comes back", false, balancer.Timeout}} {
		t.Run(tc.name, func(t *testing.T) {
			address, conns, requests := serve(t, okay, nil)
			descriptors := newDescriptors(1)
			p := NewPool(descriptors, time.Hour, 5*time.Second, new(buffer.Pool))
			defer p.Close()
			knowResponses(p)
			forgotten := new(atomic.Bool) // of the connection that was opened last
			p.dial = func(ctx context.Context, timeout time.Duration, address string) (transport, error) {
				opened, err := dialTCP(ctx, timeout, address)
				if err != nil {
					return nil, err
				}
				forgotten = new(atomic.Bool)
				return &forgettable{opened, forgotten, tc.resets}, nil
			}
			if outcome, _ := p.Do(newCall(address)); outcome != balancer.OK {
				t.Fatalf("the first: %v", outcome)
			}
			letRest()
			forgotten.Store(true)
			lost := newCall(address)
			lost.Deadline = time.Now().Add(100 * time.Millisecond)
			outcome, _ := p.Do(lost)
			if outcome != tc.want || descriptors.used() != 0 {
				t.Fatalf("on the forgotten one: %v, %d connections kept", outcome, descriptors.used())
			}
			if outcome, _ := p.Do(newCall(address)); outcome != balancer.OK {
				t.Fatalf("then: %v", outcome)
			}
			<-requests
			<-requests
			if len(requests) > 0 || len(conns) != 2 {
				t.Errorf("%d requests too many, %d connections", len(requests), len(conns))
			}
		})
	}
}
