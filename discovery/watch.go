package discovery

import (
	"context"
	"fmt"
	"time"
)

// startWatchLocked starts a watch of the current source, which ends with its context or when a call fails. c.mu is
// held.
func (c *Client) startWatchLocked() {
	ctx, stop := context.WithCancel(c.ctx)
	started := &watch{stop: stop}
	c.current.watch = started
	conn := c.newConnectionLocked()
	go func() {
		defer stop() // also when the watch fails: its context must not outlive it
		defer conn.close()
		c.watch(ctx, started, conn)
	}()
}

// watch calls again as soon as an answer is received: the service forgets a watch 200 ms after its last answer, and a
// change in between still binds the proxy.
func (c *Client) watch(ctx context.Context, running *watch, conn *connection) {
	agentPause := agentMinPause
	for {
		target, wait := c.nextCall(conn.source)
		began := time.Now()
		list, err := c.get(ctx, conn, target, wait)
		if err != nil && c.agent && conn.source == c.currentSource() {
			if agentPause == agentMinPause {
				c.notify(ctx, conn, list, err)
			}
			if !sleep(ctx, agentPause) {
				return
			}
			agentPause = min(2*agentPause, agentMaxPause)
			continue
		}
		agentPause = agentMinPause
		if err != nil {
			c.watchEnded(conn.source, running)
		}
		if !c.notify(ctx, conn, list, err) {
			return
		}
		earlyAndEmpty := len(list.Endpoints) == 0 && time.Since(began) < wait/2
		if earlyAndEmpty && !sleep(ctx, emptyPause) {
			return
		}
	}
}

// nextCall returns the target of the next call of a watch and how long the service may wait before it answers.
func (c *Client) nextCall(s *source) (target string, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !s.holdsList {
		return path, 0
	}
	wait = c.timing.watchWait
	return fmt.Sprintf("%s?since=%d&timeout_ms=%d", path, s.index, wait.Milliseconds()), wait
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
