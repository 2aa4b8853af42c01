package consumer

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
	"ryerill/invocation"
)

// state is what a connection is at.
type state uint8

const (
	idle      state = iota // between requests
	reading                // a request has begun to come in
	busy                   // a request is open
	lingering              // its last answer is out
)

// conn is a consumer's connection. One goroutine reads it; while an invocation
// is out this read tells when the consumer leaves.
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
}

func newConn(s *Server, nc *net.TCPConn) *conn {
	c := &conn{server: s, nc: nc, N: maxHead, accepted: time.Now()}
	c.r = s.buffers.Reader(c)
	c.rest()
	return c
}

// enter notes what the connection is at, and until when it may be.
// The server's mutex is held.
func (c *conn) enter(now state, until time.Time) {
	c.state, c.since, c.until = now, time.Now(), until
	if c.gone {
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
	if c.state != busy && !c.gone {
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
	if c.server.phase().Closing {
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
	for {
		c.N, c.class = maxHead, ""
		if !c.begin() {
			return
		}
		req, frame, err := c.readHead()
		if err != nil {
			c.reject(err)
			return
		}
		if req.Method == http.MethodGet && req.RequestURI == readyPath {
			body, rest, err := c.readBody(req, frame)
			if err == nil && rest != nil {
				err = &httpError{http.StatusRequestEntityTooLarge, "a body where none belongs"}
			}
			body.Free()
			if err != nil {
				c.reject(err)
				return
			}
			c.taken()
			if !c.ready(req.Close) {
				return
			}
			continue
		}
		c.old = !req.ProtoAtLeast(1, 1)
		way, inv, err := c.invocation(req, frame)
		if err != nil {
			c.reject(err)
			return
		}
		if c.refused || c.server.present().Refusing {
			c.server.services.Turned(c.class, true)
			inv.Request.Free()
			c.write(head(http.StatusServiceUnavailable, 0, false, nil, time.Second, true), nil)
			c.lingerClose()
			return
		}
		id := req.Header.Get(http1.HeaderID)
		if !c.server.hold(id, c) {
			inv.Request.Free()
			c.reject(&httpError{http.StatusConflict, http1.HeaderID + " is open already"})
			return
		}
		inv.Left = c.server.left(inv.Left)
		rest, _ := inv.Request.Rest.(*upload)
		closes := req.Close || c.old
		inv.Reply = func(a invocation.Answer) { go c.answer(a, id, closes, rest, answered) }
		left := inv.Left
		if rest == nil {
			c.nc.SetReadDeadline(inv.Taken.Add(left + leaveMargin))
			c.N = maxHead
		}
		ticket := way.Service.Take(inv)
		if rest != nil {
			<-rest.over // until then the connection is the upload's to read
			if err := rest.err; !errors.Is(err, io.EOF) {
				if !errors.Is(err, errAbandoned) && way.Service.Leave(ticket) {
					c.class = "" // its end is booked by now
					c.server.release(id, c)
					c.reject(err)
					return
				}
				<-answered // with a close
				return
			}
			c.pace = pace{}
			c.N = maxHead
			c.nc.SetReadDeadline(time.Now().Add(left + leaveMargin))
		}
		_, err = c.r.Peek(1) // the next request, which comes after the answer, or the consumer's end
		if err != nil {
			c.server.mu.Lock() // an answer that is through lets go of it after all is booked
			settled := len(answered) > 0
			c.server.mu.Unlock()
			if !settled {
				way.Service.Leave(ticket)
				c.server.release(id, c)
				return
			}
		}
		if !<-answered {
			return
		}
	}
}

// invocation reads what is left of a request whose head is in, and finds its way.
func (c *conn) invocation(req *http.Request, frame framing.Body) (way Way, inv *invocation.Invocation, err error) {
	if way, err = c.server.find(req); err != nil {
		return way, nil, err
	}
	if c.class = stated(req); way.Class != "" && req.Header.Get(http1.HeaderKind) == "" {
		c.class = way.Class
	}
	give := func() {}
	if size := frame.Length; size > 0 || frame.Chunked {
		if size = min(size, invocation.MaxHeld); frame.Chunked {
			size = invocation.MaxHeld
		}
		var ok bool
		if give, ok = way.Service.Hold(int(size)); !ok {
			return way, nil, &httpError{http.StatusServiceUnavailable, "no room for the body"}
		}
	}
	body, rest, err := c.readBody(req, frame)
	if err == nil {
		c.taken()
		length := frame.Length
		if frame.Chunked {
			length = invocation.Unknown
		}
		if inv, err = way.parse(req, body, rest, length, time.Now()); err == nil {
			inv.Request.Done = give
			return way, inv, nil
		}
		body.Free()
	}
	give()
	return way, nil, err
}

// answer writes a final answer and tells the reader whether the connection
// goes on.
func (c *conn) answer(a invocation.Answer, id string, closes bool, rest *upload, answered chan<- bool) {
	defer a.Response.Free()
	c.server.release(id, c)
	early := rest != nil && !rest.abandon()
	closes = closes || early
	c.server.mu.Lock()
	closes = closes || c.server.phase().Last
	c.server.mu.Unlock()
	var header http.Header
	var body *buffer.Body
	if a.Response != nil {
		header, body = a.Response.Header, a.Response.Body
	}
	var whole bool
	if a.Response != nil && a.Response.Rest != nil {
		whole = c.stream(status(a.Verdict), a.Response, closes)
	} else {
		whole = c.write(head(status(a.Verdict), int64(body.Len()), c.old, header, a.RetryAfter, closes), body)
	}
	goesOn := whole && !closes
	if whole && early {
		c.discard()
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	answered <- goesOn
	if goesOn {
		c.rest()
	} else {
		c.nc.Close() // also ends the read that waits for the next request
	}
}

func (c *conn) write(head []byte, body *buffer.Body) bool {
	c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	message := body.AppendTo(net.Buffers{head})
	_, err := message.WriteTo(c.nc)
	return err == nil
}

// ready answers the question whether this proxy can be used. It can from its
// first moment on, with the providers known from before.
func (c *conn) ready(closes bool) bool {
	now, code := c.server.present(), http.StatusOK
	closes = closes || now.Last || c.refused
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
		c.server.services.Turned(c.class, e.status == http.StatusServiceUnavailable)
	}
	if c.write(head(e.status, 0, false, nil, e.retryAfter(), true), nil) {
		c.lingerClose()
	}
}

// lingerClose ends the sending first and reads on for a moment: closing with
// unread bytes would reset the connection, and the answer with it.
func (c *conn) lingerClose() {
	if c.nc.CloseWrite() == nil {
		c.server.mu.Lock()
		c.enter(lingering, time.Now().Add(linger))
		c.server.mu.Unlock()
		io.Copy(io.Discard, io.LimitReader(c.nc, invocation.MaxBody))
	}
}

func (c *conn) end() {
	c.nc.Close()
	c.server.buffers.PutReader(c.r)
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.gone {
		c.server.leaving--
	}
	delete(c.server.conns, c)
	c.server.reserve.Fill()
	c.server.room.Broadcast()
}
