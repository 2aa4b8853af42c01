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
	target    string
	wait      time.Duration // how long the service may wait for something newer before it answers
	wholeList bool          // the answer may have to tell of all endpoints
	watches   bool          // a call for what is newer than the answer follows
}

// wholeListCall asks for the whole list at once.
var wholeListCall = listCall{target: path, wholeList: true}

// watchCall asks for what is newer than a version.
func watchCall(index uint64, wait time.Duration) listCall {
	return listCall{
		target:  fmt.Sprintf("%s?since=%d&timeout_ms=%d", path, index, wait.Milliseconds()),
		wait:    wait,
		watches: true,
	}
}

// startWatchLocked starts a watch of the current source, which ends with its context or when a call fails. c.mu is
// held.
func (c *Client) startWatchLocked() {
	ctx, stop := context.WithCancel(c.ctx)
	started := &watch{stop: stop, begins: make(chan struct{})}
	c.current.watch = started
	conn := c.newConnection(c.current)
	c.calls.watchBegan()
	go func() {
		defer stop() // also when the watch fails: its context must not outlive it
		defer conn.close()
		if c.agent {
			c.watchAgent(ctx, started, conn)
		} else {
			c.watch(ctx, started, conn)
		}
	}()
}

// watch calls again as soon as an answer is received: the service forgets a watch 200 ms after its last answer, and a
// change in between still binds the proxy. So a call that fails because the connection broke with an answer, or soon
// after one, is made again at once, on another connection: a later call would begin a new watch, which a service may
// reject while it is crowded.
func (c *Client) watch(ctx context.Context, running *watch, conn *connection) {
	s := conn.source
	turn := turnOf{turn: c.turn}
	defer turn.pass()
	begins := sync.OnceFunc(func() { close(running.begins) })
	defer begins()
	fetching := false
	mayRepeat := true // a whole answer has come since the last call that was made again
	for conn.next != nil || c.awaitTurn(ctx, s, &turn) {
		begins()
		call, began := c.callOn(conn)
		list, err := c.request(ctx, conn, call, s.recordWatched)
		if errors.Is(err, errObsolete) {
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

// watchAgent watches an agent. Its watch goes on by itself, whatever fails; the listener is notified of only the first
// of several failures in a row.
func (c *Client) watchAgent(ctx context.Context, running *watch, conn *connection) {
	s := conn.source
	pause := agentMinPause
	for {
		call, began := c.callOn(conn)
		list, err := c.request(ctx, conn, call, s.recordWatched)
		if errors.Is(err, errObsolete) {
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

// awaitTurn waits until the watch of a service may call, and reports false if it has ended before. The watch of a
// service that has been replaced gives the turn on after each call; one whose call is overdue is ended.
func (c *Client) awaitTurn(ctx context.Context, s *source, turn *turnOf) bool {
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

// awaitNewWatch waits until the watch of the current source, if there is one, has had the turn: it may not be in line
// for it yet.
func (c *Client) awaitNewWatch(ctx context.Context) {
	c.mu.Lock()
	newWatch := c.current.watch
	c.mu.Unlock()
	if newWatch == nil {
		return
	}
	select {
	case <-newWatch.begins:
	case <-ctx.Done():
	}
}

// pauseAfter waits after an answer without changes that came early. It reports false if ctx has ended before.
func pauseAfter(ctx context.Context, call listCall, list EndpointList, began time.Time) bool {
	if len(list.Endpoints) > 0 || time.Since(began) >= call.wait/2 {
		return true
	}
	return sleep(ctx, emptyPause)
}

// callOn returns the next call of a watch and when it began: it may be out already.
func (c *Client) callOn(conn *connection) (call listCall, began time.Time) {
	if conn.next != nil {
		return conn.next.call, conn.next.began
	}
	return c.nextCall(conn.source), time.Now()
}

// nextCall returns the next call of a watch.
func (c *Client) nextCall(s *source) listCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !s.holdsList && !s.watchedFirst {
		return listCall{target: path, wholeList: true, watches: true}
	}
	call := watchCall(s.index, c.timing.watchWait)
	call.wholeList = !s.hasAnswered()
	return call
}

// lacksList reports whether a service is watched without its whole list.
func (c *Client) lacksList(s *source) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return s.watchedFirst && !s.holdsList
}

// fetchMissingList requests the whole list of a service that is watched without it until the list has come, or ctx,
// that of its watch, has ended. A failure is no news for listeners: the watch tells what changes.
func (c *Client) fetchMissingList(ctx context.Context, s *source) {
	conn := c.newConnection(s)
	defer conn.close()
	for pause := c.timing.listPause; c.lacksList(s); pause = min(2*pause, c.timing.maxListPause) {
		if !sleep(ctx, pause/2+rand.N(pause/2)) {
			return
		}
		_, _ = c.request(ctx, conn, wholeListCall, s.recordFetched) // if it fails, once more after a pause
	}
}

// watchEnded records that a watch has failed, unless another has replaced it.
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

// sleep waits, and reports false if ctx has ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
