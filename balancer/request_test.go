package balancer

import (
	"testing"
	"time"
)

// Attempts were once cut short to leave time for another: with the work of all tiers doubled or nothing gained.
func TestAttemptsGetAllTheTimeLeft(t *testing.T) {
	h := newHost(t, testConfig(), readyList(3)...)
	h.b.stats.typicalLatency[0] = 0.1
	_, actions := h.arrive(0)
	if a := only(t, actions, Send); a.Timeout != 2*time.Second {
		t.Errorf("timeout %v, want all the time left", a.Timeout)
	}
}

// Each kind of effect against each outcome of a first attempt at endpoint 1 (zone 0, cell 0). Endpoint 2 shares its
// cell, endpoint 3 only its zone, endpoint 4 neither.
func TestRetriesByEffectAndOutcome(t *testing.T) {
	cfg := testConfig()
	cfg.Zone = 9 // no endpoint is nearer than another
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
			// first ends the first attempt and returns what follows.
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
					only(t, actions, answer)
					break
				}
				got[only(t, actions, Send).Endpoint] = true
			}
			if len(got) != len(want) {
				t.Errorf("class %d, outcome %d: resent to %v, want %v", class, o, got, want)
			}
			for _, id := range want {
				if !got[id] {
					t.Errorf("class %d, outcome %d: never resent to %d", class, o, id)
				}
			}
			if actions := first(1, 300*ms); class != 0 && !o.NeverRan() {
				only(t, actions, answer) // past the idempotency window
			} else {
				only(t, actions, Send)
			}
		}
	}
}

func TestAttemptsAreBounded(t *testing.T) {
	h := newHost(t, testConfig(), readyList(5)...)
	id, actions := h.arrive(0)
	for attempt := range 2 {
		only(t, actions, Send)
		actions = h.end(id, attempt, Rejected, ms)
	}
	only(t, actions, Send)
	only(t, h.end(id, 2, Rejected, ms), Shed)
	if len(h.b.requests) != 0 || h.b.attempts.inFlight != 0 {
		t.Errorf("%d requests and %d attempts are left", len(h.b.requests), h.b.attempts.inFlight)
	}
	for _, ev := range []Event{{Kind: AttemptEnded, Request: id, Attempt: 2}, {Kind: ClientLeft, Request: id},
		{Kind: AttemptEnded, Request: 999}, {Kind: ProbeEnded}, {Kind: PeerMessageReceived},
		{Kind: StreamStarted, Request: id}} {
		if actions := h.handle(ev); len(actions) > 0 {
			t.Errorf("%+v on an ended request gave %+v", ev, actions)
		}
	}
}

func TestAnswersBeforeTheDeadline(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[0].LateWeight = 0
	h := newHost(t, cfg, readyList(3)...)
	arrive := func(class int, left time.Duration) []Action {
		h.next++
		return h.handle(Event{Kind: RequestArrived, Request: h.next, Class: class, Remaining: left})
	}
	if a := only(t, arrive(4, 700*ms), Send); a.Timeout > 700*ms {
		t.Errorf("timeout %v beyond the time left", a.Timeout)
	}
	if a := only(t, arrive(0, 2*time.Second), Send); a.Timeout >= time.Second {
		t.Errorf("timeout %v beyond the objective, after which an answer is worth nothing", a.Timeout)
	}
	only(t, arrive(4, 0), Shed)
	only(t, arrive(4, ms), Shed)
	only(t, h.end(1, 0, Timeout, 700*ms), Fail)
}

func TestAttemptIsCancelledWhenTheClientLeaves(t *testing.T) {
	h := newHost(t, testConfig(), readyList(3)...)
	id, _ := h.arrive(0)
	only(t, h.handle(Event{Kind: ClientLeft, Request: id}), Cancel)
	if actions := h.end(id, 0, Cancelled, ms); len(actions) > 0 || len(h.b.requests) > 0 {
		t.Errorf("after the client left: %+v", actions)
	}
}

func TestOutcomesHaveNames(t *testing.T) {
	seen := map[string]bool{}
	for o := OK; o <= NotSent; o++ {
		if name := o.String(); name == "" || name == "unknown" || seen[name] {
			t.Errorf("outcome %d is called %q", o, name)
		}
		seen[o.String()] = true
	}
	if Outcome(250).String() != "unknown" {
		t.Error("an unknown outcome has a name")
	}
}

// A repeat is dropped by its key when it arrives within the idempotency window, not when it is sent.
func TestKeyedWorkKeepsAMarginOfItsIdempotencyWindow(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		want  ActionKind
	}{{250 * ms, Send}, {280 * ms, Shed}} { // of 300 ms
		h := newHost(t, testConfig(), readyList(3)...)
		id, _ := h.arrive(1)
		a := only(t, h.end(id, 0, Error, c.after), c.want)
		if a.Kind == Send && c.after+a.WriteTimeout != 270*ms {
			t.Errorf("sent again after %v, to be written within %v", c.after, a.WriteTimeout)
		}
	}
}

// What was not executed, or is safe, may be sent again at any time while an answer is wanted.
func TestOnlyKeyedRepeatsHaveAWriteTimeout(t *testing.T) {
	for _, c := range []struct {
		name  string
		class int
		o     Outcome
		soon  bool
	}{{"safe", 0, Reset, false}, {"keyed, never ran", 1, ConnectFailed, false}, {"keyed", 1, Reset, true},
		{"unsafe, never ran", 4, Rejected, false}} {
		h := newHost(t, testConfig(), readyList(3)...)
		id, first := h.arrive(c.class)
		if a := only(t, first, Send); a.WriteTimeout != a.Timeout {
			t.Errorf("%s: first to be written within %v of %v", c.name, a.WriteTimeout, a.Timeout)
		}
		if a := only(t, h.end(id, 0, c.o, 10*ms), Send); a.WriteTimeout < a.Timeout != c.soon {
			t.Errorf("%s: again to be written within %v of %v", c.name, a.WriteTimeout, a.Timeout)
		}
	}
}

// The list may name an endpoint gone, and nothing else of it, while its attempt is in flight: the group in which a
// repeat is dropped stays that of the endpoint as it was when the attempt was sent.
func TestGroupOfKeyedWorkOutlivesItsEndpoint(t *testing.T) {
	h := newHost(t, testConfig(), Endpoint{ID: 1, State: Ready, Zone: 1, Cell: 5})
	id, _ := h.arrive(3)
	h.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges,
		Endpoints: []Endpoint{{ID: 1, State: Gone}, ready(2)}})
	only(t, h.end(id, 0, Error, 10*ms), Fail) // endpoint 2 is in cell 0
}

// A list may move the endpoint to another group while its attempt is in flight, and bring others into the old group.
func TestGroupOfKeyedWorkIsThatOfTheMomentItWasSent(t *testing.T) {
	for _, c := range []struct {
		cell int // of the only other endpoint
		want ActionKind
	}{{5, Send}, {6, Fail}} {
		h := newHost(t, testConfig(), Endpoint{ID: 1, State: Ready, Zone: 1, Cell: 5})
		id, _ := h.arrive(3)
		h.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges,
			Endpoints: []Endpoint{{ID: 1, State: Ready, Cell: 6}, {ID: 2, State: Ready, Cell: c.cell}}})
		only(t, h.end(id, 0, Error, 10*ms), c.want)
	}
}

// A request whose body is consumed is sent once, whatever its class allows; and it may be shed while it was not
// executed.
func TestConsumedRequestsAreSentOnce(t *testing.T) {
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
		only(t, actions, tc.want)
	}
}
