package socket

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// faultyConn is a connection whose descriptor is unavailable or not a valid socket.
type faultyConn struct {
	connErr, controlErr error
	fd                  uintptr
}

func (f faultyConn) SyscallConn() (syscall.RawConn, error) { return f, f.connErr }

func (f faultyConn) Control(use func(fd uintptr)) error {
	if f.controlErr == nil {
		use(f.fd)
	}
	return f.controlErr
}

func (f faultyConn) Read(func(uintptr) bool) error  { return errors.ErrUnsupported }
func (f faultyConn) Write(func(uintptr) bool) error { return errors.ErrUnsupported }

// connPair returns both ends of a TCP connection over loopback.
func connPair(t testing.TB) (own, peer *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dialed, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialed.Close(); accepted.Close() })
	return accepted.(*net.TCPConn), dialed.(*net.TCPConn)
}

// A connection that can't be inspected is Broken, so nothing is sent over it. PeerClosed reports true only if the
// system reports a close or the connection was closed by this process.
func TestPeekOfUnusableDescriptor(t *testing.T) {
	file, err := os.Open("/dev/null")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	const noDescriptor = 1 << 30
	for name, tc := range map[string]struct {
		conn   faultyConn
		closed bool
	}{
		"closed by this process":           {faultyConn{connErr: net.ErrClosed}, true},
		"closed by this process meanwhile": {faultyConn{controlErr: net.ErrClosed}, true},
		"EBADF":                            {faultyConn{fd: noDescriptor}, false},
		"ENOTSOCK, always readable":        {faultyConn{fd: file.Fd()}, false},
	} {
		if state := Peek(tc.conn); state != Broken {
			t.Errorf("%s: got state %d, want Broken", name, state)
		}
		if closed := PeerClosed(tc.conn); closed != tc.closed {
			t.Errorf("%s: got PeerClosed %v, want the opposite", name, closed)
		}
		Discard(tc.conn, 1<<10) // must return
	}
}

// Peek and PeerClosed report the state of a connection for each action of the peer. Peek does not change what
// PeerClosed and hasClosedState report afterwards.
func TestPeekReportsState(t *testing.T) {
	for name, tc := range map[string]struct {
		peer   func(*net.TCPConn)
		state  State
		closed bool
	}{
		"quiet":                  {func(*net.TCPConn) {}, Quiet, false},
		"waiting":                {func(c *net.TCPConn) { c.Write([]byte("xy")) }, Waiting, false},
		"ended":                  {func(c *net.TCPConn) { c.Close() }, Ended, true},
		"half closed":            {func(c *net.TCPConn) { c.CloseWrite() }, Ended, true},
		"ended after bytes":      {func(c *net.TCPConn) { c.Write([]byte("xy")); c.Close() }, Waiting, true},
		"reset":                  {func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, Broken, true},
		"reset after bytes":      {func(c *net.TCPConn) { c.Write([]byte("xy")); c.SetLinger(0); c.Close() }, Waiting, true},
		"half closed with bytes": {func(c *net.TCPConn) { c.Write([]byte("xy")); c.CloseWrite() }, Waiting, true},
	} {
		own, peer := connPair(t)
		tc.peer(peer)
		for end := time.Now().Add(time.Second); PeerClosed(own) != tc.closed && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		if closed := PeerClosed(own); closed != tc.closed {
			t.Errorf("%s: got PeerClosed %v before Peek, want the opposite", name, closed)
		}
		if state := Peek(own); state != tc.state {
			t.Errorf("%s: got state %d, want %d", name, state, tc.state)
		}
		if closed := PeerClosed(own); closed != tc.closed {
			t.Errorf("%s: got PeerClosed %v after Peek, want the opposite", name, closed)
		}
		if closed := hasClosedState(int(descriptorOf(t, own))); closed != tc.closed {
			t.Errorf("%s: got hasClosedState %v, want the opposite", name, closed)
		}
	}
}

func descriptorOf(t *testing.T, conn *net.TCPConn) (descriptor uintptr) {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { descriptor = fd })
	}
	if err != nil {
		t.Fatal(err)
	}
	return descriptor
}

// BenchmarkPeerClosed measures the poll of an open connection.
func BenchmarkPeerClosed(b *testing.B) {
	own, _ := connPair(b)
	b.ReportAllocs()
	for b.Loop() {
		if PeerClosed(own) {
			b.Fatal("PeerClosed: got true for an open connection, want false")
		}
	}
}
