package discovery

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// listCall is a call to a discovery service.
type listCall struct {
	target   string
	wait     time.Duration // how long the service may wait for a newer list before it answers
	fullList bool          // the answer may have to contain all endpoints
	watches  bool          // a call for changes since the answer follows
}

// fullListCall requests the full list without a wait.
var fullListCall = listCall{target: endpointsPath, fullList: true}

// watchCall returns a call for a list newer than version index.
func watchCall(index uint64, wait time.Duration) listCall {
	return listCall{
		target:  fmt.Sprintf("%s?since=%d&timeout_ms=%d", endpointsPath, index, wait.Milliseconds()),
		wait:    wait,
		watches: true,
	}
}

// startWatchLocked starts a watch of the current source, which ends with its context or when a call fails. Callers
// must hold c.mu.
func (c *Client) startWatchLocked() {
	ctx, stop := context.WithCancel(c.ctx)
	started := &watch{stop: stop, turnTaken: make(chan struct{})}
	c.current.watch = started
	conn := c.newConnection(c.current)
	c.calls.watchBegan()
	go func() {
		defer stop() // a failed watch must release its context too
		defer conn.close()
		if c.agent {
			c.watchAgent(ctx, started, conn)
		} else {
			c.watch(ctx, started, conn)
		}
	}()
}

// watch makes each call as soon as the previous answer has been received: the service forgets a watch 200 ms after its
// last answer, and a change in between still binds the proxy. If the connection breaks during an answer or shortly
// after one, watch repeats the call at once on another connection: a later call would begin a new watch, which a
// crowded service may reject.
func (c *Client) watch(ctx context.Context, running *watch, conn *connection) {
	s := conn.source
	turn := turnHolder{turn: c.turn}
	defer turn.pass()
	takeTurn := sync.OnceFunc(func() { close(running.turnTaken) })
	defer takeTurn()
	fetching := false
	mayRepeat := true // a complete answer has been received since the last repeated call
	for conn.next != nil || c.awaitTurn(ctx, s, &turn) {
		takeTurn()
		call, began := c.callOn(conn)
		list, err := c.request(ctx, conn, call, s.recordWatched)
		if errors.Is(err, errSourceReplaced) {
			return
		}
		if mayRepeat && conn.brokeAfterAnswer(err, began) {
			mayRepeat = false
			continue
		}
		if err != nil {
			c.watchEnded(s, running)
			turn.pass()
			c.notifyFailure(ctx, s, err)
			return
		}
		mayRepeat = true
		if !fetching && c.lacksList(s) {
			fetching = true
			go c.fetchMissingList(ctx, s)
		}
		if !pauseAfter(ctx, call, list, began) {
			return
		}
	}
}

// watchAgent watches an agent. It continues after any failure and notifies the listeners of only the first of several
// failures in a row.
func (c *Client) watchAgent(ctx context.Context, running *watch, conn *connection) {
	s := conn.source
	pause := agentMinPause
	for {
		call, began := c.callOn(conn)
		list, err := c.request(ctx, conn, call, s.recordWatched)
		if errors.Is(err, errSourceReplaced) {
			return
		}
		if err != nil && s != c.currentSource() {
			c.watchEnded(s, running)
			return
		}
		if err != nil {
			if pause == agentMinPause {
				c.notifyFailure(ctx, s, err)
			}
			if !sleep(ctx, pause) {
				return
			}
			pause = min(2*pause, agentMaxPause)
			continue
		}
		pause = agentMinPause
		if !pauseAfter(ctx, call, list, began) {
			return
		}
	}
}

// awaitTurn waits until the watch of a service may call. It returns false if ctx ends first. The watch of a replaced
// service releases the turn after each call; if its call is overdue, the watch of the new service ends it.
func (c *Client) awaitTurn(ctx context.Context, s *source, turn *turnHolder) bool {
	if s != c.currentSource() {
		turn.pass()
		c.awaitNewWatch(ctx)
		return turn.await(ctx, nil)
	}
	if turn.has {
		return ctx.Err() == nil
	}
	inTime := turn.await(ctx, time.After(c.timing.watchWait+maxTurnDelay))
	if inTime || ctx.Err() != nil {
		return inTime
	}
	c.mu.Lock()
	c.dropPreviousLocked()
	c.mu.Unlock()
	return turn.await(ctx, nil)
}

// awaitNewWatch waits until the watch of the current source, if there is one, has had the turn: it may not be waiting
// for the turn yet.
func (c *Client) awaitNewWatch(ctx context.Context) {
	c.mu.Lock()
	newWatch := c.current.watch
	c.mu.Unlock()
	if newWatch == nil {
		return
	}
	select {
	case <-newWatch.turnTaken:
	case <-ctx.Done():
	}
}

// pauseAfter pauses after an early answer without changes. It returns false if ctx ends first.
func pauseAfter(ctx context.Context, call listCall, list EndpointList, began time.Time) bool {
	if len(list.Endpoints) > 0 || time.Since(began) >= call.wait/2 {
		return true
	}
	return sleep(ctx, emptyPause)
}

// callOn returns the next call of the watch on a connection and its start time, which is in the past if the call has
// already been sent.
func (c *Client) callOn(conn *connection) (call listCall, began time.Time) {
	if conn.next != nil {
		return conn.next.call, conn.next.began
	}
	return c.nextCall(conn.source), time.Now()
}

// nextCall returns the next call of the watch of a source.
func (c *Client) nextCall(s *source) listCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !s.holdsList && !s.watchBeforeList {
		return listCall{target: endpointsPath, fullList: true, watches: true}
	}
	call := watchCall(s.index, c.timing.watchWait)
	call.fullList = !s.hasAnswered()
	return call
}

// lacksList reports whether a service is watched without its full list being known.
func (c *Client) lacksList(s *source) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return s.watchBeforeList && !s.holdsList
}

// fetchMissingList requests the full list of a service that is watched without it, until the list has been received or
// the watch, whose context is ctx, has ended. Listeners are not notified of failures: the watch reports changes.
func (c *Client) fetchMissingList(ctx context.Context, s *source) {
	conn := c.newConnection(s)
	defer conn.close()
	for pause := c.timing.listPause; c.lacksList(s); pause = min(2*pause, c.timing.maxListPause) {
		if !sleep(ctx, pause/2+rand.N(pause/2)) {
			return
		}
		_, _ = c.request(ctx, conn, fullListCall, s.recordFetched) // repeated after a pause if it fails
	}
}

// watchEnded records that a watch has failed, unless another watch has replaced it.
func (c *Client) watchEnded(s *source, ended *watch) {
	c.calls.watchLost()
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.watch == ended {
		s.watch = nil
	}
	if s == c.previous {
		c.previous = nil
	}
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
