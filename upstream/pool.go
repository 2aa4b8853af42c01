// Package upstream holds the connections to endpoints, and makes attempts over them.
package upstream

import (
	"errors"
	"slices"
	"sync"
	"time"

	"ryerill/internal/buffer"
	"ryerill/internal/faultlog"
	"ryerill/internal/socket"
	"ryerill/reuse"
)

const (
	// An idle connection is given up this long before its endpoint may close it: a request written to it later could be
	// lost in a reset, and it might have been executed.
	idleMargin = 500 * time.Millisecond

	// maxDials is how often a connection is dialled for an attempt while this machine lacks something for it.
	maxDials = 8

	// minSweepInterval is the least time between two searches for connections that are idle too long.
	minSweepInterval = 100 * time.Millisecond
)

// errNoDescriptor means that as many connections are open as the budget allows and none of them is idle.
var errNoDescriptor = errors.New("no descriptor for another connection to an endpoint")

// Budget is what a pool may use of a resource of the machine. Its methods are safe for concurrent use and don't block.
type Budget interface {
	// Take reports false if there is not as much now.
	Take(n int) bool
	Give(n int)
}

// Pool holds the connections to endpoints. It is safe for concurrent use.
type Pool struct {
	connections Budget
	bodies      Budget // bytes of responses that are held; nil has no bound
	buffers     *buffer.Pool
	dial        dialFunc
	name        string             // of the pool
	faults      *faultlog.Recorder // nil records nothing
	observer    Observer           // nil is told nothing

	// mu guards what follows.
	mu             sync.Mutex
	maxIdle        time.Duration
	connectTimeout time.Duration
	policy         *reuse.Policy
	idle           map[destination][]*conn // the most recently used last
	closed         bool
	opened         uint64      // connections so far
	sweeper        *time.Timer // nil while no connection is idle
}

// NewPool returns a pool of as many connections as its budget allows. None is used again close to idleClose after its
// last use, when endpoints close idle connections.
func NewPool(connections Budget, idleClose, connectTimeout time.Duration, buffers *buffer.Pool) *Pool {
	p := &Pool{
		connections: connections,
		buffers:     buffers,
		dial:        dialTCP,
		policy:      reuse.NewPolicy(),
		idle:        make(map[destination][]*conn),
	}
	p.SetTimeouts(idleClose, connectTimeout)
	return p
}

// SetBodyBudget makes the pool take the memory for responses, in bytes, from a budget. It must be called before the
// first attempt.
func (p *Pool) SetBodyBudget(bodies Budget) { p.bodies = bodies }

// RecordFaults has the pool record calls that fail, under its name. It must be called before the first attempt.
func (p *Pool) RecordFaults(name string, faults *faultlog.Recorder) {
	p.name = name
	p.faults = faults
}

// CallFailed implements [socket.Observer].
func (p *Pool) CallFailed(call string, err error, verdict socket.Verdict) {
	if p != nil { // else it is a connection of no pool
		p.faults.Failed(p.name, call, err, faultlog.Consequence(verdict), "")
	}
}

// SetTimeouts changes how long idle connections are kept and new ones waited for, from the next on.
func (p *Pool) SetTimeouts(idleClose, connectTimeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdle = max(idleClose-idleMargin, idleClose/2)
	p.connectTimeout = connectTimeout
}

// TrimIdle closes up to n idle connections, those idle for longest first: their budget was lent and is wanted back.
func (p *Pool) TrimIdle(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for ; n > 0 && p.evictLocked(); n-- {
	}
}

// CloseSpare closes the idle connections to each destination but the one used last.
func (p *Pool) CloseSpare() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for to, list := range p.idle {
		spare := list[:max(len(list)-1, 0)]
		p.idle[to] = list[len(spare):]
		for _, c := range spare {
			p.dropLocked(c)
		}
	}
}

// get returns a connection for an attempt: the one to its destination that was used last of those that have rested for
// long enough, if any is usable, or a new one.
func (p *Pool) get(a *Attempt) (*conn, error) {
	to := destination{a.Endpoint, a.Address}
	p.mu.Lock()
	if !a.NeedsProof || !p.policy.Declining(time.Now()) {
		if c := p.takeIdleLocked(to); c != nil {
			p.mu.Unlock()
			return c, nil
		}
	}
	p.mu.Unlock()
	c, err := p.openNew(a, to)
	if err != nil && isOwnFault(err) {
		if rested := p.awaitRested(to); rested != nil {
			return rested, nil
		}
	}
	return c, err
}

// awaitRested waits until the idle connection to a destination that rests for longest has rested, and takes it. It
// returns nil if there is none, or if that takes longer than an ordinary rest.
func (p *Pool) awaitRested(to destination) *conn {
	p.mu.Lock()
	list := p.idle[to]
	if len(list) == 0 {
		p.mu.Unlock()
		return nil
	}
	now := time.Now()
	wait := p.policy.NeededRest(to.endpoint, now) - now.Sub(list[0].idleSince)
	p.mu.Unlock()
	if wait > reuse.MinRest {
		return nil
	}
	time.Sleep(wait)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.takeIdleLocked(to)
}

// openNew opens a connection for an attempt, in place of the one idle for longest if there is no descriptor left.
func (p *Pool) openNew(a *Attempt, to destination) (*conn, error) {
	p.mu.Lock()
	for !p.connections.Take(1) {
		if !p.evictLocked() {
			p.mu.Unlock()
			return nil, errNoDescriptor
		}
	}
	timeout := p.connectTimeout
	p.opened++
	number := p.opened
	p.mu.Unlock()

	opened, err := p.open(a, timeout)
	if err != nil {
		p.connections.Give(1)
		return nil, err
	}
	c := &conn{
		transport:    opened,
		destination:  to,
		endpointName: a.EndpointName,
		pool:         p,
		use:          ConnectionUse{Number: number},
	}
	c.limit.R = c
	c.reader = p.buffers.Reader(&c.limit)
	return c, nil
}

// open opens a connection for an attempt. Where this machine lacks something for it, it tries again a few times:
// nothing was sent yet, and the endpoint is not to blame.
func (p *Pool) open(a *Attempt, timeout time.Duration) (transport, error) {
	retry := socket.Retry{Call: "connect", Observer: p}
	for tries := 1; ; tries++ {
		opened, err := a.dial(p.dial, timeout)
		if err == nil || tries >= maxDials || !retry.Again(err) {
			return opened, err
		}
	}
}

// takeIdleLocked takes the usable connection to a destination that was used last of those that have rested for long
// enough, or nil. Those that are not usable are closed on the way.
func (p *Pool) takeIdleLocked(to destination) *conn {
	for i := len(p.idle[to]) - 1; i >= 0; i-- {
		c := p.idle[to][i]
		if !c.mayCarry(p.policy) {
			continue
		}
		p.idle[to] = slices.Delete(p.idle[to], i, i+1)
		if c.isUsable(p.maxIdle) {
			return c
		}
		p.retireLocked(c)
	}
	if len(p.idle[to]) == 0 {
		delete(p.idle, to)
	}
	return nil
}

// put takes back a connection on which no request is out.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.closed || !p.policy.MayKeep(c.destination.endpoint, now) {
		p.dropLocked(c)
		return
	}
	c.idleSince = now
	p.idle[c.destination] = append(p.idle[c.destination], c)
	if p.sweeper == nil {
		p.sweeper = time.AfterFunc(p.maxIdle, p.sweep)
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
	p.buffers.PutReader(c.reader)
	p.connections.Give(1)
}

// retireLocked closes a connection that was idle, and learns from what has come in on it.
func (p *Pool) retireLocked(c *conn) {
	if c.peek() == socket.Waiting {
		p.unsolicitedLocked(c)
	}
	p.dropLocked(c)
}

// distrustLocked records that an endpoint has sent a copy in place of a response: none of its connections is used
// again.
func (p *Pool) distrustLocked(from destination) {
	p.policy.Distrust(from.endpoint, time.Now())
	p.dropAllLocked(from, p.idle[from])
}

// evictLocked closes the connection idle for longest. It reports false if none is idle.
func (p *Pool) evictLocked() bool {
	var oldest *conn
	for _, list := range p.idle {
		if len(list) > 0 && (oldest == nil || list[0].idleSince.Before(oldest.idleSince)) {
			oldest = list[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.idle[oldest.destination] = p.idle[oldest.destination][1:]
	p.dropLocked(oldest)
	return true
}

// sweep closes the connections that have been idle for too long, and schedules itself for the next.
func (p *Pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweeper = nil
	next := time.Duration(-1) // until the next connection is idle for too long; negative is none
	for to, list := range p.idle {
		for len(list) > 0 && time.Since(list[0].idleSince) >= p.maxIdle {
			p.retireLocked(list[0])
			list = list[1:]
		}
		if len(list) == 0 {
			delete(p.idle, to)
			continue
		}
		p.idle[to] = list
		if left := p.maxIdle - time.Since(list[0].idleSince); next < 0 || left < next {
			next = left
		}
	}
	if next >= 0 && !p.closed {
		p.sweeper = time.AfterFunc(max(next, minSweepInterval), p.sweep)
	}
}

// CloseIdle closes the idle connections to endpoints, in one pass over all.
func (p *Pool) CloseIdle(endpoints ...uint64) {
	gone := make(map[uint64]bool, len(endpoints))
	for _, id := range endpoints {
		gone[id] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for to, list := range p.idle {
		if gone[to.endpoint] {
			p.dropAllLocked(to, list)
		}
	}
}

func (p *Pool) dropAllLocked(to destination, list []*conn) {
	for _, c := range list {
		p.dropLocked(c)
	}
	delete(p.idle, to)
}

// Close closes all idle connections, and the others once their attempts end.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for to, list := range p.idle {
		p.dropAllLocked(to, list)
	}
}
