package balancer

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// node drives one Balancer with a hand-set clock and keeps what it answered.
type node struct {
	t    testing.TB
	b    *Balancer
	now  time.Duration
	next RequestID
	acts []Action
}

func newNode(t testing.TB, cfg Config, servers ...Endpoint) *node {
	n := &node{t: t, b: New(cfg, 1), now: time.Hour}
	n.handle(Event{Kind: EndpointListUpdated, ListKind: ListCached, Endpoints: servers})
	return n
}

func (n *node) handle(ev Event) []Action {
	n.acts = n.b.Handle(n.now, ev, nil)
	return n.acts
}

// arrive brings a request of a class and returns its id and what was done.
func (n *node) arrive(class int) (RequestID, []Action) {
	return n.keyed(class, 0, 2*time.Second)
}

// keyed brings a request of a class with a key, for a client that waits for a time.
func (n *node) keyed(class int, key uint64, remaining time.Duration) (RequestID, []Action) {
	n.next++
	return n.next, n.handle(Event{Kind: RequestArrived, Request: n.next, Class: class, Key: key, Remaining: remaining})
}

func (n *node) end(id RequestID, attempt int, o Outcome, after time.Duration) []Action {
	r := n.b.requests[id]
	s := r.attempts[attempt].ID
	n.now = r.sentAt + after
	return n.handle(Event{Kind: AttemptEnded, Request: id, Attempt: attempt, Outcome: o, RequestClosed: o == OK, Endpoint: s, Elapsed: after})
}

func only(t testing.TB, acts []Action, kind ActionKind) Action {
	t.Helper()
	var found []Action
	for _, a := range acts {
		if a.Kind != Log {
			found = append(found, a)
		}
	}
	if len(found) != 1 || found[0].Kind != kind {
		t.Fatalf("got %+v, want one action of kind %d", acts, kind)
	}
	return found[0]
}

// classes: 0 safe, 1 keyed in all, 2 keyed in a zone, 3 keyed in a cell, 4 unsafe.
func testConfig() Config {
	class := func(e Effect, g Group) Class {
		return Class{LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1, LateWeight: 0.5, Effect: e, Group: g, IdempotencyWindow: 300 * ms}
	}
	return Config{
		Classes: []Class{class(Safe, 0), class(Keyed, GroupAll), class(Keyed, GroupZone), class(Keyed, GroupCell), class(Unsafe, 0)},
		Tiers:   1, ReplicaCount: 1,
		Limits: Limits{MaxAttempts: 3, MaxRetryAfter: 400 * ms, SendRetryAfter: true, AllowCancel: true, ConnectTimeout: 100 * ms},
		Contract: Contract{DrainGrace: 500 * ms, MaxPollInterval: 10 * time.Second, InitialCapacity: 0.2, WarmUpPeriod: 10 * time.Second,
			OverloadMultiple: 2, OverloadPeriod: time.Second},
	}
}

func up(id EndpointID) Endpoint { return Endpoint{ID: id, State: Ready} }

func fleet(n int) (list []Endpoint) {
	for i := range n {
		list = append(list, up(EndpointID(i+1)))
	}
	return list
}

// feed gives the limiter samples, all of one latency, and ends its window.
func feed(n *node, latency time.Duration) {
	for range minRequests {
		n.b.limiter.window.addLatency(latency, n.b.cfg.Classes[0].LatencyObjective)
	}
	n.now = max(n.now, n.b.limiter.windowEnd)
	n.handle(Event{Kind: TimerFired})
}

func TestLimiter(t *testing.T) {
	n := newNode(t, testConfig(), fleet(10)...)
	b := n.b
	if b.limiter.maxIFR != initialSeats*10 || b.limiter.floor != 10 || b.limiter.ceiling != maxSeats*10 {
		t.Fatalf("initial %v, floor %v, ceiling %v", b.limiter.maxIFR, b.limiter.floor, b.limiter.ceiling)
	}
	feed(n, 900*ms)
	if b.limiter.maxIFR != initialSeats*10*backoffRatio {
		t.Errorf("above Lmax: %v", b.limiter.maxIFR)
	}
	was := b.limiter.maxIFR
	feed(n, 100*ms)
	if b.limiter.maxIFR != was+1 {
		t.Errorf("below Lmax: %v, want %v", b.limiter.maxIFR, was+1)
	}
	for range 50 {
		feed(n, 900*ms)
	}
	if b.limiter.maxIFR != b.limiter.floor {
		t.Errorf("limit %v is not at its floor %v", b.limiter.maxIFR, b.limiter.floor)
	}
	for range 200 {
		feed(n, 100*ms)
	}
	if b.limiter.maxIFR != b.limiter.ceiling {
		t.Errorf("limit %v is not at its ceiling %v", b.limiter.maxIFR, b.limiter.ceiling)
	}
}

// A calm front is not to be shed: on the quiet days of a chain of three tiers
// its two copies held 10 calls for each server of the first, each call half an
// aim and more, and the ceiling alone refused one invocation in ten.
func TestCalmFrontRefusesNothing(t *testing.T) {
	cfg := testConfig()
	cfg.Tiers, cfg.ReplicaCount = 3, 2
	n := newNode(t, cfg, fleet(4)...)
	for range 20 {
		var open []RequestID
		for range 40 {
			id, acts := n.arrive(0)
			only(t, acts, Send)
			open = append(open, id)
		}
		for _, id := range open {
			n.end(id, 0, OK, 550*ms)
		}
	}
}

// A release takes servers out and brings others: the limit keeps its seats for
// each, or it regrows by one a window while clients are refused; and a quiet
// front, some 20 answers a second, ends a window within half of one.
func TestLimitMovesWithTheServers(t *testing.T) {
	n := newNode(t, testConfig(), fleet(8)...)
	feed(n, 900*ms)
	seats := n.b.limiter.maxIFR / 8
	for _, servers := range []int{4, 2, 6, 8} {
		n.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull, Endpoints: fleet(servers)})
		if got := n.b.limiter.maxIFR / float64(servers); got < 0.999*seats || got > 1.001*seats {
			t.Errorf("%d servers: %v seats each, want %v", servers, got, seats)
		}
	}
	was := n.b.limiter.maxIFR
	for range 10 {
		n.b.limiter.window.addLatency(100*ms, n.b.cfg.Classes[0].LatencyObjective)
	}
	n.now += time.Second
	if n.handle(Event{Kind: TimerFired}); n.b.limiter.maxIFR <= was {
		t.Errorf("ten quick answers leave the limit at %v", n.b.limiter.maxIFR)
	}
}

// While the other copy restarts, one carries more than its load: its limit must be
// able to grow, yet not to twice as much, at which gateways jam (0.27 at 16 seats).
func TestOneCopyGrowsBeyondItsLoad(t *testing.T) {
	cfg := testConfig()
	cfg.Tiers, cfg.ReplicaCount = 3, 2
	n := newNode(t, cfg, fleet(2)...)
	for range 60 {
		feed(n, 500*ms)
	}
	if got := n.b.limiter.maxIFR; got < 1.2*initialSeats*3 {
		t.Errorf("the limit grows to %v only", got)
	}
}

// A list that is late counts as told all the same: the first call is made at
// once, and one that failed again within a second.
func TestTheListIsAskedForSoon(t *testing.T) {
	for _, within := range []time.Duration{500 * ms, 10 * time.Second, 10 * time.Minute} { // whatever the settings allow
		cfg := testConfig()
		cfg.Subscribe, cfg.Contract.MaxPollInterval = true, within
		n := newNode(t, cfg, fleet(2)...)
		for _, most := range []time.Duration{350 * ms, 700 * ms} {
			if a := only(t, n.acts, SetTimer); a.Delay > min(most, within) {
				t.Errorf("of %v: after %d failures the list is asked for in %v", within, n.b.poll.failures, a.Delay)
			}
			n.handle(Event{Kind: TimerFired})
			n.handle(Event{Kind: EndpointListUpdated, ListKind: ListFailed})
		}
	}
}

// Each crossing of zones is priced. A copy whose zone has its part of the
// servers stays there while they are idle, however few they are, and is not
// sent home to another zone by its place on the ring; a zone with too few left
// is helped by the others.
func TestCallsStayInTheirZone(t *testing.T) {
	for _, tc := range []struct{ servers, own, least, most int }{{21, 7, 100, 100}, {12, 4, 100, 100}, {21, 2, 0, 60}} {
		for self := range 12 {
			cfg := testConfig()
			cfg.Tier, cfg.Tiers, cfg.ReplicaCount, cfg.ReplicaIndex, cfg.Zone = 1, 3, 12, self, 2
			servers := fleet(tc.servers)
			for i := range servers {
				if servers[i].Zone = i % 2; i < tc.own {
					servers[i].Zone = 2
				}
			}
			n, stayed := newNode(t, cfg, servers...), 0
			for range 100 {
				id, acts := n.arrive(0)
				if int(only(t, acts, Send).Endpoint) <= tc.own {
					stayed++
				}
				n.end(id, 0, OK, 100*ms)
			}
			if stayed < tc.least || stayed > tc.most {
				t.Errorf("copy %d, %d of %d servers in its zone: %d%% of its calls stay", self, tc.own, tc.servers, stayed)
			}
		}
	}
}

func TestTooFewSamplesHoldTheLimitAndAreCarriedOver(t *testing.T) {
	n := newNode(t, testConfig(), fleet(10)...)
	for range minRequests - 1 {
		n.b.limiter.window.addLatency(900*ms, n.b.cfg.Classes[0].LatencyObjective)
	}
	n.now += time.Minute
	n.handle(Event{Kind: TimerFired})
	if n.b.limiter.maxIFR != initialSeats*10 {
		t.Fatalf("limit moved to %v on too few samples", n.b.limiter.maxIFR)
	}
	n.b.limiter.window.addLatency(900*ms, n.b.cfg.Classes[0].LatencyObjective)
	n.handle(Event{Kind: TimerFired})
	if n.b.limiter.maxIFR >= initialSeats*10 {
		t.Errorf("limit stayed at %v: samples were lost", n.b.limiter.maxIFR)
	}
}

// The bounds were once set before the first list, and the limit began at its floor.
// It is half as high where no class's late answers are worth anything: see kochi-orders in docs/results/rare.
func TestInitialLimitComesWithTheFirstList(t *testing.T) {
	for _, c := range []struct{ late, seats float64 }{{0.5, initialSeats}, {0.01, initialSeats}, {7, initialSeats}, {0, initialSeatsInTime}} {
		cfg := testConfig()
		for i := range cfg.Classes {
			cfg.Classes[i].LateWeight = c.late
		}
		n := newNode(t, cfg)
		n.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull, Endpoints: fleet(20)})
		if n.b.limiter.maxIFR != c.seats*20 {
			t.Errorf("late answers worth %v: limit %v, want %v", c.late, n.b.limiter.maxIFR, c.seats*20)
		}
	}
}

// Errors were once left out: refusals deep in a chain came back as errors and cut nothing at the front.
func TestErrorsDoNotLiftTheLimit(t *testing.T) {
	n := newNode(t, testConfig(), fleet(4)...)
	for _, c := range []struct {
		o    Outcome
		want int
	}{{Error, 1}, {Reset, 0}, {Rejected, 0}, {OK, 1}, {Timeout, 1}, {ConnectFailed, 1}} {
		n.b.limiter.window.count, n.b.stats.typicalLatency[4] = 0, 0.5
		id, _ := n.arrive(4)
		after := 400 * ms
		if c.o == ConnectFailed {
			after = ms
		}
		if c.o == Timeout {
			after = time.Second
		}
		n.end(id, 0, c.o, after)
		if n.b.limiter.window.count != c.want {
			t.Errorf("outcome %d: %d samples, want %d", c.o, n.b.limiter.window.count, c.want)
		}
		if c.o == Error && n.b.limiter.window.values[0] < n.b.limiter.lmax {
			t.Errorf("an error counted as %v aims, below Lmax", n.b.limiter.window.values[0])
		}
		if c.o == ConnectFailed && n.b.limiter.window.values[0] != 0.1 {
			t.Errorf("a failed connection counted as %v aims, want its full wait", n.b.limiter.window.values[0])
		}
	}
}

func TestRefusesAtTheLimitAtOnce(t *testing.T) {
	n := newNode(t, testConfig(), fleet(2)...)
	n.b.limiter.maxIFR = 5
	for i := range 5 {
		if _, acts := n.arrive(0); only(t, acts, Send).Timeout <= 0 {
			t.Fatalf("request %d was not sent with a time-out", i)
		}
	}
	_, acts := n.arrive(0)
	if a := only(t, acts, Shed); a.RetryAfter <= 0 || a.RetryAfter > 400*ms {
		t.Errorf("retry-after %v", a.RetryAfter)
	}
	n.end(1, 0, OK, 10*ms)
	_, acts = n.arrive(0)
	only(t, acts, Send)
}

func TestDeeperTiersRefuseWithoutRetryAfter(t *testing.T) {
	cfg := testConfig()
	cfg.Tiers, cfg.Tier = 3, 1
	n := newNode(t, cfg)
	_, acts := n.arrive(4)
	if a := only(t, acts, Shed); a.RetryAfter != 0 {
		t.Errorf("retry-after %v at a deeper tier", a.RetryAfter)
	}
	if n.b.limiter.lmax >= lmaxShare || n.b.limiter.lmax <= lmaxShare/3 {
		t.Errorf("Lmax %v of a middle tier", n.b.limiter.lmax)
	}
}

func TestTenantsAboveTheirQuotaGiveWayFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants = []Tenant{{Quota: 1000}, {Quota: 1}}
	n := newNode(t, cfg, fleet(2)...)
	n.b.limiter.maxIFR = 20
	n.b.attempts.inFlight = 15
	arrive := func(class, tenant int) []Action {
		n.next++
		return n.handle(Event{Kind: RequestArrived, Request: n.next, Class: class, Tenant: tenant, Remaining: time.Second})
	}
	only(t, arrive(0, 0), Send) // in quota: 15 of 20
	only(t, arrive(0, 1), Send) // its quota allows two
	only(t, arrive(0, 1), Send)
	n.b.attempts.inFlight = 15
	only(t, arrive(0, 1), Shed)
	only(t, arrive(0, 7), Send) // a tenant that no setting names
}

func TestPicker(t *testing.T) {
	n := newNode(t, testConfig(), fleet(3)...)
	used := map[EndpointID]int{}
	for range 9 {
		_, acts := n.arrive(0)
		used[only(t, acts, Send).Endpoint]++
	}
	for id, calls := range used {
		if calls != 3 {
			t.Errorf("server %d has %d of 9 calls", id, calls)
		}
	}
	n.end(4, 0, OK, ms)
	freed := n.b.endpoints.byID[1].inFlight + n.b.endpoints.byID[2].inFlight + n.b.endpoints.byID[3].inFlight
	if freed != 8 {
		t.Errorf("%d calls out, want 8", freed)
	}
}

func TestPickerPrefersOwnZoneAmongEquals(t *testing.T) {
	cfg := testConfig()
	cfg.Zone = 1
	n := newNode(t, cfg, Endpoint{ID: 1, State: Ready}, Endpoint{ID: 2, State: Ready, Zone: 1})
	_, first := n.arrive(0)
	_, second := n.arrive(0)
	if only(t, first, Send).Endpoint != 2 || only(t, second, Send).Endpoint != 1 {
		t.Errorf("sent to %v then %v: want the own zone, then the idle server", first, second)
	}
}

// A quick error frees its seat at once and would draw the next pick: it goes on holding it.
func TestFailedCallsHoldTheirSeat(t *testing.T) {
	for _, o := range []Outcome{Error, Timeout, ConnectFailed, Reset, Rejected} {
		cfg := testConfig()
		cfg.Limits.MaxAttempts = 1
		n := newNode(t, cfg, fleet(3)...)
		id, acts := n.arrive(4)
		bad := only(t, acts, Send).Endpoint
		n.end(id, 0, o, ms)
		for range 2 {
			if _, acts := n.arrive(4); only(t, acts, Send).Endpoint == bad {
				t.Errorf("outcome %d: picked again at once", o)
			}
		}
		n.now += time.Minute
		n.handle(Event{Kind: TimerFired})
		if held, _ := n.b.endpoints.byID[bad].health.at(n.b.now, n.b.endpoints.halfLife); held > 0.01 {
			t.Errorf("outcome %d: still holds %v seats a minute later", o, held)
		}
	}
}

func TestTroubleOfAllShutsNobodyOut(t *testing.T) {
	n := newNode(t, testConfig(), fleet(3)...)
	for range 60 {
		id, acts := n.arrive(4)
		only(t, acts, Send)
		n.end(id, 0, Error, ms)
	}
	_, acts := n.arrive(4)
	only(t, acts, Send)
}

func TestSlowServersHoldSeats(t *testing.T) {
	n := newNode(t, testConfig(), fleet(2)...)
	n.b.stats.typicalLatency[0] = 0.05
	slow := n.b.endpoints.byID[1]
	for range 3 {
		n.b.recordOutcome(slow, 0, OK, 300*ms)
	}
	for range 2 {
		if _, acts := n.arrive(0); only(t, acts, Send).Endpoint == 1 {
			t.Errorf("%v times slower: picked as if idle", slow.health.relativeLatency)
		}
	}
	n.now += time.Minute
	n.handle(Event{Kind: TimerFired})
	if _, left := slow.health.at(n.b.now, n.b.endpoints.halfLife); left >= slownessPerSeat {
		t.Errorf("a minute later %v times slower, which still holds seats", left)
	}
}

// Attempts were once cut short to leave room for another: with the work of all tiers doubled or nothing gained.
func TestAttemptsGetAllTheTimeLeft(t *testing.T) {
	n := newNode(t, testConfig(), fleet(3)...)
	n.b.stats.typicalLatency[0] = 0.1
	_, acts := n.arrive(0)
	if a := only(t, acts, Send); a.Timeout != 2*time.Second {
		t.Errorf("time-out %v, want all the time left", a.Timeout)
	}
}

// Each kind of effect against each outcome of a first attempt on server 1 (zone 0, cell 0). Server 2 shares
// its cell, server 3 only its zone, server 4 neither.
func TestEffectsAgainstOutcomes(t *testing.T) {
	cfg := testConfig()
	cfg.Zone = 9 // no server is nearer than another
	servers := []Endpoint{up(1), {ID: 2, State: Ready}, {ID: 3, State: Ready, Cell: 1}, {ID: 4, State: Ready, Zone: 1, Cell: 2}}
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
				n := newNode(t, cfg, servers[0])
				n.b.random.state = seed
				id, _ := n.arrive(class)
				n.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull, Endpoints: servers})
				return n.end(id, 0, o, 10*ms+late)
			}
			got := map[EndpointID]bool{}
			for seed := range uint64(40) {
				acts := first(seed, 0)
				if len(want) == 0 {
					only(t, acts, answer)
					break
				}
				got[only(t, acts, Send).Endpoint] = true
			}
			if len(got) != len(want) {
				t.Errorf("class %d, outcome %d: resent to %v, want %v", class, o, got, want)
			}
			for _, id := range want {
				if !got[id] {
					t.Errorf("class %d, outcome %d: never resent to %d", class, o, id)
				}
			}
			if acts := first(1, 300*ms); class != 0 && !o.NeverRan() {
				only(t, acts, answer) // past the memory span
			} else {
				only(t, acts, Send)
			}
		}
	}
}

func TestAttemptsEnd(t *testing.T) {
	n := newNode(t, testConfig(), fleet(5)...)
	id, acts := n.arrive(0)
	for attempt := range 2 {
		only(t, acts, Send)
		acts = n.end(id, attempt, Rejected, ms)
	}
	only(t, acts, Send)
	only(t, n.end(id, 2, Rejected, ms), Shed)
	if len(n.b.requests) != 0 || n.b.attempts.inFlight != 0 {
		t.Errorf("%d requests and %d calls are left", len(n.b.requests), n.b.attempts.inFlight)
	}
	for _, ev := range []Event{{Kind: AttemptEnded, Request: id, Attempt: 2}, {Kind: ClientLeft, Request: id},
		{Kind: AttemptEnded, Request: 999}, {Kind: ProbeEnded}, {Kind: PeerMessageReceived}, {Kind: StreamStarted, Request: id}} {
		if acts := n.handle(ev); len(acts) > 0 {
			t.Errorf("%+v on an ended request gave %+v", ev, acts)
		}
	}
}

func TestAnswersBeforeTheRequestsOwnTimeIsUp(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[0].LateWeight = 0
	n := newNode(t, cfg, fleet(3)...)
	arrive := func(class int, left time.Duration) []Action {
		n.next++
		return n.handle(Event{Kind: RequestArrived, Request: n.next, Class: class, Remaining: left})
	}
	if a := only(t, arrive(4, 700*ms), Send); a.Timeout > 700*ms {
		t.Errorf("time-out %v beyond the time left", a.Timeout)
	}
	if a := only(t, arrive(0, 2*time.Second), Send); a.Timeout >= time.Second {
		t.Errorf("time-out %v beyond the aim, after which an answer is worth nothing", a.Timeout)
	}
	only(t, arrive(4, 0), Shed)
	only(t, arrive(4, ms), Shed)
	only(t, n.end(1, 0, Timeout, 700*ms), Fail)
}

func TestDepartedClientsWorkIsCalledOff(t *testing.T) {
	n := newNode(t, testConfig(), fleet(3)...)
	id, _ := n.arrive(0)
	only(t, n.handle(Event{Kind: ClientLeft, Request: id}), Cancel)
	if acts := n.end(id, 0, Cancelled, ms); len(acts) > 0 || len(n.b.requests) > 0 {
		t.Errorf("after the client left: %+v", acts)
	}
}

func TestLists(t *testing.T) {
	n := newNode(t, testConfig(), fleet(3)...)
	sends := func() map[EndpointID]bool {
		got := map[EndpointID]bool{}
		var out []RequestID
		for range 4 {
			id, acts := n.arrive(0)
			for _, a := range acts {
				if a.Kind == Send {
					got[a.Endpoint] = true
					out = append(out, id)
				}
			}
		}
		for _, id := range out {
			n.end(id, 0, OK, ms)
		}
		return got
	}
	n.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges, Endpoints: []Endpoint{{ID: 2, State: Draining}}})
	if got := sends(); got[2] || !got[1] || !got[3] {
		t.Errorf("2 drains: sent to %v", got)
	}
	n.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull, Endpoints: []Endpoint{{ID: 2, State: Ready, Kind: 99, Cell: 200}, up(1)}})
	if got := sends(); got[3] || !got[1] || !got[2] {
		t.Errorf("3 is absent from the full list: sent to %v", got)
	}
	n.handle(Event{Kind: EndpointListUpdated, ListKind: ListFailed})
	if got := sends(); len(got) != 2 {
		t.Errorf("after a failed call: sent to %v", got)
	}
	n.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges, Endpoints: []Endpoint{{ID: 1, State: Gone}, {ID: 8, State: Gone}}})
	if got := sends(); len(got) != 1 || !got[2] {
		t.Errorf("1 is gone: sent to %v", got)
	}
	n.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull})
	_, acts := n.arrive(4)
	only(t, acts, Shed)
}

func TestListIsAskedForAndAskedAgain(t *testing.T) {
	cfg := testConfig()
	cfg.Subscribe = true
	n := newNode(t, cfg, fleet(1)...)
	for try := range 4 {
		timer := only(t, n.acts, SetTimer)
		if timer.Delay <= 0 || timer.Delay > cfg.Contract.MaxPollInterval {
			t.Errorf("try %d: asked after %v", try, timer.Delay)
		}
		n.now += timer.Delay
		if a := only(t, n.handle(Event{Kind: TimerFired, Token: timer.Token}), Subscribe); !a.Enabled {
			t.Error("subscription turned off")
		}
		n.handle(Event{Kind: EndpointListUpdated, ListKind: ListFailed})
	}
	n = newNode(t, testConfig(), fleet(1)...)
	if len(n.acts) > 0 {
		t.Errorf("asked for a list that comes unasked: %+v", n.acts)
	}
}

func TestRestartForgetsWhatWasKnown(t *testing.T) {
	n := newNode(t, testConfig(), fleet(2)...)
	s := n.b.endpoints.byID[1]
	s.health.penalty, s.health.relativeLatency, s.health.updatedAt = 9, 5, n.now
	n.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges, Endpoints: []Endpoint{{ID: 1, State: Ready, StartedAt: n.now}}})
	if s.health.penalty != 0 || s.health.relativeLatency != 1 {
		t.Errorf("held %v, %v times slower after a restart", s.health.penalty, s.health.relativeLatency)
	}
	if share := n.b.endpoints.loadShare(s, n.b.now); share >= 1 {
		t.Errorf("share %v right after a start", share)
	}
}

// Copies with less than a call each for a cold server must not all send at once.
func TestColdBudgetOverManyCopies(t *testing.T) {
	const copies, servers, perSecond = 12, 10, 10 // each copy
	cfg := testConfig()
	cfg.ReplicaCount = copies
	list := fleet(servers)
	nodes := make([]*node, copies)
	for i := range nodes {
		cfg.ReplicaIndex = i
		nodes[i] = newNode(t, cfg, list...)
		nodes[i].b.random.state = uint64(i) << 20
	}
	var toCold []time.Duration
	start := nodes[0].now
	step := time.Second / perSecond
	born := start + 10*time.Second
	for now := start; now < born+8*time.Second; now += step {
		for _, n := range nodes {
			if n.now = now; now == born {
				n.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges, Endpoints: []Endpoint{{ID: 99, State: Ready, StartedAt: born}}})
			}
			id, acts := n.arrive(0)
			if only(t, acts, Send).Endpoint == 99 {
				toCold = append(toCold, now-born)
			}
			n.end(id, 0, OK, 5*ms)
		}
	}
	// A warm server bears 12 calls a second; the budget of any span at age a is multiple x (cold share at a) x that.
	span := cfg.Contract.OverloadPeriod
	for from := time.Duration(0); from < 8*time.Second; from += 100 * ms {
		sent := 0
		for _, at := range toCold {
			if at >= from && at < from+span {
				sent++
			}
		}
		capacity := float64(copies*perSecond) / servers * (cfg.Contract.InitialCapacity + (1-cfg.Contract.InitialCapacity)*float64(from)/float64(cfg.Contract.WarmUpPeriod))
		if budget := cfg.Contract.OverloadMultiple * capacity * span.Seconds(); float64(sent) > budget {
			t.Errorf("%v after its start: %d calls within %v, budget %.1f", from, sent, span, budget)
		}
	}
	if len(toCold) < 10 {
		t.Errorf("a cold server got only %d calls", len(toCold))
	}
}

// Copies that outnumber the servers hold parts of a few calls or less. Rounded up to whole calls, or to a least
// number of them, these parts once added up to several times what the servers bear.
func TestSmallLimitsAddUpToTheSeatsOfTheServers(t *testing.T) {
	for _, copies := range []int{1, 3, 40, 300} {
		const servers, step = 30, 10 * ms
		cfg := testConfig()
		cfg.ReplicaCount = copies
		nodes := make([]*node, min(copies, 40)) // a sample of the copies
		for i := range nodes {
			cfg.ReplicaIndex = i
			nodes[i] = newNode(t, cfg, fleet(servers)...)
		}
		type call struct {
			id  RequestID
			end time.Duration
		}
		open := make([][]call, len(nodes))
		held, steps := 0, 0
		start := nodes[0].now
		for now := start; now < start+8*time.Second; now += step {
			for i, n := range nodes {
				for len(open[i]) > 0 && open[i][0].end <= now {
					n.end(open[i][0].id, 0, OK, 300*ms)
					open[i] = open[i][1:]
				}
				n.now = now
				for range max(1, 20*servers/copies/5) { // far more than fits
					if id, acts := n.arrive(0); acts[0].Kind == Send {
						open[i] = append(open[i], call{id, now + 300*ms})
					}
				}
				if now >= start+4*time.Second {
					held += len(open[i])
				}
			}
			if now >= start+4*time.Second {
				steps++
			}
		}
		mean := float64(held) / float64(steps) * float64(copies) / float64(len(nodes))
		if mean > 1.1*maxSeats*servers || mean < 0.8*initialSeats*servers {
			t.Errorf("%d copies hold %.0f calls on average, want up to %.0f", copies, mean, maxSeats*servers)
		}
	}
}

// Where late answers are worth nothing, a crowd costs all: less of the aim may go into waiting.
func TestLmaxWhereLateIsWorthNothing(t *testing.T) {
	for _, tc := range []struct {
		late  []float64
		tier  int
		tiers int
		want  float64
	}{{[]float64{0, 0}, 0, 1, lmaxShareInTime}, {[]float64{0, 0.1}, 0, 1, lmaxShare}, {[]float64{1}, 0, 2, lmaxShare}, {[]float64{0}, 1, 2, lmaxShareInTime / 2}, {[]float64{7}, 0, 1, lmaxShare}} {
		cfg := Config{Tier: tc.tier, Tiers: tc.tiers}
		for _, late := range tc.late {
			cfg.Classes = append(cfg.Classes, Class{LateWeight: late})
		}
		if got := New(cfg, 1).limiter.lmax; math.Abs(got-tc.want) > 1e-9 {
			t.Errorf("%+v: %v", tc, got)
		}
	}
}

// Hundreds of copies that had one slow call each at one time pay it back in full, and not
// all at one time: else they call in step, choke the tier together, and learn of it in step.
func TestQuietCopiesPayBackApart(t *testing.T) {
	cfg := testConfig()
	cfg.ReplicaCount = 400
	var waits []time.Duration
	for seed := range uint64(40) {
		n := &node{t: t, b: New(cfg, seed+1), now: time.Hour}
		n.handle(Event{Kind: EndpointListUpdated, ListKind: ListCached, Endpoints: fleet(10)})
		id, _ := n.arrive(0)
		n.end(id, 0, OK, 500*ms)
		ended := n.now
		for {
			n.now += 20 * ms
			if _, acts := n.arrive(0); acts[0].Kind == Send {
				break
			}
			if n.now > ended+time.Minute {
				t.Fatal("it never calls again")
			}
		}
		waits = append(waits, n.now-ended)
	}
	slices.Sort(waits)
	// A limit of a quarter: half a second of one call takes at least a second and a half.
	if least, most := waits[0], waits[len(waits)-1]; least < time.Second || most < least*5/4 {
		t.Errorf("copies call again after %v to %v", least, most)
	}
}

// A quiet copy must bear calls that chance bunches, and pays them back.
func TestUnusedSeatsAreSaved(t *testing.T) {
	cfg := testConfig()
	cfg.ReplicaCount = 80
	n := newNode(t, cfg, fleet(10)...)
	n.now += 2 * time.Second
	sent := 0
	for range 10 {
		if _, acts := n.arrive(0); only(t, acts, acts[0].Kind).Kind == Send {
			sent++
		}
	}
	if sent != 4 { // a limit of one, and three saved
		t.Errorf("%d calls admitted in a bunch, want 4", sent)
	}
	for id := RequestID(1); id <= 3; id++ {
		n.end(id, 0, OK, time.Second)
	}
	_, acts := n.arrive(0)
	only(t, acts, Shed) // what was overdrawn is paid back
}

// Where copies are many, a copy that spread its calls over the whole fleet met a server too seldom to know it.
func TestManyCopiesKeepToServersOfTheirOwn(t *testing.T) {
	const servers = 60
	for _, copies := range []int{1, 2, 30, 300} {
		cfg := testConfig()
		cfg.ReplicaCount = copies
		near := map[EndpointID]int{}
		for i := range copies {
			cfg.ReplicaIndex = i
			n := newNode(t, cfg, fleet(servers)...)
			own := 0
			for _, s := range n.b.endpoints.listed {
				if s.inSubset {
					near[s.ID]++
					own++
				}
			}
			if own < int(minSubset) || copies <= 2 && own != servers {
				t.Fatalf("%d copies: copy %d keeps to %d servers", copies, i, own)
			}
			if _, acts := n.arrive(0); !n.b.endpoints.byID[only(t, acts, Send).Endpoint].inSubset {
				t.Errorf("%d copies: an idle near server was passed over", copies)
			}
		}
		least, most := copies, 0
		for id := range EndpointID(servers) {
			least, most = min(least, near[id+1]), max(most, near[id+1])
		}
		if most-least > copies/20+1 {
			t.Errorf("%d copies: servers are near to %d to %d of them", copies, least, most)
		}
	}
	cfg := testConfig()
	cfg.ReplicaCount, cfg.ReplicaIndex = 300, -7
	n := newNode(t, cfg, fleet(servers)...)
	for range 8 { // near servers that hold calls give way to idle ones elsewhere
		n.b.limiter.maxIFR = 20
		n.arrive(0)
	}
	if n.b.endpoints.subsetSize >= 8 || n.b.attempts.inFlight < 6 {
		t.Errorf("near %v, %d calls out", n.b.endpoints.subsetSize, n.b.attempts.inFlight)
	}
	n.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull, Endpoints: fleet(1)})
	if n.b.endpoints.subsetSize != 1 || !n.b.endpoints.byID[1].inSubset {
		t.Error("the only server is not near")
	}
}

// Overload once raised the cold budget: calls turned away or timed out say nothing of what a server can do.
func TestColdBudgetGoesByCallsServed(t *testing.T) {
	cfg := testConfig()
	cfg.Limits.MaxAttempts = 1
	n := newNode(t, cfg, fleet(10)...)
	for range 200 {
		n.now += 20 * ms
		id, _ := n.arrive(4)
		n.end(id, 0, Rejected, 0)
	}
	if rate := n.b.endpoints.served.add(n.b.now, 0); rate > 0.01 {
		t.Errorf("%.2f calls served a second, of none", rate)
	}
	id, _ := n.arrive(4)
	n.end(id, 0, OK, ms)
	if n.b.endpoints.served.add(n.b.now, 0) <= 0.01 {
		t.Error("a served call did not count")
	}
}

// Copies that saved a whole call each for a cold server once came all at once.
func TestUnusedColdCreditLapses(t *testing.T) {
	cfg := testConfig()
	cfg.ReplicaCount = 100
	mature := 0
	for i := range 100 {
		cfg.ReplicaIndex = i
		n := newNode(t, cfg, fleet(10)...)
		n.b.random.state = uint64(i) << 20
		n.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges, Endpoints: []Endpoint{{ID: 99, State: Ready, StartedAt: n.now}}})
		n.now += 3 * time.Second
		if s := n.b.endpoints.byID[99]; s.inSubset && n.b.endpoints.withinWarmUpBudget(s, n.b.now) {
			mature++
		}
	}
	if mature > 3 {
		t.Errorf("%d copies would send to a cold server at once", mature)
	}
}

// Near servers across a cut link once cost every second call a failed connection.
func TestNearServersAreOfTheOwnZoneWhereItHasEnough(t *testing.T) {
	cfg := testConfig()
	cfg.ReplicaCount, cfg.Zone = 40, 1
	for _, c := range []struct {
		own int // servers of 20 in zone 1
		far bool
	}{{10, false}, {1, true}, {0, true}} {
		list := fleet(20)
		for i := range c.own {
			list[i].Zone = 1
		}
		far := 0
		for i := range cfg.ReplicaCount {
			cfg.ReplicaIndex = i
			for _, s := range newNode(t, cfg, list...).b.endpoints.listed {
				if s.inSubset && s.Zone != 1 {
					far++
				}
			}
		}
		if (far > 0) != c.far {
			t.Errorf("%d servers in the own zone: %d near ones elsewhere", c.own, far)
		}
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

// A repeat is dropped by its key when it arrives within the memory span, not when it is sent.
func TestKeyedWorkKeepsAMarginOfItsMemorySpan(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		want  ActionKind
	}{{250 * ms, Send}, {280 * ms, Shed}} { // of 300 ms
		n := newNode(t, testConfig(), fleet(3)...)
		id, _ := n.arrive(1)
		a := only(t, n.end(id, 0, Error, c.after), c.want)
		if a.Kind == Send && c.after+a.WriteTimeout != 270*ms {
			t.Errorf("sent again after %v, to be out within %v", c.after, a.WriteTimeout)
		}
	}
}

// What never ran, or is safe, goes again at any time while an answer is wanted.
func TestOnlyKeyedRepeatsHaveToBeOutSoon(t *testing.T) {
	for _, c := range []struct {
		name  string
		class int
		o     Outcome
		soon  bool
	}{{"safe", 0, Reset, false}, {"keyed, never ran", 1, ConnectFailed, false}, {"keyed", 1, Reset, true}, {"unsafe, never ran", 4, Rejected, false}} {
		n := newNode(t, testConfig(), fleet(3)...)
		id, first := n.arrive(c.class)
		if a := only(t, first, Send); a.WriteTimeout != a.Timeout {
			t.Errorf("%s: first sent within %v of %v", c.name, a.WriteTimeout, a.Timeout)
		}
		if a := only(t, n.end(id, 0, c.o, 10*ms), Send); a.WriteTimeout < a.Timeout != c.soon {
			t.Errorf("%s: sent again within %v of %v", c.name, a.WriteTimeout, a.Timeout)
		}
	}
}

func BenchmarkHandle(b *testing.B) {
	for _, servers := range []int{10, 100, 300} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			cfg := testConfig()
			cfg.ReplicaCount, cfg.Classes[0].OrderedByKey = 4*servers, true
			n := newNode(b, cfg, fleet(servers)...)
			var out []Action
			for i := range b.N {
				n.now += 500 * ms
				id := RequestID(i + 1)
				out = n.b.Handle(n.now, Event{Kind: RequestArrived, Request: id, Key: uint64(i%50 + 1), Remaining: time.Second}, out[:0])
				n.b.Handle(n.now+ms, Event{Kind: AttemptEnded, Request: id, RequestClosed: true, Elapsed: ms}, out)
			}
		})
	}
}

// The list may name a server gone, and tell nothing else of it, while its call is out: the group in which a
// repeat is dropped stays that of the server as it was when the call was sent.
func TestGroupOfKeyedWorkOutlivesItsServer(t *testing.T) {
	n := newNode(t, testConfig(), Endpoint{ID: 1, State: Ready, Zone: 1, Cell: 5})
	id, _ := n.arrive(3)
	n.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges, Endpoints: []Endpoint{{ID: 1, State: Gone}, up(2)}})
	only(t, n.end(id, 0, Error, 10*ms), Fail) // server 2 is in cell 0
}

// A list may move the server to another group while its call is out, and bring others into the old group.
func TestGroupOfKeyedWorkIsThatOfTheMomentItWasSent(t *testing.T) {
	for _, c := range []struct {
		cell int // of the only other server
		want ActionKind
	}{{5, Send}, {6, Fail}} {
		n := newNode(t, testConfig(), Endpoint{ID: 1, State: Ready, Zone: 1, Cell: 5})
		id, _ := n.arrive(3)
		n.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges, Endpoints: []Endpoint{{ID: 1, State: Ready, Cell: 6}, {ID: 2, State: Ready, Cell: c.cell}}})
		only(t, n.end(id, 0, Error, 10*ms), c.want)
	}
}

func orderConfig() Config {
	cfg := testConfig()
	cfg.Classes[0].OrderedByKey, cfg.Classes[4].OrderedByKey = true, true
	cfg.Contract.KeyQuarantine = 50 * ms
	return cfg
}

// Incident i1c6cc5: the usual latency fell while a request waited; its timer found it still in time and was not
// set anew, so it was never answered.
func TestWaitingForATurnIsAnsweredWhenItsLastHopeGoes(t *testing.T) {
	n := newNode(t, orderConfig(), fleet(4)...)
	n.keyed(0, 7, 2*time.Second)
	id, acts := n.keyed(4, 7, 2*time.Second)
	timer := only(t, acts, SetTimer)
	n.b.stats.typicalLatency[0], n.b.stats.typicalLatency[4] = 0.001, 0.001
	n.now += timer.Delay
	if a := only(t, n.handle(Event{Kind: TimerFired, Token: timer.Token}), Shed); a.Request != id {
		t.Errorf("refused %d, want %d", a.Request, id)
	}
	if acts := n.handle(Event{Kind: TimerFired, Token: timer.Token}); len(acts) != 0 {
		t.Errorf("a stale token did %+v", acts)
	}
}

// The order rule: one at a time with one key, as they came; the key rests after an attempt that may still run.
func TestOrderByKey(t *testing.T) {
	n := newNode(t, orderConfig(), fleet(4)...)
	first, acts := n.keyed(0, 7, 2*time.Second)
	only(t, acts, Send)
	second, acts := n.keyed(4, 7, 2*time.Second) // all classes that keep order share the keys
	only(t, acts, SetTimer)
	for _, free := range []struct {
		class int
		key   uint64
	}{{0, 8}, {4, 0}, {1, 7}} { // another key, none, a class that keeps no order
		_, acts := n.keyed(free.class, free.key, time.Second)
		only(t, acts, Send)
	}
	acts = n.end(first, 0, OK, 10*ms)
	if a := only(t, acts, Send); a.Request != second {
		t.Fatalf("sent %d, want %d", a.Request, second)
	}
	third, _ := n.keyed(0, 7, 2*time.Second)
	acts = n.end(second, 0, Reset, 10*ms)
	if len(acts) != 2 || acts[0].Kind != SetTimer || acts[0].Delay != 50*ms || acts[1].Kind != Fail {
		t.Fatalf("a broken connection gave %+v, want a rest and the answer", acts)
	}
	n.now += 49 * ms
	if acts := n.handle(Event{Kind: TimerFired, Token: 99}); len(acts) != 0 {
		t.Errorf("an unknown token did %+v", acts)
	}
	n.now += ms
	if a := only(t, n.handle(Event{Kind: TimerFired, Token: acts[0].Token}), Send); a.Request != third {
		t.Errorf("sent %d, want %d", a.Request, third)
	}
	n.end(third, 0, OK, ms)
	if n.b.queues[7] != nil || len(n.b.queues) != 1 {
		t.Errorf("an empty queue is kept among %d", len(n.b.queues))
	}
}

// A client that leaves does not pass its turn on while its attempt is out.
func TestTurnOfADepartedClient(t *testing.T) {
	n := newNode(t, orderConfig(), fleet(4)...)
	first, _ := n.keyed(0, 7, 2*time.Second)
	waiting, _ := n.keyed(0, 7, 2*time.Second)
	only(t, n.handle(Event{Kind: ClientLeft, Request: first}), Cancel)
	acts := n.end(first, 0, Cancelled, 10*ms)
	timer := only(t, acts, SetTimer)
	n.now += timer.Delay
	if a := only(t, n.handle(Event{Kind: TimerFired, Token: timer.Token}), Send); a.Request != waiting {
		t.Errorf("sent %d, want %d", a.Request, waiting)
	}
}

// What cannot get its turn in time is refused as it comes.
func TestHopelessTurnsAreRefusedAtOnce(t *testing.T) {
	n := newNode(t, orderConfig(), fleet(4)...)
	n.b.stats.typicalLatency[0] = 0.4
	n.keyed(0, 7, 2*time.Second)
	n.keyed(0, 7, 2*time.Second)
	_, acts := n.keyed(0, 7, 600*ms) // two ahead take 800 ms
	only(t, acts, Shed)
}

func wrongListNode(t *testing.T, binds bool) *node {
	cfg := testConfig()
	cfg.Contract.OnlyDrainingBinds = !binds
	return newNode(t, cfg, fleet(10)...)
}

// A list that called a whole tier gone while it served once ended all service, and the limit began anew.
func TestEmptyListIsDoubtedWhereDrainingBindsAlone(t *testing.T) {
	n := wrongListNode(t, false)
	n.b.limiter.maxIFR = 12
	n.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull})
	if n.b.limiter.maxIFR != 12 || n.b.limiter.ceiling != maxSeats*10 {
		t.Errorf("limit %v of %v", n.b.limiter.maxIFR, n.b.limiter.ceiling)
	}
	_, acts := n.arrive(4)
	only(t, acts, Send)
	n = wrongListNode(t, true)
	n.b.limiter.maxIFR = 12
	n.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull})
	_, acts = n.arrive(4)
	only(t, acts, Shed)
	n.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull, Endpoints: fleet(10)})
	if n.b.limiter.maxIFR != 12 {
		t.Errorf("after an empty list the limit began anew at %v", n.b.limiter.maxIFR)
	}
}

// Servers left out come after the listed ones until they have served, and last once a call to them has failed.
func TestOwnCallsOutweighTheList(t *testing.T) {
	n := wrongListNode(t, false)
	n.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges, Endpoints: []Endpoint{{ID: 1}, {ID: 2}}})
	alive, dead := n.b.endpoints.byID[1], n.b.endpoints.byID[2]
	if alive.suspicion() == 0 || !n.b.endpoints.usable(alive, n.b.now) {
		t.Fatal("a server left out is not a candidate behind the listed ones")
	}
	n.b.recordOutcome(alive, 0, OK, 100*ms)
	n.b.recordOutcome(dead, 0, ConnectFailed, 100*ms)
	if alive.suspicion() != 0 || dead.suspicion() < maxPenalty || n.b.endpoints.ready != 9 {
		t.Errorf("doubts %d and %d, %d servers counted", alive.suspicion(), dead.suspicion(), n.b.endpoints.ready)
	}
	n.now += time.Duration(rememberPeriods)*n.b.cfg.Contract.WarmUpPeriod + time.Second
	n.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges})
	if len(n.b.endpoints.listed) != 8 || len(n.b.endpoints.byID) != 8 {
		t.Errorf("%d servers are remembered for ever", len(n.b.endpoints.listed))
	}
}

// An old list calls drained servers ready and gives older starts.
// A list may come out of order, or from a directory that lags behind: what drains goes on draining until its next
// start, and a cold server stays cold. One that is as new as the last is believed: staff may call a drain off.
func TestListOfAnEarlierVersion(t *testing.T) {
	for _, c := range []struct {
		version uint64
		started time.Duration // against the first list
		usable  bool
	}{{6, 0, false}, {7, 0, true}, {8, 0, true}, {6, ms, true}} {
		n := newNode(t, testConfig(), fleet(3)...)
		start := n.now
		first := []Endpoint{{ID: 1, State: Draining, StartedAt: start}, up(2), {ID: 3, State: Ready, StartedAt: start}}
		n.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull, Version: 7, Endpoints: first})
		again := []Endpoint{{ID: 1, State: Ready, StartedAt: start + c.started}, up(2), {ID: 3, State: Ready}}
		n.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull, Version: c.version, Endpoints: again})
		if got := n.b.endpoints.usable(n.b.endpoints.byID[1], n.b.now); got != c.usable {
			t.Errorf("%+v: usable %v", c, got)
		}
		if c.version < 7 && n.b.endpoints.byID[3].StartedAt != start {
			t.Errorf("%+v: a cold server counts as warm", c)
		}
		n.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull, Version: c.version, Endpoints: again})
		if !n.b.endpoints.usable(n.b.endpoints.byID[1], n.b.now) {
			t.Errorf("%+v: told once more at that version, it is not believed", c)
		}
	}
}

func TestOldListBreaksNoDrainAndNoColdStart(t *testing.T) {
	n := wrongListNode(t, false)
	n.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges, Endpoints: []Endpoint{{ID: 1, State: Draining}, {ID: 2, State: Ready, StartedAt: n.now}}})
	n.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull}) // gone after draining
	n.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull, Endpoints: fleet(10)})
	if n.b.endpoints.usable(n.b.endpoints.byID[1], n.b.now) {
		t.Error("a drained server is sent to again")
	}
	if s := n.b.endpoints.byID[2]; s.StartedAt != n.now || n.b.endpoints.loadShare(s, n.b.now) >= 1 {
		t.Error("a cold server counts as warm")
	}
	n.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges, Endpoints: []Endpoint{{ID: 1, State: Ready, StartedAt: n.now + ms}}})
	if !n.b.endpoints.usable(n.b.endpoints.byID[1], n.b.now) {
		t.Error("a server started again is not sent to")
	}
}

// A call cut short by its client is neither quick nor its server slow.
func TestCallsCutShortAreNoQuickSamples(t *testing.T) {
	n := newNode(t, testConfig(), fleet(2)...)
	for _, o := range []Outcome{Timeout, Cancelled} {
		id, acts := n.arrive(4)
		s := n.b.endpoints.byID[only(t, acts, Send).Endpoint]
		n.end(id, 0, o, 100*ms)
		if n.b.limiter.window.count != 0 || s.health.relativeLatency != 1 {
			t.Errorf("outcome %v: %d samples, server counts as %v", o, n.b.limiter.window.count, s.health.relativeLatency)
		}
	}
	id, _ := n.arrive(4)
	n.end(id, 0, Cancelled, 900*ms)
	if n.b.limiter.window.count != 1 {
		t.Error("a call cancelled beyond Lmax told nothing")
	}
}

// At the brim the class worth most once was refused as often as the others.
func TestWhatIsWorthLeastGivesWayFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[0].PriorityWeight, cfg.Classes[1].PriorityWeight = 1, 12
	n := newNode(t, cfg, fleet(4)...)
	n.b.limiter.maxIFR, n.b.attempts.inFlight = 14, 12
	_, acts := n.arrive(0)
	only(t, acts, Shed)
	_, acts = n.arrive(1)
	only(t, acts, Send)
}

// Where answers are lost everywhere each time-out once held seats, by chance, and calls crowded elsewhere.
func TestWhatAllServersFailAtHoldsNoSeats(t *testing.T) {
	n := newNode(t, testConfig(), fleet(8)...)
	for range 60 {
		id, _ := n.arrive(4)
		n.end(id, 0, Timeout, time.Second)
	}
	n.now += time.Minute
	id, acts := n.arrive(4)
	s := n.b.endpoints.byID[only(t, acts, Send).Endpoint]
	n.end(id, 0, Timeout, time.Second)
	if held, _ := s.health.at(n.b.now, n.b.endpoints.halfLife); held > 0.1 {
		t.Errorf("a time-out among many holds %.2f seats", held)
	}
}

// A class that waits at every server once filled the limit with calls that came to nothing (id1a221).
func TestClassThatDragsEverywhereGivesWay(t *testing.T) {
	n := newNode(t, testConfig(), fleet(8)...)
	for range 60 {
		n.b.limiter.maxIFR = n.b.limiter.ceiling // the retries stay out: the limit is set below, and must not bind before
		if id, _ := n.arrive(0); n.b.requests[id] != nil {
			n.end(id, 0, Timeout, time.Second)
		}
		id, _ := n.arrive(4)
		n.end(id, 0, OK, 100*ms)
	}
	n.b.limiter.maxIFR, n.b.attempts.inFlight, n.b.limiter.burstCredit = 20, 15, 0
	_, acts := n.arrive(0)
	only(t, acts, Shed)
	_, acts = n.arrive(4)
	only(t, acts, Send)
	sent := false
	for range 400 { // it is tried again before long
		_, acts := n.arrive(0)
		sent = sent || acts[0].Kind == Send
	}
	if !sent {
		t.Error("the class is shut out")
	}
}

// A clock that starts at 0 once counted as not started.
func TestClockMayStartAtZero(t *testing.T) {
	b := New(testConfig(), 1)
	for now := range 3 * time.Second / ms {
		b.Handle(now*ms, Event{Kind: TimerFired}, nil)
	}
	if b.endpoints.served.startedAt != 0 {
		t.Errorf("began at %v", b.endpoints.served.startedAt)
	}
}

// A copy with a call now and then once took a cut for each verdict alone, and so went on for many aims by what
// held before the trouble; it now makes up for the windows without one, to a half in one verdict at the most.
func TestQuietCopyCutsForTheWindowsItMissed(t *testing.T) {
	for _, tc := range []struct {
		name  string
		apart time.Duration // between samples, of which a verdict takes minRequests
		want  float64       // of the limit after one verdict
	}{
		{"busy", 16 * ms, backoffRatio},
		{"four windows a verdict", 63 * ms, math.Pow(backoffRatio, 4)},
		{"seldom asked", time.Second, minBackoff},
	} {
		n := newNode(t, testConfig(), fleet(8)...)
		feed := func() {
			for range minRequests {
				n.now += tc.apart
				n.b.limiter.window.addLatency(2*time.Second, n.b.cfg.Classes[0].LatencyObjective)
			}
			n.handle(Event{Kind: TimerFired, Token: 99})
		}
		n.now += time.Second
		feed()
		n.b.limiter.maxIFR = n.b.limiter.ceiling
		feed()
		if got := n.b.limiter.maxIFR / n.b.limiter.ceiling; math.Abs(got-tc.want) > 1e-9 {
			t.Errorf("%s: cut to %.3f of the limit, want %.3f", tc.name, got, tc.want)
		}
	}
}

// Calls that are out beyond Lmax count as samples where most busy servers have
// such: what ends tells too late that all are crowded. One hung server says
// nothing of the tier.
func TestCallsOutBeyondLmax(t *testing.T) {
	for _, tc := range []struct {
		hung int
		cut  bool
	}{{1, false}, {2, false}, {3, true}, {4, true}} {
		n := newNode(t, testConfig(), fleet(4)...)
		n.b.cfg.Limits.AllowHedging = false
		slow := map[EndpointID]bool{}
		var ids []RequestID
		for range 16 {
			id, acts := n.arrive(0)
			ids = append(ids, id)
			if s := only(t, acts, Send).Endpoint; len(slow) < tc.hung {
				slow[s] = true
			}
		}
		n.now += time.Duration(1.1 * n.b.limiter.lmax * float64(time.Second))
		now := n.now
		for _, id := range ids { // the others' calls are new ones
			if r := n.b.requests[id]; !slow[r.attempts[0].ID] {
				n.end(id, 0, OK, 100*ms)
			}
		}
		for n.now = now; n.b.attempts.inFlight < 16; {
			n.arrive(0)
		}
		n.b.limiter.window.count = 0
		before := n.b.limiter.maxIFR
		for range minRequests { // what ends is quick
			n.b.limiter.window.addLatency(100*ms, n.b.cfg.Classes[0].LatencyObjective)
		}
		n.b.limiter.windowEnd = n.now
		n.handle(Event{Kind: TimerFired})
		if cut := n.b.limiter.maxIFR < before; cut != tc.cut {
			t.Errorf("%d of 4 servers with calls out too long: limit %v to %v", tc.hung, before, n.b.limiter.maxIFR)
		}
	}
}

// What is spent goes out once, whatever its class allows; and it may be refused
// while it never ran.
func TestSpentRequestsGoOutOnce(t *testing.T) {
	for _, tc := range []struct {
		outcome Outcome
		want    ActionKind
	}{{ConnectFailed, Shed}, {NotSent, Shed}, {Error, Fail}} {
		n := newNode(t, testConfig(), fleet(3)...)
		id, _ := n.arrive(3)
		r := n.b.requests[id]
		n.now += 10 * ms
		acts := n.handle(Event{Kind: AttemptEnded, Request: id, Endpoint: r.attempts[0].ID, Outcome: tc.outcome, BodyConsumed: true, Elapsed: 10 * ms})
		only(t, acts, tc.want)
	}
}

// Two at one place have one limit, and the second begins with what the first has learnt.
func TestTwoAtOnePlace(t *testing.T) {
	first, second := newNode(t, testConfig(), fleet(2)...), newNode(t, testConfig(), fleet(2)...)
	feed(first, 900*ms)
	first.b.stats.typicalLatency[0] = 0.123
	second.b.Restore(first.b.Snapshot())
	if second.b.limiter.maxIFR != first.b.limiter.maxIFR || second.b.stats.typicalLatency[0] != 0.123 {
		t.Errorf("adopted limit %v of %v, usual %v", second.b.limiter.maxIFR, first.b.limiter.maxIFR, second.b.stats.typicalLatency[0])
	}
	second.b.Restore(Snapshot{Limit: -1, Rate: math.NaN(), TypicalLatency: []float64{-1}, ErrorRate: []float64{7}})
	if second.b.limiter.maxIFR != first.b.limiter.maxIFR || second.b.stats.typicalLatency[0] != 0.123 || second.b.stats.errorRate[0] == 7 {
		t.Error("what is impossible was adopted")
	}
	second.b.SetSiblings(1, 2*int(second.b.limiter.ceiling))
	_, acts := second.arrive(0)
	only(t, acts, Shed)
	second.b.SetSiblings(0, 0)
	_, acts = second.arrive(0)
	only(t, acts, Send)
}
