package balancer

import (
	"testing"
	"time"
)

func TestRequestAtLimitIsShed(t *testing.T) {
	h := newHost(t, testConfig(), readyList(2)...)
	h.b.limiter.maxIFR = 5
	for i := range 5 {
		if _, actions := h.arrive(0); onlyAction(t, actions, Send).Timeout <= 0 {
			t.Fatalf("request %d was not sent with a timeout", i)
		}
	}
	_, actions := h.arrive(0)
	if a := onlyAction(t, actions, Shed); a.RetryAfter <= 0 || a.RetryAfter > 400*ms {
		t.Errorf("got retry-after %v, want more than 0 and at most 400ms", a.RetryAfter)
	}
	h.end(1, 0, OK, 10*ms)
	_, actions = h.arrive(0)
	onlyAction(t, actions, Send)
}

func TestDeeperTiersShedWithoutRetryAfter(t *testing.T) {
	cfg := testConfig()
	cfg.Tiers, cfg.Tier = 3, 1
	h := newHost(t, cfg)
	_, actions := h.arrive(4)
	if a := onlyAction(t, actions, Shed); a.RetryAfter != 0 {
		t.Errorf("got retry-after %v at a deeper tier, want 0", a.RetryAfter)
	}
	if h.b.limiter.lmax >= lmaxShare || h.b.limiter.lmax <= lmaxShare/3 {
		t.Errorf("got Lmax %v at a middle tier, want between a third and all of the front's", h.b.limiter.lmax)
	}
}

func TestTenantsAboveTheirQuotaAreShedFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants = []Tenant{{Quota: 1000}, {Quota: 1}}
	h := newHost(t, cfg, readyList(2)...)
	h.b.limiter.maxIFR = 20
	h.b.attempts.inFlight = 15
	arrive := func(class, tenant int) []Action {
		h.next++
		return h.handle(Event{Kind: RequestArrived, Request: h.next, Class: class, Tenant: tenant,
			Remaining: time.Second})
	}
	onlyAction(t, arrive(0, 0), Send) // within its quota; 15 of 20 slots are taken
	onlyAction(t, arrive(0, 1), Send) // the quota of tenant 1 allows two requests
	onlyAction(t, arrive(0, 1), Send)
	h.b.attempts.inFlight = 15
	onlyAction(t, arrive(0, 1), Shed)
	onlyAction(t, arrive(0, 7), Send) // a tenant without settings
}

// Guards against shedding the class of the highest priority as often as the others at the limit.
func TestLowestPriorityIsShedFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[0].PriorityWeight, cfg.Classes[1].PriorityWeight = 1, 12
	h := newHost(t, cfg, readyList(4)...)
	h.b.limiter.maxIFR, h.b.attempts.inFlight = 14, 12
	_, actions := h.arrive(0)
	onlyAction(t, actions, Shed)
	_, actions = h.arrive(1)
	onlyAction(t, actions, Send)
}

// Guards against a class that hangs at every endpoint and fills the limit with failing attempts (id1a221).
func TestClassThatFailsEverywhereIsShedFirst(t *testing.T) {
	h := newHost(t, testConfig(), readyList(8)...)
	for range 60 {
		// keeps the limit from binding here; it is set below
		h.b.limiter.maxIFR = h.b.limiter.ceiling
		if id, _ := h.arrive(0); h.b.requests[id] != nil {
			h.end(id, 0, Timeout, time.Second)
		}
		id, _ := h.arrive(4)
		h.end(id, 0, OK, 100*ms)
	}
	h.b.limiter.maxIFR, h.b.attempts.inFlight, h.b.limiter.burstCredit = 20, 15, 0
	_, actions := h.arrive(0)
	onlyAction(t, actions, Shed)
	_, actions = h.arrive(4)
	onlyAction(t, actions, Send)
	sent := false
	for range 400 { // the class must be tried again before long
		_, actions := h.arrive(0)
		sent = sent || actions[0].Kind == Send
	}
	if !sent {
		t.Error("all 400 requests of the failing class were shed, want some sent")
	}
}
