package downstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"ryerill/internal/buffer"
	"ryerill/internal/framing"
	"ryerill/internal/http1"
	"ryerill/message"
)

// progressTimeout ends a streamed response if a part of it can't be written to the client within this time.
const progressTimeout = 10 * time.Second

// headCapacity is the initial size in bytes of a head's buffer, enough for most responses.
const headCapacity = 256

// responseHead is the head of a response.
type responseHead struct {
	status     int
	length     int64 // of the body, or message.UnknownLength
	header     http.Header
	retryAfter time.Duration // 0 omits the header
	closes     bool          // the connection closes after the response
	http10     bool          // the client does not support chunked bodies
}

// encode returns the encoded head. A body of unknown length is chunked; for an HTTP/1.0 client it ends with the
// connection.
func (h *responseHead) encode() []byte {
	b := make([]byte, 0, headCapacity)
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(h.status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(h.status)...)
	b = append(b, "\r\n"...)
	switch {
	case h.length != message.UnknownLength:
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, h.length, 10)
		b = append(b, "\r\n"...)
	case !h.http10:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	}
	b = http1.AppendHeader(b, h.header)
	if h.retryAfter > 0 {
		b = append(b, "Retry-After: "...)
		b = strconv.AppendFloat(b, h.retryAfter.Seconds(), 'f', 3, 64)
		b = append(b, "\r\n"...)
	}
	if h.closes {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(b, "\r\n"...)
}

// statusOf returns the HTTP status of a result.
func statusOf(kind message.ResultKind) int {
	switch kind {
	case message.Served:
		return http.StatusOK
	case message.Shed:
		return http.StatusServiceUnavailable
	case message.TimedOut:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// writeResult writes a final result and sends on written whether the connection stays open.
func (c *conn) writeResult(result message.Result, id string, closes bool, stream *upload, written chan<- bool) {
	defer result.Response.Free()
	c.server.releaseID(id, c)
	early := stream != nil && !stream.abandon() // the request has not been received completely
	closes = closes || early || c.server.phase().ClosesAfterResponse
	kind, response := result.Kind, result.Response
	if response != nil && response.Stream != nil && !c.mayStream() {
		kind, response = message.Failed, nil
	}
	head := responseHead{status: statusOf(kind), retryAfter: result.RetryAfter, closes: closes, http10: c.http10}
	var body *buffer.Body
	var rest io.Reader
	if response != nil {
		head.header = response.Header
		body = response.Body
		if response.Stream != nil {
			rest = response.Stream
			head.length = response.Length
			head.retryAfter = 0
		}
	}
	var whole bool
	if rest != nil {
		whole = c.writeStream(&head, body, rest)
	} else {
		head.length = int64(body.Len())
		whole = c.writeMessage(head.encode(), body)
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	switch {
	case !whole: // close at once, so that the truncated response does not look complete
		c.truncated = true
		c.nc.Close()
	case closes && early:
		c.beginLingerLocked(progressTimeout)
	case closes:
		c.beginLingerLocked(lingerPeriod)
	default:
		c.becomeIdleLocked()
	}
	written <- whole && !closes
}

// writeStream writes a response whose body is still being received: body is the part received so far, rest reads the
// remainder. It reports whether everything was written.
func (c *conn) writeStream(head *responseHead, body *buffer.Body, rest io.Reader) bool {
	chunked := head.length == message.UnknownLength && !c.http10
	c.nc.SetReadDeadline(time.Time{}) // the stream may last beyond the deadline of the request
	whole := c.writeMessage(head.encode(), nil) &&
		(body.Len() == 0 || c.writePart(body.AppendTo(nil), chunked)) &&
		c.copyStream(rest, chunked)
	if !whole && c.http10 {
		_ = c.nc.SetLinger(0) // reset on close: without chunks, an orderly close would make the body look complete
	}
	return whole
}

// copyStream writes the remainder of a response as it is received. It reports whether everything was written.
func (c *conn) copyStream(rest io.Reader, chunked bool) bool {
	block := c.server.buffers.Block()
	defer c.server.buffers.PutBlock(block)
	for {
		n, err := rest.Read(block[:])
		if n > 0 && !c.writePart(net.Buffers{block[:n]}, chunked) {
			return false
		}
		if errors.Is(err, io.EOF) {
			return !chunked || c.writePart(net.Buffers{[]byte(framing.LastChunk)}, false)
		}
		if err != nil {
			return false
		}
	}
}

// writePart writes part of a body, as one chunk if chunked is set. It reports whether everything was written.
func (c *conn) writePart(body net.Buffers, chunked bool) bool {
	if chunked {
		body = framing.AppendChunk(nil, body)
	}
	return c.writeAll(body, progressTimeout)
}

// writeReadiness answers a readiness check. The proxy is ready from its start, with the endpoint lists restored from
// the previous run, until it shuts down or is drained. writeReadiness reports whether the connection stays open.
func (c *conn) writeReadiness(closes bool) (goesOn bool) {
	phase := c.server.phase()
	head := responseHead{
		status: http.StatusOK,
		closes: closes || phase.ClosesAfterResponse || c.overLimit,
	}
	if !phase.Ready {
		head.status = http.StatusServiceUnavailable
		head.closes = true
	}
	if !c.writeMessage(head.encode(), nil) || head.closes {
		return false
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.becomeIdleLocked()
	return true
}

// reject answers a request that can't be accepted with the status of err. If err is not a requestError, the client has
// disconnected and gets no response.
func (c *conn) reject(err error) {
	var rejected *requestError
	if !errors.As(err, &rejected) {
		c.end = endClosedByClient
		return
	}
	c.end = endRejected
	if c.requestClass != "" {
		c.server.router.CountRejected(c.requestClass, rejected.status == http.StatusServiceUnavailable)
	}
	head := responseHead{status: rejected.status, retryAfter: rejected.retryAfter(), closes: true}
	c.writeMessage(head.encode(), nil)
}
