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

// seen is what the checker knows of one request.
type seen struct {
	class    int
	until    time.Duration
	answered bool
	ran      bool // an attempt may have run
	ranOn    Endpoint
	ranAt    time.Duration
	out      int
	attempts []Endpoint
	key      uint64
}

// world plays random but legal events to one Balancer and checks what comes back.
type world struct {
	t         testing.TB
	rng       *rand.Rand
	cfg       Config
	b         *Balancer
	now       time.Duration
	servers   map[EndpointID]Endpoint
	reqs      map[RequestID]*seen
	open      []RequestID
	trace     []Action
	calls     []time.Duration                // all calls sent
	toCold    map[EndpointID][]time.Duration // calls to a server since its start
	ready     []readyCount
	sentAt    map[RequestID]time.Duration // when the latest attempt was sent
	due       []Event                     // outcomes and timers to come, with Elapsed as their time
	turns     map[uint64][]RequestID      // by key, requests of classes that keep order, as they came
	rest      map[uint64]time.Duration
	drained   map[EndpointID]time.Duration // start of a server when it was called draining
	drainedAt map[EndpointID]time.Duration
	named     map[EndpointID]Endpoint // as last named, by lists that may be wrong
	old       []Endpoint              // an earlier list
	most      int                     // servers

	picks, others int // compared with a plain scan, and those that differ
}

func (w *world) fail(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("at %v: %s", w.now, fmt.Sprintf(format, args...))
}

func (w *world) handle(ev Event) {
	for _, a := range w.b.Handle(w.now, ev, nil) {
		w.trace = append(w.trace, a)
		switch a.Kind {
		case Send:
			w.sent(a)
		case Shed, Fail:
			w.answered(a)
		case Cancel:
			if r := w.reqs[a.Request]; r == nil || a.Attempt >= len(r.attempts) {
				w.fail("cancel of an attempt never made: %+v", a)
			}
		case SetTimer:
			w.due = append(w.due, Event{Kind: TimerFired, Token: a.Token, Elapsed: w.now + a.Delay})
		case Probe, SendToPeer:
			w.fail("%+v is not allowed here", a)
		}
	}
}

func (w *world) drainedNow(s Endpoint) bool {
	start, ok := w.drained[s.ID]
	return ok && s.StartedAt <= start && float64(w.now-w.drainedAt[s.ID]) < rememberPeriods*float64(w.cfg.Contract.WarmUpPeriod)
}

// over takes a request that is answered and has no attempt out from the queue of its key.
func (w *world) over(id RequestID) {
	r := w.reqs[id]
	if r.key == 0 || !r.answered || r.out > 0 {
		return
	}
	w.turns[r.key] = slices.DeleteFunc(w.turns[r.key], func(other RequestID) bool { return other == id })
}

func (w *world) sent(a Action) {
	r, s := w.reqs[a.Request], w.named[a.Endpoint]
	c := &w.cfg.Classes[r.class]
	switch {
	case r.answered:
		w.fail("sent after the final answer: %+v", a)
	case r.out > 0:
		w.fail("two attempts out: %+v", a)
	case w.cfg.Contract.OnlyDrainingBinds && w.drainedNow(s):
		w.fail("sent to a drained server: %+v", a)
	case w.cfg.Contract.OnlyDrainingBinds && s.ID == 0:
		w.fail("sent to a server that no list has named: %+v", a)
	case s.State != Ready && !w.cfg.Contract.OnlyDrainingBinds:
		w.fail("sent to a server in state %d: %+v", s.State, a)
	case len(r.attempts) >= w.cfg.Limits.MaxAttempts:
		w.fail("attempt %d", len(r.attempts))
	case a.WriteTimeout <= 0 || a.WriteTimeout > a.Timeout:
		w.fail("to be out in %v, time-out %v", a.WriteTimeout, a.Timeout)
	case a.Timeout <= 0 || w.now+a.Timeout > r.until:
		w.fail("time-out %v, request ends at %v", a.Timeout, r.until)
	}
	if turn := w.turns[r.key]; r.key != 0 {
		if turn[0] != a.Request {
			w.fail("sent out of turn: %+v", a)
		}
		if len(r.attempts) == 0 && w.now < w.rest[r.key] {
			w.fail("sent while the key rests: %+v", a)
		}
	}
	if r.ran && c.Effect != Safe {
		inGroup := c.Group == GroupAll || c.Group == GroupZone && s.Zone == r.ranOn.Zone || c.Group == GroupCell && s.Cell == r.ranOn.Cell
		if c.Effect == Unsafe || !inGroup || w.now-r.ranAt >= c.IdempotencyWindow {
			w.fail("resent what may have run: %+v", a)
		}
		if w.now+a.WriteTimeout >= r.ranAt+c.IdempotencyWindow {
			w.fail("what may have run may be resent up to its memory's end: %+v", a)
		}
	}
	r.attempts = append(r.attempts, s)
	r.out++
	w.calls = append(w.calls, w.now)
	if s.StartedAt > 0 && w.now-s.StartedAt < w.cfg.Contract.WarmUpPeriod/2 {
		w.toCold[s.ID] = append(w.toCold[s.ID], w.now)
		w.checkCold(s)
	}
	w.due = append(w.due, Event{Kind: AttemptEnded, Request: a.Request, Attempt: len(r.attempts) - 1, Endpoint: a.Endpoint,
		Elapsed: w.now + min(time.Duration(w.rng.Int63n(int64(60*ms))), a.Timeout)})
	w.sentAt[a.Request] = w.now
	if w.rng.Intn(16) == 0 {
		w.due[len(w.due)-1].Elapsed = w.now + a.Timeout
	}
}

// checkCold compares this node's calls to a cold server within the contract's span with its part of the
// budget: the multiple of the share the server is sure to have, of what a server bears on average.
func (w *world) checkCold(s Endpoint) {
	c := &w.cfg.Contract
	within := func(times []time.Duration, span time.Duration) (n float64) {
		for _, at := range times {
			if w.now-at < span {
				n++
			}
		}
		return n
	}
	ready := len(w.servers)
	for i, log := range w.ready {
		if i+1 == len(w.ready) || w.now-w.ready[i+1].at < 2*c.OverloadPeriod { // in force within the last spans
			ready = min(ready, log.n)
		}
	}
	share := c.InitialCapacity + (1-c.InitialCapacity)*float64(w.now-s.StartedAt)/float64(c.WarmUpPeriod)
	span := min(c.WarmUpPeriod, w.now-time.Hour)
	mean := within(w.calls, span+1) / span.Seconds() / min(float64(ready), float64(w.b.endpoints.subsetSize)) // of the near servers
	// One whole call more: a part can be less than a call, and calls come whole.
	if n, budget := within(w.toCold[s.ID], c.OverloadPeriod), c.OverloadMultiple*share*mean*c.OverloadPeriod.Seconds()+1; n > budget {
		w.fail("%v calls to a server started %v ago, budget %.2f", n, w.now-s.StartedAt, budget)
	}
}

func (w *world) answered(a Action) {
	r := w.reqs[a.Request]
	c := &w.cfg.Classes[r.class]
	if r.answered || r.out > 0 {
		w.fail("answered twice or with an attempt out: %+v", a)
	}
	if a.Kind == Shed && r.ran && c.Effect != Safe && !(c.Effect == Keyed && c.Group == GroupAll) {
		w.fail("refused what may have run: %+v", a)
	}
	if w.now > r.until {
		w.fail("answered %v after the client's time", w.now-r.until)
	}
	if a.RetryAfter > w.cfg.Limits.MaxRetryAfter {
		w.fail("retry-after %v", a.RetryAfter)
	}
	r.answered = true
	w.over(a.Request)
}

// list changes some servers and tells of it.
func (w *world) list() {
	kind := []ListKind{ListFull, ListChanges, ListFailed}[w.rng.Intn(3)]
	ev := Event{Kind: EndpointListUpdated, ListKind: kind}
	if kind != ListFailed {
		for id := EndpointID(1); id <= EndpointID(w.most); id++ {
			s, known := w.servers[id]
			change := w.rng.Intn(10)
			if change > 3 || !known && change > 0 {
				if kind == ListFull && known && s.State != Gone {
					ev.Endpoints = append(ev.Endpoints, s)
				}
				continue
			}
			s = Endpoint{ID: id, Zone: int(id) % 2, Cell: int(id) % 4, StartedAt: s.StartedAt,
				State: []EndpointState{Gone, Draining, Ready, Ready, Ready}[w.rng.Intn(5)]}
			if w.rng.Intn(2) == 0 {
				s.StartedAt = w.now - time.Duration(w.rng.Int63n(int64(time.Second)))
				w.toCold[id] = nil
			}
			if kind == ListFull && s.State == Gone {
				delete(w.servers, id) // absent means gone
				continue
			}
			w.servers[id] = s
			ev.Endpoints = append(ev.Endpoints, s)
		}
	}
	ready := 0
	for _, s := range w.servers {
		if s.State == Ready {
			ready++
		}
	}
	w.tell(ev)
	w.ready = append(w.ready, readyCount{w.now, min(ready, w.b.endpoints.subsetSize)}) // as this copy counts, by lists that may be wrong
}

// tell hands a list over, now and then a wrong one where only draining binds: shrunken, empty, old or with ghosts.
func (w *world) tell(ev Event) {
	if w.cfg.Contract.OnlyDrainingBinds && ev.ListKind == ListFull {
		switch w.rng.Intn(6) {
		case 0:
			ev.Endpoints = nil
		case 1:
			ev.Endpoints = ev.Endpoints[:len(ev.Endpoints)/2]
		case 2:
			ev.Endpoints = append(ev.Endpoints, Endpoint{ID: EndpointID(1000 + w.rng.Intn(5)), State: Ready})
		case 3:
			ev.Endpoints = w.old
		}
		w.old = ev.Endpoints
	}
	for _, s := range ev.Endpoints {
		if was, ok := w.named[s.ID]; ok && w.cfg.Contract.OnlyDrainingBinds {
			s.StartedAt = max(s.StartedAt, was.StartedAt)
		}
		if w.named[s.ID] = s; s.State == Draining {
			w.drained[s.ID], w.drainedAt[s.ID] = s.StartedAt, w.now
		}
	}
	if ev.ListKind == ListFull && !w.cfg.Contract.OnlyDrainingBinds {
		for id, s := range w.named {
			if !slices.ContainsFunc(ev.Endpoints, func(e Endpoint) bool { return e.ID == id }) {
				s.State = Gone
				w.named[id] = s
			}
		}
	}
	w.handle(ev)
}

// readyCount is how many servers were ready from a time on.
type readyCount struct {
	at time.Duration
	n  int
}

// next plays the earliest outcome or timer that is due by then, at its time, if there is one.
func (w *world) next(by time.Duration) bool {
	first := -1
	for i, ev := range w.due {
		if ev.Elapsed <= by && (first < 0 || ev.Elapsed < w.due[first].Elapsed) {
			first = i
		}
	}
	if first < 0 {
		return false
	}
	ev, late := w.due[first], w.now
	w.due = slices.Delete(w.due, first, first+1)
	if w.now = ev.Elapsed; ev.Kind == TimerFired {
		w.handle(Event{Kind: TimerFired, Token: ev.Token})
	} else {
		w.end(ev)
	}
	w.now = max(late, w.now)
	return true
}

func (w *world) step(next RequestID) {
	w.now += time.Duration(w.rng.Int63n(int64(14 * ms)))
	for w.next(w.now) {
	}
	switch roll := w.rng.Intn(100); {
	case roll < 2:
		w.list()
	case roll < 4:
		w.handle(Event{Kind: TimerFired, Token: w.rng.Uint32() >> w.rng.Intn(32)})
	case roll < 6 && len(w.open) > 0:
		id := w.open[len(w.open)-1-w.rng.Intn(min(len(w.open), 6))]
		w.reqs[id].answered = true
		w.over(id)
		w.handle(Event{Kind: ClientLeft, Request: id})
	default:
		r := &seen{class: w.rng.Intn(len(w.cfg.Classes)), until: w.now + time.Duration(w.rng.Int63n(int64(time.Second)))}
		w.reqs[next] = r
		w.open = append(w.open, next)
		key := uint64(w.rng.Intn(4))
		if w.cfg.Classes[r.class].OrderedByKey && key > 0 {
			r.key = key
			w.turns[key] = append(w.turns[key], next)
		}
		w.handle(Event{Kind: RequestArrived, Request: next, Class: r.class, Key: key, Tenant: w.rng.Intn(4), Remaining: r.until - w.now,
			ExpectedWork: time.Duration(w.rng.Int63n(3)) * 10 * ms, ClientRetry: w.rng.Intn(2) == 0})
	}
}

func (w *world) end(ev Event) {
	r := w.reqs[ev.Request]
	ev.Outcome = Outcome(w.rng.Intn(8))
	if w.rng.Intn(3) > 0 {
		ev.Outcome = OK
	}
	if !ev.Outcome.NeverRan() && !r.ran {
		r.ran, r.ranOn, r.ranAt = true, r.attempts[ev.Attempt], w.sentAt[ev.Request]
	}
	r.out--
	r.answered = r.answered || ev.Outcome == OK
	if ev.Outcome == Timeout || ev.Outcome == Reset || ev.Outcome == Cancelled {
		w.rest[r.key] = w.now + w.cfg.Contract.KeyQuarantine
	}
	w.over(ev.Request)
	ev.RequestClosed = r.answered
	ev.Elapsed = w.now - w.sentAt[ev.Request]
	w.handle(ev)
}

func newWorld(t testing.TB, seed int64) *world {
	cfg := testConfig()
	cfg.Tenants = []Tenant{{Quota: 5}, {Quota: 50}, {}}
	cfg.ReplicaCount = 1 + int(seed)%3
	if seed%5 == 4 { // copies that outnumber the servers
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
	return &world{t: t, most: 12, rng: rand.New(rand.NewSource(seed)), cfg: cfg, b: New(cfg, uint64(seed)), now: time.Hour,
		servers: map[EndpointID]Endpoint{}, reqs: map[RequestID]*seen{}, toCold: map[EndpointID][]time.Duration{},
		sentAt: map[RequestID]time.Duration{}, turns: map[uint64][]RequestID{}, rest: map[uint64]time.Duration{},
		drained: map[EndpointID]time.Duration{}, drainedAt: map[EndpointID]time.Duration{}, named: map[EndpointID]Endpoint{}}
}

func play(t testing.TB, seed int64) []Action {
	w := newWorld(t, seed)
	for i := range 4000 {
		w.step(RequestID(i + 1))
	}
	for w.next(w.now + time.Hour) { // the last outcomes and timers
	}
	for id, r := range w.reqs {
		if !r.answered {
			w.fail("request %d was never answered", id)
		}
	}
	if len(w.b.requests) != 0 || w.b.attempts.inFlight != 0 {
		w.fail("%d requests and %d calls are left", len(w.b.requests), w.b.attempts.inFlight)
	}
	return w.trace
}

func TestRandomSequencesKeepTheRules(t *testing.T) {
	for seed := range int64(30) {
		trace := play(t, seed)
		var kinds [Log + 1]int
		for _, a := range trace {
			kinds[a.Kind]++
		}
		if seed%5 == 4 && kinds[Send] > 50 && kinds[Shed] > 10 { // its part of the limit is a call or less
			continue
		}
		if kinds[Send] < 300 || kinds[Shed] < 10 || kinds[Fail] < 10 || kinds[Cancel] < 2 {
			t.Errorf("seed %d: a tame sequence: %v actions by kind", seed, kinds)
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	if a, b := play(t, 7), play(t, 7); !reflect.DeepEqual(a, b) {
		t.Error("two runs of one sequence differ")
	}
}

func TestOddConfigsAndEvents(t *testing.T) {
	bad := []Config{{}, {ReplicaCount: -1, Tier: -5, Tiers: -2, Classes: []Class{{LatencyObjective: -1, Deadline: -1, PriorityWeight: -3}},
		Tenants:  []Tenant{{Quota: -1}},
		Contract: Contract{InitialCapacity: -1, WarmUpPeriod: -1, OverloadMultiple: -1, OverloadPeriod: -1, MaxPollInterval: -1},
		Limits:   Limits{MaxAttempts: -1, MaxOpenRequests: -1, MaxRetryAfter: -1, ConnectTimeout: -1}},
		{Tier: 99, Tiers: 2, Classes: []Class{{Deadline: 1}}}, {ReplicaCount: 1 << 30, ReplicaIndex: 1 << 40, Tiers: 3},
		{ReplicaCount: 200, ReplicaIndex: -1, LoadReportNames: []string{"unheard_of"}},
		{ReplicaCount: 3, ReplicaIndex: 1 << 62, OverQuotaWeight: -4, Classes: []Class{{OrderedByKey: true, PriorityWeight: math.Inf(1)}, {PriorityWeight: math.NaN()}},
			Contract: Contract{OnlyDrainingBinds: true, KeyQuarantine: -time.Second}, Goal: Goal{LogLossWeight: math.NaN(), TopNines: -3}}}
	for i, cfg := range bad {
		n := newHost(t, cfg, Endpoint{ID: 1, State: Ready, StartedAt: 1 << 62, Weight: -1}, Endpoint{ID: 1, State: Ready}, Endpoint{ID: 2, State: 77})
		for _, ev := range []Event{{Kind: 200}, {Kind: RequestArrived, Request: 1, Class: -4, Tenant: -9, Remaining: -5, ExpectedWork: -7},
			{Kind: RequestArrived, Request: 2, Class: 300, Tenant: 1 << 30, Remaining: time.Hour, Key: 1},
			{Kind: RequestArrived, Request: 3, Key: 1, Remaining: -time.Hour}, {Kind: TimerFired, Token: 1 << 31}, {Kind: EndpointListUpdated, ListKind: ListFull},
			{Kind: AttemptEnded, Request: 2, Attempt: -1}, {Kind: AttemptEnded, Request: 2, Attempt: 9},
			{Kind: AttemptEnded, Request: 2, Outcome: 250, Elapsed: -1, LoadReport: []float32{float32(math.NaN()), -1}}, {Kind: AttemptEnded, Request: 2}, {Kind: EndpointListUpdated, ListKind: 99}} {
			n.now += ms
			n.handle(ev)
		}
		if len(n.b.requests) != 0 {
			t.Errorf("config %d: %d requests are left", i, len(n.b.requests))
		}
	}
}
