package downstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"ryerill/internal/buffer"
	"ryerill/internal/framing"
	"ryerill/internal/http1"
	"ryerill/internal/socket"
	"ryerill/message"
)

// state is what a connection is at.
type state uint8

const (
	idle      state = iota // between requests
	reading                // a request has begun to come in
	busy                   // a request is open
	lingering              // its sending side is shut: what still comes in is thrown away
	ended                  // closed
)

// conn is a consumer's connection. One goroutine, serve, reads it and ends it; while
// an invocation is out this read tells when the consumer leaves. Another goroutine
// writes each answer.
type conn struct {
	server  *Server
	nc      *net.TCPConn
	r       *bufio.Reader
	N       int64  // bytes that one request may still bring in
	failed  bool   // the connection itself broke
	refused bool   // beyond the limit
	old     bool   // speaks HTTP/1.0
	class   string // that the present request states; empty is none known
	pace    pace   // of the body that comes in

	accepted time.Time

	// Guarded by server.mu:
	state     state
	since     time.Time // when it came into its state
	until     time.Time // when it is to leave it at the latest
	asked     bool      // it has brought a request
	abandoned bool      // the body that comes in is not wanted any more
	gone      bool      // given up: its place is given away once

	// The request that is open, or was last:
	service Service
	ticket  uint64
}

func newConn(s *Server, nc *net.TCPConn) *conn {
	c := &conn{server: s, nc: nc, N: maxHead, accepted: time.Now()}
	c.r = s.buffers.Reader(c)
	c.rest()
	return c
}

// enter notes what the connection is at, and until when it may be. From its end
// nothing leads back. The server's mutex is held.
func (c *conn) enter(now state, until time.Time) {
	if c.state == ended {
		return
	}
	c.state, c.since, c.until = now, time.Now(), until
	if c.gone && now != lingering { // it goes on after all
		c.gone = false
		c.server.leaving--
		c.server.room.Broadcast()
	}
	c.nc.SetReadDeadline(until)
}

// Read reads from the consumer, no more than one request may bring in. What has
// come in before a connection was given up, or its idle time was over, is read
// all the same.
func (c *conn) Read(p []byte) (int, error) {
	if c.N <= 0 {
		return 0, io.EOF
	}
	p = p[:min(int64(len(p)), c.N)]
	if c.pace.bytes > 0 {
		c.keepPace()
	}
	n, err := c.nc.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && socket.Peek(c.nc) == socket.Waiting {
		c.server.mu.Lock()
		goesOn := c.state == idle || c.gone && time.Now().Before(c.until)
		c.server.mu.Unlock()
		if goesOn {
			c.nc.SetReadDeadline(time.Now().Add(fresh))
			n, err = c.nc.Read(p)
			c.nc.SetReadDeadline(past)
		}
	}
	c.N -= int64(n)
	if !c.pace.since.IsZero() {
		c.pace.bytes += int64(n)
	}
	c.failed = err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}

// comesIn notes that a body begins to come in, which has a time of its own.
func (c *conn) comesIn() {
	c.pace = pace{since: time.Now()}
	c.keepPace()
}

// keepPace moves the time until when more of the body must be in.
func (c *conn) keepPace() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if !c.gone && !c.abandoned {
		c.until = c.pace.until()
		c.nc.SetReadDeadline(c.until)
	}
}

// past is a deadline that ends a read which waits.
var past = time.Unix(1, 0)

// giveUp ends a connection that has no request open. It wakes the reader, which
// alone can tell that no request has come in at the last moment: a request
// that has reached this machine counts as taken, so closing over it loses it.
// The server's mutex is held.
func (c *conn) giveUp() {
	if c.state != busy && c.state != ended && !c.gone {
		c.gone = true
		c.server.leaving++
		c.nc.SetReadDeadline(past)
	}
}

// rest notes that the connection is between requests.
// The server's mutex is held.
func (c *conn) rest() {
	if c.asked {
		c.enter(idle, time.Now().Add(idleTimeout))
	} else {
		c.enter(idle, c.accepted.Add(firstTimeout))
	}
	if c.server.phase().ClosesIdle {
		c.wane()
	}
}

// wane ends an idle connection while all go: at once, or shortly after its start
// if it has not asked yet.
// The server's mutex is held.
func (c *conn) wane() {
	if end := c.accepted.Add(grace); !c.asked && time.Now().Before(end) {
		c.enter(idle, end)
	} else {
		c.giveUp()
	}
}

// begin waits for the first byte of the next request. It reports false when
// the connection has ended, or was given up and nothing has come in.
func (c *conn) begin() bool {
	if _, err := c.r.Peek(1); err != nil {
		return false
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	until := time.Now().Add(readTimeout)
	if !c.asked { // who drips its first request in, or stops in it, is told in time
		until = c.accepted.Add(max(readTimeout, time.Since(c.accepted)+headTimeout))
	}
	c.enter(reading, until)
	return true
}

// taken notes that a whole request is in.
func (c *conn) taken() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.asked = true
	c.enter(busy, time.Time{})
}

func (c *conn) serve() {
	defer c.end()
	answered := make(chan bool, 1)
	for c.next(answered) {
	}
	c.shut()
}

// next takes one request and sees it answered. It reports whether the connection
// goes on.
func (c *conn) next(answered chan bool) bool {
	c.N, c.class = maxHead, ""
	if !c.begin() {
		return false
	}
	req, frame, err := c.readHead()
	if err != nil {
		c.reject(err)
		return false
	}
	if req.Method == http.MethodGet && req.RequestURI == readyPath {
		body, rest, err := c.readBody(req, frame)
		if err == nil && rest != nil {
			err = &httpError{http.StatusRequestEntityTooLarge, "a body where none belongs"}
		}
		body.Free()
		if err != nil {
			c.reject(err)
			return false
		}
		c.taken()
		return c.ready(req.Close)
	}
	c.old = !req.ProtoAtLeast(1, 1)
	way, inv, err := c.invocation(req, frame)
	if err != nil {
		c.reject(err)
		return false
	}
	if c.refused || c.server.present().Rejects {
		c.server.services.CountRejected(c.class, true)
		inv.Outgoing.Free()
		c.write(head(http.StatusServiceUnavailable, 0, false, nil, time.Second, true), nil)
		return false
	}
	if socket.PeerClosed(c.nc) { // while its request lay here: in the listener's queue, or behind another
		inv.Outgoing.Free()
		c.failed = true
		return false
	}
	id := req.Header.Get(http1.HeaderID)
	if !c.server.hold(id, c) {
		inv.Outgoing.Free()
		c.reject(&httpError{http.StatusConflict, http1.HeaderID + " is open already"})
		return false
	}
	inv.Remaining = c.server.left(inv.Remaining)
	rest, _ := inv.Outgoing.Stream.(*upload)
	closes := req.Close || c.old
	inv.Reply = func(a message.Result) { go c.answer(a, id, closes, rest, answered) }
	left := inv.Remaining
	if rest == nil {
		c.nc.SetReadDeadline(inv.ReceivedAt.Add(left + leaveMargin))
		c.N = maxHead
	}
	ticket := way.Service.Accept(inv)
	c.server.mu.Lock()
	c.service, c.ticket = way.Service, ticket
	c.server.mu.Unlock()
	if rest != nil {
		for whole := false; !whole; { // until it is over the connection is the upload's to read
			select {
			case <-rest.over:
				whole = true
			case <-time.After(lookAgain):
				if !rest.waits() || !socket.PeerClosed(c.nc) {
					continue
				}
				way.Service.ClientLeft(ticket)
				rest.abandon()
				c.failed = true // nobody else reads it any more
				c.server.release(id, c)
				return false
			}
		}
		if err := rest.err; !errors.Is(err, io.EOF) {
			if !errors.Is(err, errAbandoned) && way.Service.ClientLeft(ticket) {
				c.class = "" // its end is booked by now
				c.server.release(id, c)
				c.reject(err)
				return false
			}
			<-answered // with a close
			return false
		}
		c.pace = pace{}
		c.N = maxHead
		c.nc.SetReadDeadline(time.Now().Add(left + leaveMargin))
	}
	goesOn, gone := c.watch(answered)
	if gone {
		c.failed = true
		way.Service.ClientLeft(ticket)
		c.server.release(id, c)
	}
	return goesOn
}

// watch waits until the answer is through and tells whether the connection goes on,
// or that the consumer has left, which may come behind the beginning of a next request.
func (c *conn) watch(answered <-chan bool) (goesOn, gone bool) {
	if _, err := c.r.Peek(1); err != nil {
		c.server.mu.Lock()
		settled := len(answered) > 0 // an answer that is through lets go of the connection after all is booked
		c.server.mu.Unlock()
		if !settled {
			return false, true
		}
		return <-answered, false
	}
	for {
		select {
		case goesOn := <-answered:
			return goesOn, false
		case <-time.After(lookAgain):
			if socket.PeerClosed(c.nc) {
				return false, true
			}
		}
	}
}

// invocation reads what is left of a request whose head is in, and finds its way.
func (c *conn) invocation(req *http.Request, frame framing.Body) (way Route, inv *message.Request, err error) {
	if way, err = c.server.find(req); err != nil {
		return way, nil, err
	}
	if c.class = stated(req); way.Class != "" && req.Header.Get(http1.HeaderKind) == "" {
		c.class = way.Class
	}
	give := func() {}
	if size := frame.Length; size > 0 || frame.Chunked {
		if size = min(size, message.MaxBufferedBody); frame.Chunked {
			size = message.MaxBufferedBody
		}
		var ok bool
		if give, ok = way.Service.ReserveBody(int(size)); !ok {
			return way, nil, &httpError{http.StatusServiceUnavailable, "no room for the body"}
		}
	}
	body, rest, err := c.readBody(req, frame)
	if err == nil {
		c.taken()
		length := frame.Length
		if frame.Chunked {
			length = message.UnknownLength
		}
		if inv, err = way.parse(req, body, rest, length, time.Now()); err == nil {
			inv.Outgoing.OnFree = give
			return way, inv, nil
		}
		body.Free()
	}
	give()
	return way, nil, err
}

// answer writes a final answer and tells the reader whether the connection
// goes on.
func (c *conn) answer(a message.Result, id string, closes bool, rest *upload, answered chan<- bool) {
	defer a.Response.Free()
	c.server.release(id, c)
	early := rest != nil && !rest.abandon()
	closes = closes || early
	c.server.mu.Lock()
	closes = closes || c.server.phase().ClosesAfterResponse
	c.server.mu.Unlock()
	var header http.Header
	var body *buffer.Body
	if a.Response != nil {
		header, body = a.Response.Header, a.Response.Body
	}
	var whole bool
	if a.Response != nil && a.Response.Stream != nil {
		whole = c.stream(status(a.Kind), a.Response, closes)
	} else {
		whole = c.write(head(status(a.Kind), int64(body.Len()), c.old, header, a.RetryAfter, closes), body)
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	switch {
	case !whole: // what is cut must not look whole
		c.nc.Close()
	case closes:
		span := linger
		if early {
			span = progress
		}
		c.shutLocked(span)
	default:
		c.rest()
	}
	answered <- whole && !closes
}

func (c *conn) write(head []byte, body *buffer.Body) bool {
	c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	buffers := body.AppendTo(net.Buffers{head})
	_, err := buffers.WriteTo(c.nc)
	return err == nil
}

// ready answers the question whether this proxy can be used. It can from its
// first moment on, with the providers known from before.
func (c *conn) ready(closes bool) bool {
	now, code := c.server.present(), http.StatusOK
	closes = closes || now.ClosesAfterResponse || c.refused
	if !now.Ready {
		code, closes = http.StatusServiceUnavailable, true
	}
	if !c.write(head(code, 0, false, nil, 0, closes), nil) || closes {
		return false
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.rest()
	return true
}

// reject answers what is no invocation, if there is still somebody to answer.
func (c *conn) reject(err error) {
	var e *httpError
	if !errors.As(err, &e) {
		return
	}
	if c.class != "" {
		c.server.services.CountRejected(c.class, e.status == http.StatusServiceUnavailable)
	}
	c.write(head(e.status, 0, false, nil, e.retryAfter(), true), nil)
}

// shutLocked ends the sending side, and says how long what still comes in is read.
// Nothing of it is acted upon: its consumer has been told that this connection is
// over, and asks again on another. The server's mutex is held.
func (c *conn) shutLocked(span time.Duration) {
	if c.state == lingering || c.state == ended {
		return
	}
	if c.gone {
		span = hurried
	}
	c.enter(lingering, c.server.beforeKill(time.Now().Add(span)))
	c.nc.CloseWrite()
}

// shut ends a connection whose consumer is still there: the sending side first, and
// the rest once the consumer has ended, or in a while. Closing over bytes that have
// not been read would reset it, and the last answer with it.
func (c *conn) shut() {
	if c.failed {
		return
	}
	c.server.mu.Lock()
	c.shutLocked(linger)
	until := c.until
	c.server.mu.Unlock()
	block := c.server.buffers.Block()
	defer c.server.buffers.PutBlock(block)
	for left := int64(message.MaxBody); left > 0; {
		c.server.mu.Lock()
		now := time.Now()
		if !c.gone {
			c.nc.SetReadDeadline(earlier(until, now.Add(linger)))
		}
		c.server.mu.Unlock()
		n, err := c.nc.Read(block[:])
		if left -= int64(n); err != nil || !now.Before(until) {
			return
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// end closes the connection, once, and gives its place back.
func (c *conn) end() {
	c.nc.Close()
	c.server.buffers.PutReader(c.r)
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.gone {
		c.gone = false
		c.server.leaving--
	}
	c.state = ended
	delete(c.server.conns, c)
	c.server.reserve.Fill()
	c.server.room.Broadcast()
}
