package upstream

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"ryerill/internal/framing"
	"ryerill/internal/socket"
	"ryerill/message"
)

// progressTimeout is how long the transfer of a streamed body may make no progress before it is aborted.
const progressTimeout = 10 * time.Second

// maxBytesAtOnce is the number of bytes that the system accepts at once, however slowly the endpoint reads.
const maxBytesAtOnce = 16 << 10

// writeResult is the result of writing a request.
type writeResult uint8

const (
	writtenWhole     writeResult = iota // the last byte was written
	respondedEarly                      // the endpoint sent bytes before the last was written, which ended the write
	connectionFailed                    // the connection failed
	localFault                          // this machine lacked a resource; no evidence against the endpoint
	uploadFailed                        // the rest of the body was not received; no evidence against the endpoint
	uploadTooSlow                       // the client's time ended while the endpoint took bytes; no evidence against it
)

// writeRequest writes the whole request, including the part of its body that the proxy has not received yet.
func (p *Pool) writeRequest(conn *conn, a *Attempt) writeResult {
	request := a.Request
	buffers := net.Buffers{encodeHead(request, a.timeLeft())}
	if request.Stream == nil {
		buffers = request.Body.AppendTo(buffers)
		if err := conn.writeFirst(buffers, a); err != nil {
			return writeResultOf(err)
		}
		return writtenWhole
	}
	if request.Length == message.UnknownLength {
		buffers = framing.AppendChunk(buffers, request.Body.AppendTo(nil))
	} else {
		buffers = request.Body.AppendTo(buffers)
	}
	return p.writeStream(conn, a, buffers)
}

// writeResultOf returns the result of a write that failed with err.
func writeResultOf(err error) writeResult {
	if isLocalFault(err) {
		return localFault
	}
	return connectionFailed
}

// writeStream writes buffers and then the remainder of the body as it is received.
func (p *Pool) writeStream(conn *conn, a *Attempt, buffers net.Buffers) writeResult {
	block := p.buffers.Block()
	defer p.buffers.PutBlock(block)
	chunked := a.Request.Length == message.UnknownLength
	write := func(buffers net.Buffers) error { return conn.writeFirst(buffers, a) } // for the first bytes only
	for last := false; ; {
		a.setDeadline(conn, time.Now().Add(progressTimeout))
		err := write(buffers)
		write = func(buffers net.Buffers) error { return conn.writeAll(buffers, nil) }
		switch {
		case err != nil && conn.hasInput():
			return respondedEarly
		case err != nil:
			return a.failedUpload(err)
		case last:
			return writtenWhole
		case conn.hasInput():
			return respondedEarly
		}
		a.bodyTaken()
		n, err := a.Request.Stream.Read(block[:])
		last = errors.Is(err, io.EOF)
		if err != nil && !last {
			return uploadFailed
		}
		buffers = net.Buffers{block[:n]}
		if chunked {
			buffers = framing.AppendChunk(nil, buffers)
			if last {
				buffers = append(buffers, []byte(framing.LastChunk))
			}
		}
	}
}

// failedUpload returns the result of a write of the body that failed with err.
func (a *Attempt) failedUpload(err error) writeResult {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		a.upload = a.uploadTimedOut()
	}
	if a.upload == UploadTooSlow {
		return uploadTooSlow
	}
	return writeResultOf(err)
}

// writeFirst writes the first bytes of an attempt and reports them as sent.
func (c *conn) writeFirst(buffers net.Buffers, a *Attempt) error {
	length := 0
	for _, buffer := range buffers {
		length += len(buffer)
	}
	err := c.writeAll(buffers, a)
	if err == nil {
		a.reportSent(length)
	}
	return err
}

// writeAll writes all buffers. After a local fault it continues at the first unwritten byte, until the deadline. If no
// byte has been written yet, it retries only while caller, if not nil, still wants the write.
func (c *conn) writeAll(buffers net.Buffers, caller socket.Caller) error {
	retry := socket.Retry{Call: "write", Observer: c.pool, Caller: caller}
	err := socket.Write(c.transport, &buffers, &retry)
	if errors.Is(err, os.ErrDeadlineExceeded) && retry.PendingFault() != nil {
		return retry.PendingFault() // a local fault, no evidence against the endpoint
	}
	return err
}

// hasInput reports whether the endpoint has sent bytes that have not been read.
func (c *conn) hasInput() bool {
	return c.reader.Buffered() > 0 || c.peek() == socket.Waiting
}
