package proxy

import (
	"fmt"
	"log/slog"
	"time"

	"ryerill/balancer"
	"ryerill/message"
)

// clock is Unix time at its start plus the monotonic time since. It never goes
// back, and it shares its scale with the start times of endpoints in the list.
type clock struct{ start time.Time }

func (c clock) now() time.Duration {
	return time.Duration(c.start.UnixNano()) + time.Since(c.start)
}

// decisionLoop has the Balancer decide events one at a time, in the order in which they come.
// Its owner's mutex guards it.
type decisionLoop struct {
	log      *slog.Logger
	clock    clock
	balancer *balancer.Balancer
	queue    []balancer.Event
	next     int  // in the queue
	running  bool // the queue is being worked off
	actions  []balancer.Action
}

// push queues an event. It reports true if the caller is to work the queue off, and
// false if a caller further up does.
func (l *decisionLoop) push(event balancer.Event) bool {
	l.queue = append(l.queue, event)
	if l.running {
		return false
	}
	l.running = true
	return true
}

// decideNext decides the next event; its actions are those to execute. It reports false once
// the queue is empty.
func (l *decisionLoop) decideNext() bool {
	if l.next == len(l.queue) {
		clear(l.queue)
		l.queue = l.queue[:0]
		l.next = 0
		l.running = false
		return false
	}
	event := &l.queue[l.next]
	l.next++
	l.decide(event)
	return true
}

// decide has the Balancer decide. Should the decision code panic over one
// event, the others still deserve a result: a request that it could not
// decide fails at once, and any other is answered when its time is over.
func (l *decisionLoop) decide(event *balancer.Event) {
	defer func() {
		if p := recover(); p != nil {
			l.log.Error("decision code panicked", "panic", fmt.Sprint(p), "event", event.Kind)
			l.actions = l.actions[:0]
			if event.Kind == balancer.RequestArrived {
				l.actions = append(l.actions, balancer.Action{Kind: balancer.Fail, Request: event.Request})
			}
		}
	}()
	l.actions = l.balancer.Handle(l.clock.now(), *event, l.actions[:0])
}

// dispatchLocked has an event decided and executes the actions. An event that
// arises on the way is dispatched after those before it.
func (c *core) dispatchLocked(event balancer.Event) {
	if !c.decisions.push(event) {
		return
	}
	for c.decisions.decideNext() {
		for i := range c.decisions.actions {
			c.executeLocked(&c.decisions.actions[i])
		}
	}
}

// executeLocked executes one action. It must not block.
func (c *core) executeLocked(action *balancer.Action) {
	switch action.Kind {
	case balancer.Send:
		c.startAttemptLocked(action)
	case balancer.Shed:
		result := message.Result{Kind: message.Shed, RetryAfter: action.RetryAfter}
		c.replyLocked(c.requests.open[action.Request], result)
	case balancer.Fail:
		c.replyLocked(c.requests.open[action.Request], message.Result{Kind: message.Failed})
	case balancer.Cancel:
		if r := c.requests.open[action.Request]; r != nil && action.Attempt < len(r.attempts) {
			r.attempts[action.Attempt].Cancel()
		}
	case balancer.SetTimer:
		c.scheduleTimerLocked(action.Delay, action.Token)
	case balancer.CloseIdle:
		go c.connections.CloseIdle(uint64(action.Endpoint))
	case balancer.Subscribe:
		c.discovery.subscribe(action.Enabled)
	case balancer.FetchEndpoints:
		c.discovery.fetch()
	case balancer.Log:
		c.log.Info("balancer notice", "reason", action.Text)
	default: // neither probes nor messages to peers exist on sockets
		c.log.Warn("unsupported balancer action", "action", fmt.Sprint(action.Kind))
	}
}
