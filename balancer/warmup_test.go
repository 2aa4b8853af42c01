package balancer

import (
	"testing"
	"time"
)

// Replicas with less than an attempt each for an endpoint that warms up must not all send at once.
func TestWarmUpBudgetOverManyReplicas(t *testing.T) {
	const replicas, endpoints, perSecond = 12, 10, 10 // of each replica
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
			if only(t, actions, Send).Endpoint == 99 {
				toWarmingUp = append(toWarmingUp, now-born)
			}
			h.end(id, 0, OK, 5*ms)
		}
	}
	// A warm endpoint bears 12 attempts a second; the budget of any span at age a is
	// multiple x (capacity at a) x that.
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
			t.Errorf("%v after its start: %d attempts within %v, budget %.1f", from, sent, span, budget)
		}
	}
	if len(toWarmingUp) < 10 {
		t.Errorf("an endpoint that warms up got only %d attempts", len(toWarmingUp))
	}
}

// Overload once raised the warm-up budget: attempts that are rejected or time out say nothing of what an endpoint
// can do.
func TestWarmUpBudgetGoesByAttemptsServed(t *testing.T) {
	cfg := testConfig()
	cfg.Limits.MaxAttempts = 1
	h := newHost(t, cfg, readyList(10)...)
	for range 200 {
		h.now += 20 * ms
		id, _ := h.arrive(4)
		h.end(id, 0, Rejected, 0)
	}
	if rate := h.b.endpoints.served.add(h.b.now, 0); rate > 0.01 {
		t.Errorf("%.2f attempts served a second, of none", rate)
	}
	id, _ := h.arrive(4)
	h.end(id, 0, OK, ms)
	if h.b.endpoints.served.add(h.b.now, 0) <= 0.01 {
		t.Error("a served attempt did not count")
	}
}

// Replicas that saved a whole attempt each for an endpoint that warmed up once sent them all at once.
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
		t.Errorf("%d replicas would send to an endpoint that warms up at once", ready)
	}
}

// A clock that is an hour ahead, another machine's or this one's before it was set back, keeps no endpoint cold for
// longer than the warm-up, and later lists that state the same start don't begin that anew.
func TestStartAheadOfTheClockCountsFromWhenItIsStated(t *testing.T) {
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
			t.Errorf("list %d: started at %v, want %v; may get a share of %v", version, e.StartedAt, began, share)
		}
	}
	h.now = began + warmUp
	h.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges, Version: 14, Endpoints: []Endpoint{ahead}})
	if _, share := state(); share < 1 {
		t.Errorf("after the warm-up it may get a share of %v", share)
	}
}
