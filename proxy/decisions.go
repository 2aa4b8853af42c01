package proxy

import (
	"fmt"
	"log/slog"
	"time"

	"ryerill/balancer"
	"ryerill/message"
)

// clock reads the Unix time at its start plus the monotonic time elapsed since. It never goes backwards and is
// comparable with the start times of endpoints in endpoint lists.
type clock struct{ start time.Time }

func (c clock) now() time.Duration {
	return time.Duration(c.start.UnixNano()) + time.Since(c.start)
}

// decisionLoop passes events to the Balancer one at a time, in the order of arrival. It is guarded by its owner's
// mutex.
type decisionLoop struct {
	log      *slog.Logger
	clock    clock
	balancer *balancer.Balancer
	queue    []balancer.Event
	next     int  // index in queue of the next event
	running  bool // a caller is processing the queue
	actions  []balancer.Action
}

// push queues an event. It reports true if the caller must process the queue, and false if a caller further up the
// stack is already processing it.
func (l *decisionLoop) push(event balancer.Event) bool {
	l.queue = append(l.queue, event)
	if l.running {
		return false
	}
	l.running = true
	return true
}

// decideNext decides the next event and stores the actions to execute in l.actions. It reports false if the queue is
// empty.
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

// decide passes an event to the Balancer. It recovers from panics of the decision code so that other requests are still
// answered: if the event is the arrival of a request, the request fails immediately, and any other affected request is
// answered at its deadline.
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

// dispatchLocked decides an event and executes the resulting actions. Events dispatched by those actions are processed
// afterwards, in order.
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
	default: // probes and messages to peers are not supported over sockets
		c.log.Warn("unsupported balancer action", "action", fmt.Sprint(action.Kind))
	}
}
