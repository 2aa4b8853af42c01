package balancer

import (
	"testing"
	"time"
)

// List changes bind even before a list reports them. The first list is therefore requested without delay, and a
// failed request is repeated within a second.
func TestListIsRequestedSoonAfterStartAndFailure(t *testing.T) {
	// at any MaxPollInterval
	for _, within := range []time.Duration{500 * ms, 10 * time.Second, 10 * time.Minute} {
		cfg := testConfig()
		cfg.Subscribe, cfg.Contract.MaxPollInterval = true, within
		h := newHost(t, cfg, readyList(2)...)
		for _, most := range []time.Duration{350 * ms, 700 * ms} {
			if a := onlyAction(t, h.actions, SetTimer); a.Delay > min(most, within) {
				t.Errorf("interval %v, %d failures: got a poll delay of %v", within, h.b.poll.failures, a.Delay)
			}
			h.handle(Event{Kind: TimerFired})
			h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFailed})
		}
	}
}

// An overloaded discovery service rejects calls at once. Replicas must poll it often enough to get an answer before
// they breach an unreported change, but at most about twice as often as that needs: all replicas poll at the same
// time, and each rejection costs the service work.
func TestOverloadedDiscoveryIsPolledOftenEnough(t *testing.T) {
	const rejection = 20 * ms
	const callsAtMost = 2*pollsBeforeBreach + 1 // mean number of calls between a change and its breach
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
			h.handle(Event{Kind: TimerFired, Token: pollToken}) // the timer that the start has set
			answeredAt := h.now
			var calls []time.Duration
			delay := onlyAction(t, h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFailed}), SetTimer).Delay
			for h.now < answeredAt+10*breach {
				h.now += delay
				calls = append(calls, h.now)
				h.handle(Event{Kind: TimerFired, Token: pollToken})
				h.now += rejection
				delay = onlyAction(t, h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFailed}), SetTimer).Delay
			}
			if third := calls[2] - answeredAt; third > breach {
				t.Errorf("interval %v, seed %d: got the third call %v after the answer", within, seed, third)
			}
			for i := range len(calls) - pollsBeforeBreach {
				if took := calls[i+pollsBeforeBreach] - calls[i]; took > breach+pollsBeforeBreach*rejection {
					t.Errorf("interval %v, seed %d: %d calls took %v", within, seed, pollsBeforeBreach, took)
				}
			}
			if len(calls) > 10*callsAtMost {
				t.Errorf("interval %v, seed %d: got %d calls in %v", within, seed, len(calls), 10*breach)
			}
		}
	}
}

func TestListSelectsEndpoints(t *testing.T) {
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
		t.Errorf("with endpoint 2 draining got attempts to %v, want 1 and 3", got)
	}
	h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull,
		Endpoints: []Endpoint{{ID: 2, State: Ready, Kind: 99, Cell: 200}, ready(1)}})
	if got := sends(); got[3] || !got[1] || !got[2] {
		t.Errorf("with endpoint 3 omitted from a full list got attempts to %v, want 1 and 2", got)
	}
	h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFailed})
	if got := sends(); len(got) != 2 {
		t.Errorf("after a failed list request got attempts to %v, want 1 and 2", got)
	}
	h.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges,
		Endpoints: []Endpoint{{ID: 1, State: Gone}, {ID: 8, State: Gone}}})
	if got := sends(); len(got) != 1 || !got[2] {
		t.Errorf("with endpoint 1 gone got attempts to %v, want 2 only", got)
	}
	h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull})
	_, actions := h.arrive(4)
	onlyAction(t, actions, Shed)
}

func TestListIsRequestedAgainAfterAFailure(t *testing.T) {
	cfg := testConfig()
	cfg.Subscribe = true
	h := newHost(t, cfg, readyList(1)...)
	for try := range 4 {
		timer := onlyAction(t, h.actions, SetTimer)
		if timer.Delay <= 0 || timer.Delay > cfg.Contract.MaxPollInterval {
			t.Errorf("try %d: got a poll delay of %v, want it positive and within MaxPollInterval", try, timer.Delay)
		}
		h.now += timer.Delay
		if a := onlyAction(t, h.handle(Event{Kind: TimerFired, Token: timer.Token}), Subscribe); !a.Enabled {
			t.Error("got Subscribe with Enabled false, want true")
		}
		h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFailed})
	}
	h = newHost(t, testConfig(), readyList(1)...)
	if len(h.actions) > 0 {
		t.Errorf("without Subscribe got actions %+v, want none", h.actions)
	}
}

// newWrongListHost returns a host with OnlyDrainingBinds, unless binds states that gone binds as well.
func newWrongListHost(t *testing.T, binds bool) *host {
	cfg := testConfig()
	cfg.Contract.OnlyDrainingBinds = !binds
	return newHost(t, cfg, readyList(10)...)
}

// Guards against a list that wrongly omits a whole tier: it must neither end all service nor reset the limit.
func TestEmptyListKeepsEndpointsIfOnlyDrainingBinds(t *testing.T) {
	h := newWrongListHost(t, false)
	h.b.limiter.maxIFR = 12
	h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull})
	if h.b.limiter.maxIFR != 12 || h.b.limiter.ceiling != maxSlots*10 {
		t.Errorf("got limit %v, ceiling %v, want both unchanged", h.b.limiter.maxIFR, h.b.limiter.ceiling)
	}
	_, actions := h.arrive(4)
	onlyAction(t, actions, Send)
	h = newWrongListHost(t, true)
	h.b.limiter.maxIFR = 12
	h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull})
	_, actions = h.arrive(4)
	onlyAction(t, actions, Shed)
	h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull, Endpoints: readyList(10)})
	if h.b.limiter.maxIFR != 12 {
		t.Errorf("after an empty list got limit %v, want 12", h.b.limiter.maxIFR)
	}
}

// Endpoints that the list omits rank after the listed ones until an attempt succeeds, and last once one fails.
func TestAttemptResultsOverrideList(t *testing.T) {
	h := newWrongListHost(t, false)
	h.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges, Endpoints: []Endpoint{{ID: 1}, {ID: 2}}})
	alive, dead := h.b.endpoints.byID[1], h.b.endpoints.byID[2]
	if alive.suspicion() == 0 || !h.b.endpoints.usable(alive, h.b.now) {
		t.Fatal("an endpoint listed as gone is not usable with a rank after the listed ones")
	}
	h.b.recordOutcome(alive, 0, OK, 100*ms)
	h.b.recordOutcome(dead, 0, ConnectFailed, 100*ms)
	if alive.suspicion() != 0 || dead.suspicion() < maxPenalty || h.b.endpoints.subset.available != 9 {
		t.Errorf("got suspicion %d after success, %d after failure, %d available endpoints, want 9",
			alive.suspicion(), dead.suspicion(), h.b.endpoints.subset.available)
	}
	h.now += time.Duration(retentionPeriods)*h.b.cfg.Contract.WarmUpPeriod + time.Second
	h.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges})
	if len(h.b.endpoints.listed) != 8 || len(h.b.endpoints.byID) != 8 {
		t.Errorf("got %d endpoints after the retention period, want 8", len(h.b.endpoints.listed))
	}
}

// A list of an older version, out of order or from a lagging discovery service, may name drained endpoints ready and
// state older starts. A drain must last until the endpoint's next start, and a warm-up must continue. A list of the
// same version applies, since an operator may cancel a drain.
func TestOlderListEndsNeitherDrainNorWarmUp(t *testing.T) {
	for _, c := range []struct {
		version uint64
		started time.Duration // relative to the start in the first list
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
			t.Errorf("%+v: got usable %v", c, got)
		}
		if c.version < 7 && h.b.endpoints.byID[3].StartedAt != start {
			t.Errorf("%+v: the older list changed the start of an endpoint that warms up", c)
		}
		h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull, Version: c.version, Endpoints: again})
		if !h.b.endpoints.usable(h.b.endpoints.byID[1], h.b.now) {
			t.Errorf("%+v: a second list of the same version was not applied", c)
		}
	}
}

// A removed endpoint must not be restored by a list of an older version, but by its next start or by a list that is at
// least as new as the last.
func TestOlderListDoesNotRestoreWithdrawnEndpoint(t *testing.T) {
	for _, tc := range []struct {
		version uint64
		started time.Duration
		usable  bool
	}{{6, 0, false}, {7, 0, true}, {8, 0, true}, {6, ms, true}} {
		h := newHost(t, testConfig(), readyList(3)...)
		h.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges, Version: 7, Endpoints: []Endpoint{{ID: 1}}})
		if h.b.endpoints.byID[1] != nil {
			t.Fatal("a gone endpoint is still in the set, want it removed")
		}
		again := []Endpoint{{ID: 1, State: Ready, StartedAt: tc.started}, ready(2), ready(3)}
		h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull, Version: tc.version, Endpoints: again})
		if got := h.b.endpoints.usable(h.b.endpoints.byID[1], h.b.now); got != tc.usable {
			t.Errorf("%+v: got usable %v", tc, got)
		}
		h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull, Version: tc.version, Endpoints: again})
		if !h.b.endpoints.usable(h.b.endpoints.byID[1], h.b.now) {
			t.Errorf("%+v: a second list of the same version was not applied", tc)
		}
	}
}

// Guards against an older list that restores removed endpoints after many withdrawals. The last maxListed withdrawals
// must be kept, and their number must be bounded.
func TestWithdrawalsOfLargestListAreKept(t *testing.T) {
	withdrawn := newWithdrawals()
	const count = 3 * maxListed
	for id := range EndpointID(count) {
		withdrawn.add(&endpoint{Endpoint: Endpoint{ID: id}})
		if held := len(withdrawn.recent) + len(withdrawn.previous); held > 2*maxListed {
			t.Fatalf("got %d withdrawals held, want at most 2*maxListed", held)
		}
	}
	for id := EndpointID(count - maxListed); id < count; id++ {
		if !withdrawn.rejects(&Endpoint{ID: id, State: Ready}, true) {
			t.Fatalf("withdrawal %d of %d is lost", id, count)
		}
	}
	last := &Endpoint{ID: count - 1, State: Ready}
	if withdrawn.rejects(last, false) || withdrawn.rejects(last, true) {
		t.Error("a newer list does not remove a withdrawal")
	}
}

func TestStaleListEndsNeitherDrainNorWarmUp(t *testing.T) {
	h := newWrongListHost(t, false)
	h.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges,
		Endpoints: []Endpoint{{ID: 1, State: Draining}, {ID: 2, State: Ready, StartedAt: h.now}}})
	h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull}) // gone after draining
	h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull, Endpoints: readyList(10)})
	if h.b.endpoints.usable(h.b.endpoints.byID[1], h.b.now) {
		t.Error("a drained endpoint is usable, want unusable")
	}
	if s := h.b.endpoints.byID[2]; s.StartedAt != h.now || h.b.endpoints.loadShare(s, h.b.now) >= 1 {
		t.Error("a stale list ended the warm-up of an endpoint")
	}
	h.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges,
		Endpoints: []Endpoint{{ID: 1, State: Ready, StartedAt: h.now + ms}}})
	if !h.b.endpoints.usable(h.b.endpoints.byID[1], h.b.now) {
		t.Error("a restarted endpoint is unusable, want usable")
	}
}
