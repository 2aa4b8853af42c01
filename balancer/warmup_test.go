package balancer

import (
	"testing"
	"time"
)

// Replicas whose part of a warm-up budget is less than one attempt must not all send at once.
func TestWarmUpBudgetOverManyReplicas(t *testing.T) {
	const replicas, endpoints, perSecond = 12, 10, 10 // requests per second of each replica
	cfg := testConfig()
	cfg.ReplicaCount = replicas
	list := readyList(endpoints)
	hosts := make([]*host, replicas)
	for i := range hosts {
		cfg.ReplicaIndex = i
		hosts[i] = newHost(t, cfg, list...)
		hosts[i].b.random.state = uint64(i) << 20
	}
	var toWarmingUp []time.Duration
	start := hosts[0].now
	step := time.Second / perSecond
	born := start + 10*time.Second
	for now := start; now < born+8*time.Second; now += step {
		for _, h := range hosts {
			if h.now = now; now == born {
				h.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges,
					Endpoints: []Endpoint{{ID: 99, State: Ready, StartedAt: born}}})
			}
			id, actions := h.arrive(0)
			if onlyAction(t, actions, Send).Endpoint == 99 {
				toWarmingUp = append(toWarmingUp, now-born)
			}
			h.end(id, 0, OK, 5*ms)
		}
	}
	// A warm endpoint gets 12 attempts per second. The budget of any span at age a is multiple x (capacity at a) x 12.
	span := cfg.Contract.OverloadPeriod
	for from := time.Duration(0); from < 8*time.Second; from += 100 * ms {
		sent := 0
		for _, at := range toWarmingUp {
			if at >= from && at < from+span {
				sent++
			}
		}
		initial, warmUp := cfg.Contract.InitialCapacity, float64(cfg.Contract.WarmUpPeriod)
		capacity := float64(replicas*perSecond) / endpoints * (initial + (1-initial)*float64(from)/warmUp)
		if budget := cfg.Contract.OverloadMultiple * capacity * span.Seconds(); float64(sent) > budget {
			t.Errorf("%v after the start: got %d attempts within %v, budget %.1f", from, sent, span, budget)
		}
	}
	if len(toWarmingUp) < 10 {
		t.Errorf("got %d attempts at the endpoint that warms up, want at least 10", len(toWarmingUp))
	}
}

// Guards against a warm-up budget that grows with overload: rejected and timed-out attempts say nothing about the
// capacity of an endpoint.
func TestWarmUpBudgetCountsOnlyServedAttempts(t *testing.T) {
	cfg := testConfig()
	cfg.Limits.MaxAttempts = 1
	h := newHost(t, cfg, readyList(10)...)
	for range 200 {
		h.now += 20 * ms
		id, _ := h.arrive(4)
		h.end(id, 0, Rejected, 0)
	}
	if rate := h.b.endpoints.served.add(h.b.now, 0); rate > 0.01 {
		t.Errorf("got %.2f served attempts per second, want 0", rate)
	}
	id, _ := h.arrive(4)
	h.end(id, 0, OK, ms)
	if h.b.endpoints.served.add(h.b.now, 0) <= 0.01 {
		t.Error("a served attempt was not counted")
	}
}

// Guards against replicas that each save a whole attempt for an endpoint that warms up and send them all at once.
func TestUnusedWarmUpCreditExpires(t *testing.T) {
	cfg := testConfig()
	cfg.ReplicaCount = 100
	ready := 0
	for i := range 100 {
		cfg.ReplicaIndex = i
		h := newHost(t, cfg, readyList(10)...)
		h.b.random.state = uint64(i) << 20
		h.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges,
			Endpoints: []Endpoint{{ID: 99, State: Ready, StartedAt: h.now}}})
		h.now += 3 * time.Second
		if s := h.b.endpoints.byID[99]; s.inSubset && h.b.endpoints.withinWarmUpBudget(s, h.b.now) {
			ready++
		}
	}
	if ready > 3 {
		t.Errorf("got %d replicas that could send to the warming endpoint at once, want at most 3", ready)
	}
}

// Guards against a start time in the future, from a wrong clock of another machine or of this one before a
// correction. It must not keep an endpoint cold beyond the warm-up period, and later lists with the same start must not
// restart the warm-up.
func TestFutureStartCountsFromFirstListing(t *testing.T) {
	h := newHost(t, testConfig(), readyList(2)...)
	ahead := Endpoint{ID: 1, State: Ready, StartedAt: h.now + time.Hour}
	began := h.now
	state := func() (*endpoint, float64) {
		e := h.b.endpoints.byID[1]
		return e, h.b.endpoints.loadShare(e, h.b.now)
	}
	warmUp := h.b.cfg.Contract.WarmUpPeriod
	for version := range uint64(4) {
		h.now = began + time.Duration(version)*warmUp/4
		h.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges, Version: 10 + version, Endpoints: []Endpoint{ahead}})
		if e, share := state(); e.StartedAt != began || share >= 1 {
			t.Errorf("list %d: got start %v, want %v; got load share %v, want below 1",
				version, e.StartedAt, began, share)
		}
	}
	h.now = began + warmUp
	h.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges, Version: 14, Endpoints: []Endpoint{ahead}})
	if _, share := state(); share < 1 {
		t.Errorf("after the warm-up got load share %v, want 1", share)
	}
}
