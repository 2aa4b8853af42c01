package downstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"ryerill/internal/framing"
	"ryerill/message"
)

const (
	progress  = 10 * time.Second // a consumer that takes nothing of a long answer for so long has gone
	bodyStart = 2500 * time.Millisecond
	bodyPace  = 32 << 10 // bytes a second that a body comes at, after its start: half of what consumers are allowed
)

// errAbandoned ends the reading of a body that nobody wants any more.
var errAbandoned = errors.New("the invocation has ended")

// pace is how a body comes in.
type pace struct {
	since time.Time // zero while no body is read
	bytes int64
}

// until is when more must have come.
func (p *pace) until() time.Time {
	return p.since.Add(bodyStart + time.Duration(float64(p.bytes)/bodyPace*float64(time.Second)))
}

// upload is the rest of a long body as it comes in. Until it is over, whoever
// reads it reads the connection.
type upload struct {
	c    *conn
	body io.Reader
	left int64 // bytes that it may still bring

	mu                        sync.Mutex
	spent, reading, abandoned bool
	err                       error         // why it is over
	over                      chan struct{} // closed then
}

func newUpload(c *conn, body io.Reader, left int64) *upload {
	return &upload{c: c, body: body, left: left, over: make(chan struct{})}
}

// Read reads what comes next.
func (u *upload) Read(p []byte) (int, error) {
	u.mu.Lock()
	if u.err != nil {
		defer u.mu.Unlock()
		return 0, u.err
	}
	u.spent, u.reading = true, true
	u.mu.Unlock()
	n, err := u.body.Read(p)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reading = false
	u.left -= int64(n)
	switch {
	case u.abandoned:
		err = errAbandoned
	case err != nil && !errors.Is(err, io.EOF):
		err = u.c.fault(err, "body", http.StatusRequestEntityTooLarge)
	case u.left < 0:
		err = &httpError{http.StatusRequestEntityTooLarge, "the body is too large"}
	}
	if err != nil {
		u.end(err)
	}
	return n, err
}

// Consumed tells whether any of it has been read.
func (u *upload) Consumed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.spent
}

// waits tells whether nobody reads it now: its end would go unnoticed.
func (u *upload) waits() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.reading && u.err == nil
}

// end closes it. The mutex is held.
func (u *upload) end(err error) {
	u.err = err
	close(u.over)
}

// abandon ends it, whoever reads, and reports whether all of it had come in.
func (u *upload) abandon() (whole bool) {
	u.mu.Lock()
	switch {
	case u.err != nil:
	case u.reading:
		u.abandoned = true
		u.c.server.mu.Lock() // so that no deadline of the pace follows
		u.c.abandoned = true
		u.c.nc.SetReadDeadline(past)
		u.c.server.mu.Unlock()
	default:
		u.end(errAbandoned)
	}
	u.mu.Unlock()
	<-u.over
	return errors.Is(u.err, io.EOF)
}

// pass writes the rest of an answer as it comes. It reports whether all of it is out.
func (c *conn) pass(rest io.Reader, chunked bool) bool {
	block := c.server.buffers.Block()
	defer c.server.buffers.PutBlock(block)
	for {
		n, err := rest.Read(block[:])
		if n > 0 && !c.part(net.Buffers{block[:n]}, chunked) {
			return false
		}
		if err != nil {
			return errors.Is(err, io.EOF) && (!chunked || c.part(net.Buffers{[]byte(framing.LastChunk)}, false))
		}
	}
}

// part writes part of a body, as a chunk if it goes in chunks.
func (c *conn) part(body net.Buffers, chunked bool) bool {
	if chunked {
		body = framing.AppendChunk(nil, body)
	}
	c.nc.SetWriteDeadline(time.Now().Add(progress))
	_, err := body.WriteTo(c.nc)
	return err == nil
}

// stream writes an answer whose body is still coming.
func (c *conn) stream(code int, r *message.Response, closes bool) bool {
	chunked := r.Length == message.UnknownLength && !c.old
	c.nc.SetReadDeadline(time.Time{}) // it may take longer than the consumer would have waited for its beginning
	whole := c.write(head(code, r.Length, c.old, r.Header, 0, closes), nil) &&
		(r.Body.Len() == 0 || c.part(r.Body.AppendTo(nil), chunked)) && c.pass(r.Stream, chunked)
	if !whole && c.old {
		c.nc.SetLinger(0) // a plain end would say that this was all
	}
	return whole
}
