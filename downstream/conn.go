package downstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"ryerill/internal/buffer"
	"ryerill/internal/faultlog"
	"ryerill/internal/socket"
	"ryerill/message"
)

const (
	firstRequestTimeout = 2200 * time.Millisecond // a connection that never brings a request is closed after this
	idleTimeout         = 10 * time.Second        // one between requests is closed after this

	// A head is received in this time after its first byte; the first one after the accept,
	requestTimeout = 2500 * time.Millisecond
	// or this long after its first byte, if that is later.
	firstHeadTimeout = 2200 * time.Millisecond

	writeTimeout = 5 * time.Second  // a message is written in this time
	watchMargin  = 30 * time.Second // a connection is watched this long beyond its request's time

	// A write that waits for room is tried again after so long, the pause growing while it does not get on.
	firstWriteStep = 20 * time.Millisecond
	maxWriteStep   = 100 * time.Millisecond

	// What is received after a last response is read for this long: closing over unread bytes would reset it.
	lingerPeriod = 500 * time.Millisecond
	// An evicted connection lingers only this long: another one waits for its slot.
	shortLingerPeriod = 5 * time.Millisecond
	// So long a fault may keep bytes that wait on an idle connection from being read before it ends,
	unreadFaultPeriod = 5 * time.Second
	// and so long it may keep them from being seen: nothing says that there are any.
	unseenFaultPeriod = 500 * time.Millisecond
	// An idle connection whose sending side can't be shut down is closed after this.
	closeFaultPeriod = 50 * time.Millisecond

	// How often a client that can't be read is polled. No attempt begins meanwhile: each asks Left before it writes.
	clientPollInterval = 50 * time.Millisecond
)

// callRead is the name under which reads from the client are recorded.
const callRead = "read"

// connState is the state of a connection.
type connState uint8

const (
	stateIdle      connState = iota // between requests
	stateReading                    // part of a request has been received
	stateBusy                       // a request is open
	stateLingering                  // its sending side is closed: what is still received is discarded
	stateClosed
)

// conn is a connection of a client. One goroutine, serve, reads it and closes it; while a request is open its read
// detects that the client has left. Another goroutine writes each result, and closes the socket behind a truncated one.
type conn struct {
	server     *Server
	nc         *net.TCPConn
	reader     *bufio.Reader
	acceptedAt time.Time
	descriptor int32 // for inspections alone

	// Of the goroutine that reads:
	readLimit    int64  // bytes that one request may still bring
	broken       bool   // the connection itself broke, or the client has left
	overLimit    bool   // requests are shed: the server has no capacity for the connection
	http10       bool   // the client speaks HTTP/1.0
	requestClass string // that the present request states; empty if none is known
	requestID    string // of the present request, once it is accepted; empty before
	end          endReason
	pacing       bodyPacing

	// No read notices at once that the client leaves: more of it has been, or is to be, received, or reads fail.
	unwatched atomic.Bool

	// Guarded by server.mu:
	state           connState
	stateSince      time.Time
	stateDeadline   time.Time // when the connection is to leave its state at the latest
	hasRequested    bool      // it has brought a request
	uploadAbandoned bool      // the body that is being received is not wanted any more
	evicted         bool      // it is to end as soon as possible, unless a request has been received already
	open            openRequest
	truncated       bool // the last response could not be written whole
}

func newConn(s *Server, nc *net.TCPConn) *conn {
	c := &conn{server: s, nc: nc, readLimit: maxHeadBytes, acceptedAt: time.Now(), descriptor: descriptorOf(nc)}
	c.reader = s.buffers.Reader(c)
	c.becomeIdleLocked()
	return c
}

// enterStateLocked changes the state, and until when the connection may stay in it. Nothing leads back from its end.
// The server's mutex is held.
func (c *conn) enterStateLocked(state connState, deadline time.Time) {
	if c.state == stateClosed {
		return
	}
	c.state = state
	c.stateSince = time.Now()
	c.stateDeadline = deadline
	if c.evicted && state != stateLingering { // it goes on after all
		c.evicted = false
		c.server.evicted--
		c.server.connEnded.Broadcast()
	}
	c.nc.SetReadDeadline(deadline)
}

// becomeIdleLocked records that the connection is between requests. The server's mutex is held.
func (c *conn) becomeIdleLocked() {
	if c.hasRequested {
		c.enterStateLocked(stateIdle, time.Now().Add(idleTimeout))
	} else {
		c.enterStateLocked(stateIdle, c.acceptedAt.Add(firstRequestTimeout))
	}
	if c.server.phaseLocked().ClosesIdle {
		c.endWhenIdleLocked()
	}
}

// endWhenIdleLocked ends an idle connection while all are to end: at once, or shortly after its start if it has not
// brought a request yet. The server's mutex is held.
func (c *conn) endWhenIdleLocked() {
	graceEnd := c.acceptedAt.Add(newConnectionGrace)
	if !c.hasRequested && time.Now().Before(graceEnd) {
		c.enterStateLocked(stateIdle, graceEnd)
	} else {
		c.evictLocked()
	}
}

// evictLocked ends a connection that has no request open. It wakes the reader, since only the reader knows whether a
// request was received at the last moment: one that has reached this machine counts as accepted, and closing the
// connection would lose it. The server's mutex is held.
func (c *conn) evictLocked() {
	if c.state != stateBusy && c.state != stateClosed && !c.evicted {
		c.evicted = true
		c.server.evicted++
		c.nc.SetReadDeadline(socket.PastDeadline)
	}
}

// Read reads from the client, at most what one request may bring. What was received before the connection was evicted,
// or before its idle timeout, is still read.
func (c *conn) Read(p []byte) (int, error) {
	if c.readLimit <= 0 {
		return 0, io.EOF
	}
	p = p[:min(int64(len(p)), c.readLimit)]
	if c.pacing.bytes > 0 {
		c.extendBodyDeadline()
	}
	n, err := c.receive(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.receiveWaiting(p, err)
	}
	c.readLimit -= int64(n)
	if !c.pacing.began.IsZero() {
		c.pacing.bytes += int64(n)
	}
	c.broken = err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !socket.MayPass(err)
	return n, err
}

// receiveWaiting reads what waits although the deadline is over, if it may. As long as a fault of this machine keeps it
// from being read, or from being seen, it may still be there: closing the connection would lose it. If nothing waits it
// returns deadlineErr.
func (c *conn) receiveWaiting(p []byte, deadlineErr error) (int, error) {
	began := time.Now()
	for time.Since(began) < unreadFaultPeriod && c.readsPastDeadline() {
		state := socket.Peek(c.nc)
		mayWait := state == socket.Unknown && time.Since(began) < unseenFaultPeriod
		if state != socket.Waiting && !mayWait {
			break
		}
		c.nc.SetReadDeadline(time.Now().Add(freshPeriod))
		n, err := c.receive(p)
		c.nc.SetReadDeadline(socket.PastDeadline)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
	}
	return 0, deadlineErr
}

// receive reads from the client. Only the system's word is taken for its end: a fault of this machine passes.
func (c *conn) receive(p []byte) (int, error) {
	return socket.Read(c.nc, p, socket.Retry{Call: callRead, Observer: c, Peer: c.nc})
}

// CallFailed implements [socket.Observer].
func (c *conn) CallFailed(call string, err error, verdict socket.Verdict) {
	if call == callRead {
		c.unwatched.Store(true) // a read that fails does not see the client leave
	}
	c.server.faults.Failed(c.server.name, call, err, faultlog.Consequence(verdict), c.requestID)
}

// readsPastDeadline reports whether bytes that wait are read although the deadline is over: they were, or may
// have been, received before it.
func (c *conn) readsPastDeadline() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.state == stateIdle || c.evicted && time.Now().Before(c.stateDeadline)
}

// beginBody records that a body begins to be received, which has a time of its own.
func (c *conn) beginBody() {
	c.pacing = bodyPacing{began: time.Now()}
	c.extendBodyDeadline()
}

// extendBodyDeadline moves the time until when more of the body must be received.
func (c *conn) extendBodyDeadline() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if !c.evicted && !c.uploadAbandoned {
		c.stateDeadline = c.pacing.deadline()
		c.nc.SetReadDeadline(c.stateDeadline)
	}
}

// awaitRequest waits for the first byte of the next request. It reports false when the connection has ended, or was
// evicted and nothing has been received.
func (c *conn) awaitRequest() bool {
	if _, err := c.reader.Peek(1); err != nil {
		c.end = c.idleEnd(err)
		return false
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	deadline := time.Now().Add(requestTimeout)
	if !c.hasRequested { // a client that sends its first request slowly, or stops in it, must be answered in time
		deadline = c.acceptedAt.Add(max(requestTimeout, time.Since(c.acceptedAt)+firstHeadTimeout))
	}
	c.enterStateLocked(stateReading, deadline)
	return true
}

// requestReceived records that a whole request has been received, or as much of it as is waited for.
func (c *conn) requestReceived() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.hasRequested = true
	c.enterStateLocked(stateBusy, time.Time{})
}

// setOpen records the request that has been accepted.
func (c *conn) setOpen(open openRequest) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.open = open
}

// writeMessage writes a head and the body behind it. It reports whether all of it is written.
func (c *conn) writeMessage(head []byte, body *buffer.Body) bool {
	buffers := body.AppendTo(net.Buffers{head})
	return c.writeAll(buffers, writeTimeout)
}

// writeAll writes buffers, and reports whether all of them are written in time. It tries again in steps, should the
// system not tell that there is room again.
func (c *conn) writeAll(buffers net.Buffers, timeout time.Duration) bool {
	retry := socket.Retry{Call: "write", Observer: c, Peer: c.nc}
	end := time.Now().Add(timeout)
	left := -1 // bytes, at the last step
	for step := firstWriteStep; ; {
		c.nc.SetWriteDeadline(earlier(end, time.Now().Add(step)))
		err := socket.Write(c.nc, &buffers, &retry)
		if !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(end) {
			return err == nil
		}
		step = min(2*step, maxWriteStep)
		now := totalLength(buffers)
		if now != left { // it gets on
			step = firstWriteStep
		}
		left = now
	}
}

// totalLength is how many bytes buffers hold.
func totalLength(buffers net.Buffers) (bytes int) {
	for _, b := range buffers {
		bytes += len(b)
	}
	return bytes
}

// beginLingerLocked closes the sending side, and sets how long what is still received is read. None of it is executed:
// the last response announced the close, so the client sends it again elsewhere. The server's mutex is held.
func (c *conn) beginLingerLocked(period time.Duration) {
	if c.state == stateLingering || c.state == stateClosed {
		return
	}
	if c.evicted {
		period = shortLingerPeriod
	}
	c.enterStateLocked(stateLingering, c.server.beforeKillLocked(time.Now().Add(period)))
	_ = c.server.closeWrite(c.nc)
}

// requestBeforeEnd ends the sending side of a connection whose client does not know yet that it ends. Where that fails
// for a while the client is not told, so what it sends is a request like any other: requestBeforeEnd reports whether
// one waits.
func (c *conn) requestBeforeEnd() bool {
	if c.broken || c.end != endIdle && c.end != endEvicted {
		return false
	}
	var backoff socket.Backoff
	for deadline := time.Now().Add(closeFaultPeriod); ; {
		err := c.server.closeWrite(c.nc)
		if err == nil {
			return false
		}
		c.CallFailed("shutdown", err, socket.Retried)
		time.Sleep(backoff.Next())
		if socket.Peek(c.nc) == socket.Waiting {
			return true
		}
		if time.Now().After(deadline) {
			return false // the close tells the client
		}
	}
}

// linger ends a connection whose client is still connected: the sending side first, the receiving side once the client
// has closed its own, or after a timeout. Closing over unread bytes would reset it, and lose the last response.
func (c *conn) linger() {
	if c.broken {
		return
	}
	c.server.mu.Lock()
	c.beginLingerLocked(lingerPeriod)
	deadline := c.stateDeadline
	c.server.mu.Unlock()
	block := c.server.buffers.Block()
	defer c.server.buffers.PutBlock(block)
	for remaining := int64(message.MaxBody); remaining > 0; {
		c.server.mu.Lock()
		now := time.Now()
		if !c.evicted {
			c.nc.SetReadDeadline(earlier(deadline, now.Add(lingerPeriod)))
		}
		c.server.mu.Unlock()
		n, err := c.receive(block[:])
		remaining -= int64(n)
		if err != nil || !now.Before(deadline) {
			return
		}
	}
}

// close closes the connection, once, and frees its slot in the server.
func (c *conn) close() {
	c.nc.Close()
	c.server.buffers.PutReader(c.reader)
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.evicted {
		c.evicted = false
		c.server.evicted--
	}
	c.state = stateClosed
	c.server.faults.Ended(string(c.finalReasonLocked()))
	delete(c.server.conns, c)
	c.server.descriptors.Fill()
	c.server.connEnded.Broadcast()
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
