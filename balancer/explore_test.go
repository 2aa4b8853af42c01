package balancer

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"ryerill/lab/modelcheck"
	"ryerill/lab/modelcheck/mutant"
)

// environment explores a real Balancer with all events of its surroundings: requests arrive, clients leave, attempts
// end with any outcome, endpoints drain, vanish, restart and return, and time passes. A second Balancer, the twin, gets
// the same events. Each check names its property as in docs/design/properties.md.
type environment struct {
	b, twin   *Balancer
	cfg       Config
	now       time.Duration
	requests  []*clientRequest
	endpoints []Endpoint          // latest list entries
	drained   map[EndpointID]bool // endpoints listed as draining since their start
	changes   int                 // changes of the list so far
	timeSteps int
	maxSteps  int
	timers    []uint32
	moves     []move
	violation error // first violated property
}

// clientRequest is the state of a request at its client and the endpoints.
type clientRequest struct {
	id            RequestID
	class         int
	arrived       bool
	left          bool // the client has left
	finals        int  // final answers
	inFlight      int  // index of the attempt in flight; -1 means none
	sent          []EndpointID
	maybeExecuted []EndpointID  // endpoints of attempts that may have been executed
	repeated      bool          // the end of an older attempt was reported a second time
	executedAt    time.Duration // when the first attempt in maybeExecuted was sent
	sentAt        time.Duration
	cancelled     bool // the attempt in flight was cancelled
}

// move is a possible next event.
type move struct {
	name string
	do   func()
}

// Bounds of the environment.
const (
	maxChanges    = 2 // changes of the list
	maxTimeSteps  = 2
	clientTimeout = 3 * time.Second
)

// scenario is a configuration to explore.
type scenario struct {
	name              string
	effects           []Effect // one request per effect, each with its own class
	group             Group
	endpoints         int
	attempts          int
	onlyDrainingBinds bool
	changes           bool // the list may change
	depth             int
}

func (p scenario) start() modelcheck.System {
	cfg := Config{ReplicaCount: 1, Limits: Limits{MaxAttempts: p.attempts, AllowCancel: true, SendRetryAfter: true,
		MaxRetryAfter: time.Second, ConnectTimeout: 100 * ms},
		Contract: Contract{OnlyDrainingBinds: p.onlyDrainingBinds}}
	for _, e := range p.effects {
		cfg.Classes = append(cfg.Classes, Class{LatencyObjective: time.Second, Deadline: 2 * time.Second,
			PriorityWeight: 1, LateWeight: 0.5, Effect: e, Group: p.group, IdempotencyWindow: 1200 * ms})
	}
	env := &environment{b: New(cfg, 1), twin: New(cfg, 1), cfg: cfg, now: time.Hour, drained: map[EndpointID]bool{},
		maxSteps: maxTimeSteps * max(1, len(p.effects)/4)}
	for i := range p.endpoints {
		env.endpoints = append(env.endpoints, Endpoint{ID: EndpointID(i + 1), State: Ready, Cell: i / 2})
	}
	for i := range p.effects {
		env.requests = append(env.requests, &clientRequest{id: RequestID(i + 1), class: i, inFlight: -1})
	}
	if !p.changes {
		env.changes = maxChanges
	}
	env.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull, Endpoints: env.endpoints})
	env.findMoves()
	return env
}

func (env *environment) fail(property, format string, args ...any) {
	if env.violation == nil {
		env.violation = fmt.Errorf("%s: %s", property, fmt.Sprintf(format, args...))
	}
}

func (env *environment) find(id RequestID) *clientRequest { return env.requests[id-1] }

// handle passes an event to both Balancers and checks the actions.
func (env *environment) handle(ev Event) {
	out, same := env.b.Handle(env.now, ev, nil), env.twin.Handle(env.now, ev, nil)
	if len(out) != len(same) {
		env.fail("same-events-same-actions", "got %d actions, the twin %d", len(out), len(same))
	}
	for i, a := range out {
		if i < len(same) && fmt.Sprint(a) != fmt.Sprint(same[i]) {
			env.fail("same-events-same-actions", "got action %v, the twin %v", a, same[i])
		}
		switch a.Kind {
		case Send:
			env.checkSend(&a)
		case Shed, Fail:
			r := env.find(a.Request)
			if r.left {
				env.fail("none-after-leaving", "request %d is answered after its client left", r.id)
			}
			if r.finals++; r.finals > 1 {
				env.fail("one-final-answer", "request %d is answered %d times", r.id, r.finals)
			}
			if a.Kind == Shed && len(r.maybeExecuted) > 0 && env.cfg.Classes[r.class].Effect == Unsafe {
				env.fail("refused-is-harmless", "request %d is shed but may have been executed", r.id)
			}
		case Cancel:
			if r := env.find(a.Request); r.inFlight != a.Attempt {
				env.fail("one-owner", "attempt %d of request %d is cancelled, %d is in flight", a.Attempt, r.id,
					r.inFlight)
			} else {
				r.cancelled = true
			}
		case SetTimer:
			env.timers = append(env.timers, a.Token)
		}
	}
	env.checkInvariants()
}

// checkSend checks an attempt against what its class and its endpoint allow.
func (env *environment) checkSend(a *Action) {
	r := env.find(a.Request)
	c := &env.cfg.Classes[r.class]
	switch {
	case r.finals > 0:
		env.fail("one-final-answer", "request %d is sent after its answer", r.id)
	case r.left:
		env.fail("none-after-leaving", "request %d is sent after its client left", r.id)
	case r.inFlight >= 0:
		env.fail("one-attempt-at-a-time", "request %d is sent while an attempt is in flight", r.id)
	case len(r.sent) >= env.cfg.Limits.MaxAttempts:
		env.fail("attempts-bounded", "request %d is sent %d times", r.id, len(r.sent)+1)
	case slices.Contains(r.sent, a.Endpoint):
		env.fail("never-twice-to-one", "request %d goes to endpoint %d again", r.id, a.Endpoint)
	}
	s := env.endpoints[a.Endpoint-1]
	if s.State == Draining || s.State == Gone && (!env.cfg.Contract.OnlyDrainingBinds || env.drained[s.ID]) {
		env.fail("nothing-new-to-a-drained", "request %d goes to endpoint %d, which is listed as %d", r.id, s.ID,
			s.State)
	}
	if len(r.maybeExecuted) > 0 {
		first := env.endpoints[r.maybeExecuted[0]-1]
		switch {
		case c.Effect == Unsafe:
			env.fail("no-repeat-against-its-class", "unsafe request %d may have been executed at %v and is sent again",
				r.id, r.maybeExecuted)
		case c.Effect == Keyed && c.Group == GroupCell && s.Cell != first.Cell:
			env.fail("no-repeat-against-its-class",
				"keyed request %d may have been executed in cell %d and goes to cell %d", r.id, first.Cell, s.Cell)
		case c.Effect == Keyed && env.now-r.executedAt >= c.IdempotencyWindow:
			env.fail("no-repeat-against-its-class", "keyed request %d is sent %v after it may have been executed", r.id,
				env.now-r.executedAt)
		case c.Effect == Keyed && env.now+a.WriteTimeout-r.executedAt >= c.IdempotencyWindow:
			env.fail("no-repeat-against-its-class",
				"keyed request %d may be written %v after it may have been executed", r.id,
				env.now+a.WriteTimeout-r.executedAt)
		}
	}
	if a.Timeout <= 0 || a.Timeout > clientTimeout || a.WriteTimeout <= 0 || a.WriteTimeout > a.Timeout {
		env.fail("every-attempt-has-a-deadline", "%v", a.Timeout)
	}
	r.sent = append(r.sent, a.Endpoint)
	r.inFlight, r.cancelled, r.sentAt = len(r.sent)-1, false, env.now
}

// checkInvariants checks the properties that hold between events.
func (env *environment) checkInvariants() {
	b, out := env.b, map[EndpointID]int{}
	all := 0
	for _, r := range env.requests {
		if r.inFlight >= 0 {
			out[r.sent[r.inFlight]]++
			all++
		}
		if r.arrived && !r.left && r.finals == 0 && r.inFlight < 0 {
			env.fail("no-unbounded-waiting", "request %d has no attempt in flight and no answer", r.id)
		}
		if _, kept := b.requests[r.id]; kept != (r.arrived && (r.inFlight >= 0 || !r.left && r.finals == 0)) {
			env.fail("nothing-leaks", "request %d: kept %v, attempt in flight %d, client left %v, %d answers", r.id,
				kept, r.inFlight, r.left, r.finals)
		}
	}
	busy := 0
	for _, s := range b.endpoints.listed {
		if s.inFlight != out[s.ID] {
			env.fail("counters-return", "endpoint %d has %d attempts in flight, the Balancer counts %d", s.ID,
				out[s.ID], s.inFlight)
		}
		if s.inFlight > 0 {
			busy++
		}
		if s.lateInFlight > s.inFlight {
			env.fail("counters-return", "endpoint %d has %d late of %d attempts in flight",
				s.ID, s.lateInFlight, s.inFlight)
		}
	}
	if b.attempts.inFlight != all || b.attempts.busyEndpoints != busy ||
		b.attempts.lateEndpoints > b.attempts.busyEndpoints || b.attempts.lateEndpoints < 0 {
		env.fail("counters-return", "%d attempts in flight at %d endpoints; the Balancer counts %d at %d, %d late", all,
			busy, b.attempts.inFlight, b.attempts.busyEndpoints, b.attempts.lateEndpoints)
	}
	if b.limiter.ceiling > 0 && (b.limiter.maxIFR < b.limiter.floor || b.limiter.maxIFR > b.limiter.ceiling) {
		env.fail("limit-within-bounds", "got limit %v, floor %v, ceiling %v", b.limiter.maxIFR, b.limiter.floor,
			b.limiter.ceiling)
	}
	inFlight := 0
	for i := range b.attempts.byClass {
		for r := b.attempts.byClass[i].first; r != nil; r = r.next {
			inFlight++
		}
	}
	if inFlight != all {
		env.fail("counters-return", "got %d attempts in flight by class, want %d", inFlight, all)
	}
}

// endAttempt ends the attempt of r that is in flight.
func (env *environment) endAttempt(r *clientRequest, o Outcome) {
	k := r.inFlight
	r.inFlight = -1
	if !o.NeverRan() {
		if len(r.maybeExecuted) == 0 {
			r.executedAt = r.sentAt
		}
		r.maybeExecuted = append(r.maybeExecuted, r.sent[k])
	}
	closed := false
	if o == OK && !r.left && r.finals == 0 {
		r.finals, closed = 1, true
	}
	env.handle(Event{Kind: AttemptEnded, Request: r.id, Attempt: k, Endpoint: r.sent[k], Outcome: o,
		RequestClosed: closed || r.left, Elapsed: 50 * ms})
}

// findMoves computes the possible next events.
func (env *environment) findMoves() {
	env.moves = env.moves[:0]
	add := func(name string, do func()) { env.moves = append(env.moves, move{name, do}) }
	for _, r := range env.requests {
		switch {
		case !r.arrived:
			add(fmt.Sprintf("request %d arrives", r.id), func() {
				r.arrived = true
				env.handle(Event{Kind: RequestArrived, Request: r.id, Class: r.class, Tenant: -1,
					Remaining: clientTimeout})
			})
			if r.id == 1 { // requests differ only in class, so the second arrives after the first
				goto listChanges
			}
		case r.inFlight >= 0:
			for _, o := range []Outcome{OK, Error, Rejected, Timeout, Reset} {
				add(fmt.Sprintf("attempt %d of request %d ends: %v", r.inFlight, r.id, o),
					func() { env.endAttempt(r, o) })
			}
			if r.inFlight > 0 && !r.repeated {
				add(fmt.Sprintf("the end of attempt %d of request %d is reported again", r.inFlight-1, r.id),
					func() {
						r.repeated = true
						env.handle(Event{Kind: AttemptEnded, Request: r.id, Attempt: r.inFlight - 1,
							Endpoint: r.sent[r.inFlight-1], Outcome: Error, Elapsed: 50 * ms})
					})
			}
			if r.cancelled {
				add(fmt.Sprintf("attempt %d of request %d ends: cancelled", r.inFlight, r.id),
					func() { env.endAttempt(r, Cancelled) })
			}
		}
		if r.arrived && !r.left && r.finals == 0 {
			add(fmt.Sprintf("the client of request %d leaves", r.id), func() {
				r.left = true
				env.handle(Event{Kind: ClientLeft, Request: r.id})
			})
		}
	}
listChanges:
	if env.changes < maxChanges {
		for i := range env.endpoints {
			s := &env.endpoints[i]
			for _, state := range []EndpointState{Gone, Ready, Draining} {
				if state != s.State {
					add(fmt.Sprintf("endpoint %d is listed as %d", s.ID, state), func() {
						env.changes++
						s.State = state
						env.drained[s.ID] = env.drained[s.ID] || state == Draining
						env.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges, Endpoints: []Endpoint{*s}})
					})
				}
			}
		}
		add("a full list omits the last endpoint", func() {
			env.changes++
			env.endpoints[len(env.endpoints)-1].State = Gone
			env.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull,
				Endpoints: env.endpoints[:len(env.endpoints)-1]})
		})
		add("endpoint 1 is listed as restarted", func() {
			env.changes++
			env.endpoints[0].State, env.endpoints[0].StartedAt = Ready, env.now
			delete(env.drained, env.endpoints[0].ID)
			env.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges, Endpoints: env.endpoints[:1]})
		})
	}
	if env.timeSteps < env.maxSteps {
		add("0.7 s pass", func() { env.timeSteps++; env.now += 700 * ms })
	}
	if len(env.timers) > 0 {
		add("a timer fires", func() {
			token := env.timers[0]
			env.timers = env.timers[1:]
			env.handle(Event{Kind: TimerFired, Token: token})
		})
	}
}

func (env *environment) Moves() (names []string) {
	for _, m := range env.moves {
		names = append(names, m.name)
	}
	return names
}

func (env *environment) Do(i int) error {
	env.moves[i].do()
	env.findMoves()
	return env.violation
}

// Key encodes the whole state of the Balancer with times relative to now, including values that grow or decay with
// time. Equal keys therefore mean equal states.
func (env *environment) Key() string {
	var t strings.Builder
	b := env.b
	fmt.Fprint(&t, env.timeSteps, env.changes, len(env.timers), b.random.state, b.attempts.inFlight, b.limiter.maxIFR,
		b.limiter.burstCredit, b.now-b.limiter.creditAt, b.limiter.windowEnd-b.now,
		b.limiter.window.values[:min(b.limiter.window.count, 16)], b.limiter.window.count, b.attempts.busyEndpoints,
		b.attempts.lateEndpoints, b.endpoints.served.count, b.now-b.endpoints.served.updatedAt, b.stats.typicalLatency,
		b.stats.errorRate, b.poll.scheduled, b.poll.failures)
	for _, s := range b.endpoints.listed {
		fmt.Fprint(&t, ";", s.ID, s.State, b.now-s.StartedAt, s.inFlight, s.health.penalty, s.health.relativeLatency,
			b.now-s.health.updatedAt, b.now-s.lastKnownAt, s.drained, s.lastResult, s.inSubset, s.lateInFlight, s.index,
			s.rank, s.rankPosition, s.warmUpBudget)
	}
	for _, r := range env.requests {
		fmt.Fprint(&t, "|", r.arrived, r.left, r.finals, r.inFlight, r.sent, r.maybeExecuted, env.now-r.executedAt,
			r.cancelled)
		if k := b.requests[r.id]; k != nil {
			fmt.Fprint(&t, b.now-k.sentAt, k.deadline-b.now, k.answered, k.inFlight, k.late, k.priority)
		}
	}
	for _, s := range env.endpoints {
		fmt.Fprint(&t, s.State, env.now-s.StartedAt)
	}
	return t.String()
}

// scenarios are the explored configurations.
var scenarios = []scenario{
	{name: "one safe", effects: []Effect{Safe}, endpoints: 3, attempts: 2, changes: true, depth: 6},
	{name: "one unsafe", effects: []Effect{Unsafe}, endpoints: 3, attempts: 2, changes: true, depth: 6},
	{name: "keyed within a cell", effects: []Effect{Keyed}, group: GroupCell, endpoints: 3, attempts: 3,
		changes: true, depth: 6},
	{name: "keyed, only draining binds", effects: []Effect{Keyed}, group: GroupCell, endpoints: 3, attempts: 3,
		onlyDrainingBinds: true, changes: true, depth: 6},
	{name: "two safe and list changes", effects: []Effect{Safe, Safe}, endpoints: 2, attempts: 2, changes: true,
		depth: 6},
	{name: "unsafe and safe", effects: []Effect{Unsafe, Safe}, endpoints: 2, attempts: 2, depth: 7},
	{name: "keyed and unsafe", effects: []Effect{Keyed, Unsafe}, group: GroupCell, endpoints: 3, attempts: 2,
		depth: 6},
}

// Explores the real Balancer exhaustively in small environments.
func TestExploreRequests(t *testing.T) {
	for _, p := range scenarios {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			if testing.Short() { // mutant tests need less depth
				p.depth--
			}
			res := modelcheck.Explore(p.start, modelcheck.Bounds{Depth: p.depth, States: 400_000})
			if t.Log(res); res.Err != nil {
				t.Error(res)
			}
		})
	}
}

// Walks at random through environments that are too large to explore exhaustively.
func TestWalkRequests(t *testing.T) {
	for i, p := range []scenario{{endpoints: 5}, {endpoints: 5, onlyDrainingBinds: true}, {endpoints: 2}} {
		p.group, p.attempts, p.changes = GroupCell, 3, i < 2
		for range 5 {
			p.effects = append(p.effects, Unsafe, Safe, Keyed, Keyed)
		}
		if res := modelcheck.Walk(p.start, uint64(i), 1500, 120); res.Err != nil {
			t.Error(res)
		}
	}
}

// The exploration and the walks must find each of these typical faults without other tests.
func TestMutantsOfRequests(t *testing.T) {
	mutant.Find(t, "ExploreRequests|WalkRequests", []mutant.Mutant{
		{Name: "one attempt too many", File: "request.go", From: "len(r.attempts) < b.cfg.Limits.MaxAttempts",
			To: "len(r.attempts) <= b.cfg.Limits.MaxAttempts"},
		{Name: "an attempt goes to an endpoint tried before", File: "request.go",
			From: "\tcase r.tried(e):\n\t\treturn false\n",
			To:   ""},
		{Name: "a rejection counts as executed", File: "request.go",
			From: "if !event.Outcome.NeverRan() && r.possiblyExecutedOn == nil {",
			To:   "if r.possiblyExecutedOn == nil && !event.Outcome.NeverRan() && event.Outcome != Timeout {"},
		{Name: "keyed work leaves its group", File: "config.go", From: "g == GroupCell && x.Cell == y.Cell",
			To: "g == GroupCell"},
		{Name: "the idempotency expiry is ignored", File: "request.go",
			From: "case r.class.Effect == Unsafe || now >= r.idempotencyExpiry:",
			To:   "case r.class.Effect == Unsafe:"},
		{Name: "a repeat may be written at any time", File: "request.go",
			From: "action.WriteTimeout = min(timeout, r.idempotencyExpiry-b.now)",
			To:   "action.WriteTimeout = timeout"},
		{Name: "the idempotency window counts from the answer", File: "request.go",
			From: "r.setPossiblyExecuted(r.sentAt + time",
			To:   "r.setPossiblyExecuted(b.now + 600*time.Millisecond + time"},
		{Name: "a client that left is answered", File: "request.go",
			From: "\tif !r.answered && (!retry || !b.send(r)) {",
			To:   "\tif !retry || !b.send(r) {"},
		{Name: "a served request is answered again", File: "request.go",
			From: "\tr.answered = r.answered || event.RequestClosed\n",
			To:   "\tr.answered = r.answered || event.RequestClosed && event.Outcome != OK\n"},
		{Name: "an ended attempt keeps its slot", File: "attempts.go", From: "\te.inFlight--\n\tt.inFlight--\n",
			To: "\te.inFlight--\n"},
		{Name: "an ended attempt keeps its endpoint busy", File: "attempts.go",
			From: "\te.inFlight--\n\tt.inFlight--\n",
			To:   "\tt.inFlight--\n"},
		{Name: "a double release", File: "attempts.go", From: "\te.inFlight--\n\tt.inFlight--\n",
			To: "\te.inFlight--\n\tt.inFlight -= 2\n"},
		{Name: "busy endpoints are not counted down", File: "attempts.go",
			From: "\tif e.inFlight == 0 {\n\t\tt.busyEndpoints--\n\t}\n",
			To:   ""},
		{Name: "busy endpoints are counted twice", File: "attempts.go",
			From: "\tif e.inFlight == 0 {\n\t\tt.busyEndpoints++\n\t}\n",
			To:   "\tt.busyEndpoints++\n"},
		{Name: "late attempts are not counted down", File: "attempts.go",
			From: "\t\te.lateInFlight--\n\t\tif e.lateInFlight == 0 {\n\t\t\tt.lateEndpoints--\n\t\t}\n",
			To:   "\t\te.lateInFlight--\n"},
		{Name: "an answered request is kept", File: "requeststate.go", From: "\t\tdelete(b.requests, r.id)\n",
			To: ""},
		{Name: "an open request is forgotten", File: "requeststate.go",
			From: "if r.answered && !r.inFlight && b.requests[r.id] == r {",
			To:   "if r.answered && b.requests[r.id] == r {"},
		{Name: "gone endpoints are sent to", File: "endpoint.go",
			From: "return e.State == Ready || e.State == Gone && s.cfg.Contract.OnlyDrainingBinds && !e.drained",
			To:   "return e.State == Ready || e.State == Gone && !e.drained"},
		{Name: "a drain is forgotten once the endpoint is gone", File: "endpointlist.go",
			From: "e.drained = entry.State == Draining || e.drained && !restarted",
			To:   "e.drained = entry.State == Draining"},
		{Name: "endpoints omitted by a full list stay", File: "endpointlist.go",
			From: "\t\tif event.ListKind.isComplete() {\n\t\t\te.State = Gone\n\t\t}\n",
			To:   ""},
		{Name: "a request that may have been executed is shed", File: "request.go",
			From: "if r.possiblyExecutedOn == nil || class.Effect == Safe ||",
			To:   "if true || r.possiblyExecutedOn == nil || class.Effect == Safe ||"},
		{Name: "no answer without an endpoint", File: "request.go",
			From: "\tif !b.admits(r) || !b.send(r) {\n\t\tb.answer(r)\n",
			To:   "\tif !b.admits(r) || !b.send(r) {\n"},
		{Name: "the limit grows beyond its ceiling", File: "limiter.go",
			From: "l.maxIFR = min(l.maxIFR+min(1, maxStep*l.ceiling), l.ceiling)",
			To:   "l.maxIFR += 50"},
		{Name: "timeouts end after the answer is due", File: "request.go", From: "timeout := r.deadline - b.now",
			To: "timeout := r.deadline"},
		{Name: "the end of an old attempt ends the latest", File: "request.go",
			From: "event.Attempt != len(r.attempts)-1",
			To:   "event.Attempt > len(r.attempts)"},
	})
}
