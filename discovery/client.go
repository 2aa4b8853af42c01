// Package discovery is the client of a discovery service: it asks for the list of endpoints and watches its changes.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"ryerill/internal/buffer"
	"ryerill/internal/socket"
)

// The pause before the next call when an answer without changes came early.
const emptyPause = 50 * time.Millisecond

// Listener is notified of the answers of the discovery service. Its methods are called one at a time and must not
// block.
type Listener interface {
	// EndpointsListed receives a whole list, or changes of the one before.
	EndpointsListed(EndpointList)
	// ListingFailed reports that a call failed, or that the watch ended; the last list stays in force.
	ListingFailed(error)
}

// errAddressChanged ends a call to a service that SetAddress has replaced.
var errAddressChanged = errors.New("another discovery service is asked now")

// Client calls one discovery service: once by Fetch, repeatedly by Subscribe. It is safe for concurrent use.
type Client struct {
	listener Listener
	buffers  *buffer.Pool
	reserve  *socket.Reserve
	agent    bool // an agent on this machine: a watch continues after failed calls
	timing   callTiming
	ctx      context.Context // ends with the proxy; all calls are made in the background

	notifying sync.Mutex // held while the listener is notified, so that nothing of an old service follows SetAddress

	// mu guards all that follows. It may be taken while notifying is held, not the other way round.
	mu             sync.Mutex
	address        string
	addressChanges int    // how often the address has changed
	holdsList      bool   // a list is known, so that changes of it can be requested
	index          uint64 // version of that list; any number may be one, 0 too
	watchWanted    bool   // also while a watch that failed is not yet started again
	stopWatch      context.CancelFunc
	watchNumber    int // of the newest watch
	overdueCalls   int // for a whole list in a row, whose answer did not begin in time
}

// NewClient returns a client of the service at address, whose calls end with ctx. known is the list held already, if it
// is a whole one.
func NewClient(
	ctx context.Context, address string, known EndpointList, buffers *buffer.Pool, listener Listener,
) *Client {
	c := &Client{
		listener:  listener,
		buffers:   buffers,
		reserve:   socket.NewReserve(1),
		timing:    serviceTiming,
		ctx:       ctx,
		address:   address,
		holdsList: known.Snapshot,
		index:     known.Index,
	}
	context.AfterFunc(ctx, c.reserve.Close)
	return c
}

// NewAgentClient returns a client of an agent on the proxy's own machine, to which lists are pushed. Its watch goes
// on by itself, whatever fails: the listener is notified of only the first of several failures in a row.
func NewAgentClient(
	ctx context.Context, address string, known EndpointList, buffers *buffer.Pool, listener Listener,
) *Client {
	c := NewClient(ctx, address, known, buffers, listener)
	c.agent = true
	c.timing = agentTiming
	c.Subscribe(true)
	return c
}

// Subscribe starts the watch, or ends it. It returns at once.
func (c *Client) Subscribe(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchWanted = on
	running := c.stopWatch != nil
	switch {
	case on && !running:
		c.startWatchLocked()
	case !on && running:
		c.stopWatch()
		c.stopWatch = nil
	}
}

// SetAddress replaces the service by the one at address. A watch continues there at once and with the whole list, since
// another service may count its versions otherwise; a call in flight at the old one is dropped. Once SetAddress has
// returned, the listener is notified of nothing more from the old service.
func (c *Client) SetAddress(address string) {
	c.notifying.Lock()
	defer c.notifying.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if address == c.address {
		return
	}
	c.address = address
	c.holdsList = false
	c.addressChanges++
	c.overdueCalls = 0
	if !c.watchWanted {
		return
	}
	if c.stopWatch != nil { // a watch that has just failed would be started again only after a pause
		c.stopWatch()
	}
	c.startWatchLocked()
}

// Fetch requests the whole list once. It returns at once.
func (c *Client) Fetch() {
	c.mu.Lock()
	conn := c.newConnectionLocked()
	c.mu.Unlock()
	go func() {
		defer conn.close()
		list, err := c.get(c.ctx, conn, path, 0)
		c.notify(c.ctx, conn, list, err)
	}()
}

// notify notifies the listener of how a call ended, unless it is obsolete. It reports whether it has passed on a list.
func (c *Client) notify(ctx context.Context, conn *connection, list EndpointList, err error) bool {
	c.notifying.Lock()
	defer c.notifying.Unlock()
	c.mu.Lock()
	current := conn.addressChanges == c.addressChanges
	c.mu.Unlock()
	if !current || ctx.Err() != nil {
		return false
	}
	if err != nil {
		c.listener.ListingFailed(fmt.Errorf("directory %s: %w", conn.address, err))
		return false
	}
	c.listener.EndpointsListed(list)
	return true
}
