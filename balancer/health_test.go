package balancer

import (
	"testing"
	"time"
)

// A quick error frees its slot at once, which would attract the next attempt. A penalty must keep the slot taken.
func TestFailedAttemptKeepsItsSlotTaken(t *testing.T) {
	for _, o := range []Outcome{Error, Timeout, ConnectFailed, Reset, Rejected} {
		cfg := testConfig()
		cfg.Limits.MaxAttempts = 1
		h := newHost(t, cfg, readyList(3)...)
		id, actions := h.arrive(4)
		bad := onlyAction(t, actions, Send).Endpoint
		h.end(id, 0, o, ms)
		for range 2 {
			if _, actions := h.arrive(4); onlyAction(t, actions, Send).Endpoint == bad {
				t.Errorf("outcome %d: the failed endpoint was picked again at once", o)
			}
		}
		h.now += time.Minute
		h.handle(Event{Kind: TimerFired})
		if penalty, _ := h.b.endpoints.byID[bad].health.at(h.b.now, h.b.endpoints.halfLife); penalty > 0.01 {
			t.Errorf("outcome %d: got penalty %v after a minute, want at most 0.01", o, penalty)
		}
	}
}

func TestFailureOfAllEndpointsExcludesNone(t *testing.T) {
	h := newHost(t, testConfig(), readyList(3)...)
	for range 60 {
		id, actions := h.arrive(4)
		onlyAction(t, actions, Send)
		h.end(id, 0, Error, ms)
	}
	_, actions := h.arrive(4)
	onlyAction(t, actions, Send)
}

func TestSlowEndpointRanksBelowIdleOne(t *testing.T) {
	h := newHost(t, testConfig(), readyList(2)...)
	h.b.stats.typicalLatency[0] = 0.05
	slow := h.b.endpoints.byID[1]
	for range 3 {
		h.b.recordOutcome(slow, 0, OK, 300*ms)
	}
	for range 2 {
		if _, actions := h.arrive(0); onlyAction(t, actions, Send).Endpoint == 1 {
			t.Errorf("an endpoint of relative latency %v was picked before an idle one", slow.health.relativeLatency)
		}
	}
	h.now += time.Minute
	h.handle(Event{Kind: TimerFired})
	if _, left := slow.health.at(h.b.now, h.b.endpoints.halfLife); left >= slownessPerSlot {
		t.Errorf("after a minute got relative latency %v, want below slownessPerSlot", left)
	}
}

// Guards against penalties for timeouts that all endpoints have: they fall on endpoints by chance, and the attempts
// would concentrate on the others.
func TestFailureCommonToAllEndpointsAddsNoPenalty(t *testing.T) {
	h := newHost(t, testConfig(), readyList(8)...)
	for range 60 {
		id, _ := h.arrive(4)
		h.end(id, 0, Timeout, time.Second)
	}
	h.now += time.Minute
	id, actions := h.arrive(4)
	s := h.b.endpoints.byID[onlyAction(t, actions, Send).Endpoint]
	h.end(id, 0, Timeout, time.Second)
	if penalty, _ := s.health.at(h.b.now, h.b.endpoints.halfLife); penalty > 0.1 {
		t.Errorf("got penalty %.2f for a timeout among many, want at most 0.1", penalty)
	}
}

func TestRestartResetsHealth(t *testing.T) {
	h := newHost(t, testConfig(), readyList(2)...)
	s := h.b.endpoints.byID[1]
	s.health.penalty, s.health.relativeLatency, s.health.updatedAt = 9, 5, h.now
	h.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges,
		Endpoints: []Endpoint{{ID: 1, State: Ready, StartedAt: h.now}}})
	if s.health.penalty != 0 || s.health.relativeLatency != 1 {
		t.Errorf("after a restart got penalty %v, relative latency %v, want 0 and 1",
			s.health.penalty, s.health.relativeLatency)
	}
	if share := h.b.endpoints.loadShare(s, h.b.now); share >= 1 {
		t.Errorf("got load share %v right after a start, want below 1", share)
	}
}
