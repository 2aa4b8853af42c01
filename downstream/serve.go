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

// serve handles the connection's requests one after another, and ends it.
func (c *conn) serve() {
	defer c.close()
	written := make(chan bool, 1) // from writeResult: whether the connection goes on
	for c.serveRequest(written) || c.requestBeforeEnd() {
	}
	c.linger()
}

// serveRequest receives one request and sees it answered. It reports whether the connection goes on.
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
	remaining := request.Remaining // the request is its service's once it is accepted
	stream, _ := request.Outgoing.Stream.(*upload)
	closes := req.Close || c.http10
	request.Outgoing.Client = c
	c.unwatched.Store(stream != nil || c.reader.Buffered() > 0)
	request.Reply = func(result message.Result) { go c.writeResult(result, id, closes, stream, written) }
	if stream == nil {
		c.watchFrom(request.ReceivedAt, remaining)
	}
	open := openRequest{service: route.Service, ticket: route.Service.Accept(request)}
	c.setOpen(open)
	if stream != nil {
		if !c.awaitUpload(stream, open, id, written) {
			return false
		}
		c.watchFrom(time.Now(), remaining)
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

// serveReadiness answers a readiness check.
func (c *conn) serveReadiness(req *http.Request, framed framing.Body) (goesOn bool) {
	body, stream, err := c.readBody(req, framed)
	if err == nil && stream != nil {
		err = &requestError{http.StatusRequestEntityTooLarge, "a body where none belongs"}
	}
	body.Free()
	if err != nil {
		c.reject(err)
		return false
	}
	c.requestReceived()
	return c.writeReadiness(req.Close)
}

// mayAccept reports whether a request that has been received is to be accepted. If not it has been answered, unless its
// client is gone.
func (c *conn) mayAccept(id string) bool {
	if c.overLimit || c.server.phase().Rejects {
		c.server.router.CountRejected(c.requestClass, true)
		c.end = endRejected
		shed := responseHead{status: http.StatusServiceUnavailable, retryAfter: overloadRetryAfter, closes: true}
		c.writeMessage(shed.encode(), nil)
		return false
	}
	if socket.PeerClosed(c.nc) { // while its request waited in the listener's queue, or after another request
		c.broken = true
		c.end = endClientLeft
		return false
	}
	if !c.server.claimID(id, c) {
		c.reject(&requestError{http.StatusConflict, http1.HeaderID + " is open already"})
		return false
	}
	return true
}

// watchFrom prepares the read that detects that the client has left, for the time that its request may take and more.
func (c *conn) watchFrom(start time.Time, remaining time.Duration) {
	c.pacing = bodyPacing{}
	c.readLimit = maxHeadBytes
	c.nc.SetReadDeadline(start.Add(remaining + watchMargin))
}

// awaitUpload waits until the remainder of a request's body has been received: until then only the upload reads the
// connection. It reports false if the connection ends with it.
func (c *conn) awaitUpload(stream *upload, open openRequest, id string, written <-chan bool) bool {
	for ended := false; !ended; {
		select {
		case <-stream.ended:
			ended = true
		case <-time.After(clientPollInterval):
			if !stream.isUnread() || !socket.PeerClosed(c.nc) {
				continue
			}
			open.service.ClientLeft(open.ticket)
			stream.abandon()
			c.broken = true // nobody else reads it any more
			c.end = endClientLeft
			c.server.releaseID(id, c)
			return false
		}
	}
	err := stream.err
	if errors.Is(err, io.EOF) {
		return true
	}
	if !errors.Is(err, errAbandoned) && open.service.ClientLeft(open.ticket) {
		c.requestClass = "" // its end has been recorded
		c.server.releaseID(id, c)
		c.reject(err)
		return false
	}
	<-written // the result, which announces a close
	return false
}

// awaitResult waits until the result is written, and reports whether the connection goes on, or that the client has
// left, which may be seen only after the beginning of a next request.
func (c *conn) awaitResult(written <-chan bool) (goesOn, clientLeft bool) {
	// Where the client can't be read for long it is polled, as behind the beginning of a next request.
	if _, err := c.reader.Peek(1); err != nil && !socket.MayPass(err) {
		c.server.mu.Lock()
		hasResult := len(written) > 0 // writeResult sends before it unlocks the mutex
		c.server.mu.Unlock()
		if !hasResult {
			return false, true
		}
		return <-written, false
	}
	c.unwatched.Store(true)
	for len(written) > 0 || !socket.PeerClosed(c.nc) {
		select {
		case goesOn := <-written:
			return goesOn, false
		case <-time.After(clientPollInterval):
		}
	}
	return false, true
}

// Left implements [message.Client]. Where a read waits for the client's end it costs nothing; otherwise the system is
// asked, also behind bytes that nobody has read, and a request that is open is ended.
func (c *conn) Left() bool {
	if !c.unwatched.Load() || !socket.PeerClosed(c.nc) {
		return false
	}
	c.server.mu.Lock()
	open := c.open
	c.server.mu.Unlock()
	if open.service != nil { // else it is being accepted; the poll ends it
		open.service.ClientLeft(open.ticket)
	}
	return true
}
