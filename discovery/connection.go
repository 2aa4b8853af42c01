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
	endpointsPath = "/v1/endpoints"

	maxListed    = 40_000  // endpoints
	maxEntrySize = 1 << 10 // bytes, indented, on average
	maxListBytes = maxListed * maxEntrySize

	readSize = 64 << 10 // bytes of an answer's body per read
)

// errListTooLarge is the error for an answer larger than maxListBytes.
var errListTooLarge = errors.New("answer is too large")

// connection is a connection to a discovery service that is reused for several calls. It is not safe for concurrent
// use.
type connection struct {
	source  *source
	conn    net.Conn
	timing  callTiming
	answer  *pacedReader  // to the call in flight
	reader  *bufio.Reader // reads from answer
	buffers *buffer.Pool
	reserve *socket.Reserve // shared with the client
	faults  socket.Observer
	next    *earlyCall // the next call, if it has already been sent; else nil

	// These also hold after the connection has been closed:
	answeredAt time.Time // time of the last byte of the last answer
	broken     bool      // the peer has closed or reset it
}

// earlyCall is a call of a watch that was sent once the previous answer had been read, before that was decoded.
type earlyCall struct {
	call    listCall
	version uint64    // version at the start of the previous answer
	began   time.Time // time at which it was sent
}

// newConnection returns a connection to a service. It is opened by the first call.
func (c *Client) newConnection(s *source) *connection {
	return &connection{
		source:  s,
		timing:  c.timing,
		buffers: c.buffers,
		reserve: c.reserve,
		faults:  c,
	}
}

// openBy dials the service unless the connection is open. It gives up at the deadline; transient faults of this
// machine before that are retried.
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
	c.conn = socket.RetryingConn{Conn: conn, Observer: c.faults} // for writes; answer does the reads
	c.answer = &pacedReader{conn: conn, timing: c.timing, observer: c.faults}
	c.reader = c.buffers.Reader(c.answer)
	return nil
}

// dial dials the service once. If the process is out of descriptors, it uses a reserved one.
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

// get makes one call, unless it has already been sent, and returns the list in its answer.
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
	if call.fullList && ctx.Err() == nil {
		c.recordFullListCall(conn.source, err, answer.hasBegun())
	}
	if err != nil || !reusable {
		conn.close()
	}
	return list, err
}

// recordFailure counts a failed call, unless the client itself ended the call.
func (c *Client) recordFailure(ctx context.Context, stage CallStage) {
	if ctx.Err() == nil {
		c.calls.failed(stage)
	}
}

// brokeAfterAnswer reports whether a call failed because the connection broke during an answer or shortly after one.
// The service may not have seen that call, and considers the watch continued if the call is repeated now.
func (c *connection) brokeAfterAnswer(err error, began time.Time) bool {
	if err == nil || !c.broken || c.answeredAt.IsZero() {
		return false
	}
	return time.Since(c.answeredAt) < maxContinuationDelay || time.Since(began) < maxContinuationDelay
}

// firstByteTimeout returns how long the first byte of the next answer may take, in addition to the wait of its call.
func (c *Client) firstByteTimeout(s *source) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.timing.firstByte(s.overdueCalls)
}

// recordFullListCall counts consecutive calls for a full list whose answer did not begin in time.
func (c *Client) recordFullListCall(s *source, err error, answerBegun bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case answerBegun:
		s.overdueCalls = 0
	case errors.Is(err, os.ErrDeadlineExceeded):
		s.overdueCalls++
	}
}

// firstByteBy returns the deadline of the first byte of the answer to a call made now. If the call has already been
// sent, its answer may be waiting: the deadline then leaves time for one read.
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

// exchange sends one request, unless it has already been sent, and reads the answer; stop aborts the reading.
// onWithdrawn receives entries that withdraw endpoints as they are read. reusable is whether the connection can carry
// another call.
func (c *connection) exchange(
	call listCall, stop func(), onWithdrawn func(Withdrawals),
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
	body := newReadAhead(&boundedReader{reader: response.Body, remaining: maxListBytes}, func(start []byte) {
		if call.watches && reusable && c.reader.Buffered() == 0 {
			reusable = c.sendEarlyCall(start)
		}
	})
	list, err = decodeList(body, onWithdrawn)
	if err != nil {
		c.abandon(body, stop)
		return list, false, err
	}
	if c.next != nil && c.next.version != list.Index {
		return list, false, nil // the text states two versions, and the early call used the wrong one
	}
	return list, reusable && c.reader.Buffered() == 0, nil
}

// write sends the request of a call.
func (c *connection) write(call listCall) error {
	_, err := io.WriteString(c.conn, "GET "+call.target+" HTTP/1.1\r\nHost: "+c.source.address+"\r\n\r\n")
	return err
}

// sendEarlyCall sends the next call of a watch after an answer that begins with start has been read and before it is
// decoded: a service forgets a watch that does not continue soon. It reports whether the connection can still be used.
func (c *connection) sendEarlyCall(start []byte) bool {
	version, ok := leadingVersion(start)
	if !ok {
		return true
	}
	next := &earlyCall{call: watchCall(version, c.timing.watchWait), version: version, began: time.Now()}
	c.conn.SetWriteDeadline(next.began.Add(c.timing.answer))
	if c.answer.ctx.Err() != nil { // checked after setting the deadline: the end of the call sets one too
		return false
	}
	if c.write(next.call) != nil {
		return false
	}
	c.next = next
	return true
}

// abandon stops reading an invalid body. A background read that it aborts does not count as a failure of the
// connection.
func (c *connection) abandon(body *readAhead, stop func()) {
	if !body.running {
		return
	}
	stop()
	body.wait()
	c.answer.failed = false
	c.answer.broken = false
}

// boundedReader fails when more bytes arrive than it allows.
type boundedReader struct {
	reader    io.Reader
	remaining int // bytes
}

// Read implements [io.Reader].
func (r *boundedReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	r.remaining -= n
	if r.remaining < 0 {
		return 0, errListTooLarge
	}
	return n, err
}
