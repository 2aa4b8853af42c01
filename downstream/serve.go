package downstream

import (
	"errors"
	"io"
	"net/http"
	"time"

	"ryerill/internal/framing"
	"ryerill/internal/http1"
	"ryerill/internal/socket"
	"ryerill/message"
)

// readyPath is the path of the readiness check.
const readyPath = "/ready"

// serve handles the connection's requests one after another, then closes the connection.
func (c *conn) serve() {
	defer c.close()
	written := make(chan bool, 1) // from writeResult: whether the connection stays open
	for c.serveRequest(written) || c.requestBeforeClose() {
	}
	c.linger()
}

// serveRequest receives one request and waits until it is answered. It reports whether the connection stays open.
func (c *conn) serveRequest(written chan bool) (goesOn bool) {
	c.readLimit = maxHeadBytes
	c.requestClass = ""
	c.requestID = ""
	c.end = endAfterResponse
	if !c.awaitRequest() {
		return false
	}
	req, body, err := c.readHead()
	if err != nil {
		c.reject(err)
		return false
	}
	if req.Method == http.MethodGet && req.RequestURI == readyPath {
		return c.serveReadiness(req, body)
	}
	c.http10 = !req.ProtoAtLeast(1, 1)
	route, request, err := c.readRequest(req, body)
	if err != nil {
		c.reject(err)
		return false
	}
	id := req.Header.Get(http1.HeaderID)
	if !c.mayAccept(id) {
		request.Outgoing.Free()
		return false
	}
	request.Remaining = c.server.limitRemaining(request.Remaining)
	c.requestID = id
	remaining := request.Remaining // read before Accept, which passes the request to the service
	stream, _ := request.Outgoing.Stream.(*upload)
	closes := req.Close || c.http10
	request.Outgoing.Client = c
	c.needsPoll.Store(stream != nil || c.reader.Buffered() > 0)
	request.Reply = func(result message.Result) { go c.writeResult(result, id, closes, stream, written) }
	if stream == nil {
		c.setWatchDeadline(request.ReceivedAt, remaining)
	} else {
		c.setReceivedAt(time.Time{})
	}
	open := openRequest{service: route.Service, ticket: route.Service.Accept(request)}
	c.setOpen(open)
	if stream != nil {
		if !c.awaitUpload(stream, open, id, written) {
			return false
		}
		c.setWatchDeadline(time.Now(), remaining)
	}
	goesOn, clientLeft := c.awaitResult(written)
	if clientLeft {
		c.broken = true
		c.end = endClientLeft
		open.service.ClientLeft(open.ticket)
		c.server.releaseID(id, c)
	}
	return goesOn
}

// serveReadiness answers a readiness check. It reports whether the connection stays open.
func (c *conn) serveReadiness(req *http.Request, framed framing.Body) (goesOn bool) {
	body, stream, err := c.readBody(req, framed)
	if err == nil && stream != nil {
		err = &requestError{http.StatusRequestEntityTooLarge, "unexpected body in a readiness check"}
	}
	body.Free()
	if err != nil {
		c.reject(err)
		return false
	}
	c.requestReceived()
	return c.writeReadiness(req.Close)
}

// mayAccept reports whether a received request may be accepted, and claims its id. If not, mayAccept has answered it,
// unless the client has disconnected.
func (c *conn) mayAccept(id string) bool {
	if c.overLimit || c.server.phase().Rejects {
		c.server.router.CountRejected(c.requestClass, true)
		c.end = endRejected
		shed := responseHead{status: http.StatusServiceUnavailable, retryAfter: overloadRetryAfter, closes: true}
		c.writeMessage(shed.encode(), nil)
		return false
	}
	if socket.PeerClosed(c.nc) { // while the request waited in the listener's queue or behind another request
		c.broken = true
		c.end = endClientLeft
		return false
	}
	if !c.server.claimID(id, c) {
		c.reject(&requestError{http.StatusConflict, http1.HeaderID + " of another open request"})
		return false
	}
	return true
}

// setWatchDeadline sets the deadline and the byte limit of the read that detects that the client disconnects while its
// request is open. The deadline is watchMargin after the request's own.
func (c *conn) setWatchDeadline(start time.Time, remaining time.Duration) {
	c.pacing = bodyPacing{}
	c.readLimit = maxHeadBytes
	c.nc.SetReadDeadline(start.Add(remaining + watchMargin))
}

// awaitUpload waits until the remainder of a request's body has been read, and tells the service when it was received,
// which may be earlier. Until then only the upload reads from the connection, so the client is polled while no such
// read is pending. awaitUpload reports false if the connection ends.
func (c *conn) awaitUpload(stream *upload, open openRequest, id string, written <-chan bool) bool {
	received := false
	for ended := false; !ended; {
		select {
		case <-stream.ended:
			ended = true
		case <-time.After(clientPollInterval):
			if !received && stream.isReceived() {
				received = true
				c.bodyReceived(open)
			}
			if !stream.isUnread() || !socket.PeerClosed(c.nc) {
				continue
			}
			open.service.ClientLeft(open.ticket)
			stream.abandon()
			c.broken = true // safe to set: no other goroutine reads the connection any more
			c.end = endClientLeft
			c.server.releaseID(id, c)
			return false
		}
	}
	err := stream.err
	if errors.Is(err, io.EOF) {
		if !received {
			c.bodyReceived(open)
		}
		return true
	}
	if !errors.Is(err, errAbandoned) && open.service.ClientLeft(open.ticket) {
		c.requestClass = "" // the service has recorded the end of the request, so reject must not
		c.server.releaseID(id, c)
		c.reject(err)
		return false
	}
	<-written // the response announces the close, because the request was not received completely
	return false
}

// bodyReceived records that the last byte of the open request has been received.
func (c *conn) bodyReceived(open openRequest) {
	now := time.Now()
	c.setReceivedAt(now)
	open.service.BodyReceived(open.ticket, now)
}

// awaitResult waits until the result is written or the client disconnects. goesOn reports whether the connection stays
// open. A disconnect is also detected after bytes of the next request have been received.
func (c *conn) awaitResult(written <-chan bool) (goesOn, clientLeft bool) {
	// The read returns when the client disconnects. If it returns bytes of the next request or a local fault instead,
	// the client is polled below.
	if _, err := c.reader.Peek(1); err != nil && !socket.MayPass(err) {
		c.server.mu.Lock()
		hasResult := len(written) > 0 // writeResult sends before it unlocks the mutex
		c.server.mu.Unlock()
		if !hasResult {
			return false, true
		}
		return <-written, false
	}
	c.needsPoll.Store(true)
	for len(written) > 0 || !socket.PeerClosed(c.nc) {
		select {
		case goesOn := <-written:
			return goesOn, false
		case <-time.After(clientPollInterval):
		}
	}
	return false, true
}

// Left implements [message.Client]. While a pending read detects a close, Left makes no system call. Otherwise it polls
// the connection, which also detects a close after unread bytes, and ends the open request if the client has left.
func (c *conn) Left() bool {
	if !c.needsPoll.Load() || !socket.PeerClosed(c.nc) {
		return false
	}
	c.server.mu.Lock()
	open := c.open
	c.server.mu.Unlock()
	if open.service != nil { // if nil, Accept has not returned yet, and the poll of serve ends the request
		open.service.ClientLeft(open.ticket)
	}
	return true
}
