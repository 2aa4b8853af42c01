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
)

// mostIdle is how many idle connections are kept to one address.
const mostIdle = 4096

// mostAnswer is the most bytes of a body that a caller reads.
const mostAnswer = 1 << 20

// caller asks proxies as a consumer does: one request at a time on a
// connection, kept and used again.
type caller struct {
	mu    sync.Mutex
	idle  map[string][]*link
	ended bool
}

type link struct {
	net.Conn
	r    *bufio.Reader
	used time.Time
}

// answer is what came back.
type answer struct {
	status     int
	retryAfter time.Duration
	body       string
}

// idleMost is how long a connection may stand idle before it isn't trusted any more; proxies close after 10 s.
const idleMost = 8 * time.Second

func newCaller() *caller { return &caller{idle: map[string][]*link{}} }

func (c *caller) get(address string, until time.Time, fresh bool) (l *link, reused bool, err error) {
	c.mu.Lock()
	for list := c.idle[address]; !fresh && len(list) > 0; list = c.idle[address] {
		l = list[len(list)-1]
		c.idle[address] = list[:len(list)-1]
		if time.Since(l.used) < idleMost {
			c.mu.Unlock()
			return l, true, nil
		}
		l.Close()
	}
	c.mu.Unlock()
	conn, err := (&net.Dialer{Deadline: until}).Dial("tcp", address)
	if err != nil {
		return nil, false, err
	}
	return &link{Conn: conn, r: bufio.NewReaderSize(conn, 2048)}, false, nil
}

func (c *caller) put(address string, l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || len(c.idle[address]) >= mostIdle {
		l.Close()
		return
	}
	l.used = time.Now()
	c.idle[address] = append(c.idle[address], l)
}

func (c *caller) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	for _, list := range c.idle {
		for _, l := range list {
			l.Close()
		}
	}
	c.idle = map[string][]*link{}
}

// errUnreachable marks a request that no proxy took.
var errUnreachable = errors.New("no proxy took the request")

// ask sends a request and reads its answer whole. What crosses the close of a
// kept connection is sent once more on a new one, as the protocol asks of
// consumers. If ctx ends, the connection is closed: the consumer has left.
func (c *caller) ask(ctx context.Context, address, request string, until time.Time) (answer, error) {
	for fresh := false; ; fresh = true {
		l, reused, err := c.get(address, until, fresh)
		if err != nil {
			return answer{}, fmt.Errorf("%w: %w", errUnreachable, err)
		}
		a, began, err := l.exchange(ctx, request, until)
		if err == nil {
			c.put(address, l)
			return a, nil
		}
		l.Close()
		if !reused || began || ctx.Err() != nil || !time.Now().Before(until) {
			return answer{}, err
		}
	}
}

func (l *link) exchange(ctx context.Context, request string, until time.Time) (a answer, began bool, err error) {
	l.SetDeadline(until)
	if ctx.Done() != nil {
		stop := context.AfterFunc(ctx, func() { l.SetDeadline(time.Unix(1, 0)) })
		defer stop()
	}
	if _, err := io.WriteString(l, request); err != nil {
		return a, false, err
	}
	if _, err := l.r.Peek(1); err != nil {
		return a, errors.Is(err, context.DeadlineExceeded) || isTimeout(err), err
	}
	resp, err := http.ReadResponse(l.r, nil)
	if err != nil {
		return a, true, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, mostAnswer))
	if err != nil {
		return a, true, err
	}
	if resp.Close {
		defer l.Close()
	}
	a.status, a.body = resp.StatusCode, string(body)
	if s, err := strconv.ParseFloat(strings.TrimSpace(resp.Header.Get("Retry-After")), 64); err == nil && s >= 0 {
		a.retryAfter = time.Duration(s * float64(time.Second))
	}
	return a, true, nil
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}
