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

// connected returns both ends of a connection, the near one as a pool holds it.
func connected(t *testing.T, p *Pool) (near *conn, far *net.TCPConn) {
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

// before has something done right before the n-th read of a connection, so that
// it happens between two reads for certain.
type before struct {
	*conn
	n  int
	do func()
}

func (b *before) Read(p []byte) (int, error) {
	if b.n--; b.n == 0 {
		b.do()
	}
	return b.conn.Read(p)
}

// An answer that states no length ends with its connection, and a reset is no
// end, whoever meets it: the read that brings the body, the look whether more
// comes, or whatever looked before.
func TestResetIsNoEnd(t *testing.T) {
	const part = "HTTP/1.1 200 OK\r\n\r\nhalf of it"
	reset := func(c *net.TCPConn) { c.SetLinger(0); c.Close() }
	closes := func(c *net.TCPConn) { c.CloseWrite() } // the request lies unread there: Close would reset
	for _, tc := range []struct {
		name string
		text string
		read int // the end comes right before this read
		end  func(*net.TCPConn)
		want balancer.Outcome
	}{
		{"whole, the end at the look for more", part, 2, closes, balancer.OK},
		{"reset at the look for more", part, 2, reset, balancer.Reset},
		{"more, then reset at the read behind it", part, 3, reset, balancer.Reset},
		{"reset before a byte of the body", "HTTP/1.1 200 OK\r\n\r\n", 2, reset, balancer.Reset},
		{"reset in the head", "HTTP/1.1 200 OK\r\nX-", 2, reset, balancer.Reset},
		{"end in the head", "HTTP/1.1 200 OK\r\nX-", 2, closes, balancer.Reset},
		{"end in a stated body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", 2, closes, balancer.Reset},
		{"end in a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf", 2, closes, balancer.Reset},
		{"end before the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", 2, closes, balancer.Reset},
	} {
		t.Run(tc.name, func(t *testing.T) {
			descriptors := newDescriptors(1)
			p := NewPool(descriptors, time.Hour, time.Second, new(buffer.Pool))
			near, far := connected(t, p)
			near.limit.R = &before{near, tc.read, func() { tc.end(far) }}
			if tc.read == 3 { // the look finds more, and the read behind it the reset
				near.limit.R = &before{near, 2, func() {
					io.WriteString(far, ", and more")
					near.limit.R = &before{near, 1, func() { tc.end(far) }}
				}}
			}
			if _, err := io.WriteString(far, tc.text); err != nil {
				t.Fatal(err)
			}
			outcome, response, again := p.exchange(near, newCall(""))
			if outcome != tc.want || again {
				t.Errorf("%v, again %v; want %v", outcome, again, tc.want)
			}
			response.Free()
			p.drop(near)
			if descriptors.used() != 0 {
				t.Errorf("%d connections held", descriptors.used())
			}
		})
	}
	t.Run("a look took the reset", func(t *testing.T) {
		p := NewPool(newDescriptors(1), time.Hour, time.Second, new(buffer.Pool))
		near, far := connected(t, p)
		defer p.drop(near)
		reset(far)
		near.peek()
		if _, err := near.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
			t.Errorf("then: %v", err)
		}
	})
}
