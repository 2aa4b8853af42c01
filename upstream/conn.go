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

// destination identifies an endpoint and its address. If the address is reassigned to another endpoint, connections to
// the old endpoint must not be used for the new one.
type destination struct {
	endpoint uint64
	address  string
}

// transport is the part of net.TCPConn that conn uses. Tests replace it to inject system-call errors.
type transport interface {
	net.Conn
	syscall.Conn
}

// dialFunc opens a connection to address. It fails when ctx ends or the timeout expires.
type dialFunc func(ctx context.Context, timeout time.Duration, address string) (transport, error)

// dialTCP is the dialFunc used in production.
func dialTCP(ctx context.Context, timeout time.Duration, address string) (transport, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	opened, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return opened.(*net.TCPConn), nil
}

// conn is a connection to an endpoint. It is owned by the pool while idle, by an attempt while in use, and by the
// stream of a long response until the stream is closed.
type conn struct {
	transport
	pool        *Pool
	destination destination
	// endpointName is the endpoint's name in logs.
	endpointName string
	limit        io.LimitedReader // limits the bytes read for one response
	reader       *bufio.Reader    // reads from limit
	idleSince    time.Time
	use          ConnectionUse // the latest use
	lastRequest  string        // id of the latest request written to it
	history      reuse.History
	endErr       error // the error that ended the receiving side; nil while it is open
}

// Read reads from the endpoint. The system reports a reset only once, to the first read or peek, and EOF to all later
// reads. A truncated response of unstated length would then look complete, so Read returns the first error on all
// later calls.
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

// peek returns the state of the receiving side without consuming bytes. It records a reset in endErr.
func (c *conn) peek() socket.State {
	state := socket.Peek(c)
	if state == socket.Broken && c.endErr == nil {
		c.endErr = syscall.ECONNRESET
	}
	return state
}

// mayCarry reports whether the reuse policy permits a request on the connection now: it has rested for long enough,
// or has never carried a request and needs no rest.
func (c *conn) mayCarry(policy *reuse.Policy) bool {
	now := time.Now()
	if c.use.Uses == 0 {
		return policy.MayKeep(c.destination.endpoint, now)
	}
	return policy.MayCarry(c.destination.endpoint, now.Sub(c.idleSince), now)
}

// isUsable reports whether an idle connection may carry a request: it has been idle for less than maxIdle and has
// received neither unsolicited bytes nor EOF.
func (c *conn) isUsable(maxIdle time.Duration) bool {
	return time.Since(c.idleSince) < maxIdle && c.peek() == socket.Quiet
}

// beginUse records that the request with the given id is about to be written.
func (c *conn) beginUse(id string) {
	c.use.Uses++
	c.use.Rest = 0
	if c.use.Uses > 1 {
		c.use.Rest = time.Since(c.idleSince)
	}
	c.lastRequest = id
}
