package proxy

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"ryerill/balancer"
	"ryerill/config"
	"ryerill/discovery"
	"ryerill/downstream"
	"ryerill/message"
	"ryerill/override"
	"ryerill/upstream"
)

// clock is Unix time at its start plus the monotonic time since. It never goes
// back, and it shares its scale with the starts of providers in the list.
type clock struct{ start time.Time }

func (c clock) now() time.Duration {
	return time.Duration(c.start.UnixNano()) + time.Since(c.start)
}

// core stands between sockets and decisions and knows no protocol: it turns
// what happens into Events and carries out the Actions it gets back.
//
// One mutex guards the Balancer and all that belongs to its decisions. Actions
// are carried out in order before it is released, so none of them may block.
type core struct {
	log       *slog.Logger
	clock     clock
	names     downstream.PoolClasses
	rooms     *rooms
	pool      *upstream.Pool
	directory *discovery.Client // nil where the configuration lists the providers
	end       context.CancelFunc
	figures   *figures
	tallies   []*tally // by class
	booked    *booked  // for the fleet; nil where nothing is shared

	mu        sync.Mutex
	cfg       config.Pool
	settings  config.Settings
	balancer  *balancer.Balancer
	queue     []balancer.Event // happenings that wait for their turn
	busy      bool             // the queue is being worked off
	actions   []balancer.Action
	newest    balancer.RequestID
	open      map[balancer.RequestID]*entry
	providers map[balancer.EndpointID]*target
	version   uint64                   // of the latest list
	seen      map[string]struct{}      // names that are listed or were
	word      override.Set             // what staff have ordered
	heard     chan struct{}            // closed once the directory has told its list, or there is none
	timers    map[*time.Timer]struct{} // that the Balancer has set
	leaving   bool                     // nothing new comes
	ended     bool                     // and nothing is open any more
	closed    bool
	empty     chan struct{}
}

// entry is an invocation that has not been answered or has invoker calls out.
type entry struct {
	id    balancer.RequestID
	inv   *message.Request
	until time.Time // the consumer gives up
	calls []*call
	out   int  // calls out
	done  bool // answered, or nobody waits for it
	taken bool // its last byte is in
	guard *time.Timer
}

// happen tells the Balancer of an event and carries out what it answers.
// Happenings that arise on the way have their turn afterwards.
func (c *core) happen(ev balancer.Event) {
	c.queue = append(c.queue, ev)
	if c.busy {
		return
	}
	c.busy = true
	for i := 0; i < len(c.queue); i++ {
		c.decide(c.queue[i])
		for j := range c.actions {
			c.carryOut(&c.actions[j])
		}
	}
	clear(c.queue)
	c.queue, c.busy = c.queue[:0], false
}

// decide asks the Balancer. Should the decision code break down over one
// event, the others still deserve an answer: an invocation that it could not
// decide fails at once, and what else is owed is answered when its time is over.
func (c *core) decide(ev balancer.Event) {
	defer func() {
		if p := recover(); p != nil {
			c.log.Error("the decision code broke down", "panic", fmt.Sprint(p), "event", ev.Kind)
			c.actions = c.actions[:0]
			if ev.Kind == balancer.RequestArrived {
				c.actions = append(c.actions, balancer.Action{Kind: balancer.Fail, Request: ev.Request})
			}
		}
	}()
	c.actions = c.balancer.Handle(c.clock.now(), ev, c.actions[:0])
}

// carryOut does what one action says.
func (c *core) carryOut(a *balancer.Action) {
	switch a.Kind {
	case balancer.Send:
		c.route(a)
	case balancer.Shed:
		c.relay(c.open[a.Request], message.Result{Kind: message.Shed, RetryAfter: a.RetryAfter})
	case balancer.Fail:
		c.relay(c.open[a.Request], message.Result{Kind: message.Failed})
	case balancer.Cancel:
		if e := c.open[a.Request]; e != nil && a.Attempt < len(e.calls) {
			e.calls[a.Attempt].Cancel()
		}
	case balancer.SetTimer:
		c.remind(a.Delay, a.Token)
	case balancer.CloseIdle:
		go c.pool.CloseIdle(uint64(a.Endpoint))
	case balancer.Subscribe:
		if c.directory != nil {
			c.directory.Subscribe(a.Enabled)
		}
	case balancer.FetchEndpoints:
		if c.directory != nil {
			c.directory.Fetch()
		}
	case balancer.Log:
		c.log.Info("balancer", "says", a.Text)
	default: // neither probes nor messages to peers exist on sockets
		c.log.Warn("action that cannot be carried out", "kind", fmt.Sprint(a.Kind))
	}
}

// remind tells the Balancer of a timer once it is due, unless the pool has
// ended by then.
func (c *core) remind(wait time.Duration, token uint32) {
	if c.closed {
		return
	}
	var t *time.Timer
	t = time.AfterFunc(wait, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if _, set := c.timers[t]; set {
			delete(c.timers, t)
			c.happen(balancer.Event{Kind: balancer.TimerFired, Token: token})
		}
	})
	c.timers[t] = struct{}{} // the mutex is held: the timer's own call waits for it
}
