// Package discovery is the client of a discovery service: it asks for the list of endpoints and watches its changes.
package discovery

import (
	"context"
	"fmt"
	"slices"
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

// Client calls one discovery service: once by Fetch, repeatedly by Subscribe. It is safe for concurrent use.
type Client struct {
	buffers *buffer.Pool
	reserve *socket.Reserve
	agent   bool // an agent on this machine: a watch continues after failed calls
	timing  callTiming
	ctx     context.Context // all calls are made in the background until it ends
	end     context.CancelFunc

	notifying sync.Mutex // held while listeners are notified, so that nothing of an old service follows a newer one
	listeners []Listener // guarded by notifying

	// mu guards all that follows. It may be taken while notifying is held, not the other way round.
	mu          sync.Mutex
	current     *source
	previous    *source // the one before, which is watched on until the current one has answered; nil is none
	watchWanted bool    // also while a watch that failed is not yet started again
}

// NewClient returns a client of the service at address, whose calls end with ctx, or once its last listener has left.
// known is the list held already, if it is a whole one.
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
	}
	c.current.hold(known)
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

// Join adds a listener. begin is called first, while no listener is notified: the new one may take over there what
// another knows, and misses nothing that follows. It reports false, and calls nothing, if the last listener has left.
func (c *Client) Join(listener Listener, begin func()) bool {
	c.notifying.Lock()
	defer c.notifying.Unlock()
	if len(c.listeners) == 0 {
		return false
	}
	begin()
	c.listeners = append(c.listeners, listener)
	return true
}

// Leave removes a listener. The last one to leave ends the client.
func (c *Client) Leave(listener Listener) {
	c.notifying.Lock()
	defer c.notifying.Unlock()
	c.listeners = slices.DeleteFunc(c.listeners, func(l Listener) bool { return l == listener })
	if len(c.listeners) == 0 {
		c.end()
	}
}

// Subscribe starts the watch, or ends it. It returns at once.
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

// SetAddress replaces the service by the one at address. A watch begins there at once and with the whole list, since
// another service may count its versions otherwise. The service before it, if it was being watched, is watched on
// until the new watch stands: all that move may crowd the new service, and until then the old one alone tells what
// changes. Once the new service has given a whole list, the old one can only withdraw endpoints, and once it has
// answered its watch, the listener is notified of nothing more from an old one.
func (c *Client) SetAddress(address string) {
	c.notifying.Lock()
	defer c.notifying.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if address == c.current.address {
		return
	}
	replaced := c.current
	c.current = &source{address: address}
	if c.previous == nil && replaced.holdsList && replaced.watch != nil {
		c.previous = replaced
	} else {
		replaced.stopWatchLocked()
	}
	if c.watchWanted { // a watch that has just failed would be started again only after a pause
		c.startWatchLocked()
	}
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

// answersOfStandingWatch is how many lists a service has given once its watch stands: the whole list, and the answer to
// the first call of the watch.
const answersOfStandingWatch = 2

// notify notifies the listeners of how a call ended, unless it is obsolete. It reports whether it has passed on a list.
// How calls to a service fail that is about to be replaced does not matter.
func (c *Client) notify(ctx context.Context, conn *connection, list receivedList, err error) bool {
	c.notifying.Lock()
	defer c.notifying.Unlock()
	news, isCurrent, obsolete := c.newsOf(conn.source, list, err)
	if obsolete || ctx.Err() != nil {
		return false
	}
	if err != nil {
		err = fmt.Errorf("directory %s: %w", conn.source.address, err)
	}
	if !isCurrent && !news.Snapshot && len(news.Endpoints) == 0 {
		return true // nothing changed, and it says nothing of how the new service is
	}
	for _, listener := range c.listeners {
		if err != nil {
			listener.ListingFailed(err)
		} else {
			listener.EndpointsListed(news)
		}
	}
	return err == nil
}

func (c *Client) currentSource() *source {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// newsOf returns what a list of a source tells the listeners, and whether that source is the current one; obsolete is
// whether the call to it does not matter any more. A watch that stands ends that of the service before.
func (c *Client) newsOf(s *source, list receivedList, err error) (news EndpointList, isCurrent, obsolete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case s == c.current:
		if err == nil && s.answers >= answersOfStandingWatch {
			c.dropPreviousLocked()
		}
		return list.EndpointList, true, false
	case s != c.previous || err != nil:
		return EndpointList{}, false, true
	case c.current.answers > 0: // the whole list of the new service counts; this one may lack endpoints of it
		return EndpointList{Index: c.current.index, Endpoints: list.withdrawn}, false, false
	}
	return list.EndpointList, false, false
}
