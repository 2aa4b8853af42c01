package balancer

import (
	"fmt"
	"testing"
	"time"
)

// orderedConfig is testConfig with classes 0 and 4 ordered by key.
func orderedConfig() Config {
	cfg := testConfig()
	cfg.Classes[0].OrderedByKey, cfg.Classes[4].OrderedByKey = true, true
	cfg.Contract.KeyQuarantine = 50 * ms
	return cfg
}

// Incident i1c6cc5: the typical latency fell while a request waited; its timer found it still in time and was not
// set anew, so it was never answered.
func TestQueuedRequestIsShedWhenItCannotBeInTime(t *testing.T) {
	h := newHost(t, orderedConfig(), readyList(4)...)
	h.arriveWithKey(0, 7, 2*time.Second)
	id, actions := h.arriveWithKey(4, 7, 2*time.Second)
	timer := only(t, actions, SetTimer)
	h.b.stats.typicalLatency[0], h.b.stats.typicalLatency[4] = 0.001, 0.001
	h.now += timer.Delay
	if a := only(t, h.handle(Event{Kind: TimerFired, Token: timer.Token}), Shed); a.Request != id {
		t.Errorf("shed %d, want %d", a.Request, id)
	}
	if actions := h.handle(Event{Kind: TimerFired, Token: timer.Token}); len(actions) != 0 {
		t.Errorf("a stale token did %+v", actions)
	}
}

// One at a time with one key, in the order of arrival; the key is quarantined after an attempt that may still run.
func TestRequestsWithOneKeyRunInOrder(t *testing.T) {
	h := newHost(t, orderedConfig(), readyList(4)...)
	first, actions := h.arriveWithKey(0, 7, 2*time.Second)
	only(t, actions, Send)
	second, actions := h.arriveWithKey(4, 7, 2*time.Second) // all classes that keep order share the keys
	only(t, actions, SetTimer)
	for _, free := range []struct {
		class int
		key   uint64
	}{{0, 8}, {4, 0}, {1, 7}} { // another key, none, a class that keeps no order
		_, actions := h.arriveWithKey(free.class, free.key, time.Second)
		only(t, actions, Send)
	}
	actions = h.end(first, 0, OK, 10*ms)
	if a := only(t, actions, Send); a.Request != second {
		t.Fatalf("sent %d, want %d", a.Request, second)
	}
	third, _ := h.arriveWithKey(0, 7, 2*time.Second)
	actions = h.end(second, 0, Reset, 10*ms)
	if len(actions) != 2 || actions[0].Kind != SetTimer || actions[0].Delay != 50*ms || actions[1].Kind != Fail {
		t.Fatalf("a broken connection gave %+v, want a quarantine and the answer", actions)
	}
	h.now += 49 * ms
	if actions := h.handle(Event{Kind: TimerFired, Token: 99}); len(actions) != 0 {
		t.Errorf("an unknown token did %+v", actions)
	}
	h.now += ms
	if a := only(t, h.handle(Event{Kind: TimerFired, Token: actions[0].Token}), Send); a.Request != third {
		t.Errorf("sent %d, want %d", a.Request, third)
	}
	h.end(third, 0, OK, ms)
	if h.b.queues[7] != nil || len(h.b.queues) != 1 {
		t.Errorf("an empty queue is kept among %d", len(h.b.queues))
	}
}

// A client that leaves does not free its key while its attempt is in flight.
func TestKeyWaitsForTheAttemptOfAClientThatLeft(t *testing.T) {
	h := newHost(t, orderedConfig(), readyList(4)...)
	first, _ := h.arriveWithKey(0, 7, 2*time.Second)
	waiting, _ := h.arriveWithKey(0, 7, 2*time.Second)
	only(t, h.handle(Event{Kind: ClientLeft, Request: first}), Cancel)
	actions := h.end(first, 0, Cancelled, 10*ms)
	timer := only(t, actions, SetTimer)
	h.now += timer.Delay
	if a := only(t, h.handle(Event{Kind: TimerFired, Token: timer.Token}), Send); a.Request != waiting {
		t.Errorf("sent %d, want %d", a.Request, waiting)
	}
}

// What cannot be sent in time behind those before it is shed as it arrives.
func TestQueuedRequestThatCannotBeInTimeIsShedAtOnce(t *testing.T) {
	h := newHost(t, orderedConfig(), readyList(4)...)
	h.b.stats.typicalLatency[0] = 0.4
	h.arriveWithKey(0, 7, 2*time.Second)
	h.arriveWithKey(0, 7, 2*time.Second)
	_, actions := h.arriveWithKey(0, 7, 600*ms) // two ahead take 800 ms
	only(t, actions, Shed)
}

// BenchmarkHandle is a request that is ordered by key, from its arrival to its end.
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
