package discovery

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"ryerill/internal/buffer"
	"ryerill/internal/socket"
)

const (
	path = "/v1/endpoints"

	maxListed    = 40_000  // endpoints
	maxEntrySize = 1 << 10 // bytes, indented, on average
	maxListBytes = maxListed * maxEntrySize

	readSize = 64 << 10 // bytes that are read of an answer's body at once
)

// errListTooLarge is the error for an answer beyond maxListBytes.
var errListTooLarge = errors.New("answer is too large")

// connection leads to a discovery service and is kept from call to call. One goroutine uses it.
type connection struct {
	source  *source
	conn    net.Conn
	timing  callTiming
	answer  *pacedReader  // of the call that is under way
	reader  *bufio.Reader // of answer
	buffers *buffer.Pool
	reserve *socket.Reserve // the client's
	faults  socket.Observer
	next    *calledAhead // the next call, if it is out already; nil is none

	// Also of a connection that is closed since:
	answeredAt time.Time // when the last byte of an answer came
	broken     bool      // the other side has ended or reset it
}

// calledAhead is a call that was written as soon as the answer before it had been read, before that was decoded.
type calledAhead struct {
	call    listCall
	version uint64    // that the answer before it began with
	began   time.Time // when it was written
}

// newConnection returns a connection to a service, not yet opened.
func (c *Client) newConnection(s *source) *connection {
	return &connection{
		source:  s,
		timing:  c.timing,
		buffers: c.buffers,
		reserve: c.reserve,
		faults:  c,
	}
}

// openBy dials the service unless the connection is open already, and gives up at a deadline. Faults of this machine
// that pass before that do not end it.
func (c *connection) openBy(ctx context.Context, deadline time.Time) error {
	if c.conn != nil {
		return nil
	}
	dialer := &net.Dialer{Deadline: deadline}
	retry := socket.Retry{Call: "connect", Observer: c.faults}
	conn, err := c.dial(ctx, dialer)
	for err != nil && ctx.Err() == nil && time.Now().Before(deadline) && retry.Again(err) {
		conn, err = c.dial(ctx, dialer)
	}
	if err != nil {
		c.reserve.Fill()
		return err
	}
	c.conn = socket.Steady{Conn: conn, Observer: c.faults} // for writes: answer reads
	c.answer = &pacedReader{conn: conn, timing: c.timing, observer: c.faults}
	c.reader = c.buffers.Reader(c.answer)
	return nil
}

// dial dials the service once. Where the process has no descriptor left, one that was kept in reserve is used.
func (c *connection) dial(ctx context.Context, dialer *net.Dialer) (net.Conn, error) {
	conn, err := dialer.DialContext(ctx, "tcp", c.source.address)
	if socket.OutOfDescriptors(err) && c.reserve.Lend() {
		return dialer.DialContext(ctx, "tcp", c.source.address)
	}
	return conn, err
}

func (c *connection) close() {
	if c.conn == nil {
		return
	}
	c.conn.Close()
	c.reserve.Fill()
	c.buffers.PutReader(c.reader)
	c.conn = nil
	c.answer = nil
	c.reader = nil
	c.next = nil
}

// get makes one call, unless it is out already, and returns the list that answers it.
func (c *Client) get(ctx context.Context, conn *connection, call listCall) (EndpointList, error) {
	began := time.Now()
	conn.broken = false
	if err := conn.openBy(ctx, began.Add(c.timing.answer)); err != nil {
		c.recordFailure(ctx, StageConnect)
		return EndpointList{}, err
	}
	callCtx, stop := context.WithCancel(ctx)
	defer stop()
	opened := conn.conn
	defer context.AfterFunc(callCtx, func() { opened.SetDeadline(socket.PastDeadline) })()
	answer := conn.answer
	answer.begin(callCtx, conn.firstByteBy(began, call.wait+c.firstByteTimeout(conn.source)))
	list, reusable, err := conn.exchange(call, stop, func(w Withdrawals) { c.withdraw(ctx, conn.source, w) })
	c.calls.read(answer)
	if err != nil {
		c.recordFailure(ctx, answer.failedStage(err))
	}
	if answer.hasBegun() {
		conn.answeredAt = answer.lastReadAt
	}
	conn.broken = answer.broken || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	if call.wholeList && ctx.Err() == nil {
		c.recordWholeListCall(conn.source, err, answer.hasBegun())
	}
	if err != nil || !reusable {
		conn.close()
	}
	return list, err
}

// recordFailure counts a call that failed, unless the client has ended it.
func (c *Client) recordFailure(ctx context.Context, stage CallStage) {
	if ctx.Err() == nil {
		c.calls.failed(stage)
	}
}

// brokeAfterAnswer reports whether a call has failed because the connection broke with an answer or so soon after one
// that the service need not have seen the call: it sees the watch go on if that is made again now.
func (c *connection) brokeAfterAnswer(err error, began time.Time) bool {
	if err == nil || !c.broken || c.answeredAt.IsZero() {
		return false
	}
	return time.Since(c.answeredAt) < maxContinuationDelay || time.Since(began) < maxContinuationDelay
}

// firstByteTimeout is how long the first byte of an answer may take now, beyond what its call may wait.
func (c *Client) firstByteTimeout(s *source) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.timing.firstByte(s.overdueCalls)
}

// recordWholeListCall counts the calls for a whole list in a row whose answer did not begin in time.
func (c *Client) recordWholeListCall(s *source, err error, answerBegun bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case answerBegun:
		s.overdueCalls = 0
	case errors.Is(err, os.ErrDeadlineExceeded):
		s.overdueCalls++
	}
}

// firstByteBy is when the answer to a call of now has to begin that may take a time to. Where the call is out already,
// the answer may have come meanwhile.
func (c *connection) firstByteBy(now time.Time, timeout time.Duration) time.Time {
	if c.next == nil {
		return now.Add(timeout)
	}
	deadline := c.next.began.Add(timeout)
	if soonest := now.Add(maxFirstReadWait); soonest.After(deadline) {
		return soonest
	}
	return deadline
}

// exchange writes one request, unless it is out already, and reads its answer; stop ends the reading. passOn gets the
// entries that withdraw endpoints as they are read. It reports whether the connection may be used again.
func (c *connection) exchange(
	call listCall, stop func(), passOn func(Withdrawals),
) (list EndpointList, reusable bool, err error) {
	if c.next == nil {
		err = c.write(call)
	}
	c.next = nil
	if err != nil {
		return list, false, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return list, false, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return list, false, &rejectedError{status: response.Status}
	}
	reusable = !response.Close
	body := newReadAhead(&boundedReader{reader: response.Body, left: maxListBytes}, func(start []byte) {
		if call.watches && reusable && c.reader.Buffered() == 0 {
			reusable = c.callAhead(start)
		}
	})
	list, err = decodeList(body, passOn)
	if err != nil {
		c.abandon(body, stop)
		return list, false, err
	}
	if c.next != nil && c.next.version != list.Index {
		return list, false, nil // the text names two versions: that which counts has not been asked for
	}
	return list, reusable && c.reader.Buffered() == 0, nil
}

// write writes the request of a call.
func (c *connection) write(call listCall) error {
	_, err := io.WriteString(c.conn, "GET "+call.target+" HTTP/1.1\r\nHost: "+c.source.address+"\r\n\r\n")
	return err
}

// callAhead makes the next call of a watch when an answer that begins with start has been read and is not yet decoded:
// a service forgets a watch that does not go on soon. It reports whether the connection may be used on.
func (c *connection) callAhead(start []byte) bool {
	version, ok := leadingVersion(start)
	if !ok {
		return true
	}
	next := &calledAhead{call: watchCall(version, c.timing.watchWait), version: version, began: time.Now()}
	c.conn.SetWriteDeadline(next.began.Add(c.timing.answer))
	if c.answer.ctx.Err() != nil { // perhaps since: what ends the call has set a deadline too
		return false
	}
	if c.write(next.call) != nil {
		return false
	}
	c.next = next
	return true
}

// abandon ends the reading of a body that is wrong. Where more of it was still being read, that has not failed.
func (c *connection) abandon(body *readAhead, stop func()) {
	if !body.running {
		return
	}
	stop()
	body.wait()
	c.answer.failed = false
	c.answer.broken = false
}

// boundedReader fails where more comes than it allows.
type boundedReader struct {
	reader io.Reader
	left   int // bytes
}

// Read implements [io.Reader].
func (r *boundedReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	r.left -= n
	if r.left < 0 {
		return 0, errListTooLarge
	}
	return n, err
}
