// Package discovery is the client of a discovery service: it requests the list of endpoints and watches it for
// changes.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ryerill/internal/buffer"
	"ryerill/internal/faultlog"
	"ryerill/internal/socket"
)

// emptyPause precedes the next call after an early answer without changes.
const emptyPause = 50 * time.Millisecond

// faultPlace is the place under which failed system calls of this package are recorded.
const faultPlace = "discovery"

// Listener is notified of the answers of the discovery service. Its methods are called one at a time and must not
// block.
type Listener interface {
	// EndpointsListed receives a full list, or changes to the previous one.
	EndpointsListed(EndpointList)
	// EndpointsWithdrawn receives the withdrawn endpoints of a list that has been read only in part and may never be
	// complete.
	EndpointsWithdrawn(Withdrawals)
	// ListingFailed reports that a call failed or that the watch ended. The last list stays in force.
	ListingFailed(error)
}

// Client calls one discovery service: once by Fetch, repeatedly by Subscribe. It is safe for concurrent use.
type Client struct {
	buffers *buffer.Pool
	reserve *socket.Reserve
	agent   bool // the service is an agent on this machine: the watch continues after failed calls
	timing  callTiming
	ctx     context.Context // bounds the lifetime of all calls
	end     context.CancelFunc

	notifying sync.Mutex // held while listeners are notified: an old service is never notified after a newer one
	listeners []Listener // guarded by notifying

	// mu guards the fields below. It may be locked while notifying is held, not the other way round.
	mu          sync.Mutex
	current     *source
	previous    *source // the replaced source, watched until the watch of current is established; nil if there is none
	watchWanted bool    // true even while a failed watch has not been restarted yet

	turn watchTurn // shared by the watches of current and previous

	calls  callCounter
	faults atomic.Pointer[faultlog.Recorder] // nil records nothing
}

// NewClient returns a client of the service at address. Its calls end with ctx, or when its last listener leaves.
// known is the list that the caller already has, if it is a full one.
func NewClient(
	ctx context.Context, address string, known EndpointList, buffers *buffer.Pool, listener Listener,
) *Client {
	ctx, end := context.WithCancel(ctx)
	c := &Client{
		listeners: []Listener{listener},
		buffers:   buffers,
		reserve:   socket.NewReserve(1),
		timing:    serviceTiming,
		ctx:       ctx,
		end:       end,
		current:   &source{address: address, holdsList: known.Snapshot, index: known.Index},
		turn:      newWatchTurn(),
	}
	c.current.apply(known)
	context.AfterFunc(ctx, c.reserve.Close)
	return c
}

// NewAgentClient returns a client of an agent on the proxy's own machine, which lists are pushed to. It starts its
// watch itself and continues it after any failure; the listener is notified of only the first of several failures in a
// row.
func NewAgentClient(
	ctx context.Context, address string, known EndpointList, buffers *buffer.Pool, listener Listener,
) *Client {
	c := NewClient(ctx, address, known, buffers, listener)
	c.agent = true
	c.timing = agentTiming
	c.Subscribe(true)
	return c
}

// RecordFaults makes the client record failed system calls.
func (c *Client) RecordFaults(faults *faultlog.Recorder) { c.faults.Store(faults) }

// CallFailed implements [socket.Observer].
func (c *Client) CallFailed(call string, err error, verdict socket.Verdict) {
	c.faults.Load().Failed(faultPlace, call, err, faultlog.Consequence(verdict), "")
}

// Join adds a listener. It calls beforeJoin first, while no listener is being notified: the new listener can copy the
// state of another one there and misses no later notification. Join returns false without calling beforeJoin if the
// last listener has left.
func (c *Client) Join(listener Listener, beforeJoin func()) bool {
	c.notifying.Lock()
	defer c.notifying.Unlock()
	if len(c.listeners) == 0 {
		return false
	}
	beforeJoin()
	c.listeners = append(c.listeners, listener)
	return true
}

// Leave removes a listener. The client ends when the last listener leaves.
func (c *Client) Leave(listener Listener) {
	c.notifying.Lock()
	defer c.notifying.Unlock()
	c.listeners = slices.DeleteFunc(c.listeners, func(l Listener) bool { return l == listener })
	if len(c.listeners) == 0 {
		c.end()
	}
}

// Subscribe starts or stops the watch. It does not block.
func (c *Client) Subscribe(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchWanted = on
	running := c.current.watch != nil
	switch {
	case on && !running:
		c.startWatchLocked()
	case !on:
		c.current.stopWatchLocked()
		c.dropPreviousLocked()
	}
}

// SetAddress replaces the service with the one at address. The watch moves there with its next call, after the call in
// flight has been answered: a service reached at another address then sees the same watch continue, and does not
// reject it however many clients move at once. The first call requests changes since version 0, as another service may
// number its versions differently; unless its answer is the full list, the client requests that separately, later.
//
// Until the new watch is established, each failed call to the new service is followed by a call to the old one. After
// the first answer of the new service the old one can only withdraw endpoints, and after the new watch is established
// the listeners get nothing more from an old service.
//
// An agent answers all calls at once, so its full list is requested first, while the old service is still watched.
func (c *Client) SetAddress(address string) {
	c.notifying.Lock()
	defer c.notifying.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if address == c.current.address {
		return
	}
	replaced := c.current
	c.current = &source{address: address, watchBeforeList: !c.agent}
	if c.previous == nil && replaced.hasAnswered() && replaced.watch != nil {
		c.previous = replaced
	} else {
		replaced.stopWatchLocked()
	}
	if c.watchWanted { // a watch that has just failed would otherwise restart only after a pause
		c.startWatchLocked()
	}
}

// Fetch requests the full list once. It does not block.
func (c *Client) Fetch() {
	s := c.currentSource()
	conn := c.newConnection(s)
	go func() {
		defer conn.close()
		if _, err := c.request(c.ctx, conn, fullListCall, s.recordFetched); err != nil {
			c.notifyFailure(c.ctx, s, err)
		}
	}()
}

// establishedWatchAnswers is the number of answers after which a watch is established: one to the call that began it,
// one to the next call.
const establishedWatchAnswers = 2

// errSourceReplaced is the error for a list of a service that is neither the current nor the previous one.
var errSourceReplaced = errors.New("list of a replaced service")

// request makes one call and accepts the list in its answer.
func (c *Client) request(
	ctx context.Context, conn *connection, call listCall, record func(EndpointList) (receivedList, error),
) (EndpointList, error) {
	list, err := c.get(ctx, conn, call)
	if err != nil {
		return EndpointList{}, err
	}
	return list, c.accept(ctx, conn.source, list, record)
}

// accept records a list of a source and notifies the listeners of it. It does both under c.notifying, so lists of one
// source are notified in the order in which they are recorded.
func (c *Client) accept(
	ctx context.Context, s *source, list EndpointList, record func(EndpointList) (receivedList, error),
) error {
	c.notifying.Lock()
	defer c.notifying.Unlock()
	if ctx.Err() != nil {
		return errSourceReplaced
	}
	update, err := c.recordUpdate(s, list, record)
	if err != nil {
		c.calls.failed(StageContent)
		return err
	}
	c.calls.answered()
	if s != c.currentSource() && !update.Snapshot && len(update.Endpoints) == 0 {
		return nil // an empty update of an old service says nothing about the new one
	}
	for _, listener := range c.listeners {
		listener.EndpointsListed(update)
	}
	return nil
}

// withdraw notifies the listeners of endpoints that a source withdraws in a list that has been read only in part.
func (c *Client) withdraw(ctx context.Context, s *source, withdrawals Withdrawals) {
	c.notifying.Lock()
	defer c.notifying.Unlock()
	if ctx.Err() != nil {
		return
	}
	withdrawals.Endpoints = c.newlyWithdrawn(s, withdrawals)
	if len(withdrawals.Endpoints) == 0 {
		return
	}
	c.calls.withdrawn(len(withdrawals.Endpoints))
	for _, listener := range c.listeners {
		listener.EndpointsWithdrawn(withdrawals)
	}
}

func (c *Client) newlyWithdrawn(s *source, withdrawals Withdrawals) []Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s != c.current && s != c.previous {
		return nil
	}
	return s.withdraw(withdrawals)
}

// notifyFailure notifies the listeners of a failed call. Failures of a service that is being replaced are ignored.
func (c *Client) notifyFailure(ctx context.Context, s *source, err error) {
	c.notifying.Lock()
	defer c.notifying.Unlock()
	if ctx.Err() != nil || s != c.currentSource() {
		return
	}
	err = fmt.Errorf("directory %s: %w", s.address, err)
	for _, listener := range c.listeners {
		listener.ListingFailed(err)
	}
}

func (c *Client) currentSource() *source {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// recordUpdate records a list of a source and returns the update for the listeners. An established watch ends the
// watch of the previous service.
func (c *Client) recordUpdate(
	s *source, list EndpointList, record func(EndpointList) (receivedList, error),
) (EndpointList, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s != c.current && s != c.previous {
		return EndpointList{}, errSourceReplaced
	}
	received, err := record(list)
	if err != nil {
		return EndpointList{}, err
	}
	switch {
	case s == c.current:
		if s.acceptedFromWatch >= establishedWatchAnswers {
			c.dropPreviousLocked()
		}
		return received.EndpointList, nil
	case c.current.hasAnswered(): // the new service is authoritative; the old one may not know all its endpoints
		return EndpointList{Index: c.current.index, Endpoints: received.withdrawn}, nil
	}
	return received.EndpointList, nil
}
