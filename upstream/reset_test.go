package upstream

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"ryerill/balancer"
	"ryerill/internal/buffer"
)

// newConnPair returns both ends of a connection: near as a conn of the pool, far as the endpoint's.
func newConnPair(t *testing.T, p *Pool) (near *conn, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	raw, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	p.connections.Take(1)
	near = &conn{transport: raw.(*net.TCPConn)}
	near.limit.R = near
	near.reader = p.buffers.Reader(&near.limit)
	t.Cleanup(func() { peer.Close() })
	return near, peer.(*net.TCPConn)
}

// hookedConn calls do right before the n-th read, so that the call is certain to
// fall between two reads.
type hookedConn struct {
	*conn
	n  int
	do func()
}

func (b *hookedConn) Read(p []byte) (int, error) {
	if b.n--; b.n == 0 {
		b.do()
	}
	return b.conn.Read(p)
}

// A response without a stated length ends with EOF. A reset must not count as
// EOF, whichever call receives it: the read of the body, the read for more
// bytes, or an earlier peek.
func TestResetIsNotEndOfBody(t *testing.T) {
	const part = "HTTP/1.1 200 OK\r\n\r\nhalf of it"
	reset := func(c *net.TCPConn) { c.SetLinger(0); c.Close() }
	closes := func(c *net.TCPConn) { c.CloseWrite() } // not Close, which resets the connection while the request is unread
	for _, tc := range []struct {
		name string
		text string
		read int // number of the read right before which end is called
		end  func(*net.TCPConn)
		want balancer.Outcome
	}{
		{"EOF after the body", part, 2, closes, balancer.OK},
		{"reset after part of the body", part, 2, reset, balancer.Reset},
		{"reset after two parts of the body", part, 3, reset, balancer.Reset},
		{"reset before the body", "HTTP/1.1 200 OK\r\n\r\n", 2, reset, balancer.Reset},
		{"reset in the head", "HTTP/1.1 200 OK\r\nX-", 2, reset, balancer.Reset},
		{"EOF in the head", "HTTP/1.1 200 OK\r\nX-", 2, closes, balancer.Reset},
		{"EOF in a body of stated length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", 2, closes, balancer.Reset},
		{"EOF in a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf", 2, closes, balancer.Reset},
		{"EOF before the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", 2, closes, balancer.Reset},
	} {
		t.Run(tc.name, func(t *testing.T) {
			budget := newConnectionBudget(1)
			p := NewPool(budget, time.Hour, time.Second, new(buffer.Pool))
			near, far := newConnPair(t, p)
			near.limit.R = &hookedConn{near, tc.read, func() { tc.end(far) }}
			if tc.read == 3 { // the second read returns more bytes, the third the reset
				near.limit.R = &hookedConn{near, 2, func() {
					io.WriteString(far, ", and more")
					near.limit.R = &hookedConn{near, 1, func() { tc.end(far) }}
				}}
			}
			if _, err := io.WriteString(far, tc.text); err != nil {
				t.Fatal(err)
			}
			outcome, response, reusable := p.exchange(near, newAttempt(""))
			if outcome != tc.want || reusable {
				t.Errorf("got outcome %v, reusable %v; want %v, false", outcome, reusable, tc.want)
			}
			response.Free()
			p.drop(near)
			if budget.used() != 0 {
				t.Errorf("got %d open connections, want 0", budget.used())
			}
		})
	}
	t.Run("reset received by peek", func(t *testing.T) {
		p := NewPool(newConnectionBudget(1), time.Hour, time.Second, new(buffer.Pool))
		near, far := newConnPair(t, p)
		defer p.drop(near)
		reset(far)
		near.peek()
		if _, err := near.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
			t.Errorf("Read after peek: got error %v, want one other than nil and EOF", err)
		}
	})
}
