package balancer

import (
	"testing"
	"time"
)

// What a late list would have said counts all the same: the first request for it is made at once, and one that
// failed is repeated within a second.
func TestListIsRequestedSoon(t *testing.T) {
	// whatever the settings allow
	for _, within := range []time.Duration{500 * ms, 10 * time.Second, 10 * time.Minute} {
		cfg := testConfig()
		cfg.Subscribe, cfg.Contract.MaxPollInterval = true, within
		h := newHost(t, cfg, readyList(2)...)
		for _, most := range []time.Duration{350 * ms, 700 * ms} {
			if a := only(t, h.actions, SetTimer); a.Delay > min(most, within) {
				t.Errorf("of %v: after %d failures the list is asked for in %v", within, h.b.poll.failures, a.Delay)
			}
			h.handle(Event{Kind: TimerFired})
			h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFailed})
		}
	}
}

// A service that rejects calls at once, as an overloaded one does, is asked often enough to be heard before what it
// could not tell of is breached, and from then on at most twice as often as that needs: all replicas ask at once,
// and each rejection costs the service work.
func TestOverloadedDiscoveryIsAskedInTime(t *testing.T) {
	const rejection = 20 * ms
	const callsAtMost = 2*pollsBeforeBreach + 1 // on average, from a change to its breach
	for _, within := range []time.Duration{500 * ms, 10 * time.Second, 10 * time.Minute} {
		for seed := range uint64(20) {
			cfg := testConfig()
			cfg.Subscribe = true
			cfg.Contract.MaxPollInterval = within
			cfg.Contract.DrainGrace = time.Second
			breach := min(within, unseenChangeDelay) + cfg.Contract.DrainGrace - maxSendDelay
			h := newHost(t, cfg, readyList(2)...)
			h.b.random = generator{seed}
			h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull, Endpoints: readyList(2)})
			h.handle(Event{Kind: TimerFired, Token: pollToken}) // set at the start
			answeredAt := h.now
			var calls []time.Duration
			delay := only(t, h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFailed}), SetTimer).Delay
			for h.now < answeredAt+10*breach {
				h.now += delay
				calls = append(calls, h.now)
				h.handle(Event{Kind: TimerFired, Token: pollToken})
				h.now += rejection
				delay = only(t, h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFailed}), SetTimer).Delay
			}
			if third := calls[2] - answeredAt; third > breach {
				t.Errorf("of %v, seed %d: the third call comes %v after the answer", within, seed, third)
			}
			for i := range len(calls) - pollsBeforeBreach {
				if took := calls[i+pollsBeforeBreach] - calls[i]; took > breach+pollsBeforeBreach*rejection {
					t.Errorf("of %v, seed %d: %d calls take %v", within, seed, pollsBeforeBreach, took)
				}
			}
			if len(calls) > 10*callsAtMost {
				t.Errorf("of %v, seed %d: %d calls in %v", within, seed, len(calls), 10*breach)
			}
		}
	}
}

func TestListsDecideWhoIsSentTo(t *testing.T) {
	h := newHost(t, testConfig(), readyList(3)...)
	sends := func() map[EndpointID]bool {
		got := map[EndpointID]bool{}
		var out []RequestID
		for range 4 {
			id, actions := h.arrive(0)
			for _, a := range actions {
				if a.Kind == Send {
					got[a.Endpoint] = true
					out = append(out, id)
				}
			}
		}
		for _, id := range out {
			h.end(id, 0, OK, ms)
		}
		return got
	}
	h.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges, Endpoints: []Endpoint{{ID: 2, State: Draining}}})
	if got := sends(); got[2] || !got[1] || !got[3] {
		t.Errorf("2 drains: sent to %v", got)
	}
	h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull,
		Endpoints: []Endpoint{{ID: 2, State: Ready, Kind: 99, Cell: 200}, ready(1)}})
	if got := sends(); got[3] || !got[1] || !got[2] {
		t.Errorf("3 is absent from the full list: sent to %v", got)
	}
	h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFailed})
	if got := sends(); len(got) != 2 {
		t.Errorf("after a failed request: sent to %v", got)
	}
	h.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges,
		Endpoints: []Endpoint{{ID: 1, State: Gone}, {ID: 8, State: Gone}}})
	if got := sends(); len(got) != 1 || !got[2] {
		t.Errorf("1 is gone: sent to %v", got)
	}
	h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull})
	_, actions := h.arrive(4)
	only(t, actions, Shed)
}

func TestListIsRequestedAgainAfterAFailure(t *testing.T) {
	cfg := testConfig()
	cfg.Subscribe = true
	h := newHost(t, cfg, readyList(1)...)
	for try := range 4 {
		timer := only(t, h.actions, SetTimer)
		if timer.Delay <= 0 || timer.Delay > cfg.Contract.MaxPollInterval {
			t.Errorf("try %d: asked after %v", try, timer.Delay)
		}
		h.now += timer.Delay
		if a := only(t, h.handle(Event{Kind: TimerFired, Token: timer.Token}), Subscribe); !a.Enabled {
			t.Error("subscription turned off")
		}
		h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFailed})
	}
	h = newHost(t, testConfig(), readyList(1)...)
	if len(h.actions) > 0 {
		t.Errorf("asked for a list that comes unasked: %+v", h.actions)
	}
}

// newWrongListHost returns a host whose lists may be wrong, unless gone binds.
func newWrongListHost(t *testing.T, binds bool) *host {
	cfg := testConfig()
	cfg.Contract.OnlyDrainingBinds = !binds
	return newHost(t, cfg, readyList(10)...)
}

// A list that named a whole tier gone while it served once ended all service, and the limit began anew.
func TestEmptyListIsDoubtedWhereOnlyDrainingBinds(t *testing.T) {
	h := newWrongListHost(t, false)
	h.b.limiter.maxIFR = 12
	h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull})
	if h.b.limiter.maxIFR != 12 || h.b.limiter.ceiling != maxSlots*10 {
		t.Errorf("limit %v of %v", h.b.limiter.maxIFR, h.b.limiter.ceiling)
	}
	_, actions := h.arrive(4)
	only(t, actions, Send)
	h = newWrongListHost(t, true)
	h.b.limiter.maxIFR = 12
	h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull})
	_, actions = h.arrive(4)
	only(t, actions, Shed)
	h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull, Endpoints: readyList(10)})
	if h.b.limiter.maxIFR != 12 {
		t.Errorf("after an empty list the limit began anew at %v", h.b.limiter.maxIFR)
	}
}

// Endpoints left out rank behind the listed ones until they have served, and last once an attempt has failed.
func TestAttemptsOutweighTheList(t *testing.T) {
	h := newWrongListHost(t, false)
	h.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges, Endpoints: []Endpoint{{ID: 1}, {ID: 2}}})
	alive, dead := h.b.endpoints.byID[1], h.b.endpoints.byID[2]
	if alive.suspicion() == 0 || !h.b.endpoints.usable(alive, h.b.now) {
		t.Fatal("an endpoint left out is not a candidate behind the listed ones")
	}
	h.b.recordOutcome(alive, 0, OK, 100*ms)
	h.b.recordOutcome(dead, 0, ConnectFailed, 100*ms)
	if alive.suspicion() != 0 || dead.suspicion() < maxPenalty || h.b.endpoints.subset.available != 9 {
		t.Errorf("suspicions %d and %d, %d endpoints counted", alive.suspicion(), dead.suspicion(),
			h.b.endpoints.subset.available)
	}
	h.now += time.Duration(retentionPeriods)*h.b.cfg.Contract.WarmUpPeriod + time.Second
	h.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges})
	if len(h.b.endpoints.listed) != 8 || len(h.b.endpoints.byID) != 8 {
		t.Errorf("%d endpoints are remembered for ever", len(h.b.endpoints.listed))
	}
}

// An old list names drained endpoints ready and gives older starts. It may come out of order, or from a discovery
// service that lags behind: what drains goes on draining until its next start, and an endpoint that warms up goes on
// warming up. One as new as the last is believed: an operator may cancel a drain.
func TestListOfAnEarlierVersion(t *testing.T) {
	for _, c := range []struct {
		version uint64
		started time.Duration // against the first list
		usable  bool
	}{{6, 0, false}, {7, 0, true}, {8, 0, true}, {6, ms, true}} {
		h := newHost(t, testConfig(), readyList(3)...)
		start := h.now
		first := []Endpoint{{ID: 1, State: Draining, StartedAt: start}, ready(2),
			{ID: 3, State: Ready, StartedAt: start}}
		h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull, Version: 7, Endpoints: first})
		again := []Endpoint{{ID: 1, State: Ready, StartedAt: start + c.started}, ready(2), {ID: 3, State: Ready}}
		h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull, Version: c.version, Endpoints: again})
		if got := h.b.endpoints.usable(h.b.endpoints.byID[1], h.b.now); got != c.usable {
			t.Errorf("%+v: usable %v", c, got)
		}
		if c.version < 7 && h.b.endpoints.byID[3].StartedAt != start {
			t.Errorf("%+v: an endpoint that warms up counts as warm", c)
		}
		h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull, Version: c.version, Endpoints: again})
		if !h.b.endpoints.usable(h.b.endpoints.byID[1], h.b.now) {
			t.Errorf("%+v: once more at that version, it is not believed", c)
		}
	}
}

// The same where the endpoint is gone and forgotten by then: an earlier list doesn't bring it back, its next start or a
// list as new as the last does.
func TestListOfAnEarlierVersionBringsNothingBack(t *testing.T) {
	for _, tc := range []struct {
		version uint64
		started time.Duration
		usable  bool
	}{{6, 0, false}, {7, 0, true}, {8, 0, true}, {6, ms, true}} {
		h := newHost(t, testConfig(), readyList(3)...)
		h.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges, Version: 7, Endpoints: []Endpoint{{ID: 1}}})
		if h.b.endpoints.byID[1] != nil {
			t.Fatal("an endpoint that is gone is still known")
		}
		again := []Endpoint{{ID: 1, State: Ready, StartedAt: tc.started}, ready(2), ready(3)}
		h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull, Version: tc.version, Endpoints: again})
		if got := h.b.endpoints.usable(h.b.endpoints.byID[1], h.b.now); got != tc.usable {
			t.Errorf("%+v: usable %v", tc, got)
		}
		h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull, Version: tc.version, Endpoints: again})
		if !h.b.endpoints.usable(h.b.endpoints.byID[1], h.b.now) {
			t.Errorf("%+v: once more at that version, it is not believed", tc)
		}
	}
}

// Guards against requests to removed endpoints that an older list brings back, once so many were removed that the memory
// of them was cleared: that of the last ones of the largest deployment stays, and is bounded.
func TestWithdrawalsOfTheLargestListAreRemembered(t *testing.T) {
	withdrawn := newWithdrawals()
	const count = 3 * maxListed
	for id := range EndpointID(count) {
		withdrawn.add(&endpoint{Endpoint: Endpoint{ID: id}})
		if held := len(withdrawn.recent) + len(withdrawn.previous); held > 2*maxListed {
			t.Fatalf("%d are remembered", held)
		}
	}
	for id := EndpointID(count - maxListed); id < count; id++ {
		if !withdrawn.rejects(&Endpoint{ID: id, State: Ready}, true) {
			t.Fatalf("withdrawal %d of %d is forgotten", id, count)
		}
	}
	last := &Endpoint{ID: count - 1, State: Ready}
	if withdrawn.rejects(last, false) || withdrawn.rejects(last, true) {
		t.Error("a newer list does not end the memory of a withdrawal")
	}
}

func TestOldListEndsNoDrainAndNoWarmUp(t *testing.T) {
	h := newWrongListHost(t, false)
	h.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges,
		Endpoints: []Endpoint{{ID: 1, State: Draining}, {ID: 2, State: Ready, StartedAt: h.now}}})
	h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull}) // gone after draining
	h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull, Endpoints: readyList(10)})
	if h.b.endpoints.usable(h.b.endpoints.byID[1], h.b.now) {
		t.Error("a drained endpoint is sent to again")
	}
	if s := h.b.endpoints.byID[2]; s.StartedAt != h.now || h.b.endpoints.loadShare(s, h.b.now) >= 1 {
		t.Error("an endpoint that warms up counts as warm")
	}
	h.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges,
		Endpoints: []Endpoint{{ID: 1, State: Ready, StartedAt: h.now + ms}}})
	if !h.b.endpoints.usable(h.b.endpoints.byID[1], h.b.now) {
		t.Error("an endpoint started again is not sent to")
	}
}
