package balancer

import (
	"testing"
	"time"
)

// A quick error frees its slot at once and would draw the next attempt: it goes on holding it.
func TestFailedAttemptsHoldTheirSlot(t *testing.T) {
	for _, o := range []Outcome{Error, Timeout, ConnectFailed, Reset, Rejected} {
		cfg := testConfig()
		cfg.Limits.MaxAttempts = 1
		h := newHost(t, cfg, readyList(3)...)
		id, actions := h.arrive(4)
		bad := only(t, actions, Send).Endpoint
		h.end(id, 0, o, ms)
		for range 2 {
			if _, actions := h.arrive(4); only(t, actions, Send).Endpoint == bad {
				t.Errorf("outcome %d: picked again at once", o)
			}
		}
		h.now += time.Minute
		h.handle(Event{Kind: TimerFired})
		if penalty, _ := h.b.endpoints.byID[bad].health.at(h.b.now, h.b.endpoints.halfLife); penalty > 0.01 {
			t.Errorf("outcome %d: still holds %v slots a minute later", o, penalty)
		}
	}
}

func TestFailureOfAllExcludesNone(t *testing.T) {
	h := newHost(t, testConfig(), readyList(3)...)
	for range 60 {
		id, actions := h.arrive(4)
		only(t, actions, Send)
		h.end(id, 0, Error, ms)
	}
	_, actions := h.arrive(4)
	only(t, actions, Send)
}

func TestSlowEndpointsHoldSlots(t *testing.T) {
	h := newHost(t, testConfig(), readyList(2)...)
	h.b.stats.typicalLatency[0] = 0.05
	slow := h.b.endpoints.byID[1]
	for range 3 {
		h.b.recordOutcome(slow, 0, OK, 300*ms)
	}
	for range 2 {
		if _, actions := h.arrive(0); only(t, actions, Send).Endpoint == 1 {
			t.Errorf("%v times slower: picked as if idle", slow.health.relativeLatency)
		}
	}
	h.now += time.Minute
	h.handle(Event{Kind: TimerFired})
	if _, left := slow.health.at(h.b.now, h.b.endpoints.halfLife); left >= slownessPerSlot {
		t.Errorf("a minute later %v times slower, which still holds slots", left)
	}
}

// Where answers are lost everywhere each timeout once held slots, by chance, and attempts crowded elsewhere.
func TestWhatAllEndpointsFailAtHoldsNoSlots(t *testing.T) {
	h := newHost(t, testConfig(), readyList(8)...)
	for range 60 {
		id, _ := h.arrive(4)
		h.end(id, 0, Timeout, time.Second)
	}
	h.now += time.Minute
	id, actions := h.arrive(4)
	s := h.b.endpoints.byID[only(t, actions, Send).Endpoint]
	h.end(id, 0, Timeout, time.Second)
	if penalty, _ := s.health.at(h.b.now, h.b.endpoints.halfLife); penalty > 0.1 {
		t.Errorf("a timeout among many holds %.2f slots", penalty)
	}
}

func TestRestartForgetsWhatWasLearnt(t *testing.T) {
	h := newHost(t, testConfig(), readyList(2)...)
	s := h.b.endpoints.byID[1]
	s.health.penalty, s.health.relativeLatency, s.health.updatedAt = 9, 5, h.now
	h.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges,
		Endpoints: []Endpoint{{ID: 1, State: Ready, StartedAt: h.now}}})
	if s.health.penalty != 0 || s.health.relativeLatency != 1 {
		t.Errorf("penalty %v, %v times slower after a restart", s.health.penalty, s.health.relativeLatency)
	}
	if share := h.b.endpoints.loadShare(s, h.b.now); share >= 1 {
		t.Errorf("share %v right after a start", share)
	}
}
