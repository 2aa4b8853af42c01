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

// droppableTransport is a connection whose state a middlebox may drop while it is idle. Bytes written afterwards are
// lost, and the sender receives nothing or a reset.
type droppableTransport struct {
	transport // not a net.TCPConn, which would write several buffers without calling Write
	dropped   *atomic.Bool
	resets    bool
}

func (f *droppableTransport) Write(b []byte) (int, error) {
	if f.dropped.Load() {
		return len(b), nil
	}
	return f.transport.Write(b)
}

func (f *droppableTransport) Read(b []byte) (int, error) {
	if f.dropped.Load() && f.resets {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	}
	return f.transport.Read(b)
}

// A request written to a dropped connection is possibly executed, as far as the proxy can tell: the pool neither resends
// it nor reports that it never ran. The connection is closed, and the next attempt opens a new one.
func TestRequestOnDroppedIdleConnectionIsNotResent(t *testing.T) {
	for _, tc := range []struct {
		name   string
		resets bool
		want   balancer.Outcome
	}{{"reset received", true, balancer.Reset}, {"nothing received", false, balancer.Timeout}} {
		t.Run(tc.name, func(t *testing.T) {
			address, conns, requests := serve(t, okResponse, nil)
			budget := newConnectionBudget(1)
			p := NewPool(budget, time.Hour, 5*time.Second, new(buffer.Pool))
			defer p.Close()
			recordCommonResponses(p)
			dropped := new(atomic.Bool) // state of the latest connection
			p.dial = func(ctx context.Context, timeout time.Duration, address string) (transport, error) {
				opened, err := dialTCP(ctx, timeout, address)
				if err != nil {
					return nil, err
				}
				dropped = new(atomic.Bool)
				return &droppableTransport{opened, dropped, tc.resets}, nil
			}
			if outcome, _ := p.Do(newAttempt(address)); outcome != balancer.OK {
				t.Fatalf("first attempt: got outcome %v, want OK", outcome)
			}
			waitMinRest()
			dropped.Store(true)
			lost := newAttempt(address)
			lost.Deadline = time.Now().Add(100 * time.Millisecond)
			outcome, _ := p.Do(lost)
			if outcome != tc.want || budget.used() != 0 {
				t.Fatalf("on the dropped connection: unexpected outcome %v, or got %d open connections, want 0", outcome, budget.used())
			}
			if outcome, _ := p.Do(newAttempt(address)); outcome != balancer.OK {
				t.Fatalf("next attempt: got outcome %v, want OK", outcome)
			}
			<-requests
			<-requests
			if len(requests) > 0 || len(conns) != 2 {
				t.Errorf("got %d surplus requests and %d connections, want 0 and 2", len(requests), len(conns))
			}
		})
	}
}
