package balancer

import (
	"fmt"
	"testing"
	"time"
)

// orderedConfig returns testConfig with classes 0 and 4 ordered by key.
func orderedConfig() Config {
	cfg := testConfig()
	cfg.Classes[0].OrderedByKey, cfg.Classes[4].OrderedByKey = true, true
	cfg.Contract.KeyQuarantine = 50 * ms
	return cfg
}

// Guards against a queued request that is never answered (incident i1c6cc5): the typical latency fell while it
// waited, so that it could still be in time when its only timer fired.
func TestQueuedRequestIsShedByItsTimer(t *testing.T) {
	h := newHost(t, orderedConfig(), readyList(4)...)
	h.arriveWithKey(0, 7, 2*time.Second)
	id, actions := h.arriveWithKey(4, 7, 2*time.Second)
	timer := onlyAction(t, actions, SetTimer)
	h.b.stats.typicalLatency[0], h.b.stats.typicalLatency[4] = 0.001, 0.001
	h.now += timer.Delay
	if a := onlyAction(t, h.handle(Event{Kind: TimerFired, Token: timer.Token}), Shed); a.Request != id {
		t.Errorf("request %d was shed, want %d", a.Request, id)
	}
	if actions := h.handle(Event{Kind: TimerFired, Token: timer.Token}); len(actions) != 0 {
		t.Errorf("a used token gave actions %+v, want none", actions)
	}
}

// Requests with one key run one at a time in order of arrival. After an attempt that may still be running, the key is
// quarantined.
func TestRequestsWithOneKeyRunInOrder(t *testing.T) {
	h := newHost(t, orderedConfig(), readyList(4)...)
	first, actions := h.arriveWithKey(0, 7, 2*time.Second)
	onlyAction(t, actions, Send)
	second, actions := h.arriveWithKey(4, 7, 2*time.Second) // ordered classes share the keys
	onlyAction(t, actions, SetTimer)
	for _, free := range []struct {
		class int
		key   uint64
	}{{0, 8}, {4, 0}, {1, 7}} { // another key, no key, a class without order
		_, actions := h.arriveWithKey(free.class, free.key, time.Second)
		onlyAction(t, actions, Send)
	}
	actions = h.end(first, 0, OK, 10*ms)
	if a := onlyAction(t, actions, Send); a.Request != second {
		t.Fatalf("request %d was sent, want %d", a.Request, second)
	}
	third, _ := h.arriveWithKey(0, 7, 2*time.Second)
	actions = h.end(second, 0, Reset, 10*ms)
	if len(actions) != 2 || actions[0].Kind != SetTimer || actions[0].Delay != 50*ms || actions[1].Kind != Fail {
		t.Fatalf("a broken connection gave actions %+v, want a quarantine timer and Fail", actions)
	}
	h.now += 49 * ms
	if actions := h.handle(Event{Kind: TimerFired, Token: 99}); len(actions) != 0 {
		t.Errorf("an unknown token gave actions %+v, want none", actions)
	}
	h.now += ms
	if a := onlyAction(t, h.handle(Event{Kind: TimerFired, Token: actions[0].Token}), Send); a.Request != third {
		t.Errorf("request %d was sent, want %d", a.Request, third)
	}
	h.end(third, 0, OK, ms)
	if h.b.queues[7] != nil || len(h.b.queues) != 1 {
		t.Errorf("got %d queues, want 1 and none for key 7", len(h.b.queues))
	}
}

// The key of a request stays taken while its attempt is in flight, even if the client leaves.
func TestKeyStaysTakenAfterClientLeft(t *testing.T) {
	h := newHost(t, orderedConfig(), readyList(4)...)
	first, _ := h.arriveWithKey(0, 7, 2*time.Second)
	waiting, _ := h.arriveWithKey(0, 7, 2*time.Second)
	onlyAction(t, h.handle(Event{Kind: ClientLeft, Request: first}), Cancel)
	actions := h.end(first, 0, Cancelled, 10*ms)
	timer := onlyAction(t, actions, SetTimer)
	h.now += timer.Delay
	if a := onlyAction(t, h.handle(Event{Kind: TimerFired, Token: timer.Token}), Send); a.Request != waiting {
		t.Errorf("request %d was sent, want %d", a.Request, waiting)
	}
}

// A request that can't be sent in time after the requests queued before it is shed on arrival.
func TestLateQueuedRequestIsShedOnArrival(t *testing.T) {
	h := newHost(t, orderedConfig(), readyList(4)...)
	h.b.stats.typicalLatency[0] = 0.4
	h.arriveWithKey(0, 7, 2*time.Second)
	h.arriveWithKey(0, 7, 2*time.Second)
	_, actions := h.arriveWithKey(0, 7, 600*ms) // the two requests before it take 800 ms
	onlyAction(t, actions, Shed)
}

// BenchmarkHandle measures a request that is ordered by key, from arrival to end.
func BenchmarkHandle(b *testing.B) {
	for _, endpoints := range []int{10, 100, 300} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			cfg := testConfig()
			cfg.ReplicaCount, cfg.Classes[0].OrderedByKey = 4*endpoints, true
			h := newHost(b, cfg, readyList(endpoints)...)
			var out []Action
			for i := range b.N {
				h.now += 500 * ms
				id := RequestID(i + 1)
				out = h.b.Handle(h.now, Event{Kind: RequestArrived, Request: id, Key: uint64(i%50 + 1),
					Remaining: time.Second}, out[:0])
				h.b.Handle(h.now+ms, Event{Kind: AttemptEnded, Request: id, RequestClosed: true, Elapsed: ms}, out)
			}
		})
	}
}
