package discovery

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
	"ryerill/internal/socket"
)

const (
	path       = "/v1/endpoints"
	watchFor   = 2 * time.Second         // a call of a watch waits this long for something newer: silence is noticed soon after
	answerIn   = 1200 * time.Millisecond // an answer is overdue after this, beyond what the call may wait
	maxList    = 8 << 20                 // bytes of an answer: some 40,000 providers
	emptyPause = 50 * time.Millisecond   // before the next call when an answer without news came early

	// An agent on this machine answers at once and at no cost, and what it has counts as told: it is watched
	// in short calls, and asked again well within the time in which word of a drain must be heeded.
	agentFor   = time.Second
	agentIn    = 300 * time.Millisecond
	agentPause = 25 * time.Millisecond // before the next call after one that failed, doubled with each
	agentMost  = 200 * time.Millisecond
)

// Listener is told what the directory answers. Its methods are called in turn and
// must not block.
type Listener interface {
	EndpointsListed(EndpointList)
	ListingFailed(error) // a call failed, or the watch ended; what was listed still holds
}

// errMoved ends a call to a directory that is no longer the one to ask.
var errMoved = errors.New("another directory is asked now")

// Client speaks to the directory. It calls only when told to.
type Client struct {
	sink    Listener
	buffers *buffer.Pool
	reserve *socket.Reserve
	dial    net.Dialer
	agent   bool            // on this machine: the watch goes on by itself
	ctx     context.Context // ends with the proxy; calls are made in the background

	telling sync.Mutex // held while the sink is told, so that nothing of an old directory follows Move

	mu      sync.Mutex
	address string
	moves   int                // how often the address has changed
	held    bool               // a list is, so that changes of it can be asked for
	index   uint64             // of the list held; any number may be a version, 0 too
	wanted  bool               // a watch is, even if it has failed
	stop    context.CancelFunc // ends the watch; nil is none
	watch   int                // number of the newest watch
}

// NewClient returns a client of the directory at address, whose calls end with
// ctx. known is the list held already, if it is a whole one.
func NewClient(ctx context.Context, address string, known EndpointList, buffers *buffer.Pool, sink Listener) *Client {
	c := &Client{ctx: ctx, address: address, held: known.Snapshot, index: known.Index, buffers: buffers, sink: sink,
		reserve: socket.NewReserve(1)}
	context.AfterFunc(ctx, c.reserve.Close)
	return c
}

// NewAgentClient returns a client of an agent on the proxy's own machine, to
// which lists are pushed. Its watch goes on by itself, whatever fails: only the
// first of several failures in a row is told.
func NewAgentClient(ctx context.Context, address string, known EndpointList, buffers *buffer.Pool, sink Listener) *Client {
	c := NewClient(ctx, address, known, buffers, sink)
	c.agent = true
	c.Subscribe(true)
	return c
}

// Subscribe starts the watch, or ends it. It returns at once.
func (c *Client) Subscribe(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wanted = on
	if on == (c.stop != nil) {
		return
	}
	if !on {
		c.stop()
		c.stop = nil
		return
	}
	c.start()
}

// start starts a watch. The mutex is held.
func (c *Client) start() {
	ctx, stop := context.WithCancel(c.ctx)
	c.stop = stop
	c.watch++
	number, l := c.watch, c.connection()
	go func() {
		defer stop() // also when the watch fails: its context must not outlive it
		defer l.close()
		c.keepWatch(ctx, number, l)
	}()
}

// SetAddress makes address the directory to ask. A watch goes on there at once and
// with the whole list, as another directory may count its versions otherwise;
// the call that is out at the old one is let go. Once Move has returned, the
// sink is told nothing more of the old directory.
func (c *Client) SetAddress(address string) {
	c.telling.Lock()
	defer c.telling.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if address == c.address {
		return
	}
	c.address, c.held = address, false
	c.moves++
	if c.wanted { // a watch that has just failed would be started again only after a pause
		if c.stop != nil {
			c.stop()
		}
		c.start()
	}
}

// Fetch asks once for the whole list. It returns at once.
func (c *Client) Fetch() {
	c.mu.Lock()
	l := c.connection()
	c.mu.Unlock()
	go func() {
		defer l.close()
		list, err := c.get(c.ctx, l, path, 0)
		c.tell(c.ctx, l, list, err)
	}()
}

// keepWatch calls again as soon as an answer is in: a watch is over 200 ms
// after its last answer, and what changes in between counts as told.
func (c *Client) keepWatch(ctx context.Context, number int, l *connection) {
	most, pause := c.longPoll(), agentPause
	for {
		c.mu.Lock()
		held, since := c.held, c.index
		c.mu.Unlock()
		target, wait := path, time.Duration(0)
		if held {
			target = fmt.Sprintf("%s?since=%d&timeout_ms=%d", path, since, most.Milliseconds())
			wait = most
		}
		began := time.Now()
		list, err := c.get(ctx, l, target, wait)
		if err != nil && c.agent {
			if pause == agentPause {
				c.tell(ctx, l, list, err)
			}
			if !sleep(ctx, pause) {
				return
			}
			pause = min(2*pause, agentMost)
			continue
		}
		pause = agentPause
		if err != nil {
			c.mu.Lock()
			if c.watch == number {
				c.stop = nil
			}
			c.mu.Unlock()
		}
		if !c.tell(ctx, l, list, err) {
			return
		}
		if len(list.Endpoints) == 0 && time.Since(began) < wait/2 && !sleep(ctx, emptyPause) { // no reason to spin
			return
		}
	}
}

// longPoll is how long one call of the watch waits for something newer.
func (c *Client) longPoll() time.Duration {
	if c.agent {
		return agentFor
	}
	return watchFor
}

// overdue is how long an answer may take beyond what its call may wait.
func (c *Client) overdue() time.Duration {
	if c.agent {
		return agentIn
	}
	return answerIn
}

// sleep waits, and tells whether ctx still goes on.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// tell passes on how a call ended, unless nobody waits for it any more. It
// reports whether it has passed on a list.
func (c *Client) tell(ctx context.Context, l *connection, list EndpointList, err error) bool {
	c.telling.Lock()
	defer c.telling.Unlock()
	c.mu.Lock()
	current := l.moves == c.moves
	c.mu.Unlock()
	switch {
	case !current || ctx.Err() != nil:
		return false
	case err != nil:
		c.sink.ListingFailed(fmt.Errorf("directory %s: %w", l.address, err))
		return false
	}
	c.sink.EndpointsListed(list)
	return true
}

// connection leads to a directory and is kept from call to call.
type connection struct {
	address string
	moves   int // of the client when it was made: one of earlier leads to an old directory
	conn    net.Conn
	r       *bufio.Reader
	buffers *buffer.Pool
	reserve *socket.Reserve // of the client
}

// connection returns one to the present directory. The mutex is held.
func (c *Client) connection() *connection {
	return &connection{address: c.address, moves: c.moves, buffers: c.buffers, reserve: c.reserve}
}

func (l *connection) close() {
	if l.conn != nil {
		l.conn.Close()
		l.reserve.Fill()
		l.buffers.PutReader(l.r)
		l.conn, l.r = nil, nil
	}
}

// get makes one call and books the index of its answer.
func (c *Client) get(ctx context.Context, l *connection, target string, wait time.Duration) (EndpointList, error) {
	until := time.Now().Add(wait + c.overdue())
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	if l.conn == nil {
		conn, err := c.dial.DialContext(ctx, "tcp", l.address)
		if socket.OutOfDescriptors(err) && c.reserve.Lend() {
			conn, err = c.dial.DialContext(ctx, "tcp", l.address)
		}
		if err != nil {
			c.reserve.Fill()
			return EndpointList{}, err
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
		return EndpointList{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.moves != c.moves {
		return EndpointList{}, errMoved
	}
	if !list.Snapshot && (!c.held || list.Index < c.index) {
		c.held = false // changes of another history: the next call asks for the whole list
		return EndpointList{}, fmt.Errorf("changes up to version %d do not follow what is held", list.Index)
	}
	c.held, c.index = true, list.Index
	return list, nil
}

func (c *Client) exchange(l *connection, target string, until time.Time) (list EndpointList, keep bool, err error) {
	if err := l.conn.SetDeadline(until); err != nil {
		return list, false, err
	}
	if _, err := io.WriteString(l.conn, "GET "+target+" HTTP/1.1\r\nHost: "+l.address+"\r\n\r\n"); err != nil {
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
