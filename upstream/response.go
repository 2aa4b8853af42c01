package upstream

import (
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"time"

	"ryerill/balancer"
	"ryerill/internal/buffer"
	"ryerill/internal/framing"
	"ryerill/message"
)

// maxHoldBack is how long the beginning of a body of unknown length may be held, in the hope of its end.
const maxHoldBack = 300 * time.Millisecond

// responseHead is the head of a response.
type responseHead struct {
	text   []byte
	parsed http.Header
}

// readBody reads the body of a success: whole if it is short, else its beginning, and the connection goes with the
// stream of what follows. persistent is whether the connection can be used again after the body.
func (p *Pool) readBody(
	conn *conn, a *Attempt, head *responseHead, framed framing.Body, persistent bool,
) (outcome balancer.Outcome, response *message.Response, reusable bool) {
	length := framed.Length
	if !framed.HasLength || framed.Chunked {
		length = message.UnknownLength
	}
	conn.limit.N = math.MaxInt64
	body := framed.Reader(conn.reader)
	rest := &download{pool: p, conn: conn, body: body, remaining: message.MaxBody}
	response = &message.Response{Header: head.parsed, Stream: rest, Length: length}
	if !p.reserveBody(response) {
		return balancer.OK, response, false // it is streamed from its first byte on
	}
	var enough func() bool
	if length == message.UnknownLength {
		enough = heldLongEnough(conn, a)
	}
	part, whole, err := p.buffers.ReadPart(body, message.MaxBufferedBody+1, enough)
	response.Body = part
	rest.remaining -= int64(part.Len())
	switch {
	case err != nil:
		response.Stream = nil // the caller drops the connection
		response.Free()
		return outcomeOf(err), nil, false
	case whole:
		response.Stream = nil
		own := p.isOwn(conn, digestOfBody(head.text, part))
		endsHere := p.endsHere(conn)
		if !own || !endsHere && conn.use.Uses > 1 { // more than a response may be the rest of another one
			response.Free()
			return balancer.Reset, nil, false
		}
		return balancer.OK, response, persistent && endsHere
	}
	return balancer.OK, response, false
}

// reserveBody takes memory for holding a response's body, which its Free gives back. It reports false if the body is
// too long or there is no memory now.
func (p *Pool) reserveBody(response *message.Response) bool {
	size := int(response.Length)
	if response.Length == message.UnknownLength {
		size = message.MaxBufferedBody
	}
	if size > message.MaxBufferedBody {
		return false
	}
	if p.bodies == nil {
		return true
	}
	if !p.bodies.Take(size) {
		return false
	}
	response.OnFree = func() { p.bodies.Give(size) }
	return true
}

// heldLongEnough returns a function that reports whether what has been received of a body of unknown length is to be
// passed on: nothing has followed it for a while, or its beginning was long ago.
func heldLongEnough(conn *conn, a *Attempt) func() bool {
	began := time.Now()
	return func() bool {
		if conn.reader.Buffered() == 0 {
			a.setDeadline(conn, began.Add(maxHoldBack))
			_, err := conn.reader.Peek(1)
			a.setDeadline(conn, a.Deadline)
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return true
			}
		}
		return time.Since(began) > maxHoldBack
	}
}

// download is the remainder of a response's body. It holds the connection until Close.
type download struct {
	pool      *Pool
	conn      *conn
	body      io.Reader
	remaining int64 // bytes that it may still bring
}

// Read waits for progress, but no longer than the proxy waits for any.
func (d *download) Read(b []byte) (int, error) {
	if d.remaining <= 0 {
		return 0, buffer.ErrTooLarge
	}
	d.conn.SetReadDeadline(time.Now().Add(progressTimeout))
	n, err := d.body.Read(b[:min(int64(len(b)), d.remaining)])
	d.remaining -= int64(n)
	return n, err
}

// Close closes the connection: a copy of a response that was passed on unread could not be told. It never fails.
func (d *download) Close() error {
	d.pool.drop(d.conn)
	return nil
}
