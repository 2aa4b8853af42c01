package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"ryerill/internal/buffer"
	"ryerill/internal/socket"
)

// idleMargin is how long before the provider's machine may close an idle
// connection it is given up here: a request written to it later is lost in a
// reset, and it may have run.
const idleMargin = 500 * time.Millisecond

// sweepStep is the least time between two looks for connections idle too long.
const sweepStep = 100 * time.Millisecond

// errNoRoom says that as many connections are open as the limit allows and
// none of them is idle.
var errNoRoom = errors.New("no room for another connection to a provider")

// Budget is what a pool may hold of the machine's descriptors. Both methods are
// safe for concurrent use and don't block.
type Budget interface {
	Take(n int) bool // false if there is none now
	Give(n int)
}

// Pool keeps the connections to providers.
type Pool struct {
	room    Budget
	bodies  Budget // bytes of answers that are held; nil has no bound
	keep    time.Duration
	connect time.Duration
	buffers *buffer.Pool

	mu      sync.Mutex
	idle    map[place][]*conn // the most recently used last
	closed  bool
	sweeper *time.Timer // nil while none is idle
}

// place is where a connection leads: a provider at its address. When the
// address passes to another provider, what leads to the first must not be used.
type place struct {
	provider uint64
	address  string
}

type conn struct {
	*net.TCPConn
	place place
	limit io.LimitedReader
	r     *bufio.Reader
	since time.Time // idle since
	over  error     // what ended its receiving side; nil while it goes on
}

// Read reads what comes in. The system tells a reset once, to whoever reads or
// looks first, and a plain end from then on, which would make a cut answer that
// states no length look whole: what ended the connection first ends every read.
func (c *conn) Read(b []byte) (int, error) {
	if c.over != nil {
		return 0, c.over
	}
	n, err := c.TCPConn.Read(b)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.over = err
	}
	return n, err
}

// peek looks at what has come in.
func (c *conn) peek() socket.State {
	state := socket.Peek(c)
	if state == socket.Broken && c.over == nil {
		c.over = syscall.ECONNRESET
	}
	return state
}

// NewPool returns a pool that holds as many connections as it finds room for,
// none of which is used again close to idleClose after its last use.
func NewPool(room Budget, idleClose, connectTimeout time.Duration, buffers *buffer.Pool) *Pool {
	p := &Pool{room: room, buffers: buffers, idle: make(map[place][]*conn)}
	p.SetTimeouts(idleClose, connectTimeout)
	return p
}

// SetBodyBudget makes the pool take what it holds of answers, in bytes, from a room.
func (p *Pool) SetBodyBudget(bodies Budget) { p.bodies = bodies }

// SetTimeouts changes how long connections are kept and waited for, from the next on.
func (p *Pool) SetTimeouts(idleClose, connectTimeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keep, p.connect = max(idleClose-idleMargin, idleClose/2), connectTimeout
}

// TrimIdle closes up to n idle connections, those idle for longest first: room that
// was lent is called back.
func (p *Pool) TrimIdle(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for ; n > 0 && p.evictLocked(); n-- {
	}
}

// get returns a connection for a call: the one to its place used last, if any is
// usable, or a new one.
func (p *Pool) get(call *Attempt) (*conn, error) {
	at := place{call.Endpoint, call.Address}
	p.mu.Lock()
	for list := p.idle[at]; len(list) > 0; list = p.idle[at] {
		c := list[len(list)-1]
		p.idle[at] = list[:len(list)-1]
		// Sound is a connection on which nothing has come in, neither bytes that no request asked for nor its end.
		if time.Since(c.since) < p.keep && c.peek() == socket.Quiet {
			p.mu.Unlock()
			return c, nil
		}
		p.dropLocked(c)
	}
	delete(p.idle, at)
	for !p.room.Take(1) {
		if !p.evictLocked() {
			p.mu.Unlock()
			return nil, errNoRoom
		}
	}
	within := p.connect
	p.mu.Unlock()

	raw, err := call.dial(within)
	if err != nil {
		p.room.Give(1)
		return nil, err
	}
	c := &conn{TCPConn: raw.(*net.TCPConn), place: at}
	c.limit.R = c
	c.r = p.buffers.Reader(&c.limit)
	return c, nil
}

// put takes back a connection on which nothing is out.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		p.dropLocked(c)
		return
	}
	c.since = time.Now()
	p.idle[c.place] = append(p.idle[c.place], c)
	if p.sweeper == nil {
		p.sweeper = time.AfterFunc(p.keep, p.sweep)
	}
}

// drop closes a connection that is not to be used again.
func (p *Pool) drop(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropLocked(c)
}

func (p *Pool) dropLocked(c *conn) {
	c.Close()
	p.buffers.PutReader(c.r)
	p.room.Give(1)
}

// evictLocked makes room by closing the connection idle for longest.
func (p *Pool) evictLocked() bool {
	var oldest *conn
	for _, list := range p.idle {
		if len(list) > 0 && (oldest == nil || list[0].since.Before(oldest.since)) {
			oldest = list[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.idle[oldest.place] = p.idle[oldest.place][1:]
	p.dropLocked(oldest)
	return true
}

// sweep closes what has been idle for too long.
func (p *Pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweeper = nil
	next := time.Duration(-1)
	for at, list := range p.idle {
		for len(list) > 0 && time.Since(list[0].since) >= p.keep {
			p.dropLocked(list[0])
			list = list[1:]
		}
		if len(list) == 0 {
			delete(p.idle, at)
			continue
		}
		p.idle[at] = list
		if left := p.keep - time.Since(list[0].since); next < 0 || left < next {
			next = left
		}
	}
	if next >= 0 && !p.closed {
		p.sweeper = time.AfterFunc(max(next, sweepStep), p.sweep)
	}
}

// CloseIdle closes the idle connections to providers, in one look at all.
func (p *Pool) CloseIdle(providers ...uint64) {
	gone := make(map[uint64]bool, len(providers))
	for _, id := range providers {
		gone[id] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for at, list := range p.idle {
		if gone[at.provider] {
			p.dropAllLocked(at, list)
		}
	}
}

func (p *Pool) dropAllLocked(at place, list []*conn) {
	for _, c := range list {
		p.dropLocked(c)
	}
	delete(p.idle, at)
}

// Close closes all idle connections, and the others once their calls end.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for at, list := range p.idle {
		p.dropAllLocked(at, list)
	}
}
