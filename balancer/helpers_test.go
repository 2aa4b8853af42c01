package balancer

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// host drives one Balancer with a manual clock and keeps the actions of the latest event.
type host struct {
	t       testing.TB
	b       *Balancer
	now     time.Duration
	next    RequestID
	actions []Action
}

// newHost returns a host whose Balancer got endpoints in a cached list.
func newHost(t testing.TB, cfg Config, endpoints ...Endpoint) *host {
	h := &host{t: t, b: New(cfg, 1), now: time.Hour}
	h.handle(Event{Kind: EndpointListUpdated, ListKind: ListCached, Endpoints: endpoints})
	return h
}

// handle passes an event to the Balancer and returns the actions.
func (h *host) handle(ev Event) []Action {
	h.actions = h.b.Handle(h.now, ev, nil)
	return h.actions
}

// arrive passes a new request of a class and returns its identifier and the actions.
func (h *host) arrive(class int) (RequestID, []Action) {
	return h.arriveWithKey(class, 0, 2*time.Second)
}

// arriveWithKey passes a new request with a class, a key and the time until the client's deadline.
func (h *host) arriveWithKey(class int, key uint64, remaining time.Duration) (RequestID, []Action) {
	h.next++
	return h.next, h.handle(Event{Kind: RequestArrived, Request: h.next, Class: class, Key: key, Remaining: remaining})
}

// end ends an attempt with an outcome, some time after it was sent.
func (h *host) end(id RequestID, attempt int, o Outcome, after time.Duration) []Action {
	r := h.b.requests[id]
	s := r.attempts[attempt].ID
	h.now = r.sentAt + after
	return h.handle(Event{Kind: AttemptEnded, Request: id, Attempt: attempt, Outcome: o, RequestClosed: o == OK,
		Endpoint: s, Elapsed: after})
}

// onlyAction returns the only action other than Log and fails the test unless there is exactly one, of the given
// kind.
func onlyAction(t testing.TB, actions []Action, kind ActionKind) Action {
	t.Helper()
	var found []Action
	for _, a := range actions {
		if a.Kind != Log {
			found = append(found, a)
		}
	}
	if len(found) != 1 || found[0].Kind != kind {
		t.Fatalf("got %+v, want one action of kind %d", actions, kind)
	}
	return found[0]
}

// testConfig returns a Config with class 0 safe, class 1 keyed with GroupAll, class 2 keyed with GroupZone, class 3
// keyed with GroupCell and class 4 unsafe.
func testConfig() Config {
	class := func(e Effect, g Group) Class {
		return Class{LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1, LateWeight: 0.5,
			Effect: e, Group: g, IdempotencyWindow: 300 * ms}
	}
	return Config{
		Classes: []Class{class(Safe, 0), class(Keyed, GroupAll), class(Keyed, GroupZone), class(Keyed, GroupCell),
			class(Unsafe, 0)},
		Tiers: 1, ReplicaCount: 1,
		Limits: Limits{MaxAttempts: 3, MaxRetryAfter: 400 * ms, SendRetryAfter: true, AllowCancel: true,
			ConnectTimeout: 100 * ms},
		Contract: Contract{DrainGrace: 500 * ms, MaxPollInterval: 10 * time.Second, InitialCapacity: 0.2,
			WarmUpPeriod:     10 * time.Second,
			OverloadMultiple: 2, OverloadPeriod: time.Second},
	}
}

// ready returns a list entry of a ready endpoint.
func ready(id EndpointID) Endpoint { return Endpoint{ID: id, State: Ready} }

// readyList returns ready entries with identifiers 1 to n.
func readyList(n int) (list []Endpoint) {
	for i := range n {
		list = append(list, ready(EndpointID(i+1)))
	}
	return list
}
