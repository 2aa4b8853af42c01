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
	"ryerill/internal/framing"
	"ryerill/internal/socket"
	"ryerill/message"
)

const (
	firstRequestTimeout = 2200 * time.Millisecond // closes a connection that has never sent a request
	idleTimeout         = 10 * time.Second        // closes a connection between requests

	// Time to receive a request head, from its first byte. The time for the first head counts from the accept.
	requestTimeout = 2500 * time.Millisecond
	// The first head has at least this long from its first byte.
	firstHeadTimeout = 2200 * time.Millisecond

	writeTimeout = 5 * time.Second  // bounds the write of one message
	watchMargin  = 30 * time.Second // how long the read that detects a close outlasts the request

	// A blocked write is retried after this step, which doubles up to the maximum while the write makes no progress.
	firstWriteStep = 20 * time.Millisecond
	maxWriteStep   = 100 * time.Millisecond

	// After the last response, incoming bytes are discarded for this long. Closing over unread bytes would reset the
	// connection and lose the response.
	lingerPeriod = 500 * time.Millisecond
	// An evicted connection lingers only this long, because another one waits for its slot.
	shortLingerPeriod = 5 * time.Millisecond
	// How long reads of bytes known to wait on an idle connection are retried while a local fault fails them.
	unreadFaultPeriod = 5 * time.Second
	// How long they are retried while a local fault keeps the connection from being inspected: there may be no bytes.
	peekFaultPeriod = 500 * time.Millisecond
	// An idle connection whose sending side can't be shut down is closed after this period.
	closeFaultPeriod = 50 * time.Millisecond

	// How often a client is polled for a close that no read detects. Attempts don't rely on it: each calls Left before
	// it writes.
	clientPollInterval = 50 * time.Millisecond
)

// callRead is the name of client reads in the fault log.
const callRead = "read"

// connState is the state of a connection.
type connState uint8

const (
	stateIdle      connState = iota // between requests
	stateReading                    // part of a request has been received
	stateBusy                       // a request is open
	stateLingering                  // the sending side is closed; received bytes are discarded
	stateClosed
)

// conn is a client connection. The goroutine running serve reads and closes it; while a request is open, a pending read
// detects that the client has disconnected. A separate goroutine writes each result, and closes the socket after a
// truncated one.
type conn struct {
	server     *Server
	nc         *net.TCPConn
	reader     *bufio.Reader
	acceptedAt time.Time
	descriptor int32 // used only for polling

	// Used only by the reading goroutine:
	readLimit    int64  // bytes that may still be read for the current request
	broken       bool   // the connection failed, or the client has disconnected
	overLimit    bool   // requests are shed: the server has no capacity for the connection
	http10       bool   // the client speaks HTTP/1.0
	requestClass string // class that the current request states; empty if unknown
	requestID    string // of the current request, once it is accepted; empty before
	end          endReason

	// Used by the reading goroutine and, while no read is in progress, by the one that runs serve:
	pacing bodyPacing
	body   bodyProgress

	// Set when no pending read detects at once that the client disconnects: further bytes have been received or are
	// expected, or reads fail. The connection is polled instead.
	needsPoll atomic.Bool

	// Guarded by server.mu:
	state           connState
	stateSince      time.Time
	stateDeadline   time.Time // latest time at which the connection leaves its state
	hasRequested    bool      // a request has been received
	uploadAbandoned bool      // the body being received is no longer needed
	evicted         bool      // ends as soon as possible, unless a request has already been received
	open            openRequest
	receivedAt      time.Time // when the last byte of the open request was received; zero before
	truncated       bool      // the last response could not be written completely
	withheld        bool      // the last response was too long to begin before the process may be killed
}

func newConn(s *Server, nc *net.TCPConn) *conn {
	c := &conn{server: s, nc: nc, readLimit: maxHeadBytes, acceptedAt: time.Now(), descriptor: descriptorOf(nc)}
	c.reader = s.buffers.Reader(c)
	c.becomeIdleLocked()
	return c
}

// enterStateLocked sets the state and its deadline. A closed connection stays closed. Callers must hold server.mu.
func (c *conn) enterStateLocked(state connState, deadline time.Time) {
	if c.state == stateClosed {
		return
	}
	c.state = state
	c.stateSince = time.Now()
	c.stateDeadline = deadline
	if c.evicted && state != stateLingering { // a request was received, so the eviction is cancelled
		c.evicted = false
		c.server.evicted--
		c.server.connEnded.Broadcast()
	}
	c.nc.SetReadDeadline(deadline)
}

// becomeIdleLocked records that the connection is between requests. Callers must hold server.mu.
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

// endWhenIdleLocked ends an idle connection during a shutdown or drain: at once, or newConnectionGrace after the accept
// if it has not sent a request yet. Callers must hold server.mu.
func (c *conn) endWhenIdleLocked() {
	graceEnd := c.acceptedAt.Add(newConnectionGrace)
	if !c.hasRequested && time.Now().Before(graceEnd) {
		c.enterStateLocked(stateIdle, graceEnd)
	} else {
		c.evictLocked()
	}
}

// evictLocked ends a connection that has no open request. It only wakes the reader, which alone knows whether a request
// has just been received: a request that has reached this machine counts as accepted, and closing the connection would
// lose it. Callers must hold server.mu.
func (c *conn) evictLocked() {
	if c.state != stateBusy && c.state != stateClosed && !c.evicted {
		c.evicted = true
		c.server.evicted++
		c.nc.SetReadDeadline(socket.PastDeadline)
	}
}

// Read reads from the client, up to the read limit of the current request. Bytes received before the connection was
// evicted, or before its idle timeout, are still read.
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
		c.body.tracker.Track(p[:n])
	}
	c.broken = err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !socket.MayPass(err)
	return n, err
}

// receiveWaiting reads bytes that have already been received although the deadline has passed, if readsPastDeadline
// allows it. While a local fault prevents reading or inspecting the connection, bytes may still wait and closing would
// lose them, so it retries. If nothing waits it returns deadlineErr.
func (c *conn) receiveWaiting(p []byte, deadlineErr error) (int, error) {
	began := time.Now()
	for time.Since(began) < unreadFaultPeriod && c.readsPastDeadline() {
		state := socket.Peek(c.nc)
		mayWait := state == socket.Unknown && time.Since(began) < peekFaultPeriod
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

// receive reads from the client. It retries local faults and errors that a poll of the connection does not confirm.
func (c *conn) receive(p []byte) (int, error) {
	return socket.Read(c.nc, p, socket.Retry{Call: callRead, Observer: c, Peer: c.nc})
}

// CallFailed implements [socket.Observer].
func (c *conn) CallFailed(call string, err error, verdict socket.Verdict) {
	if call == callRead {
		c.needsPoll.Store(true) // a failing read does not detect that the client disconnects
	}
	c.server.faults.Failed(c.server.name, call, err, faultlog.Consequence(verdict), c.requestID)
}

// readsPastDeadline reports whether waiting bytes are read although the deadline has passed, because they were, or may
// have been, received before it.
func (c *conn) readsPastDeadline() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.state == stateIdle || c.evicted && time.Now().Before(c.stateDeadline)
}

// beginBody starts the pacing of a body, which has a deadline of its own, and follows its framing.
func (c *conn) beginBody(framed framing.Body) {
	c.pacing = bodyPacing{began: time.Now()}
	c.body = newBodyProgress(framed, c.reader)
	c.extendBodyDeadline()
}

// extendBodyDeadline sets the deadline by which more of the body must be received.
func (c *conn) extendBodyDeadline() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if !c.evicted && !c.uploadAbandoned {
		c.stateDeadline = c.pacing.deadline()
		c.nc.SetReadDeadline(c.stateDeadline)
	}
}

// awaitRequest waits for the first byte of the next request. It reports false if the connection has ended, or has timed
// out or been evicted with nothing received.
func (c *conn) awaitRequest() bool {
	if _, err := c.reader.Peek(1); err != nil {
		c.end = c.idleEnd(err)
		return false
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	deadline := time.Now().Add(requestTimeout)
	if !c.hasRequested { // answers a client in time that sends its first request slowly or stalls in it
		deadline = c.acceptedAt.Add(max(requestTimeout, time.Since(c.acceptedAt)+firstHeadTimeout))
	}
	c.enterStateLocked(stateReading, deadline)
	return true
}

// requestReceived records that a request has been received: all of it, or as much as is buffered before it is accepted.
func (c *conn) requestReceived() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.hasRequested = true
	c.receivedAt = time.Now()
	c.enterStateLocked(stateBusy, time.Time{})
}

// setReceivedAt records when the last byte of the open request was received; zero is not yet.
func (c *conn) setReceivedAt(at time.Time) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.receivedAt = at
}

// setOpen records the accepted request.
func (c *conn) setOpen(open openRequest) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.open = open
}

// writeMessage writes a head followed by a body. It reports whether everything was written.
func (c *conn) writeMessage(head []byte, body *buffer.Body) bool {
	buffers := body.AppendTo(net.Buffers{head})
	return c.writeAll(buffers, writeTimeout)
}

// writeAll writes buffers and reports whether everything was written within timeout. It retries in short steps, in case
// the system does not signal that the socket has become writable.
func (c *conn) writeAll(buffers net.Buffers, timeout time.Duration) bool {
	retry := socket.Retry{Call: "write", Observer: c, Peer: c.nc}
	end := time.Now().Add(timeout)
	left := -1 // bytes left after the previous step
	for step := firstWriteStep; ; {
		c.nc.SetWriteDeadline(earlier(end, time.Now().Add(step)))
		err := socket.Write(c.nc, &buffers, &retry)
		if !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(end) {
			return err == nil
		}
		step = min(2*step, maxWriteStep)
		now := totalLength(buffers)
		if now != left { // the write made progress
			step = firstWriteStep
		}
		left = now
	}
}

// totalLength returns the number of bytes in buffers.
func totalLength(buffers net.Buffers) (bytes int) {
	for _, b := range buffers {
		bytes += len(b)
	}
	return bytes
}

// beginLingerLocked closes the sending side and sets how long received bytes are still read. Requests among them are
// not executed: the last response announced the close, so the client sends them again on another connection. Callers
// must hold server.mu.
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

// requestBeforeClose shuts down the sending side of an idle or evicted connection, whose client has not been notified
// of the close. While the shutdown fails, the client may send another request, which must be served: requestBeforeClose
// reports whether one has been received.
func (c *conn) requestBeforeClose() bool {
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
			return false // closing the connection notifies the client
		}
	}
}

// linger ends a connection whose client is still connected. It shuts down the sending side, then reads until the client
// closes its side or a timeout expires. Closing over unread bytes would reset the connection and lose the last
// response.
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

// close closes the connection and frees its slot in the server. It must be called once.
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
