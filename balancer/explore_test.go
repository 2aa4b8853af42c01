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

// corner is the real Balancer with all that may happen round it: requests that come and
// leave, attempts that end in any way, servers that drain, vanish, restart and return,
// and time. Beside the Balancer stands a twin that is told the same. What must hold is
// written at each check by its name in docs/design/properties.md.
type corner struct {
	b, twin  *Balancer
	cfg      Config
	now      time.Duration
	requests []*asked
	servers  []Endpoint          // as last told
	drained  map[EndpointID]bool // since their start
	changes  int
	steps    int // of time
	most     int // of them
	timers   []uint32
	moves    []move
	broken   error
}

// asked is a request as its consumer and the servers see it.
type asked struct {
	id       RequestID
	class    int
	came     bool
	left     bool // its consumer did
	finals   int
	out      int // the attempt that is out; -1 is none
	sent     []EndpointID
	mayRun   []EndpointID  // servers of attempts that may have run
	again    bool          // an older attempt was told once more
	ranAt    time.Duration // when the first of them was sent
	sentAt   time.Duration
	withdrew bool // the attempt that is out was called off
}

type move struct {
	name string
	do   func()
}

// Bounds of what the environment does.
const (
	mostChanges = 2 // of the list
	mostSteps   = 2 // of time
	patience    = 3 * time.Second
)

// plot is one configuration that is explored.
type plot struct {
	name     string
	effects  []Effect // of the requests' classes, one each
	group    Group
	servers  int
	attempts int
	alone    bool // draining binds alone
	changes  bool // of the list
	depth    int
}

func (p plot) start() modelcheck.System {
	cfg := Config{ReplicaCount: 1, Limits: Limits{MaxAttempts: p.attempts, AllowCancel: true, SendRetryAfter: true, MaxRetryAfter: time.Second, ConnectTimeout: 100 * ms}, Contract: Contract{OnlyDrainingBinds: p.alone}}
	for _, e := range p.effects {
		cfg.Classes = append(cfg.Classes, Class{LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1, LateWeight: 0.5, Effect: e, Group: p.group, IdempotencyWindow: 1200 * ms})
	}
	w := &corner{b: New(cfg, 1), twin: New(cfg, 1), cfg: cfg, now: time.Hour, drained: map[EndpointID]bool{}, most: mostSteps * max(1, len(p.effects)/4)}
	for i := range p.servers {
		w.servers = append(w.servers, Endpoint{ID: EndpointID(i + 1), State: Ready, Cell: i / 2})
	}
	for i := range p.effects {
		w.requests = append(w.requests, &asked{id: RequestID(i + 1), class: i, out: -1})
	}
	if !p.changes {
		w.changes = mostChanges
	}
	w.tell(Event{Kind: EndpointListUpdated, ListKind: ListFull, Endpoints: w.servers})
	w.look()
	return w
}

func (w *corner) fail(property, format string, args ...any) {
	if w.broken == nil {
		w.broken = fmt.Errorf("%s: %s", property, fmt.Sprintf(format, args...))
	}
}

func (w *corner) find(id RequestID) *asked { return w.requests[id-1] }

// tell hands an event over and checks what follows.
func (w *corner) tell(ev Event) {
	out, same := w.b.Handle(w.now, ev, nil), w.twin.Handle(w.now, ev, nil)
	if len(out) != len(same) {
		w.fail("same-events-same-actions", "%d and %d actions", len(out), len(same))
	}
	for i, a := range out {
		if i < len(same) && fmt.Sprint(a) != fmt.Sprint(same[i]) {
			w.fail("same-events-same-actions", "%v and %v", a, same[i])
		}
		switch a.Kind {
		case Send:
			w.sent(&a)
		case Shed, Fail:
			r := w.find(a.Request)
			if r.left {
				w.fail("none-after-leaving", "request %d left and is answered", r.id)
			}
			if r.finals++; r.finals > 1 {
				w.fail("one-final-answer", "request %d is answered %d times", r.id, r.finals)
			}
			if a.Kind == Shed && len(r.mayRun) > 0 && w.cfg.Classes[r.class].Effect == Unsafe {
				w.fail("refused-is-harmless", "request %d is refused and may have run", r.id)
			}
		case Cancel:
			if r := w.find(a.Request); r.out != a.Attempt {
				w.fail("one-owner", "attempt %d of request %d is called off, %d is out", a.Attempt, r.id, r.out)
			} else {
				r.withdrew = true
			}
		case SetTimer:
			w.timers = append(w.timers, a.Token)
		}
	}
	w.settled()
}

// sent checks an attempt against what its class and its server allow.
func (w *corner) sent(a *Action) {
	r := w.find(a.Request)
	c := &w.cfg.Classes[r.class]
	switch {
	case r.finals > 0:
		w.fail("one-final-answer", "request %d is sent after its answer", r.id)
	case r.left:
		w.fail("none-after-leaving", "request %d left and is sent", r.id)
	case r.out >= 0:
		w.fail("one-attempt-at-a-time", "request %d", r.id)
	case len(r.sent) >= w.cfg.Limits.MaxAttempts:
		w.fail("attempts-bounded", "request %d goes out %d times", r.id, len(r.sent)+1)
	case slices.Contains(r.sent, a.Endpoint):
		w.fail("never-twice-to-one", "request %d goes to server %d again", r.id, a.Endpoint)
	}
	s := w.servers[a.Endpoint-1]
	if s.State == Draining || s.State == Gone && (!w.cfg.Contract.OnlyDrainingBinds || w.drained[s.ID]) {
		w.fail("nothing-new-to-a-drained", "request %d goes to server %d, which is told as %d", r.id, s.ID, s.State)
	}
	if len(r.mayRun) > 0 {
		first := w.servers[r.mayRun[0]-1]
		switch {
		case c.Effect == Unsafe:
			w.fail("no-repeat-against-its-class", "unsafe request %d may have run at %v and goes out again", r.id, r.mayRun)
		case c.Effect == Keyed && c.Group == GroupCell && s.Cell != first.Cell:
			w.fail("no-repeat-against-its-class", "keyed request %d may have run in cell %d and goes to cell %d", r.id, first.Cell, s.Cell)
		case c.Effect == Keyed && w.now-r.ranAt >= c.IdempotencyWindow:
			w.fail("no-repeat-against-its-class", "keyed request %d goes out %v after it may have run", r.id, w.now-r.ranAt)
		case c.Effect == Keyed && w.now+a.WriteTimeout-r.ranAt >= c.IdempotencyWindow:
			w.fail("no-repeat-against-its-class", "keyed request %d may be out %v after it may have run", r.id, w.now+a.WriteTimeout-r.ranAt)
		}
	}
	if a.Timeout <= 0 || a.Timeout > patience || a.WriteTimeout <= 0 || a.WriteTimeout > a.Timeout {
		w.fail("every-attempt-has-a-deadline", "%v", a.Timeout)
	}
	r.sent = append(r.sent, a.Endpoint)
	r.out, r.withdrew, r.sentAt = len(r.sent)-1, false, w.now
}

// settled checks what holds between events.
func (w *corner) settled() {
	b, out := w.b, map[EndpointID]int{}
	all := 0
	for _, r := range w.requests {
		if r.out >= 0 {
			out[r.sent[r.out]]++
			all++
		}
		if r.came && !r.left && r.finals == 0 && r.out < 0 {
			w.fail("no-unbounded-waiting", "request %d has no attempt out and no answer", r.id)
		}
		if _, kept := b.requests[r.id]; kept != (r.came && (r.out >= 0 || !r.left && r.finals == 0)) {
			w.fail("nothing-leaks", "request %d is kept %v, with attempt %d out, left %v, %d answers", r.id, kept, r.out, r.left, r.finals)
		}
	}
	busy := 0
	for _, s := range b.endpoints.listed {
		if s.inFlight != out[s.ID] {
			w.fail("counters-return", "server %d has %d calls out, the Balancer counts %d", s.ID, out[s.ID], s.inFlight)
		}
		if s.inFlight > 0 {
			busy++
		}
		if s.lateInFlight > s.inFlight {
			w.fail("counters-return", "server %d has %d late calls of %d", s.ID, s.lateInFlight, s.inFlight)
		}
	}
	if b.attempts.inFlight != all || b.attempts.busyEndpoints != busy || b.attempts.lateEndpoints > b.attempts.busyEndpoints || b.attempts.lateEndpoints < 0 {
		w.fail("counters-return", "%d calls out at %d servers; the Balancer counts %d at %d, %d late", all, busy, b.attempts.inFlight, b.attempts.busyEndpoints, b.attempts.lateEndpoints)
	}
	if b.limiter.ceiling > 0 && (b.limiter.maxIFR < b.limiter.floor || b.limiter.maxIFR > b.limiter.ceiling) {
		w.fail("limit-within-bounds", "%v, floor %v, ceiling %v", b.limiter.maxIFR, b.limiter.floor, b.limiter.ceiling)
	}
	inFlight := 0
	for i := range b.attempts.byClass {
		for r := b.attempts.byClass[i].first; r != nil; r = r.next {
			inFlight++
		}
	}
	if inFlight != all {
		w.fail("counters-return", "%d calls in flight by class, %d out", inFlight, all)
	}
}

// ends has the attempt of r that is out end.
func (w *corner) ends(r *asked, o Outcome) {
	k := r.out
	r.out = -1
	if !o.NeverRan() {
		if len(r.mayRun) == 0 {
			r.ranAt = r.sentAt
		}
		r.mayRun = append(r.mayRun, r.sent[k])
	}
	closed := false
	if o == OK && !r.left && r.finals == 0 {
		r.finals, closed = 1, true
	}
	w.tell(Event{Kind: AttemptEnded, Request: r.id, Attempt: k, Endpoint: r.sent[k], Outcome: o, RequestClosed: closed || r.left, Elapsed: 50 * ms})
}

// look finds what may happen next.
func (w *corner) look() {
	w.moves = w.moves[:0]
	add := func(name string, do func()) { w.moves = append(w.moves, move{name, do}) }
	for _, r := range w.requests {
		switch {
		case !r.came:
			add(fmt.Sprintf("request %d comes", r.id), func() {
				r.came = true
				w.tell(Event{Kind: RequestArrived, Request: r.id, Class: r.class, Tenant: -1, Remaining: patience})
			})
			if r.id == 1 { // requests are alike but for their class: the second comes after the first
				goto rest
			}
		case r.out >= 0:
			for _, o := range []Outcome{OK, Error, Rejected, Timeout, Reset} {
				add(fmt.Sprintf("attempt %d of request %d ends: %v", r.out, r.id, o), func() { w.ends(r, o) })
			}
			if r.out > 0 && !r.again {
				add(fmt.Sprintf("attempt %d of request %d is told to have ended once more", r.out-1, r.id), func() {
					r.again = true
					w.tell(Event{Kind: AttemptEnded, Request: r.id, Attempt: r.out - 1, Endpoint: r.sent[r.out-1], Outcome: Error, Elapsed: 50 * ms})
				})
			}
			if r.withdrew {
				add(fmt.Sprintf("attempt %d of request %d ends: cancelled", r.out, r.id), func() { w.ends(r, Cancelled) })
			}
		}
		if r.came && !r.left && r.finals == 0 {
			add(fmt.Sprintf("the consumer of request %d leaves", r.id), func() {
				r.left = true
				w.tell(Event{Kind: ClientLeft, Request: r.id})
			})
		}
	}
rest:
	if w.changes < mostChanges {
		for i := range w.servers {
			s := &w.servers[i]
			for _, state := range []EndpointState{Gone, Ready, Draining} {
				if state != s.State {
					add(fmt.Sprintf("server %d is told as %d", s.ID, state), func() {
						w.changes++
						s.State = state
						w.drained[s.ID] = w.drained[s.ID] || state == Draining
						w.tell(Event{Kind: EndpointListUpdated, ListKind: ListChanges, Endpoints: []Endpoint{*s}})
					})
				}
			}
		}
		add("the whole list comes without the last server", func() {
			w.changes++
			w.servers[len(w.servers)-1].State = Gone
			w.tell(Event{Kind: EndpointListUpdated, ListKind: ListFull, Endpoints: w.servers[:len(w.servers)-1]})
		})
		add("server 1 is told as started anew", func() {
			w.changes++
			w.servers[0].State, w.servers[0].StartedAt = Ready, w.now
			delete(w.drained, w.servers[0].ID)
			w.tell(Event{Kind: EndpointListUpdated, ListKind: ListChanges, Endpoints: w.servers[:1]})
		})
	}
	if w.steps < w.most {
		add("0.7 s pass", func() { w.steps++; w.now += 700 * ms })
	}
	if len(w.timers) > 0 {
		add("a timer is due", func() {
			token := w.timers[0]
			w.timers = w.timers[1:]
			w.tell(Event{Kind: TimerFired, Token: token})
		})
	}
}

func (w *corner) Moves() (names []string) {
	for _, m := range w.moves {
		names = append(names, m.name)
	}
	return names
}

func (w *corner) Do(i int) error {
	w.moves[i].do()
	w.look()
	return w.broken
}

// Key is exact: all that the Balancer holds, with times as they lie before now. What grows
// and decays with time is part of it, so states are taken for one only where they are.
func (w *corner) Key() string {
	var t strings.Builder
	b := w.b
	fmt.Fprint(&t, w.steps, w.changes, len(w.timers), b.random.state, b.attempts.inFlight, b.limiter.maxIFR, b.limiter.burstCredit, b.now-b.limiter.creditAt, b.limiter.windowEnd-b.now, b.limiter.window.values[:min(b.limiter.window.count, 16)], b.limiter.window.count, b.attempts.busyEndpoints, b.attempts.lateEndpoints, b.endpoints.served.count, b.now-b.endpoints.served.updatedAt, b.stats.typicalLatency, b.stats.errorRate, b.poll.scheduled, b.poll.failures)
	for _, s := range b.endpoints.listed {
		fmt.Fprint(&t, ";", s.ID, s.State, b.now-s.StartedAt, s.inFlight, s.health.penalty, s.health.relativeLatency, b.now-s.health.updatedAt, b.now-s.lastKnownAt, s.drained, s.lastResult, s.inSubset, s.lateInFlight, s.index, s.rank, s.rankPosition, s.warmUpBudget)
	}
	for _, r := range w.requests {
		fmt.Fprint(&t, "|", r.came, r.left, r.finals, r.out, r.sent, r.mayRun, w.now-r.ranAt, r.withdrew)
		if k := b.requests[r.id]; k != nil {
			fmt.Fprint(&t, b.now-k.sentAt, k.deadline-b.now, k.answered, k.open, k.late, k.priority)
		}
	}
	for _, s := range w.servers {
		fmt.Fprint(&t, s.State, w.now-s.StartedAt)
	}
	return t.String()
}

// plots are the configurations. The deeper ones are for RYERILL_SLOW.
var plots = []plot{
	{name: "a safe one", effects: []Effect{Safe}, servers: 3, attempts: 2, changes: true, depth: 6},
	{name: "an unsafe one", effects: []Effect{Unsafe}, servers: 3, attempts: 2, changes: true, depth: 6},
	{name: "a keyed one within a cell", effects: []Effect{Keyed}, group: GroupCell, servers: 3, attempts: 3, changes: true, depth: 6},
	{name: "a keyed one, draining binds alone", effects: []Effect{Keyed}, group: GroupCell, servers: 3, attempts: 3, alone: true, changes: true, depth: 6},
	{name: "two safe ones and changes", effects: []Effect{Safe, Safe}, servers: 2, attempts: 2, changes: true, depth: 6},
	{name: "unsafe beside safe", effects: []Effect{Unsafe, Safe}, servers: 2, attempts: 2, depth: 7},
	{name: "keyed beside unsafe", effects: []Effect{Keyed, Unsafe}, group: GroupCell, servers: 3, attempts: 2, depth: 6},
}

// The real Balancer, explored whole in small worlds.
func TestExploreRequests(t *testing.T) {
	for _, p := range plots {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			if testing.Short() { // for planted faults
				p.depth--
			}
			res := modelcheck.Explore(p.start, modelcheck.Bounds{Depth: p.depth, States: 400_000})
			if t.Log(res); res.Err != nil {
				t.Error(res)
			}
		})
	}
}

// And beyond what can be visited whole: walks at random with more of all.
func TestWalkRequests(t *testing.T) {
	for i, p := range []plot{{servers: 5}, {servers: 5, alone: true}, {servers: 2}} {
		p.group, p.attempts, p.changes = GroupCell, 3, i < 2
		for range 5 {
			p.effects = append(p.effects, Unsafe, Safe, Keyed, Keyed)
		}
		if res := modelcheck.Walk(p.start, uint64(i), 1500, 120); res.Err != nil {
			t.Error(res)
		}
	}
}

// Faults of the kind that people write are found, each by these tests alone.
func TestMutantsOfRequests(t *testing.T) {
	mutant.Find(t, "ExploreRequests|WalkRequests", []mutant.Mutant{
		{Name: "one attempt too many", File: "request.go", From: "len(r.attempts) < b.cfg.Limits.MaxAttempts",
			To: "len(r.attempts) <= b.cfg.Limits.MaxAttempts"},
		{Name: "an attempt goes to an endpoint tried before", File: "request.go", From: "\tcase r.tried(e):\n\t\treturn false\n",
			To: ""},
		{Name: "a rejection counts as executed", File: "request.go", From: "if !event.Outcome.NeverRan() && r.possiblyExecutedOn == nil {",
			To: "if r.possiblyExecutedOn == nil && !event.Outcome.NeverRan() && event.Outcome != Timeout {"},
		{Name: "keyed work leaves its group", File: "config.go", From: "g == GroupCell && x.Cell == y.Cell",
			To: "g == GroupCell"},
		{Name: "the idempotency expiry is ignored", File: "request.go", From: "case r.class.Effect == Unsafe || now >= r.idempotencyExpiry:",
			To: "case r.class.Effect == Unsafe:"},
		{Name: "a repeat may be written at any time", File: "request.go", From: "action.WriteTimeout = min(timeout, r.idempotencyExpiry-b.now)",
			To: "action.WriteTimeout = timeout"},
		{Name: "the idempotency window counts from the answer", File: "request.go", From: "r.setPossiblyExecuted(r.sentAt + window)",
			To: "r.setPossiblyExecuted(b.now + 600*time.Millisecond + window)"},
		{Name: "a client that left is answered", File: "request.go", From: "\tif !r.answered && (!retry || !b.send(r)) {",
			To: "\tif !retry || !b.send(r) {"},
		{Name: "a served request is answered once more", File: "request.go", From: "\tr.answered = r.answered || event.RequestClosed\n",
			To: "\tr.answered = r.answered || event.RequestClosed && event.Outcome != OK\n"},
		{Name: "an ended attempt holds its seat", File: "attempts.go", From: "\te.inFlight--\n\tt.inFlight--\n",
			To: "\te.inFlight--\n"},
		{Name: "an ended attempt holds its endpoint", File: "attempts.go", From: "\te.inFlight--\n\tt.inFlight--\n",
			To: "\tt.inFlight--\n"},
		{Name: "a double release", File: "attempts.go", From: "\te.inFlight--\n\tt.inFlight--\n",
			To: "\te.inFlight--\n\tt.inFlight -= 2\n"},
		{Name: "busy endpoints are not counted down", File: "attempts.go", From: "\tif e.inFlight == 0 {\n\t\tt.busyEndpoints--\n\t}\n",
			To: ""},
		{Name: "busy endpoints are counted twice", File: "attempts.go", From: "\tif e.inFlight == 0 {\n\t\tt.busyEndpoints++\n\t}\n",
			To: "\tt.busyEndpoints++\n"},
		{Name: "late attempts are not counted down", File: "attempts.go", From: "\t\te.lateInFlight--\n\t\tif e.lateInFlight == 0 {\n\t\t\tt.lateEndpoints--\n\t\t}\n",
			To: "\t\te.lateInFlight--\n"},
		{Name: "an answered request is kept", File: "requeststate.go", From: "\t\tdelete(b.requests, r.id)\n",
			To: ""},
		{Name: "an open request is forgotten", File: "requeststate.go", From: "if r.answered && !r.open && b.requests[r.id] == r {",
			To: "if r.answered && b.requests[r.id] == r {"},
		{Name: "gone endpoints are sent to", File: "endpoint.go", From: "return e.State == Ready || e.State == Gone && s.cfg.Contract.OnlyDrainingBinds && !e.drained",
			To: "return e.State == Ready || e.State == Gone && !e.drained"},
		{Name: "a drain is forgotten once the endpoint is gone", File: "endpointlist.go", From: "e.drained = entry.State == Draining || e.drained && entry.StartedAt == e.StartedAt",
			To: "e.drained = entry.State == Draining"},
		{Name: "a whole list leaves no endpoint out", File: "endpointlist.go", From: "\t\tif event.ListKind != ListChanges {\n\t\t\te.State = Gone\n\t\t}\n",
			To: ""},
		{Name: "a request that may have been executed is shed", File: "request.go", From: "if r.possiblyExecutedOn == nil || class.Effect == Safe ||",
			To: "if true || r.possiblyExecutedOn == nil || class.Effect == Safe ||"},
		{Name: "no answer where there is no endpoint", File: "request.go", From: "\tif !b.admits(r) || !b.send(r) {\n\t\tb.answer(r)\n",
			To: "\tif !b.admits(r) || !b.send(r) {\n"},
		{Name: "the limit grows beyond its ceiling", File: "limiter.go", From: "l.maxIFR = min(l.maxIFR+min(1, maxStep*l.ceiling), l.ceiling)",
			To: "l.maxIFR += 50"},
		{Name: "timeouts end after the answer is due", File: "request.go", From: "timeout := r.deadline - b.now",
			To: "timeout := r.deadline"},
		{Name: "the end of an old attempt ends the latest", File: "request.go", From: "event.Attempt != len(r.attempts)-1",
			To: "event.Attempt > len(r.attempts)"},
	})
}
