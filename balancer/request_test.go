package balancer

import (
	"testing"
	"time"
)

// Guards against shorter timeouts that leave time for a retry: they doubled the work of all tiers or gained nothing.
func TestTimeoutIsAllTimeLeft(t *testing.T) {
	h := newHost(t, testConfig(), readyList(3)...)
	h.b.stats.typicalLatency[0] = 0.1
	_, actions := h.arrive(0)
	if a := onlyAction(t, actions, Send); a.Timeout != 2*time.Second {
		t.Errorf("got timeout %v, want all the time left, 2s", a.Timeout)
	}
}

// Checks each kind of effect with each outcome of a first attempt at endpoint 1 (zone 0, cell 0). Endpoint 2 is in the
// same cell, endpoint 3 only in the same zone, endpoint 4 in neither.
func TestRetriesByEffectAndOutcome(t *testing.T) {
	cfg := testConfig()
	cfg.Zone = 9 // not the zone of any endpoint
	endpoints := []Endpoint{ready(1), {ID: 2, State: Ready}, {ID: 3, State: Ready, Cell: 1},
		{ID: 4, State: Ready, Zone: 1, Cell: 2}}
	all, none := []EndpointID{2, 3, 4}, []EndpointID(nil)
	mayRun := [][]EndpointID{all, all, {2, 3}, {2}, none}
	answers := []ActionKind{Shed, Shed, Fail, Fail, Fail}
	for class := range mayRun {
		for _, o := range []Outcome{Error, Rejected, Timeout, ConnectFailed, Reset, Cancelled, NotSent} {
			want, answer := mayRun[class], answers[class]
			if o.NeverRan() {
				want, answer = all, Shed
			}
			// first ends the first attempt and returns the resulting actions.
			first := func(seed uint64, late time.Duration) []Action {
				h := newHost(t, cfg, endpoints[0])
				h.b.random.state = seed
				id, _ := h.arrive(class)
				h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull, Endpoints: endpoints})
				return h.end(id, 0, o, 10*ms+late)
			}
			got := map[EndpointID]bool{}
			for seed := range uint64(40) {
				actions := first(seed, 0)
				if len(want) == 0 {
					onlyAction(t, actions, answer)
					break
				}
				got[onlyAction(t, actions, Send).Endpoint] = true
			}
			if len(got) != len(want) {
				t.Errorf("class %d, outcome %d: got retries at %v, want %v", class, o, got, want)
			}
			for _, id := range want {
				if !got[id] {
					t.Errorf("class %d, outcome %d: got no retry at endpoint %d", class, o, id)
				}
			}
			if actions := first(1, 300*ms); class != 0 && !o.NeverRan() {
				onlyAction(t, actions, answer) // after the idempotency window
			} else {
				onlyAction(t, actions, Send)
			}
		}
	}
}

func TestAttemptsAreBounded(t *testing.T) {
	h := newHost(t, testConfig(), readyList(5)...)
	id, actions := h.arrive(0)
	for attempt := range 2 {
		onlyAction(t, actions, Send)
		actions = h.end(id, attempt, Rejected, ms)
	}
	onlyAction(t, actions, Send)
	onlyAction(t, h.end(id, 2, Rejected, ms), Shed)
	if len(h.b.requests) != 0 || h.b.attempts.inFlight != 0 {
		t.Errorf("got %d open requests and %d attempts in flight, want none", len(h.b.requests), h.b.attempts.inFlight)
	}
	for _, ev := range []Event{{Kind: AttemptEnded, Request: id, Attempt: 2}, {Kind: ClientLeft, Request: id},
		{Kind: AttemptEnded, Request: 999}, {Kind: ProbeEnded}, {Kind: PeerMessageReceived},
		{Kind: StreamStarted, Request: id}} {
		if actions := h.handle(ev); len(actions) > 0 {
			t.Errorf("event %+v after the end of the request gave actions %+v, want none", ev, actions)
		}
	}
}

func TestTimeoutEndsByDeadline(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[0].LateWeight = 0
	h := newHost(t, cfg, readyList(3)...)
	arrive := func(class int, left time.Duration) []Action {
		h.next++
		return h.handle(Event{Kind: RequestArrived, Request: h.next, Class: class, Remaining: left})
	}
	if a := onlyAction(t, arrive(4, 700*ms), Send); a.Timeout > 700*ms {
		t.Errorf("got timeout %v, want at most the time left, 700ms", a.Timeout)
	}
	if a := onlyAction(t, arrive(0, 2*time.Second), Send); a.Timeout >= time.Second {
		t.Errorf("got timeout %v, want less than the objective, as late answers have no value", a.Timeout)
	}
	onlyAction(t, arrive(4, 0), Shed)
	onlyAction(t, arrive(4, ms), Shed)
	onlyAction(t, h.end(1, 0, Timeout, 700*ms), Fail)
}

func TestAttemptIsCancelledWhenTheClientLeaves(t *testing.T) {
	h := newHost(t, testConfig(), readyList(3)...)
	id, _ := h.arrive(0)
	onlyAction(t, h.handle(Event{Kind: ClientLeft, Request: id}), Cancel)
	if actions := h.end(id, 0, Cancelled, ms); len(actions) > 0 || len(h.b.requests) > 0 {
		t.Errorf("after the client left got actions %+v, want none and no open request", actions)
	}
}

func TestOutcomesHaveNames(t *testing.T) {
	seen := map[string]bool{}
	for o := OK; o <= NotSent; o++ {
		if name := o.String(); name == "" || name == "unknown" || seen[name] {
			t.Errorf("outcome %d: got name %q, want a unique one", o, name)
		}
		seen[o.String()] = true
	}
	if Outcome(250).String() != "unknown" {
		t.Error("an invalid outcome has a name, want \"unknown\"")
	}
}

// An endpoint drops a repeat that arrives within the idempotency window, whenever it was sent. Retries therefore need
// a margin.
func TestKeyedRetryKeepsMarginOfIdempotencyWindow(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		want  ActionKind
	}{{250 * ms, Send}, {280 * ms, Shed}} { // of 300 ms
		h := newHost(t, testConfig(), readyList(3)...)
		id, _ := h.arrive(1)
		a := onlyAction(t, h.end(id, 0, Error, c.after), c.want)
		if a.Kind == Send && c.after+a.WriteTimeout != 270*ms {
			t.Errorf("retry after %v: got write timeout %v, want the sum to be 270ms", c.after, a.WriteTimeout)
		}
	}
}

// Safe requests and requests that never ran may be retried at any time until the deadline.
func TestOnlyKeyedRetriesHaveShorterWriteTimeout(t *testing.T) {
	for _, c := range []struct {
		name  string
		class int
		o     Outcome
		soon  bool
	}{{"safe", 0, Reset, false}, {"keyed, never ran", 1, ConnectFailed, false}, {"keyed", 1, Reset, true},
		{"unsafe, never ran", 4, Rejected, false}} {
		h := newHost(t, testConfig(), readyList(3)...)
		id, first := h.arrive(c.class)
		if a := onlyAction(t, first, Send); a.WriteTimeout != a.Timeout {
			t.Errorf("%s: first attempt has write timeout %v, timeout %v, want them equal",
				c.name, a.WriteTimeout, a.Timeout)
		}
		if a := onlyAction(t, h.end(id, 0, c.o, 10*ms), Send); a.WriteTimeout < a.Timeout != c.soon {
			t.Errorf("%s: retry has write timeout %v, timeout %v", c.name, a.WriteTimeout, a.Timeout)
		}
	}
}

// A list may name an endpoint gone, without zone and cell, while its attempt is in flight. The group for retries must
// stay that of the endpoint when the attempt was sent.
func TestKeyedRetryUsesGroupOfGoneEndpoint(t *testing.T) {
	h := newHost(t, testConfig(), Endpoint{ID: 1, State: Ready, Zone: 1, Cell: 5})
	id, _ := h.arrive(3)
	h.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges,
		Endpoints: []Endpoint{{ID: 1, State: Gone}, ready(2)}})
	onlyAction(t, h.end(id, 0, Error, 10*ms), Fail) // endpoint 2 is in cell 0
}

// A list may move the endpoint to another group while its attempt is in flight, and other endpoints into the old one.
func TestKeyedRetryUsesGroupAtSendTime(t *testing.T) {
	for _, c := range []struct {
		cell int // cell of the only other endpoint
		want ActionKind
	}{{5, Send}, {6, Fail}} {
		h := newHost(t, testConfig(), Endpoint{ID: 1, State: Ready, Zone: 1, Cell: 5})
		id, _ := h.arrive(3)
		h.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges,
			Endpoints: []Endpoint{{ID: 1, State: Ready, Cell: 6}, {ID: 2, State: Ready, Cell: c.cell}}})
		onlyAction(t, h.end(id, 0, Error, 10*ms), c.want)
	}
}

// A request whose body is consumed must not be retried, whatever its class. It may be shed if it was not executed.
func TestConsumedRequestIsNotRetried(t *testing.T) {
	for _, tc := range []struct {
		outcome Outcome
		want    ActionKind
	}{{ConnectFailed, Shed}, {NotSent, Shed}, {Error, Fail}} {
		h := newHost(t, testConfig(), readyList(3)...)
		id, _ := h.arrive(3)
		r := h.b.requests[id]
		h.now += 10 * ms
		actions := h.handle(Event{Kind: AttemptEnded, Request: id, Endpoint: r.attempts[0].ID, Outcome: tc.outcome,
			BodyConsumed: true, Elapsed: 10 * ms})
		onlyAction(t, actions, tc.want)
	}
}
