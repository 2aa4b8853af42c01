package balancer

import (
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"
)

// plain picks as pick does where it may look at all: a scan of all endpoints from a
// random place on.
func plain(b *Balancer, r *request) *endpoint {
	best := newCandidate(r, int(b.random.float64()*float64(len(b.endpoints.listed))), len(b.endpoints.listed))
	for i := range b.endpoints.listed {
		b.endpoints.scan(b.now, b.endpoints.listed[(best.from+i)%best.size:][:1], 1, &best)
	}
	return best.endpoint
}

// agree compares pick with plain for a request, and leaves the generator as it was.
func (w *world) agree(r *request) {
	rng := w.b.random.state
	want := plain(w.b, r)
	w.b.random.state = rng
	got := w.b.endpoints.pick(w.b.now, r, w.b.random.float64())
	w.b.random.state = rng
	if got != want && (got == nil || want == nil || len(w.b.endpoints.listed) <= maxExactScan) {
		w.fail("request %d: the index picks %+v, the scan %+v", r.id, got, want)
	}
	if got != nil && want != nil {
		w.picks++
		if got != want {
			w.others++
		}
	}
}

// tally compares what is counted as events come with a count made now.
func (w *world) tally() {
	b := w.b
	busy, late, filed := 0, 0, 0
	for i, s := range b.endpoints.listed {
		if s.index != i {
			w.fail("endpoint %d is at %d of the list, and says %d", s.ID, i, s.index)
		}
		if s.inFlight > 0 {
			busy++
		}
		if s.lateInFlight > 0 {
			late++
		}
		if s.rank >= 0 {
			filed++
			if b.endpoints.byRank[s.rank][s.rankPosition] != s {
				w.fail("endpoint %d is not where it is filed", s.ID)
			}
		}
	}
	for _, shelf := range b.endpoints.byRank {
		filed -= len(shelf)
	}
	calls, open := 0, 0
	for i := range b.attempts.byClass {
		for r := b.attempts.byClass[i].first; r != nil; r = r.next {
			if calls++; r.next != nil && r.next.sentAt < r.sentAt {
				w.fail("calls out of order")
			}
		}
	}
	for _, r := range b.requests {
		if r.open {
			open++
		}
	}
	if busy != b.attempts.busyEndpoints || late != b.attempts.lateEndpoints || filed != 0 || calls != b.attempts.inFlight || open != b.attempts.inFlight {
		w.fail("busy %d, late %d, filed %+d, calls %d, open %d; kept %d, %d, %d", busy, late, filed, calls, open, b.attempts.busyEndpoints, b.attempts.lateEndpoints, b.attempts.inFlight)
	}
}

// Up to the stated size the index picks what a plain scan picks, and beyond it
// never nothing where there is something; what is counted as events come is true.
func TestIndexAgreesWithAPlainScan(t *testing.T) {
	for seed := range int64(40) {
		w := newWorld(t, seed)
		w.most = []int{12, 40, maxExactScan}[seed%3]
		for i := range 1500 {
			w.step(RequestID(i + 1))
			w.tally()
			w.agree(&request{class: &w.cfg.Classes[0]})
			for _, r := range w.b.requests {
				if len(r.attempts) > 0 {
					w.agree(r)
				}
			}
		}
		if w.picks < 200 {
			t.Errorf("seed %d: %d picks compared", seed, w.picks)
		}
	}
}

// jam gives endpoints random verdicts and calls out, as crowded fleets have them.
func jam(b *Balancer, rng *rand.Rand) {
	for _, s := range b.endpoints.listed {
		s.inFlight, s.health.penalty, s.health.relativeLatency, s.health.updatedAt = rng.Intn(3)*rng.Intn(2), float64(rng.Intn(3)*rng.Intn(2)), 0.5+2*rng.Float64(), b.now
		b.endpoints.updateRank(s, b.now)
	}
}

// In larger fleets a sample decides. What it costs is measured: how often it
// takes an endpoint that ranks worse, and by how much one slower.
func TestLossOfTheSample(t *testing.T) {
	for _, tc := range []struct{ size, replicas int }{{140, 30}, {700, 150}, {7000, 1500}, {140, 1}, {7000, 1}} {
		size, cfg := tc.size, testConfig()
		cfg.ReplicaCount, cfg.Tiers = tc.replicas, 3 // the front of a chain: most are near
		h, rng := newHost(t, cfg, readyList(size)...), rand.New(rand.NewSource(int64(size)))
		const picks = 400
		worse, others, slower := 0, 0, 0.0
		for range picks {
			h.now += time.Second
			h.b.now = h.now
			jam(h.b, rng)
			r := &request{class: &h.b.cfg.Classes[0]}
			seed := h.b.random.state
			want := plain(h.b, r)
			h.b.random.state = seed
			got := h.b.endpoints.pick(h.b.now, r, h.b.random.float64())
			rank := func(s *endpoint) int {
				held, slow := s.health.at(h.b.now, h.b.endpoints.halfLife)
				return 2*int(float64(s.inFlight)+held+math.Floor(slow/slownessPerSeat)) + s.suspicion()
			}
			if got == nil || rank(got) > rank(want) {
				worse++
			}
			if got != want {
				others++
			}
			slower += (got.health.relativeLatency - want.health.relativeLatency) / picks
		}
		t.Logf("%d endpoints, %d replicas, %d near: %.1f%% of picks rank worse, on average %.3f slower; %d of %d are others",
			size, tc.replicas, h.b.endpoints.subsetSize, 100*float64(worse)/picks, slower, others, picks)
		if worse > picks/50 || slower > 0.2 {
			t.Errorf("%d endpoints: %d of %d picks rank worse, %.3f slower", size, worse, picks, slower)
		}
		if others == 0 {
			t.Errorf("%d endpoints: no pick is by the sample", size)
		}
	}
}

// At ten times the readyList, replicas and calls grown alike, no decision may look at
// more or allocate. Counted work, so that the verdict is the same on any machine.
func TestDecisionsDoNotGrowWithTheFleet(t *testing.T) {
	for _, size := range []int{14, 140, 700, 7000} {
		f := newFlow(t, size)
		for range 4 * size { // all that is allocated once is there
			f.turn()
		}
		if allocs := testing.AllocsPerRun(200, f.turn); allocs > 0 {
			t.Errorf("%d endpoints: %v allocations for a call and the windows in it", size, allocs)
		}
		f.h.b.endpoints.scanned = 0
		for range 200 {
			f.turn()
		}
		if per := f.h.b.endpoints.scanned / 200; per > 2*maxScanned+1 && size > maxExactScan {
			t.Errorf("%d endpoints: %d are weighed for a pick", size, per)
		}
	}
}

// flow is a calm stream of calls with some always out.
type flow struct {
	h    *host
	out  []Action
	open []RequestID
	next RequestID
}

func newFlow(t testing.TB, size int) *flow {
	cfg := testConfig()
	cfg.ReplicaCount, cfg.Tiers = max(size*3/14, 1), 3 // the front of a chain: most are near
	f := &flow{h: newHost(t, cfg, readyList(size)...)}
	for range 8 {
		f.arrive()
	}
	return f
}

func (f *flow) arrive() {
	f.next++
	f.open = append(f.open, f.next)
	f.out = f.h.b.Handle(f.h.now, Event{Kind: RequestArrived, Request: f.next, Remaining: 2 * time.Second}, f.out[:0])
}

// turn ends the oldest call and begins another.
func (f *flow) turn() {
	f.h.now += 10 * ms
	id := f.open[0]
	copy(f.open, f.open[1:])
	f.open = f.open[:len(f.open)-1]
	f.out = f.h.b.Handle(f.h.now, Event{Kind: AttemptEnded, Request: id, RequestClosed: true, Elapsed: 80 * ms}, f.out[:0])
	f.arrive()
}

// What an endpoint that has left leaves behind is nothing.
func TestNothingIsKeptOfServersThatLeft(t *testing.T) {
	h := newHost(t, testConfig(), readyList(50)...)
	for gen := range 20 {
		id, _ := h.arrive(0)
		var list []Endpoint
		for i := range 50 {
			list = append(list, ready(EndpointID(1000*(gen+1)+i)))
		}
		h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull, Endpoints: list})
		h.end(id, 0, OK, ms)
	}
	h.handle(Event{Kind: EndpointListUpdated, ListKind: ListChanges})
	kept := 0
	for _, shelf := range h.b.endpoints.byRank {
		for _, s := range shelf[:cap(shelf)] {
			if s != nil && !slices.Contains(h.b.endpoints.listed, s) {
				kept++
			}
		}
	}
	for _, r := range h.b.pool {
		for _, s := range r.attempts[:cap(r.attempts)] {
			if s != nil {
				kept++
			}
		}
		if r.possiblyExecutedOn != nil {
			kept++
		}
	}
	if len(h.b.endpoints.listed) != 50 || len(h.b.endpoints.byID) != 50 || kept > 0 {
		t.Errorf("%d endpoints, %d by id, %d kept of those that left", len(h.b.endpoints.listed), len(h.b.endpoints.byID), kept)
	}
}
