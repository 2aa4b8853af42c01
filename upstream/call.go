package upstream

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"ryerill/balancer"
	"ryerill/internal/framing"
	"ryerill/internal/http1"
	"ryerill/internal/socket"
	"ryerill/message"
)

const (
	maxHead    = 32 << 10 // bytes of an answer's head
	maxInterim = 5        // answers of 1xx before the real one
)

// Attempt is one invoker call: one attempt at one provider. It is used once.
type Attempt struct {
	Request       *message.OutgoingRequest
	Endpoint      uint64 // who is called: an address may pass to another
	Address       string
	Deadline      time.Time   // the proxy stops waiting
	WriteDeadline time.Time   // its last byte has to be out by then; zero is no bound. One of whose body part is still to come may take longer
	MaySend       func() bool // asked right before the first byte is written

	// Written is told once the last byte is, and returns until when to wait from
	// then on; zero is as before. It may be nil.
	OnWritten func() time.Time

	mu        sync.Mutex
	conn      *conn // nil unless the call holds one
	cancelled bool
	writing   bool               // its first byte may be out
	dialling  context.CancelFunc // nil unless a connection is being opened for it
}

// Cancel calls the attempt off by closing its connection, or ends the wait for
// one. It does not block.
func (c *Attempt) Cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel()
}

// cancel does so. The mutex is held.
func (c *Attempt) cancel() {
	c.cancelled = true
	if c.dialling != nil {
		c.dialling()
	}
	if c.conn != nil {
		c.conn.SetDeadline(time.Unix(1, 0)) // ends what is under way; Do closes
	}
}

// Withdraw calls the attempt off if nothing of it has been written yet. It does not
// block, and other than Cancel it leaves alone what may be running.
func (c *Attempt) Withdraw() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.writing {
		c.cancel()
	}
}

// outBy is until when its last byte may be written.
func (c *Attempt) outBy() time.Time {
	if !c.WriteDeadline.IsZero() && c.WriteDeadline.Before(c.Deadline) {
		return c.WriteDeadline
	}
	return c.Deadline
}

// late tells whether it can't be out in time any more.
func (c *Attempt) late() bool {
	return !c.WriteDeadline.IsZero() && !time.Now().Before(c.WriteDeadline)
}

// begin tells whether it may be written, and from then on it is being.
func (c *Attempt) begin() bool {
	if !c.MaySend() || c.late() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = !c.cancelled
	return c.writing
}

// within sets the deadline of the connection, unless the call is called off.
func (c *Attempt) within(conn *conn, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.cancelled {
		conn.SetDeadline(until)
	}
}

// dial opens a connection, unless the call is called off or its time is over.
func (c *Attempt) dial(within time.Duration) (net.Conn, error) {
	ctx, end := context.WithDeadline(context.Background(), c.outBy())
	defer end()
	c.mu.Lock()
	if c.dialling = end; c.cancelled {
		end()
	}
	c.mu.Unlock()
	dialer := net.Dialer{Timeout: within, KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp", c.Address)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dialling = nil
	return raw, err
}

// hold and release keep Cancel away from a connection that the call does not
// own, which may be in another call's hands already.
func (c *Attempt) hold(conn *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn
	return !c.cancelled && conn.SetDeadline(c.outBy()) == nil
}

func (c *Attempt) release() (cancelled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = nil
	return c.cancelled
}

// Do makes the call and returns how it ended, and the answer if it served. It
// sends once at most.
func (p *Pool) Do(c *Attempt) (balancer.Outcome, *message.Response) {
	conn, err := p.get(c)
	switch {
	case err != nil && c.release():
		return balancer.NotSent, nil // nothing of it was sent
	case ownFault(err) || err != nil && c.late(): // or it was given less time than a connection may take
		return balancer.NotSent, nil
	case err != nil:
		return balancer.ConnectFailed, nil
	}
	// A dial takes its time: what the directory has told meanwhile is looked at again, since the rule on
	// drains counts from a request's first byte; and so is whether somebody still waits.
	if !c.hold(conn) || !c.begin() {
		if c.release() {
			p.drop(conn) // its deadline is over
		} else {
			p.put(conn)
		}
		return balancer.NotSent, nil // nothing of it was written
	}
	outcome, response, again := p.exchange(conn, c)
	if c.release() {
		again = false
		if outcome != balancer.OK {
			outcome = balancer.Cancelled
		}
	}
	switch {
	case response != nil && response.Stream != nil && outcome == balancer.OK:
		return outcome, response // which holds the connection
	case response != nil && outcome != balancer.OK:
		response.Free()
		response = nil
	}
	if again {
		p.put(conn)
	} else {
		p.drop(conn)
	}
	return outcome, response
}

// exchange writes the request and reads the answer, whole unless it is long. It
// reports whether the connection may be used again.
func (p *Pool) exchange(conn *conn, c *Attempt) (outcome balancer.Outcome, response *message.Response, again bool) {
	if c.Request.Stream != nil && c.Request.Stream.Consumed() {
		return balancer.NotSent, nil, false // part of it is gone
	}
	out := p.write(conn, c)
	switch {
	case out == failed:
		return balancer.ConnectFailed, nil, false // its last byte was never written: it cannot have run
	case out == unheard:
		return balancer.NotSent, nil, false
	case out == whole && c.OnWritten != nil:
		if until := c.OnWritten(); !until.IsZero() {
			c.Deadline = until
		}
	}
	if until := time.Now().Add(progress); out == heard && until.Before(c.Deadline) {
		c.Deadline = until // how long the whole request would have been waited for says nothing now
	}
	c.within(conn, c.Deadline)
	request := http.Request{Method: c.Request.Method}
	for range maxInterim + 1 {
		conn.limit.N = maxHead
		head, err := framing.ReadHead(conn.r, maxHead)
		if err != nil {
			return broken(err), nil, false
		}
		r := p.buffers.Reader(bytes.NewReader(head))
		resp, err := http.ReadResponse(r, &request)
		p.buffers.PutReader(r)
		if err != nil {
			return balancer.Reset, nil, false
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		frame, err := framing.ParseLength(head)
		if err != nil || frame.Length > message.MaxBody {
			return balancer.Reset, nil, false
		}
		keep := out == whole && frame.HasLength && !resp.Close && resp.ProtoAtLeast(1, 1)
		if resp.StatusCode == http.StatusOK {
			return p.served(conn, c, resp.Header, frame, keep)
		}
		// What an error says is of no account, but read it must be if the connection is to be used again.
		if resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
			keep = keep || out == whole && !resp.Close && resp.ProtoAtLeast(1, 1)
		} else if conn.limit.N = 3 * message.MaxBufferedBody; keep {
			body, err := p.buffers.ReadBody(frame.Reader(conn.r), message.MaxBufferedBody)
			keep = err == nil
			body.Free()
		}
		keep = keep && conn.r.Buffered() == 0
		declined := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout
		if declined && resp.Header.Get(http1.HeaderDeclined) == "1" {
			return balancer.Rejected, nil, keep
		}
		return balancer.Error, nil, keep
	}
	return balancer.Reset, nil, false
}

// ownFault reports whether a connection could not be opened for want of something
// here: that says nothing of the provider.
func ownFault(err error) bool {
	return errors.Is(err, errNoRoom) || socket.OutOfDescriptors(err) || errors.Is(err, syscall.EADDRNOTAVAIL)
}

// broken tells how an attempt ended whose answer cannot be read.
func broken(err error) balancer.Outcome {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return balancer.Timeout
	}
	return balancer.Reset
}
