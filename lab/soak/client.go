package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// How clients behave.
const (
	clientsOfProxy  = 8
	crowdInterval   = 15 * time.Millisecond
	crowdSize       = 260 // more than a proxy may hold
	pauseShare      = 10  // one in so many pauses between requests
	leaveShare      = 25  // leaves while its request is out
	stopShare       = 40  // stops in the middle of a request and stays
	pipelineShare   = 15  // sends several at once
	renewShare      = 12  // connects anew
	pipelined       = 3
	stopTimeout     = 3500 * time.Millisecond // in which who stops in the middle is told, or cut off
	inspectTime     = 100 * time.Microsecond  // for a connection's end to be seen before a request is sent
	longBodyTimeout = 5 * time.Second         // from the head of a response on
	shortWait       = 861 * time.Millisecond
)

var requestNumber atomic.Uint64

// client asks a proxy, one connection after another.
type client struct {
	proxy   *proxy
	account *account
	crowded bool // connections may be shut unread
	seed    uint64

	conn        net.Conn
	connectedAt time.Time
	reader      *bufio.Reader
	isNew       bool // no request has gone over the connection
}

// run asks until ctx ends.
func (c *client) run(ctx context.Context) {
	defer c.disconnect()
	for ctx.Err() == nil {
		if !c.connect() {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		switch {
		case rand.IntN(stopShare) == 0:
			c.stopInTheMiddle()
		case rand.IntN(pipelineShare) == 0:
			c.pipeline()
		case rand.IntN(leaveShare) == 0:
			c.leave()
		default:
			c.ask()
		}
		if rand.IntN(renewShare) == 0 {
			c.disconnect()
		}
		if rand.IntN(pauseShare) == 0 {
			time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
		}
		time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
	}
}

// connect dials unless there is a connection that has not ended.
func (c *client) connect() bool {
	if c.conn != nil && !c.hasEnded() {
		return true
	}
	c.disconnect()
	connectedAt := time.Now()
	conn, err := net.DialTimeout("tcp", c.proxy.address, time.Second)
	if err != nil {
		return false
	}
	c.conn = conn
	c.connectedAt = connectedAt
	c.reader = bufio.NewReader(conn)
	c.isNew = true
	return true
}

// hasEnded reports whether the proxy has ended the connection while it was idle.
func (c *client) hasEnded() bool {
	c.conn.SetReadDeadline(time.Now().Add(inspectTime))
	_, err := c.reader.Peek(1)
	return !isTimeout(err)
}

func (c *client) disconnect() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// newRequest draws a request and its text.
func (c *client) newRequest() (request, string) {
	r := request{
		id:      fmt.Sprintf("%08x%08x", uint32(c.seed), requestNumber.Add(1)),
		class:   []string{readClass, readClass, keyedClass, unsafeClass}[rand.IntN(4)],
		proxy:   c.proxy,
		timeout: []time.Duration{longestDeadline, longestDeadline, shortWait}[rand.IntN(3)],

		connectedAt: c.connectedAt,
	}
	headers := fmt.Sprintf("Host: x\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Deadline-Ms: %d\r\n",
		r.id, r.class, r.timeout.Milliseconds())
	if r.class == readClass {
		return r, "GET /read/1 HTTP/1.1\r\n" + headers + "\r\n"
	}
	if r.class == keyedClass {
		headers += "Idempotency-Key: " + r.id + "\r\n"
	}
	return r, fmt.Sprintf("POST /%s/1 HTTP/1.1\r\n%sContent-Length: 2\r\n\r\nhi", r.class, headers)
}

// send sends requests in one piece, and records them. It returns nil if they could not be sent.
func (c *client) send(count int) (sent []*request) {
	var all strings.Builder
	var requests []request
	for range count {
		r, text := c.newRequest()
		requests = append(requests, r)
		all.WriteString(text)
	}
	c.conn.SetWriteDeadline(time.Now().Add(longestDeadline))
	now := time.Now()
	for _, r := range requests { // before they go out: an endpoint may see them at once
		r.sentAt = now
		sent = append(sent, c.account.sent(r))
	}
	if _, err := io.WriteString(c.conn, all.String()); err != nil {
		for _, r := range sent {
			c.account.update(r, func(r *request) { r.excuse = "could not be sent" })
		}
		c.disconnect()
		return nil
	}
	return sent
}

// ask sends one request and reads its response.
func (c *client) ask() {
	for _, r := range c.send(1) {
		c.receive(r, r.sentAt.Add(r.timeout+answerTolerance))
	}
}

// pipeline sends several at once. Each has its time once the one before has its response.
func (c *client) pipeline() {
	for _, r := range c.send(pipelined) {
		if c.conn == nil { // the response before announced the close: nothing behind it is executed
			c.account.update(r, func(r *request) { r.excuse = "behind a response that announced the close" })
			continue
		}
		now := time.Now()
		c.account.update(r, func(r *request) { r.sentAt = now })
		c.receive(r, now.Add(r.timeout+answerTolerance))
	}
}

// leave sends a request and closes the connection shortly after.
func (c *client) leave() {
	for _, r := range c.send(1) {
		time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
		c.disconnect()
		c.account.update(r, func(r *request) {
			r.leftAt = time.Now()
			r.excuse = "its client left"
		})
	}
}

// stopInTheMiddle sends a part of a request and stays: it is to get an error or the connection's end in time.
func (c *client) stopInTheMiddle() {
	r, text := c.newRequest()
	r.class = "stopped"
	recorded := c.account.sent(r)
	c.conn.SetDeadline(time.Now().Add(stopTimeout))
	began := time.Now()
	_, err := io.WriteString(c.conn, text[:1+rand.IntN(len(text)-1)])
	if err == nil {
		_, err = io.ReadAll(c.reader)
	}
	killed := !c.proxy.lifeAt(began).killed.IsZero()
	c.account.update(recorded, func(r *request) {
		r.sentAt = began
		r.endedAt = time.Now()
		r.timeout = stopTimeout
		if isTimeout(err) && !killed {
			r.problem = "who stopped in the middle was not told"
		} else {
			r.excuse = "stopped in the middle, and was told or cut off"
		}
	})
	c.disconnect()
}

// receive reads the response to a request and records it.
func (c *client) receive(r *request, deadline time.Time) {
	isNew := c.isNew
	c.isNew = false
	c.conn.SetReadDeadline(deadline)
	response, err := http.ReadResponse(c.reader, nil)
	var body []byte
	if err == nil {
		began := time.Now()
		c.account.update(r, func(r *request) { r.beganAt = began })
		c.conn.SetReadDeadline(began.Add(longBodyTimeout))
		body, err = io.ReadAll(response.Body)
	}
	now := time.Now()
	if err != nil {
		c.recordFailure(r, err, isNew, now)
		c.disconnect()
		return
	}
	c.account.update(r, func(r *request) {
		r.endedAt = now
		r.status = response.StatusCode
		if response.StatusCode == http.StatusOK && !isAnswerTo(string(body), r.id) {
			r.status = 0
			r.problem = fmt.Sprintf("the response of another request, %d bytes", len(body))
		}
	})
	if response.Close {
		c.disconnect()
	}
}

// isAnswerTo reports whether a body is an id, as often as it fits.
func isAnswerTo(body, id string) bool { return body != "" && strings.ReplaceAll(body, id, "") == "" }

// recordFailure records what came in place of a whole response.
func (c *client) recordFailure(r *request, err error, isNew bool, now time.Time) {
	c.account.update(r, func(r *request) {
		r.endedAt = now
		r.problem = err.Error()
		r.crowded = c.crowded && isNew
		r.wasIdle = !isNew && errors.Is(err, io.ErrUnexpectedEOF)
		if isTimeout(err) {
			r.leftAt = now // it has waited for longer than its time
		}
	})
}

func isTimeout(err error) bool {
	timeout, ok := errors.AsType[net.Error](err)
	return ok && timeout.Timeout()
}

// crowd holds idle connections to a proxy until ctx ends. They come no faster than a proxy whose calls are traced
// accepts them: else who waits behind them is late by the tool.
func crowd(ctx context.Context, address string) {
	var all []net.Conn
	for range crowdSize {
		if conn, err := net.DialTimeout("tcp", address, time.Second); err == nil {
			all = append(all, conn)
		}
		time.Sleep(crowdInterval)
	}
	<-ctx.Done()
	for _, conn := range all {
		conn.Close()
	}
}
