package realtime

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"ryerill/internal/socket"
)

const (
	maxIdleConns    = 4096            // idle connections kept to one address
	maxIdleTime     = 8 * time.Second // a connection idle for longer isn't used again; proxies close after 10 s
	maxResponseBody = 1 << 20         // bytes
	readBufferSize  = 2048            // bytes, of a connection on either side
)

// errUnreachable marks a request that no proxy accepted.
var errUnreachable = errors.New("no proxy took the request")

// transport sends requests to proxies as a client does: one request at a time on a connection, which is kept and
// used again. It is safe for concurrent use.
type transport struct {
	mu     sync.Mutex // guards the fields below
	idle   map[string][]*clientConn
	closed bool
}

// clientConn is a connection to a proxy.
type clientConn struct {
	net.Conn
	reader   *bufio.Reader
	usedLast time.Time
}

// response is what a proxy answered.
type response struct {
	status     int
	retryAfter time.Duration
	body       string
}

func newTransport() *transport { return &transport{idle: map[string][]*clientConn{}} }

// roundTrip sends a request and reads its response whole. A request that crosses the close of a kept connection is
// sent once more on a new one, as the protocol asks of clients. If ctx ends, the connection is closed: the client
// has left.
func (t *transport) roundTrip(
	ctx context.Context, address, request string, deadline time.Time,
) (response, error) {
	for fresh := false; ; fresh = true {
		conn, reused, err := t.connect(address, deadline, fresh)
		if err != nil {
			return response{}, fmt.Errorf("%w: %w", errUnreachable, err)
		}
		answer, began, err := conn.exchange(ctx, request, deadline)
		if err == nil {
			t.release(address, conn)
			return answer, nil
		}
		conn.Close()
		if !reused || began || ctx.Err() != nil || !time.Now().Before(deadline) {
			return response{}, err
		}
	}
}

// connect returns an idle connection to an address, or a new one if there is none or a fresh one is wanted.
func (t *transport) connect(address string, deadline time.Time, fresh bool) (c *clientConn, reused bool, err error) {
	if !fresh {
		if kept := t.takeIdle(address); kept != nil {
			return kept, true, nil
		}
	}
	conn, err := (&net.Dialer{Deadline: deadline}).Dial("tcp", address)
	if err != nil {
		return nil, false, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReaderSize(conn, readBufferSize)}, false, nil
}

// takeIdle returns the idle connection used last, and closes those that stood idle for too long; nil if none is left.
func (t *transport) takeIdle(address string) *clientConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	for {
		kept := t.idle[address]
		if len(kept) == 0 {
			return nil
		}
		conn := kept[len(kept)-1]
		t.idle[address] = kept[:len(kept)-1]
		if time.Since(conn.usedLast) < maxIdleTime {
			return conn
		}
		conn.Close()
	}
}

// release keeps a connection for the next request.
func (t *transport) release(address string, conn *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || len(t.idle[address]) >= maxIdleConns {
		conn.Close()
		return
	}
	conn.usedLast = time.Now()
	t.idle[address] = append(t.idle[address], conn)
}

// close closes the idle connections; those in use are closed when they are released.
func (t *transport) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for _, kept := range t.idle {
		for _, conn := range kept {
			conn.Close()
		}
	}
	t.idle = map[string][]*clientConn{}
}

// exchange sends a request and reads the response. began reports whether the proxy may have begun to answer: then
// the request isn't sent again.
func (c *clientConn) exchange(
	ctx context.Context, request string, deadline time.Time,
) (answer response, began bool, err error) {
	c.SetDeadline(deadline)
	if ctx.Done() != nil {
		stop := context.AfterFunc(ctx, func() { c.SetDeadline(socket.PastDeadline) })
		defer stop()
	}
	if _, err := io.WriteString(c, request); err != nil {
		return answer, false, err
	}
	if _, err := c.reader.Peek(1); err != nil {
		return answer, errors.Is(err, context.DeadlineExceeded) || isTimeout(err), err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer, true, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBody))
	if err != nil {
		return answer, true, err
	}
	if resp.Close {
		defer c.Close()
	}
	answer.status = resp.StatusCode
	answer.body = string(body)
	answer.retryAfter = parseRetryAfter(resp.Header.Get("Retry-After"))
	return answer, true, nil
}

// parseRetryAfter reads a Retry-After header in seconds; 0 if there is none.
func parseRetryAfter(text string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
