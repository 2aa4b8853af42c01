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
	restarts int
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
	for _, s := range b.servers {
		if s.out != out[s.ID] {
			w.fail("counters-return", "server %d has %d calls out, the Balancer counts %d", s.ID, out[s.ID], s.out)
		}
		if s.out > 0 {
			busy++
		}
		if s.late > s.out {
			w.fail("counters-return", "server %d has %d late calls of %d", s.ID, s.late, s.out)
		}
	}
	if b.ifr != all || b.busy != busy || b.late > b.busy || b.late < 0 {
		w.fail("counters-return", "%d calls out at %d servers; the Balancer counts %d at %d, %d late", all, busy, b.ifr, b.busy, b.late)
	}
	if b.ceiling > 0 && (b.maxIFR < b.floor || b.maxIFR > b.ceiling) {
		w.fail("limit-within-bounds", "%v, floor %v, ceiling %v", b.maxIFR, b.floor, b.ceiling)
	}
	inFlight := 0
	for i := range b.flights {
		for r := b.flights[i].first; r != nil; r = r.next {
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
	fmt.Fprint(&t, w.steps, w.changes, len(w.timers), b.rng, b.ifr, b.maxIFR, b.spare, b.now-b.spareAt, b.windowEnd-b.now, b.samples[:min(b.seen, 16)], b.seen, b.busy, b.late, b.rate, b.now-b.rateAt, b.usual, b.fails, b.asking, b.failed)
	for _, s := range b.servers {
		fmt.Fprint(&t, ";", s.ID, s.State, b.now-s.StartedAt, s.out, s.held, s.slow, b.now-s.touch, b.now-s.known, s.drained, s.latest, s.near, s.late, s.at, s.level, s.spot, s.budget)
	}
	for _, r := range w.requests {
		fmt.Fprint(&t, "|", r.came, r.left, r.finals, r.out, r.sent, r.mayRun, w.now-r.ranAt, r.withdrew)
		if k := b.requests[r.id]; k != nil {
			fmt.Fprint(&t, b.now-k.sent, k.end-b.now, k.done, k.open, k.late, k.value)
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
	one := func(name, from, to string) mutant.Mutant {
		return mutant.Mutant{Name: name, File: "balancer.go", From: from, To: to}
	}
	mutant.Find(t, "ExploreRequests|WalkRequests", []mutant.Mutant{
		one("one attempt too many", "len(r.attempts) < b.cfg.Limits.MaxAttempts", "len(r.attempts) <= b.cfg.Limits.MaxAttempts"),
		one("an attempt goes to a server tried already", "if slices.ContainsFunc(r.attempts, func(o *server) bool { return o.ID == s.ID }) {", "if false {"),
		one("a full answer counts as having run", "if !o.NeverRan() && r.ran == nil {", "if r.ran == nil && !o.NeverRan() && o != Timeout {"),
		one("keyed work leaves its group", "r.c.Group == GroupCell && s.Cell == r.ran.Cell", "r.c.Group == GroupCell"),
		one("the memory of a group is not looked at", "if r.c.Effect == Unsafe || now >= r.lapse {", "if r.c.Effect == Unsafe {"),
		one("a repeat may be out at any time", "a.WriteTimeout = min(left, r.lapse-b.now)", "a.WriteTimeout = left"),
		one("memory counts from the answer", "&r.at, r.to, r.sent+time", "&r.at, r.to, b.now+600*time.Millisecond+time"),
		one("who left is answered", "	if !r.done && !(again && b.send(r)) {", "	if !(again && b.send(r)) {"),
		one("a served one is answered once more", "	r.done = r.done || ev.RequestClosed\n", "	r.done = r.done || ev.RequestClosed && o != OK\n"),
		one("an ended attempt holds its seat", "r.open, s.out, b.ifr = false, s.out-1, b.ifr-1", "r.open, s.out, b.ifr = false, s.out-1, b.ifr"),
		one("an ended attempt holds its server", "r.open, s.out, b.ifr = false, s.out-1, b.ifr-1", "r.open, s.out, b.ifr = false, s.out, b.ifr-1"),
		one("a double release", "r.open, s.out, b.ifr = false, s.out-1, b.ifr-1", "r.open, s.out, b.ifr = false, s.out-1, b.ifr-2"),
		one("busy servers are not counted down", "	if b.flights[r.class].remove(r); s.out == 0 {\n		b.busy--\n	}\n", "	b.flights[r.class].remove(r)\n"),
		one("busy servers are counted twice", "	if b.flights[r.class].add(r); s.out == 0 {\n		b.busy++\n	}\n", "	b.flights[r.class].add(r)\n	b.busy++\n"),
		one("late calls are not counted down", "		if s.late--; s.late == 0 {\n			b.late--\n		}\n", "		s.late--\n"),
		one("what is answered is kept", "		delete(b.requests, r.id)\n", ""),
		one("what is open is forgotten", "if r.done && !r.open && b.requests[r.id] == r {", "if r.done && b.requests[r.id] == r {"),
		one("gone servers are sent to", "return s.State == Ready || s.State == Gone && b.cfg.Contract.OnlyDrainingBinds && !s.drained", "return s.State == Ready || s.State == Gone && !s.drained"),
		one("a drain is forgotten once it is gone", "s.drained = e.State == Draining || s.drained && e.StartedAt == s.StartedAt", "s.drained = e.State == Draining"),
		one("a whole list leaves nobody out", "		if ev.ListKind != ListChanges {\n			s.State = Gone\n		}\n", ""),
		one("a refusal where the work may have run", "if r.ran == nil || r.c.Effect == Safe ||", "if true || r.ran == nil || r.c.Effect == Safe ||"),
		one("no answer where there is no server", "	if !b.admits(r) || !b.send(r) {\n		b.answer(r)\n", "	if !b.admits(r) || !b.send(r) {\n"),
		one("the limit grows beyond its ceiling", "b.maxIFR = min(before+min(1, mostStep*b.ceiling), b.ceiling)", "b.maxIFR = before + 50"),
		one("time-outs end after the answer is due", "left := r.end - b.now", "left := r.end"),
		one("an old attempt's end ends the latest", "ev.Attempt != len(r.attempts)-1", "ev.Attempt > len(r.attempts)"),
	})
}
