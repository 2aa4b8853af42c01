package balancer

import (
	"fmt"
	"math"
	"math/rand"
	"reflect"
	"slices"
	"testing"
	"time"
)

// requestRecord is the checker's state of one request.
type requestRecord struct {
	class         int
	deadline      time.Duration
	answered      bool
	maybeExecuted bool // an attempt so far may have been executed
	executor      Endpoint
	executedAt    time.Duration
	inFlight      int
	attempts      []Endpoint
	key           uint64
}

// simulation passes random valid events to one Balancer and checks its actions.
type simulation struct {
	t         testing.TB
	rng       *rand.Rand
	cfg       Config
	b         *Balancer
	now       time.Duration
	endpoints map[EndpointID]Endpoint
	requests  map[RequestID]*requestRecord
	arrived   []RequestID
	trace     []Action

	sends            []time.Duration                // when attempts were sent
	toWarmingUp      map[EndpointID][]time.Duration // when attempts were sent to an endpoint that warms up
	readyCounts      []readyCount
	sentAt           map[RequestID]time.Duration  // when the latest attempt was sent
	due              []Event                      // scheduled outcomes and timers, with Elapsed as their time
	queues           map[uint64][]RequestID       // by key: requests of ordered classes in order of arrival
	quarantine       map[uint64]time.Duration     // end of the quarantine by key
	drained          map[EndpointID]time.Duration // start time of an endpoint when it was listed as draining
	drainedAt        map[EndpointID]time.Duration
	listed           map[EndpointID]Endpoint // latest list entries, which may be wrong
	earlierList      []Endpoint
	maxEndpoints     int
	picks, differing int // picks compared with a full scan, and those that differ
}

func (sim *simulation) fail(format string, args ...any) {
	sim.t.Helper()
	sim.t.Fatalf("at %v: %s", sim.now, fmt.Sprintf(format, args...))
}

// handle passes an event to the Balancer and checks the actions.
func (sim *simulation) handle(ev Event) {
	for _, a := range sim.b.Handle(sim.now, ev, nil) {
		sim.trace = append(sim.trace, a)
		switch a.Kind {
		case Send:
			sim.checkSend(a)
		case Shed, Fail:
			sim.checkAnswer(a)
		case Cancel:
			if r := sim.requests[a.Request]; r == nil || a.Attempt >= len(r.attempts) {
				sim.fail("cancelled an attempt that was not sent: %+v", a)
			}
		case SetTimer:
			sim.due = append(sim.due, Event{Kind: TimerFired, Token: a.Token, Elapsed: sim.now + a.Delay})
		case Probe, SendToPeer:
			sim.fail("got action %+v, which the limits do not allow", a)
		}
	}
}

// isDrained reports whether an endpoint was listed as draining since its latest start, within the retention period.
func (sim *simulation) isDrained(s Endpoint) bool {
	start, ok := sim.drained[s.ID]
	return ok && s.StartedAt <= start &&
		float64(sim.now-sim.drainedAt[s.ID]) < retentionPeriods*float64(sim.cfg.Contract.WarmUpPeriod)
}

// finish removes a request from the queue of its key if it is answered and has no attempt in flight.
func (sim *simulation) finish(id RequestID) {
	r := sim.requests[id]
	if r.key == 0 || !r.answered || r.inFlight > 0 {
		return
	}
	sim.queues[r.key] = slices.DeleteFunc(sim.queues[r.key], func(other RequestID) bool { return other == id })
}

// checkSend checks an attempt and schedules its end.
func (sim *simulation) checkSend(a Action) {
	r, s := sim.requests[a.Request], sim.listed[a.Endpoint]
	c := &sim.cfg.Classes[r.class]
	switch {
	case r.answered:
		sim.fail("sent after the final answer: %+v", a)
	case r.inFlight > 0:
		sim.fail("sent while another attempt is in flight: %+v", a)
	case sim.cfg.Contract.OnlyDrainingBinds && sim.isDrained(s):
		sim.fail("sent to a drained endpoint: %+v", a)
	case sim.cfg.Contract.OnlyDrainingBinds && s.ID == 0:
		sim.fail("sent to an endpoint that no list has named: %+v", a)
	case s.State != Ready && !sim.cfg.Contract.OnlyDrainingBinds:
		sim.fail("sent to an endpoint in state %d: %+v", s.State, a)
	case len(r.attempts) >= sim.cfg.Limits.MaxAttempts:
		sim.fail("sent attempt %d, beyond MaxAttempts", len(r.attempts))
	case a.WriteTimeout <= 0 || a.WriteTimeout > a.Timeout:
		sim.fail("got write timeout %v, timeout %v", a.WriteTimeout, a.Timeout)
	case a.Timeout <= 0 || sim.now+a.Timeout > r.deadline:
		sim.fail("got timeout %v, request deadline is %v", a.Timeout, r.deadline)
	}
	if queue := sim.queues[r.key]; r.key != 0 {
		if queue[0] != a.Request {
			sim.fail("sent out of order: %+v", a)
		}
		if len(r.attempts) == 0 && sim.now < sim.quarantine[r.key] {
			sim.fail("sent while the key is quarantined: %+v", a)
		}
	}
	if r.maybeExecuted && c.Effect != Safe {
		inGroup := c.Group == GroupAll || c.Group == GroupZone && s.Zone == r.executor.Zone ||
			c.Group == GroupCell && s.Cell == r.executor.Cell
		if c.Effect == Unsafe || !inGroup || sim.now-r.executedAt >= c.IdempotencyWindow {
			sim.fail("retried a possibly executed request against its class: %+v", a)
		}
		if sim.now+a.WriteTimeout >= r.executedAt+c.IdempotencyWindow {
			sim.fail("a retry of a possibly executed request may be written after its idempotency window: %+v", a)
		}
	}
	r.attempts = append(r.attempts, s)
	r.inFlight++
	sim.sends = append(sim.sends, sim.now)
	if s.StartedAt > 0 && sim.now-s.StartedAt < sim.cfg.Contract.WarmUpPeriod/2 {
		sim.toWarmingUp[s.ID] = append(sim.toWarmingUp[s.ID], sim.now)
		sim.checkWarmUpBudget(s)
	}
	sim.due = append(sim.due, Event{Kind: AttemptEnded, Request: a.Request, Attempt: len(r.attempts) - 1,
		Endpoint: a.Endpoint,
		Elapsed:  sim.now + min(time.Duration(sim.rng.Int63n(int64(60*ms))), a.Timeout)})
	sim.sentAt[a.Request] = sim.now
	if sim.rng.Intn(16) == 0 {
		sim.due[len(sim.due)-1].Elapsed = sim.now + a.Timeout
	}
}

// checkWarmUpBudget checks that this replica's attempts at an endpoint that warms up, within OverloadPeriod, stay
// within its part of the budget: OverloadMultiple times the minimum capacity of the endpoint, as a share of an average
// endpoint's load.
func (sim *simulation) checkWarmUpBudget(s Endpoint) {
	c := &sim.cfg.Contract
	within := func(times []time.Duration, span time.Duration) (n float64) {
		for _, at := range times {
			if sim.now-at < span {
				n++
			}
		}
		return n
	}
	ready := len(sim.endpoints)
	for i, log := range sim.readyCounts {
		// counts that applied within the last two periods
		if i+1 == len(sim.readyCounts) || sim.now-sim.readyCounts[i+1].at < 2*c.OverloadPeriod {
			ready = min(ready, log.n)
		}
	}
	share := c.InitialCapacity + (1-c.InitialCapacity)*float64(sim.now-s.StartedAt)/float64(c.WarmUpPeriod)
	span := min(c.WarmUpPeriod, sim.now-time.Hour)
	// mean rate of an endpoint of the subset
	mean := within(sim.sends, span+1) / span.Seconds() / min(float64(ready), float64(sim.b.endpoints.subset.size))
	// One attempt more, since the part may be a fraction of an attempt.
	if n, budget := within(sim.toWarmingUp[s.ID], c.OverloadPeriod),
		c.OverloadMultiple*share*mean*c.OverloadPeriod.Seconds()+1; n > budget {
		sim.fail("got %v attempts at an endpoint started %v ago, budget %.2f", n, sim.now-s.StartedAt, budget)
	}
}

// checkAnswer checks a final answer.
func (sim *simulation) checkAnswer(a Action) {
	r := sim.requests[a.Request]
	c := &sim.cfg.Classes[r.class]
	if r.answered || r.inFlight > 0 {
		sim.fail("answered twice or with an attempt in flight: %+v", a)
	}
	if a.Kind == Shed && r.maybeExecuted && c.Effect != Safe && (c.Effect != Keyed || c.Group != GroupAll) {
		sim.fail("shed a possibly executed request: %+v", a)
	}
	if sim.now > r.deadline {
		sim.fail("answered %v after the deadline", sim.now-r.deadline)
	}
	if a.RetryAfter > sim.cfg.Limits.MaxRetryAfter {
		sim.fail("got retry-after %v, beyond MaxRetryAfter", a.RetryAfter)
	}
	r.answered = true
	sim.finish(a.Request)
}

// updateList changes some endpoints and sends a list.
func (sim *simulation) updateList() {
	kind := []ListKind{ListFull, ListChanges, ListFailed}[sim.rng.Intn(3)]
	ev := Event{Kind: EndpointListUpdated, ListKind: kind}
	if kind != ListFailed {
		for id := EndpointID(1); id <= EndpointID(sim.maxEndpoints); id++ {
			s, known := sim.endpoints[id]
			change := sim.rng.Intn(10)
			if change > 3 || !known && change > 0 {
				if kind == ListFull && known && s.State != Gone {
					ev.Endpoints = append(ev.Endpoints, s)
				}
				continue
			}
			s = Endpoint{ID: id, Zone: int(id) % 2, Cell: int(id) % 4, StartedAt: s.StartedAt,
				State: []EndpointState{Gone, Draining, Ready, Ready, Ready}[sim.rng.Intn(5)]}
			if sim.rng.Intn(2) == 0 {
				s.StartedAt = sim.now - time.Duration(sim.rng.Int63n(int64(time.Second)))
				sim.toWarmingUp[id] = nil
			}
			if kind == ListFull && s.State == Gone {
				delete(sim.endpoints, id) // absent means gone
				continue
			}
			sim.endpoints[id] = s
			ev.Endpoints = append(ev.Endpoints, s)
		}
	}
	ready := 0
	for _, s := range sim.endpoints {
		if s.State == Ready {
			ready++
		}
	}
	sim.sendList(ev)
	// at most the subset size, which follows from lists that may be wrong
	sim.readyCounts = append(sim.readyCounts, readyCount{sim.now, min(ready, sim.b.endpoints.subset.size)})
}

// sendList passes a list to the Balancer. With OnlyDrainingBinds some lists are wrong: empty, truncated, outdated or
// with endpoints that don't exist.
func (sim *simulation) sendList(ev Event) {
	if sim.cfg.Contract.OnlyDrainingBinds && ev.ListKind == ListFull {
		switch sim.rng.Intn(6) {
		case 0:
			ev.Endpoints = nil
		case 1:
			ev.Endpoints = ev.Endpoints[:len(ev.Endpoints)/2]
		case 2:
			ev.Endpoints = append(ev.Endpoints, Endpoint{ID: EndpointID(1000 + sim.rng.Intn(5)), State: Ready})
		case 3:
			ev.Endpoints = sim.earlierList
		}
		sim.earlierList = ev.Endpoints
	}
	for _, s := range ev.Endpoints {
		if was, ok := sim.listed[s.ID]; ok && sim.cfg.Contract.OnlyDrainingBinds {
			s.StartedAt = max(s.StartedAt, was.StartedAt)
		}
		if sim.listed[s.ID] = s; s.State == Draining {
			sim.drained[s.ID], sim.drainedAt[s.ID] = s.StartedAt, sim.now
		}
	}
	if ev.ListKind == ListFull && !sim.cfg.Contract.OnlyDrainingBinds {
		for id, s := range sim.listed {
			if !slices.ContainsFunc(ev.Endpoints, func(e Endpoint) bool { return e.ID == id }) {
				s.State = Gone
				sim.listed[id] = s
			}
		}
	}
	sim.handle(ev)
}

// readyCount is the number of ready endpoints from a time on.
type readyCount struct {
	at time.Duration
	n  int
}

// handleNextDue handles the earliest scheduled outcome or timer that is due by a time, and reports whether there was
// one.
func (sim *simulation) handleNextDue(by time.Duration) bool {
	first := -1
	for i, ev := range sim.due {
		if ev.Elapsed <= by && (first < 0 || ev.Elapsed < sim.due[first].Elapsed) {
			first = i
		}
	}
	if first < 0 {
		return false
	}
	ev, late := sim.due[first], sim.now
	sim.due = slices.Delete(sim.due, first, first+1)
	if sim.now = ev.Elapsed; ev.Kind == TimerFired {
		sim.handle(Event{Kind: TimerFired, Token: ev.Token})
	} else {
		sim.end(ev)
	}
	sim.now = max(late, sim.now)
	return true
}

// step advances the time and passes one random event.
func (sim *simulation) step(next RequestID) {
	sim.now += time.Duration(sim.rng.Int63n(int64(14 * ms)))
	for sim.handleNextDue(sim.now) {
	}
	switch roll := sim.rng.Intn(100); {
	case roll < 2:
		sim.updateList()
	case roll < 4:
		sim.handle(Event{Kind: TimerFired, Token: sim.rng.Uint32() >> sim.rng.Intn(32)})
	case roll < 6 && len(sim.arrived) > 0:
		id := sim.arrived[len(sim.arrived)-1-sim.rng.Intn(min(len(sim.arrived), 6))]
		sim.requests[id].answered = true
		sim.finish(id)
		sim.handle(Event{Kind: ClientLeft, Request: id})
	default:
		r := &requestRecord{class: sim.rng.Intn(len(sim.cfg.Classes)),
			deadline: sim.now + time.Duration(sim.rng.Int63n(int64(time.Second)))}
		sim.requests[next] = r
		sim.arrived = append(sim.arrived, next)
		key := uint64(sim.rng.Intn(4))
		if sim.cfg.Classes[r.class].OrderedByKey && key > 0 {
			r.key = key
			sim.queues[key] = append(sim.queues[key], next)
		}
		sim.handle(Event{Kind: RequestArrived, Request: next, Class: r.class, Key: key, Tenant: sim.rng.Intn(4),
			Remaining:    r.deadline - sim.now,
			ExpectedWork: time.Duration(sim.rng.Int63n(3)) * 10 * ms, ClientRetry: sim.rng.Intn(2) == 0})
	}
}

// end ends an attempt with a random outcome.
func (sim *simulation) end(ev Event) {
	r := sim.requests[ev.Request]
	ev.Outcome = Outcome(sim.rng.Intn(8))
	if sim.rng.Intn(3) > 0 {
		ev.Outcome = OK
	}
	if !ev.Outcome.NeverRan() && !r.maybeExecuted {
		r.maybeExecuted, r.executor, r.executedAt = true, r.attempts[ev.Attempt], sim.sentAt[ev.Request]
	}
	r.inFlight--
	r.answered = r.answered || ev.Outcome == OK
	if ev.Outcome == Timeout || ev.Outcome == Reset || ev.Outcome == Cancelled {
		sim.quarantine[r.key] = sim.now + sim.cfg.Contract.KeyQuarantine
	}
	sim.finish(ev.Request)
	ev.RequestClosed = r.answered
	ev.Elapsed = sim.now - sim.sentAt[ev.Request]
	sim.handle(ev)
}

// newSimulation returns a simulation whose configuration and events derive from a seed.
func newSimulation(t testing.TB, seed int64) *simulation {
	cfg := testConfig()
	cfg.Tenants = []Tenant{{Quota: 5}, {Quota: 50}, {}}
	cfg.ReplicaCount = 1 + int(seed)%3
	if seed%5 == 4 { // replicas that outnumber the endpoints
		cfg.ReplicaCount, cfg.ReplicaIndex = 60, int(seed)
	}
	cfg.Classes[seed%5].LateWeight = 0
	for i := range cfg.Classes {
		cfg.Classes[i].IdempotencyWindow = 60 * ms
	}
	cfg.Subscribe = seed%2 == 0
	cfg.Contract.OnlyDrainingBinds = seed%4 > 1
	if seed%3 > 0 {
		cfg.Classes[0].OrderedByKey, cfg.Classes[4].OrderedByKey, cfg.Contract.KeyQuarantine = true, true, 20*ms
	}
	return &simulation{
		t:            t,
		rng:          rand.New(rand.NewSource(seed)),
		cfg:          cfg,
		b:            New(cfg, uint64(seed)),
		now:          time.Hour,
		endpoints:    map[EndpointID]Endpoint{},
		requests:     map[RequestID]*requestRecord{},
		toWarmingUp:  map[EndpointID][]time.Duration{},
		sentAt:       map[RequestID]time.Duration{},
		queues:       map[uint64][]RequestID{},
		quarantine:   map[uint64]time.Duration{},
		drained:      map[EndpointID]time.Duration{},
		drainedAt:    map[EndpointID]time.Duration{},
		listed:       map[EndpointID]Endpoint{},
		maxEndpoints: 12,
	}
}

// play runs a whole simulation and returns the actions.
func play(t testing.TB, seed int64) []Action {
	sim := newSimulation(t, seed)
	for i := range 4000 {
		sim.step(RequestID(i + 1))
	}
	for sim.handleNextDue(sim.now + time.Hour) { // the remaining outcomes and timers
	}
	for id, r := range sim.requests {
		if !r.answered {
			sim.fail("request %d was never answered", id)
		}
	}
	if len(sim.b.requests) != 0 || sim.b.attempts.inFlight != 0 {
		sim.fail("got %d open requests and %d attempts in flight at the end, want none",
			len(sim.b.requests), sim.b.attempts.inFlight)
	}
	return sim.trace
}

func TestRandomEventsKeepInvariants(t *testing.T) {
	for seed := range int64(30) {
		trace := play(t, seed)
		var kinds [Log + 1]int
		for _, a := range trace {
			kinds[a.Kind]++
		}
		if seed%5 == 4 && kinds[Send] > 50 && kinds[Shed] > 10 { // its part of the limit is an attempt or less
			continue
		}
		if kinds[Send] < 300 || kinds[Shed] < 10 || kinds[Fail] < 10 || kinds[Cancel] < 2 {
			t.Errorf("seed %d: got too few actions of some kind: %v", seed, kinds)
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	if a, b := play(t, 7), play(t, 7); !reflect.DeepEqual(a, b) {
		t.Error("two runs with the same seed gave different actions")
	}
}

func TestInvalidConfigsAndEvents(t *testing.T) {
	bad := []Config{{}, {ReplicaCount: -1, Tier: -5, Tiers: -2,
		Classes: []Class{{LatencyObjective: -1, Deadline: -1, PriorityWeight: -3}},
		Tenants: []Tenant{{Quota: -1}},
		Contract: Contract{InitialCapacity: -1, WarmUpPeriod: -1, OverloadMultiple: -1, OverloadPeriod: -1,
			MaxPollInterval: -1},
		Limits: Limits{MaxAttempts: -1, MaxOpenRequests: -1, MaxRetryAfter: -1, ConnectTimeout: -1}},
		{Tier: 99, Tiers: 2, Classes: []Class{{Deadline: 1}}}, {ReplicaCount: 1 << 30, ReplicaIndex: 1 << 40, Tiers: 3},
		{ReplicaCount: 200, ReplicaIndex: -1, LoadReportNames: []string{"unheard_of"}},
		{ReplicaCount: 3, ReplicaIndex: 1 << 62, OverQuotaWeight: -4,
			Classes:  []Class{{OrderedByKey: true, PriorityWeight: math.Inf(1)}, {PriorityWeight: math.NaN()}},
			Contract: Contract{OnlyDrainingBinds: true, KeyQuarantine: -time.Second},
			Goal:     Goal{LogLossWeight: math.NaN(), TopNines: -3}}}
	for i, cfg := range bad {
		n := newHost(t, cfg, Endpoint{ID: 1, State: Ready, StartedAt: 1 << 62, Weight: -1},
			Endpoint{ID: 1, State: Ready}, Endpoint{ID: 2, State: 77})
		for _, ev := range []Event{{Kind: 200}, {Kind: RequestArrived, Request: 1, Class: -4, Tenant: -9, Remaining: -5,
			ExpectedWork: -7},
			{Kind: RequestArrived, Request: 2, Class: 300, Tenant: 1 << 30, Remaining: time.Hour, Key: 1},
			{Kind: RequestArrived, Request: 3, Key: 1, Remaining: -time.Hour}, {Kind: TimerFired, Token: 1 << 31},
			{Kind: EndpointListUpdated, ListKind: ListFull},
			{Kind: AttemptEnded, Request: 2, Attempt: -1}, {Kind: AttemptEnded, Request: 2, Attempt: 9},
			{Kind: AttemptEnded, Request: 2, Outcome: 250, Elapsed: -1, LoadReport: []float32{float32(math.NaN()), -1}},
			{Kind: AttemptEnded, Request: 2}, {Kind: EndpointListUpdated, ListKind: 99}} {
			n.now += ms
			n.handle(ev)
		}
		if len(n.b.requests) != 0 {
			t.Errorf("config %d: got %d open requests, want 0", i, len(n.b.requests))
		}
	}
}
