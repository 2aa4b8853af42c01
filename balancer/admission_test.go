package balancer

import (
	"testing"
	"time"
)

func TestShedsAtTheLimitAtOnce(t *testing.T) {
	h := newHost(t, testConfig(), readyList(2)...)
	h.b.limiter.maxIFR = 5
	for i := range 5 {
		if _, actions := h.arrive(0); only(t, actions, Send).Timeout <= 0 {
			t.Fatalf("request %d was not sent with a timeout", i)
		}
	}
	_, actions := h.arrive(0)
	if a := only(t, actions, Shed); a.RetryAfter <= 0 || a.RetryAfter > 400*ms {
		t.Errorf("retry-after %v", a.RetryAfter)
	}
	h.end(1, 0, OK, 10*ms)
	_, actions = h.arrive(0)
	only(t, actions, Send)
}

func TestDeeperTiersShedWithoutRetryAfter(t *testing.T) {
	cfg := testConfig()
	cfg.Tiers, cfg.Tier = 3, 1
	h := newHost(t, cfg)
	_, actions := h.arrive(4)
	if a := only(t, actions, Shed); a.RetryAfter != 0 {
		t.Errorf("retry-after %v at a deeper tier", a.RetryAfter)
	}
	if h.b.limiter.lmax >= lmaxShare || h.b.limiter.lmax <= lmaxShare/3 {
		t.Errorf("Lmax %v of a middle tier", h.b.limiter.lmax)
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
	only(t, arrive(0, 0), Send) // in quota: 15 of 20
	only(t, arrive(0, 1), Send) // its quota allows two
	only(t, arrive(0, 1), Send)
	h.b.attempts.inFlight = 15
	only(t, arrive(0, 1), Shed)
	only(t, arrive(0, 7), Send) // a tenant that no setting names
}

// At the limit the class of the highest priority once was shed as often as the others.
func TestLowestPriorityIsShedFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[0].PriorityWeight, cfg.Classes[1].PriorityWeight = 1, 12
	h := newHost(t, cfg, readyList(4)...)
	h.b.limiter.maxIFR, h.b.attempts.inFlight = 14, 12
	_, actions := h.arrive(0)
	only(t, actions, Shed)
	_, actions = h.arrive(1)
	only(t, actions, Send)
}

// A class that hangs at every endpoint once filled the limit with attempts that came to nothing (id1a221).
func TestClassThatFailsEverywhereIsShedFirst(t *testing.T) {
	h := newHost(t, testConfig(), readyList(8)...)
	for range 60 {
		// the retries stay out: the limit is set below, and must not bind before
		h.b.limiter.maxIFR = h.b.limiter.ceiling
		if id, _ := h.arrive(0); h.b.requests[id] != nil {
			h.end(id, 0, Timeout, time.Second)
		}
		id, _ := h.arrive(4)
		h.end(id, 0, OK, 100*ms)
	}
	h.b.limiter.maxIFR, h.b.attempts.inFlight, h.b.limiter.burstCredit = 20, 15, 0
	_, actions := h.arrive(0)
	only(t, actions, Shed)
	_, actions = h.arrive(4)
	only(t, actions, Send)
	sent := false
	for range 400 { // it is tried again before long
		_, actions := h.arrive(0)
		sent = sent || actions[0].Kind == Send
	}
	if !sent {
		t.Error("the class is shut out")
	}
}
