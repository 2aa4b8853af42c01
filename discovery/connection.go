package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"ryerill/internal/buffer"
	"ryerill/internal/socket"
)

const (
	path = "/v1/endpoints"

	maxListBytes = 8 << 20 // of an answer: some 40,000 endpoints
)

// errListTooLarge is the error for an answer beyond maxListBytes.
var errListTooLarge = errors.New("answer is too large")

// connection leads to a discovery service and is kept from call to call. One goroutine uses it.
type connection struct {
	address        string
	addressChanges int // the client's when it was made: an earlier one leads to an old service
	conn           net.Conn
	reader         *bufio.Reader
	buffers        *buffer.Pool
	reserve        *socket.Reserve // the client's
}

// newConnectionLocked returns a connection to the present service, not yet opened. c.mu is held.
func (c *Client) newConnectionLocked() *connection {
	return &connection{
		address:        c.address,
		addressChanges: c.addressChanges,
		buffers:        c.buffers,
		reserve:        c.reserve,
	}
}

// open dials the service unless the connection is open already. Where the process has no descriptor left, one that was
// kept in reserve is used.
func (c *connection) open(ctx context.Context) error {
	if c.conn != nil {
		return nil
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", c.address)
	if socket.OutOfDescriptors(err) && c.reserve.Lend() {
		conn, err = dialer.DialContext(ctx, "tcp", c.address)
	}
	if err != nil {
		c.reserve.Fill()
		return err
	}
	c.conn = conn
	c.reader = c.buffers.Reader(conn)
	return nil
}

func (c *connection) close() {
	if c.conn == nil {
		return
	}
	c.conn.Close()
	c.reserve.Fill()
	c.buffers.PutReader(c.reader)
	c.conn = nil
	c.reader = nil
}

// get makes one call and records the version of the list that answers it. wait is how long the service may wait before
// it answers.
func (c *Client) get(
	ctx context.Context, conn *connection, target string, wait time.Duration,
) (EndpointList, error) {
	deadline := time.Now().Add(wait + c.answerTimeout())
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if err := conn.open(ctx); err != nil {
		return EndpointList{}, err
	}
	opened := conn.conn
	defer context.AfterFunc(ctx, func() { opened.SetDeadline(socket.PastDeadline) })()
	list, reusable, err := conn.exchange(target, deadline)
	if err != nil || !reusable {
		conn.close()
	}
	if err != nil {
		return EndpointList{}, err
	}
	return c.recordList(conn, list)
}

// recordList accepts a list that follows the one held; changes of another history are an error.
func (c *Client) recordList(conn *connection, list EndpointList) (EndpointList, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.addressChanges != c.addressChanges {
		return EndpointList{}, errAddressChanged
	}
	if !list.Snapshot && (!c.holdsList || list.Index < c.index) {
		c.holdsList = false // the next call asks for the whole list
		return EndpointList{}, fmt.Errorf("changes up to version %d do not follow what is held", list.Index)
	}
	c.holdsList = true
	c.index = list.Index
	return list, nil
}

// exchange writes one request and reads its answer. It reports whether the connection may be used again.
func (c *connection) exchange(target string, deadline time.Time) (list EndpointList, reusable bool, err error) {
	if err := c.conn.SetDeadline(deadline); err != nil {
		return list, false, err
	}
	request := "GET " + target + " HTTP/1.1\r\nHost: " + c.address + "\r\n\r\n"
	if _, err := io.WriteString(c.conn, request); err != nil {
		return list, false, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return list, false, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes+1))
	switch {
	case err != nil:
		return list, false, err
	case len(text) > maxListBytes:
		return list, false, errListTooLarge
	case response.StatusCode != http.StatusOK:
		return list, false, fmt.Errorf("answered %s", response.Status)
	}
	list, err = Parse(text)
	return list, !response.Close && c.reader.Buffered() == 0, err
}
