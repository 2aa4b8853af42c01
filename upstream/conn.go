package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"ryerill/internal/socket"
	"ryerill/reuse"
)

// destination is where a connection leads: an endpoint at its address. When the address passes to another endpoint,
// connections to the first must not be used.
type destination struct {
	endpoint uint64
	address  string
}

// transport is the part of a net.TCPConn that a conn needs. Tests inject system-call errors in its place.
type transport interface {
	net.Conn
	syscall.Conn
}

// dialFunc opens a connection to an address, within ctx and a timeout.
type dialFunc func(ctx context.Context, timeout time.Duration, address string) (transport, error)

// dialTCP is the dialFunc of every pool outside of tests.
func dialTCP(ctx context.Context, timeout time.Duration, address string) (transport, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	opened, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return opened.(*net.TCPConn), nil
}

// conn is a connection to an endpoint. The pool owns it while it is idle, an attempt while it is used, and the stream
// of a long response until that is closed.
type conn struct {
	transport
	pool        *Pool
	destination destination
	// endpointName names the endpoint for operators.
	endpointName string
	limit        io.LimitedReader // bounds what one response may bring
	reader       *bufio.Reader    // of limit
	idleSince    time.Time
	use          ConnectionUse // its latest
	lastRequest  string        // id of the request that it carried last
	history      reuse.History
	endErr       error // what ended the receiving side; nil while it goes on
}

// Read reads from the endpoint. The system reports a reset once, to the first read or peek, and an orderly end
// afterwards, which would make a truncated response that states no length look whole. So the first error is kept for
// all reads.
func (c *conn) Read(b []byte) (int, error) {
	if c.endErr != nil {
		return 0, c.endErr
	}
	n, err := socket.Read(c.transport, b, socket.Retry{Call: "read", Observer: c.pool})
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.endErr = err
	}
	return n, err
}

// peek inspects the receiving side.
func (c *conn) peek() socket.State {
	state := socket.Peek(c)
	if state == socket.Broken && c.endErr == nil {
		c.endErr = syscall.ECONNRESET
	}
	return state
}

// mayCarry reports whether a connection has rested for long enough. One that has brought no response needs no rest.
func (c *conn) mayCarry(policy *reuse.Policy) bool {
	now := time.Now()
	if c.use.Uses == 0 {
		return policy.MayKeep(c.destination.endpoint, now)
	}
	return policy.MayCarry(c.destination.endpoint, now.Sub(c.idleSince), now)
}

// isUsable reports whether a connection that was idle may carry a request: nothing has been received on it, neither
// unsolicited bytes nor its end.
func (c *conn) isUsable(maxIdle time.Duration) bool {
	return time.Since(c.idleSince) < maxIdle && c.peek() == socket.Quiet
}

// beginUse records that a request of an id is about to be written.
func (c *conn) beginUse(id string) {
	c.use.Uses++
	c.use.Rest = 0
	if c.use.Uses > 1 {
		c.use.Rest = time.Since(c.idleSince)
	}
	c.lastRequest = id
}
