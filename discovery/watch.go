package discovery

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// A watch of a service that has given no whole list begins with a call that waits no longer than this: its answer shows
// that the watch stands.
const beginWait = time.Millisecond

// Bounds of the pause before the whole list is requested again of a service that is watched without it. The watch tells
// what changes, and a service that rejects the call is crowded.
const (
	minListPause = 500 * time.Millisecond
	maxListPause = 8 * time.Second
)

// listCall is a call to a discovery service.
type listCall struct {
	target    string
	wait      time.Duration // how long the service may wait for something newer before it answers
	wholeList bool          // the answer may have to tell of all endpoints
}

// wholeListCall asks for the whole list at once.
var wholeListCall = listCall{target: path, wholeList: true}

// watchCall asks for what is newer than a version.
func watchCall(index uint64, wait time.Duration) listCall {
	return listCall{
		target: fmt.Sprintf("%s?since=%d&timeout_ms=%d", path, index, wait.Milliseconds()),
		wait:   wait,
	}
}

// startWatchLocked starts a watch of the current source, which ends with its context or when a call fails. c.mu is
// held.
func (c *Client) startWatchLocked() {
	ctx, stop := context.WithCancel(c.ctx)
	started := &watch{stop: stop}
	c.current.watch = started
	conn := c.newConnection(c.current)
	go func() {
		defer stop() // also when the watch fails: its context must not outlive it
		defer conn.close()
		c.watch(ctx, started, conn)
	}()
}

// watch calls again as soon as an answer is received: the service forgets a watch 200 ms after its last answer, and a
// change in between still binds the proxy.
func (c *Client) watch(ctx context.Context, running *watch, conn *connection) {
	s := conn.source
	agentPause := agentMinPause
	fetching := false
	for {
		call := c.nextCall(s)
		began := time.Now()
		list, err := c.get(ctx, conn, call)
		if err == nil {
			err = c.accept(ctx, s, list, s.recordWatched)
		}
		if errors.Is(err, errObsolete) {
			return
		}
		if err != nil && c.agent && s == c.currentSource() {
			if agentPause == agentMinPause {
				c.notifyFailure(ctx, s, err)
			}
			if !sleep(ctx, agentPause) {
				return
			}
			agentPause = min(2*agentPause, agentMaxPause)
			continue
		}
		agentPause = agentMinPause
		if err != nil {
			c.watchEnded(s, running)
			c.notifyFailure(ctx, s, err)
			return
		}
		if !fetching && c.lacksList(s) {
			fetching = true
			go c.fetchMissingList(ctx, s)
		}
		earlyAndEmpty := len(list.Endpoints) == 0 && time.Since(began) < call.wait/2
		if earlyAndEmpty && !sleep(ctx, emptyPause) {
			return
		}
	}
}

// nextCall returns the next call of a watch.
func (c *Client) nextCall(s *source) listCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case s.holdsList, s.watchedFirst && s.watchAnswers > 0:
		return watchCall(s.index, c.timing.watchWait)
	case s.watchedFirst:
		first := watchCall(s.index, beginWait)
		first.wholeList = true
		return first
	}
	return wholeListCall
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
	for pause := minListPause; c.lacksList(s); pause = min(2*pause, maxListPause) {
		list, err := c.get(ctx, conn, wholeListCall)
		if err == nil {
			err = c.accept(ctx, s, list, s.recordFetched)
		}
		if err == nil || !sleep(ctx, pause/2+rand.N(pause/2)) {
			return
		}
	}
}

// watchEnded records that a watch has failed, unless another has replaced it.
func (c *Client) watchEnded(s *source, ended *watch) {
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
