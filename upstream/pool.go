// Package upstream keeps connections to endpoints and makes attempts over them.
//
// A [Pool] keeps the connections, reuses idle ones as package reuse permits, and makes each [Attempt] with [Pool.Do].
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
	// idleMargin is how long before an endpoint may close an idle connection the pool stops using it. A request written
	// later could be lost in a reset, and would count as possibly executed.
	idleMargin = 500 * time.Millisecond

	// maxDials is how often an attempt dials a connection while dials fail for lack of a local resource.
	maxDials = 8

	// minSweepInterval is the least time between two sweeps for expired idle connections.
	minSweepInterval = 100 * time.Millisecond
)

// errNoDescriptor means that the connection budget is exhausted and no connection is idle.
var errNoDescriptor = errors.New("no descriptor for another connection to an endpoint")

// Budget limits a pool's use of a machine resource. Its methods are safe for concurrent use and don't block.
type Budget interface {
	// Take reserves n units. It reports false, and reserves none, if fewer are free.
	Take(n int) bool
	// Give returns n units.
	Give(n int)
}

// Pool keeps the connections to endpoints. It is safe for concurrent use.
type Pool struct {
	connections Budget
	bodies      Budget // bytes of buffered responses; nil means no limit
	buffers     *buffer.Pool
	dial        dialFunc
	name        string             // of the pool, in fault records
	faults      *faultlog.Recorder // nil records nothing
	observer    Observer           // nil disables reports

	// mu guards the fields below.
	mu             sync.Mutex
	maxIdle        time.Duration
	connectTimeout time.Duration
	policy         *reuse.Policy
	idle           map[destination][]*conn // most recently used last
	closed         bool
	opened         uint64      // number of connections opened so far, failed dials included
	sweeper        *time.Timer // nil while no connection is idle
}

// NewPool returns a pool whose open connections are limited by a budget. Endpoints close connections after idleClose
// without use, so the pool stops using an idle connection shortly before.
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

// SetBodyBudget limits the memory for buffered responses, in bytes, by a budget. It must be called before the first
// attempt.
func (p *Pool) SetBodyBudget(bodies Budget) { p.bodies = bodies }

// RecordFaults makes the pool record failed system calls under name. It must be called before the first attempt.
func (p *Pool) RecordFaults(name string, faults *faultlog.Recorder) {
	p.name = name
	p.faults = faults
}

// CallFailed implements [socket.Observer].
func (p *Pool) CallFailed(call string, err error, verdict socket.Verdict) {
	if p != nil { // nil for a connection without a pool
		p.faults.Failed(p.name, call, err, faultlog.Consequence(verdict), "")
	}
}

// SetTimeouts changes how long idle connections are kept and how long a dial may take. A dial in progress keeps its
// timeout.
func (p *Pool) SetTimeouts(idleClose, connectTimeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdle = max(idleClose-idleMargin, idleClose/2)
	p.connectTimeout = connectTimeout
}

// TrimIdle closes up to n idle connections, longest idle first, to return borrowed budget to its lender.
func (p *Pool) TrimIdle(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for ; n > 0 && p.evictLocked(); n-- {
	}
}

// CloseSpare closes all idle connections to each destination except the most recently used one.
func (p *Pool) CloseSpare() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for dest, list := range p.idle {
		spare := list[:max(len(list)-1, 0)]
		p.idle[dest] = list[len(spare):]
		for _, c := range spare {
			p.dropLocked(c)
		}
	}
}

// get returns a connection for an attempt: the most recently used idle connection to its destination that is usable and
// has rested for long enough, or else a new connection. If opening one fails for lack of a local resource, get waits
// for an idle connection to finish its rest.
func (p *Pool) get(a *Attempt) (*conn, error) {
	dest := destination{a.Endpoint, a.Address}
	p.mu.Lock()
	if !a.NeedsProof || !p.policy.DeclinedRecently(time.Now()) {
		if c := p.takeIdleLocked(dest); c != nil {
			p.mu.Unlock()
			return c, nil
		}
	}
	p.mu.Unlock()
	c, err := p.openNew(a, dest)
	if err != nil && isLocalFault(err) {
		if rested := p.awaitRested(dest); rested != nil {
			return rested, nil
		}
	}
	return c, err
}

// awaitRested waits until the longest idle connection to a destination has rested for long enough, then takes a usable
// one. It returns nil if there is none or the wait would exceed reuse.MinRest.
func (p *Pool) awaitRested(dest destination) *conn {
	p.mu.Lock()
	list := p.idle[dest]
	if len(list) == 0 {
		p.mu.Unlock()
		return nil
	}
	now := time.Now()
	wait := p.policy.NeededRest(dest.endpoint, now) - now.Sub(list[0].idleSince)
	p.mu.Unlock()
	if wait > reuse.MinRest {
		return nil
	}
	time.Sleep(wait)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.takeIdleLocked(dest)
}

// openNew opens a connection for an attempt. If the budget is exhausted, it evicts the longest idle connection.
func (p *Pool) openNew(a *Attempt, dest destination) (*conn, error) {
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
		destination:  dest,
		endpointName: a.EndpointName,
		pool:         p,
		use:          ConnectionUse{Number: number},
	}
	c.limit.R = c
	c.reader = p.buffers.Reader(&c.limit)
	return c, nil
}

// open dials a connection for an attempt, up to maxDials times while this machine lacks a resource for it. Redialling
// is safe as nothing has been sent, and the failure is no evidence against the endpoint.
func (p *Pool) open(a *Attempt, timeout time.Duration) (transport, error) {
	retry := socket.Retry{Call: "connect", Observer: p}
	for tries := 1; ; tries++ {
		opened, err := a.dial(p.dial, timeout)
		if err == nil || tries >= maxDials || !retry.Again(err) {
			return opened, err
		}
	}
}

// takeIdleLocked removes and returns the most recently used idle connection to a destination that is usable and has
// rested for long enough, or returns nil. It closes the unusable ones it finds. Callers must hold p.mu.
func (p *Pool) takeIdleLocked(dest destination) *conn {
	for i := len(p.idle[dest]) - 1; i >= 0; i-- {
		c := p.idle[dest][i]
		if !c.mayCarry(p.policy) {
			continue
		}
		p.idle[dest] = slices.Delete(p.idle[dest], i, i+1)
		if c.isUsable(p.maxIdle) {
			return c
		}
		p.retireLocked(c)
	}
	if len(p.idle[dest]) == 0 {
		delete(p.idle, dest)
	}
	return nil
}

// put returns a connection with no request in flight to the pool.
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

// drop closes a connection and returns its budget.
func (p *Pool) drop(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropLocked(c)
}

// dropLocked implements drop. Callers must hold p.mu.
func (p *Pool) dropLocked(c *conn) {
	c.Close()
	p.buffers.PutReader(c.reader)
	p.connections.Give(1)
}

// retireLocked closes an idle connection and classifies any bytes received on it. Callers must hold p.mu.
func (p *Pool) retireLocked(c *conn) {
	if c.peek() == socket.Waiting {
		p.handleUnsolicitedLocked(c)
	}
	p.dropLocked(c)
}

// distrustLocked records that an endpoint has sent a copy of an earlier response instead of a response, and closes its
// idle connections. Callers must hold p.mu.
func (p *Pool) distrustLocked(dest destination) {
	p.policy.Distrust(dest.endpoint, time.Now())
	p.dropAllLocked(dest, p.idle[dest])
}

// evictLocked closes the longest idle connection. It reports false if none is idle. Callers must hold p.mu.
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

// sweep closes the connections that have been idle for maxIdle or longer, and schedules the next sweep.
func (p *Pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweeper = nil
	next := time.Duration(-1) // time until the next connection expires; negative if none is idle
	for dest, list := range p.idle {
		for len(list) > 0 && time.Since(list[0].idleSince) >= p.maxIdle {
			p.retireLocked(list[0])
			list = list[1:]
		}
		if len(list) == 0 {
			delete(p.idle, dest)
			continue
		}
		p.idle[dest] = list
		if left := p.maxIdle - time.Since(list[0].idleSince); next < 0 || left < next {
			next = left
		}
	}
	if next >= 0 && !p.closed {
		p.sweeper = time.AfterFunc(max(next, minSweepInterval), p.sweep)
	}
}

// CloseIdle closes the idle connections to the given endpoints, in one pass over all idle connections.
func (p *Pool) CloseIdle(endpoints ...uint64) {
	closing := make(map[uint64]bool, len(endpoints))
	for _, id := range endpoints {
		closing[id] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for dest, list := range p.idle {
		if closing[dest.endpoint] {
			p.dropAllLocked(dest, list)
		}
	}
}

// dropAllLocked closes the idle connections to one destination. Callers must hold p.mu.
func (p *Pool) dropAllLocked(dest destination, list []*conn) {
	for _, c := range list {
		p.dropLocked(c)
	}
	delete(p.idle, dest)
}

// Close closes all idle connections. Connections in use are closed when their attempts end.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for dest, list := range p.idle {
		p.dropAllLocked(dest, list)
	}
}
