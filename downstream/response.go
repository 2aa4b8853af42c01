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

// progressTimeout ends a long response of which the client takes nothing for so long.
const progressTimeout = 10 * time.Second

// headCapacity is the initial size of a head's buffer: enough for most responses.
const headCapacity = 256

// responseHead is the head of a response.
type responseHead struct {
	status     int
	length     int64 // of the body, or message.UnknownLength
	header     http.Header
	retryAfter time.Duration // 0 is none
	closes     bool          // the connection ends with the response
	http10     bool          // the client does not understand chunks
}

// encode writes the head. A body of unknown length goes in chunks, to a client of HTTP/1.0 until the connection ends.
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

// statusOf is the status of a result.
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

// writeResult writes a final result and notifies the reader, over written, whether the connection goes on.
func (c *conn) writeResult(result message.Result, id string, closes bool, stream *upload, written chan<- bool) {
	defer result.Response.Free()
	c.server.releaseID(id, c)
	early := stream != nil && !stream.abandon() // before the whole request has been received
	closes = closes || early || c.server.phase().ClosesAfterResponse
	head := responseHead{status: statusOf(result.Kind), retryAfter: result.RetryAfter, closes: closes, http10: c.http10}
	var body *buffer.Body
	var rest io.Reader
	if response := result.Response; response != nil {
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
	case !whole: // what is truncated must not look whole
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

// writeStream writes a response whose body is still being received. It reports whether all of it is written.
func (c *conn) writeStream(head *responseHead, body *buffer.Body, rest io.Reader) bool {
	chunked := head.length == message.UnknownLength && !c.http10
	c.nc.SetReadDeadline(time.Time{}) // it may take longer than the client would have waited for its beginning
	whole := c.writeMessage(head.encode(), nil) &&
		(body.Len() == 0 || c.writePart(body.AppendTo(nil), chunked)) &&
		c.copyStream(rest, chunked)
	if !whole && c.http10 {
		_ = c.nc.SetLinger(0) // reset: without chunks an orderly close would make the body look complete
	}
	return whole
}

// copyStream writes the remainder of a response as it is received. It reports whether all of it is written.
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

// writePart writes part of a body, as a chunk if it goes in chunks.
func (c *conn) writePart(body net.Buffers, chunked bool) bool {
	if chunked {
		body = framing.AppendChunk(nil, body)
	}
	return c.writeAll(body, progressTimeout)
}

// writeReadiness answers whether this proxy is ready. It is from its start on, with the endpoints known from before. It
// reports whether the connection goes on.
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

// reject answers what can't be accepted, if there is still a client to answer.
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
