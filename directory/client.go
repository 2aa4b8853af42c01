package directory

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"ryerill/internal/buffer"
)

const (
	path       = "/v1/endpoints"
	watchFor   = 20 * time.Second        // a watch waits this long for something newer
	answerIn   = 1500 * time.Millisecond // an answer is overdue after this, beyond what the call may wait
	maxList    = 1 << 20                 // bytes of an answer
	emptyPause = 50 * time.Millisecond   // before the next call when an answer without news came early
)

// Sink is told what the directory answers. Its methods are called in turn and
// must not block.
type Sink interface {
	Listed(List)
	ListFailed(error) // a call failed, or the watch ended; what was listed still holds
}

// Client speaks to the directory. It calls only when told to.
type Client struct {
	address string
	sink    Sink
	buffers *buffer.Pool
	dial    net.Dialer
	ctx     context.Context // ends with the proxy; calls are made in the background

	mu    sync.Mutex
	index uint64             // of the newest answer; 0 is none
	stop  context.CancelFunc // ends the watch; nil is none
	watch int                // number of the newest watch
}

// NewClient returns a client of the directory at address, whose calls end with
// ctx. index is that of the list known already.
func NewClient(ctx context.Context, address string, index uint64, buffers *buffer.Pool, sink Sink) *Client {
	return &Client{ctx: ctx, address: address, index: index, buffers: buffers, sink: sink}
}

// Subscribe starts the watch, or ends it. It returns at once.
func (c *Client) Subscribe(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if on == (c.stop != nil) {
		return
	}
	if !on {
		c.stop()
		c.stop = nil
		return
	}
	ctx, stop := context.WithCancel(c.ctx)
	c.stop = stop
	c.watch++
	number := c.watch
	go func() {
		defer stop() // also when the watch fails: its context must not outlive it
		c.keepWatch(ctx, number)
	}()
}

// Fetch asks once for the whole list. It returns at once.
func (c *Client) Fetch() {
	go func() {
		line := line{buffers: c.buffers}
		defer line.close()
		if list, err := c.get(c.ctx, &line, path, 0); err != nil {
			c.failed(c.ctx, err)
		} else {
			c.sink.Listed(list)
		}
	}()
}

// keepWatch calls again as soon as an answer is in: a watch is over 200 ms
// after its last answer, and what changes in between counts as told.
func (c *Client) keepWatch(ctx context.Context, number int) {
	line := line{buffers: c.buffers}
	defer line.close()
	for {
		c.mu.Lock()
		since := c.index
		c.mu.Unlock()
		target, wait := path, time.Duration(0)
		if since > 0 {
			target = fmt.Sprintf("%s?since=%d&timeout_ms=%d", path, since, watchFor.Milliseconds())
			wait = watchFor
		}
		began := time.Now()
		list, err := c.get(ctx, &line, target, wait)
		if err != nil {
			c.mu.Lock()
			if c.watch == number {
				c.stop = nil
			}
			c.mu.Unlock()
			c.failed(ctx, err)
			return
		}
		if ctx.Err() != nil {
			return
		}
		c.sink.Listed(list)
		if len(list.Endpoints) == 0 && time.Since(began) < wait/2 { // no reason to spin
			select {
			case <-ctx.Done():
				return
			case <-time.After(emptyPause):
			}
		}
	}
}

func (c *Client) failed(ctx context.Context, err error) {
	if ctx.Err() == nil {
		c.sink.ListFailed(fmt.Errorf("directory %s: %w", c.address, err))
	}
}

// line is a connection to the directory, kept from call to call.
type line struct {
	conn    net.Conn
	r       *bufio.Reader
	buffers *buffer.Pool
}

func (l *line) close() {
	if l.conn != nil {
		l.conn.Close()
		l.buffers.PutReader(l.r)
		l.conn, l.r = nil, nil
	}
}

// get makes one call and books the index of its answer.
func (c *Client) get(ctx context.Context, l *line, target string, wait time.Duration) (List, error) {
	until := time.Now().Add(wait + answerIn)
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	if l.conn == nil {
		conn, err := c.dial.DialContext(ctx, "tcp", c.address)
		if err != nil {
			return List{}, err
		}
		l.conn, l.r = conn, c.buffers.Reader(conn)
	}
	conn := l.conn
	defer context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })()
	list, keep, err := c.exchange(l, target, until)
	if err != nil || !keep {
		l.close()
	}
	if err != nil {
		return List{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if list.Index < c.index && !list.Snapshot {
		c.index = 0 // changes of another history: the next call asks for the whole list
		return List{}, fmt.Errorf("answer %d is older than what is held", list.Index)
	}
	c.index = list.Index
	return list, nil
}

func (c *Client) exchange(l *line, target string, until time.Time) (list List, keep bool, err error) {
	if err := l.conn.SetDeadline(until); err != nil {
		return list, false, err
	}
	if _, err := io.WriteString(l.conn, "GET "+target+" HTTP/1.1\r\nHost: "+c.address+"\r\n\r\n"); err != nil {
		return list, false, err
	}
	resp, err := http.ReadResponse(l.r, nil)
	if err != nil {
		return list, false, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxList+1))
	switch {
	case err != nil:
		return list, false, err
	case len(text) > maxList:
		return list, false, errors.New("answer is too large")
	case resp.StatusCode != http.StatusOK:
		return list, false, fmt.Errorf("answered %s", resp.Status)
	}
	list, err = Parse(text)
	return list, !resp.Close && l.r.Buffered() == 0, err
}
