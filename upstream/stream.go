package upstream

import (
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"time"

	"ryerill/balancer"
	"ryerill/internal/buffer"
	"ryerill/internal/framing"
	"ryerill/internal/socket"
	"ryerill/message"
)

const (
	progress = 10 * time.Second       // a long body that stands still for so long is over
	holdBack = 300 * time.Millisecond // the beginning of a body of unknown length is held for so long at most
)

// written is how the writing of a request ended.
type written uint8

const (
	whole   written = iota // its last byte is out
	heard                  // the provider has answered before, which ends the writing
	failed                 // the connection broke
	unheard                // the rest of the request did not come: no fault of the provider's
)

// write writes the request.
func (p *Pool) write(conn *conn, c *Attempt) written {
	r := c.Request
	buffers := net.Buffers{encode(r, time.Until(c.Deadline))}
	if r.Stream == nil {
		buffers = r.Body.AppendTo(buffers)
		if _, err := buffers.WriteTo(conn.TCPConn); err != nil {
			return failed
		}
		return whole
	}
	block := p.buffers.Block()
	defer p.buffers.PutBlock(block)
	chunked := r.Length == message.UnknownLength
	if chunked {
		buffers = framing.AppendChunk(buffers, r.Body.AppendTo(nil))
	} else {
		buffers = r.Body.AppendTo(buffers)
	}
	for last := false; ; {
		c.within(conn, time.Now().Add(progress))
		if _, err := buffers.WriteTo(conn.TCPConn); err != nil {
			if p.answered(conn) {
				return heard
			}
			return failed
		}
		if last {
			return whole
		}
		if p.answered(conn) {
			return heard
		}
		n, err := r.Stream.Read(block[:])
		buffers = net.Buffers{block[:n]}
		if chunked {
			buffers = framing.AppendChunk(nil, buffers)
		}
		if last = errors.Is(err, io.EOF); last && chunked {
			buffers = append(buffers, []byte(framing.LastChunk))
		}
		if err != nil && !last {
			return unheard
		}
	}
}

// answered tells whether something has come in.
func (p *Pool) answered(conn *conn) bool {
	return conn.r.Buffered() > 0 || conn.peek() == socket.Waiting
}

// served reads the body of an answer that served: whole if it is short, else its
// beginning, and the connection goes with what follows.
func (p *Pool) served(conn *conn, c *Attempt, header http.Header, frame framing.Body, keep bool) (balancer.Outcome, *message.Response, bool) {
	length := frame.Length
	if !frame.HasLength || frame.Chunked {
		length = message.UnknownLength
	}
	conn.limit.N = math.MaxInt64
	body := frame.Reader(conn.r)
	rest := &download{pool: p, conn: conn, body: body, keep: keep, left: message.MaxBody}
	response := &message.Response{Header: header, Stream: rest, Length: length}
	hold := int(length)
	if length == message.UnknownLength {
		hold = message.MaxBufferedBody
	}
	if hold > message.MaxBufferedBody || p.bodies != nil && !p.bodies.Take(hold) {
		return balancer.OK, response, false // it goes on as it comes
	}
	if p.bodies != nil {
		response.OnFree = func() { p.bodies.Give(hold) }
	}
	var enough func() bool
	if length == message.UnknownLength {
		began := time.Now()
		enough = func() bool {
			if conn.r.Buffered() == 0 { // who waits for more must not hold back what there is
				c.within(conn, began.Add(holdBack))
				_, err := conn.r.Peek(1)
				c.within(conn, c.Deadline)
				if errors.Is(err, os.ErrDeadlineExceeded) {
					return true
				}
			}
			return time.Since(began) > holdBack
		}
	}
	part, all, err := p.buffers.ReadPart(body, message.MaxBufferedBody+1, enough)
	response.Body, rest.left = part, rest.left-int64(part.Len())
	switch {
	case err != nil:
		response.Stream = nil // the caller drops the connection
		response.Free()
		return broken(err), nil, false
	case all:
		response.Stream = nil
		return balancer.OK, response, keep && conn.r.Buffered() == 0
	}
	return balancer.OK, response, false
}

// download is what follows of an answer's body. It holds the connection until Close.
type download struct {
	pool  *Pool
	conn  *conn
	body  io.Reader
	keep  bool  // the connection may be used again after its end
	whole bool  // it has come to its end
	left  int64 // bytes that it may still bring
}

// Read waits for progress and no longer.
func (d *download) Read(b []byte) (int, error) {
	if d.left <= 0 {
		return 0, buffer.ErrTooLarge
	}
	d.conn.SetReadDeadline(time.Now().Add(progress))
	n, err := d.body.Read(b[:min(int64(len(b)), d.left)])
	d.left -= int64(n)
	d.whole = errors.Is(err, io.EOF)
	return n, err
}

// Close gives the connection back.
func (d *download) Close() error {
	if d.whole && d.keep && d.conn.r.Buffered() == 0 {
		d.pool.put(d.conn)
	} else {
		d.pool.drop(d.conn)
	}
	return nil
}
