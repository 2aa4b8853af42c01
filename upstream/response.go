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

// maxHoldBack is how long the beginning of a body of unknown length is held back while waiting for the rest.
const maxHoldBack = 300 * time.Millisecond

// responseHead is the head of a response, as received and parsed.
type responseHead struct {
	text   []byte
	parsed http.Header
}

// readBody reads the body of a successful response. It reads a short body completely; of a long body it reads the
// beginning, and the response's stream takes ownership of the connection. persistent states whether the connection can
// be reused after the body.
func (p *Pool) readBody(
	conn *conn, a *Attempt, head *responseHead, framed framing.Body, persistent bool,
) (outcome balancer.Outcome, response *message.Response, reusable bool) {
	length := framed.Length
	if !framed.HasLength || framed.Chunked {
		length = message.UnknownLength
	}
	conn.limit.N = math.MaxInt64
	body := framed.Reader(conn.reader)
	stream := &download{pool: p, conn: conn, body: body, remaining: message.MaxBody}
	response = &message.Response{Header: head.parsed, Stream: stream, Length: length}
	if !p.reserveBody(response) {
		return balancer.OK, response, false // the whole body is streamed
	}
	var enough func() bool
	if length == message.UnknownLength {
		enough = shouldStopHolding(conn, a)
	}
	part, whole, err := p.buffers.ReadPart(body, message.MaxBufferedBody+1, enough)
	response.Body = part
	stream.remaining -= int64(part.Len())
	switch {
	case err != nil:
		response.Stream = nil // the caller drops the connection
		response.Free()
		return outcomeOf(err), nil, false
	case whole:
		response.Stream = nil
		isOwn := p.isOwnResponse(conn, digestOfBody(head.text, part))
		noTrailing := p.noTrailingBytes(conn)
		if !isOwn || !noTrailing && conn.use.Uses > 1 { // with trailing bytes, this may be part of another response
			response.Free()
			return balancer.Reset, nil, false
		}
		return balancer.OK, response, persistent && noTrailing
	}
	return balancer.OK, response, false
}

// reserveBody reserves memory for the body in the bodies budget; the response's Free returns it. It reports false if
// the body is too long to be buffered or the budget is exhausted.
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

// shouldStopHolding returns a function that reports whether to pass on the received part of a body of unknown length:
// no byte follows within maxHoldBack of the call to shouldStopHolding, or more than maxHoldBack has passed since.
func shouldStopHolding(conn *conn, a *Attempt) func() bool {
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

// download streams the remainder of a response's body. It owns the connection until Close.
type download struct {
	pool      *Pool
	conn      *conn
	body      io.Reader
	remaining int64 // bytes that may still be read
}

// Read reads the next bytes. It fails if none arrive within progressTimeout or the body exceeds message.MaxBody.
func (d *download) Read(b []byte) (int, error) {
	if d.remaining <= 0 {
		return 0, buffer.ErrTooLarge
	}
	d.conn.SetReadDeadline(time.Now().Add(progressTimeout))
	n, err := d.body.Read(b[:min(int64(len(b)), d.remaining)])
	d.remaining -= int64(n)
	return n, err
}

// Close closes the connection. The connection is not reused, since a streamed response has no digest and a repeated
// copy of it could not be detected. Close never fails.
func (d *download) Close() error {
	d.pool.drop(d.conn)
	return nil
}
