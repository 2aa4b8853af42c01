package balancer

import (
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"
)

// scanAll picks like pick with an exact scan: it scans all endpoints from a random index on.
func scanAll(b *Balancer, r *request) *endpoint {
	listed := b.endpoints.listed
	best := newCandidate(r, int(b.random.float64()*float64(len(listed))), len(listed))
	for i := range listed {
		b.endpoints.scan(b.now, listed[(best.from+i)%best.size:][:1], 1, &best)
	}
	return best.endpoint
}

// comparePick compares pick with scanAll for a request and restores the random generator.
func (sim *simulation) comparePick(r *request) {
	state := sim.b.random.state
	want := scanAll(sim.b, r)
	sim.b.random.state = state
	got := sim.b.endpoints.pick(sim.b.now, r, sim.b.random.float64())
	sim.b.random.state = state
	if got != want && (got == nil || want == nil || len(sim.b.endpoints.listed) <= maxExactScan) {
		sim.fail("request %d: got %+v from the index, want %+v as from the scan", r.id, got, want)
	}
	if got != nil && want != nil {
		sim.picks++
		if got != want {
			sim.differing++
		}
	}
}

// checkCounters compares the incremental counters with a full count.
func (sim *simulation) checkCounters() {
	sim.checkIndex()
	busy, late := 0, 0
	for _, e := range sim.b.endpoints.listed {
		if e.inFlight > 0 {
			busy++
		}
		if e.lateInFlight > 0 {
			late++
		}
	}
	table := &sim.b.attempts
	inFlight, open := 0, 0
	for i := range table.byClass {
		for r := table.byClass[i].first; r != nil; r = r.next {
			inFlight++
			if r.next != nil && r.next.sentAt < r.sentAt {
				sim.fail("attempts out of order")
			}
		}
	}
	for _, r := range sim.b.requests {
		if r.inFlight {
			open++
		}
	}
	if busy != table.busyEndpoints || late != table.lateEndpoints || inFlight != table.inFlight ||
		open != table.inFlight {
		sim.fail("full count: busy %d, late %d, in flight %d, open %d; counters: busy %d, late %d, in flight %d",
			busy, late, inFlight, open, table.busyEndpoints, table.lateEndpoints, table.inFlight)
	}
}

// checkIndex checks that the positions stored in the endpoints match the list and the index.
func (sim *simulation) checkIndex() {
	ranked := 0
	for i, e := range sim.b.endpoints.listed {
		if e.index != i {
			sim.fail("endpoint %d is at index %d of the list, its own index is %d", e.ID, i, e.index)
		}
		if e.rank >= 0 {
			ranked++
			if sim.b.endpoints.byRank[e.rank][e.rankPosition] != e {
				sim.fail("endpoint %d is not at its rank and position in the index", e.ID)
			}
		}
	}
	for _, endpoints := range sim.b.endpoints.byRank {
		ranked -= len(endpoints)
	}
	if ranked != 0 {
		sim.fail("got %+d more ranked endpoints than entries in the index, want 0", ranked)
	}
}

// Up to maxExactScan endpoints the index must pick the same endpoint as a full scan; beyond that it must find one
// whenever there is one. The incremental counters must match a full count.
func TestIndexMatchesFullScan(t *testing.T) {
	for seed := range int64(40) {
		sim := newSimulation(t, seed)
		sim.maxEndpoints = []int{12, 40, maxExactScan}[seed%3]
		for i := range 1500 {
			sim.step(RequestID(i + 1))
			sim.checkCounters()
			sim.comparePick(&request{class: &sim.cfg.Classes[0]})
			for _, r := range sim.b.requests {
				if len(r.attempts) > 0 {
					sim.comparePick(r)
				}
			}
		}
		if sim.picks < 200 {
			t.Errorf("seed %d: compared %d picks, want at least 200", seed, sim.picks)
		}
	}
}

// randomizeEndpoints gives endpoints random health and attempts in flight, as under overload.
func randomizeEndpoints(b *Balancer, rng *rand.Rand) {
	for _, e := range b.endpoints.listed {
		e.inFlight = rng.Intn(3) * rng.Intn(2)
		e.health.penalty = float64(rng.Intn(3) * rng.Intn(2))
		e.health.relativeLatency = 0.5 + 2*rng.Float64()
		e.health.updatedAt = b.now
		b.endpoints.updateRank(e, b.now)
	}
}

// Above maxExactScan endpoints a sample is scanned. Measures how often the picked endpoint ranks worse than the best
// of a full scan and how much slower it is.
func TestSampledPickQuality(t *testing.T) {
	for _, tc := range []struct{ size, replicas int }{{140, 30}, {700, 150}, {7000, 1500}, {140, 1}, {7000, 1}} {
		size, cfg := tc.size, testConfig()
		cfg.ReplicaCount, cfg.Tiers = tc.replicas, 3 // the front of a chain: most are in the subset
		h, rng := newHost(t, cfg, readyList(size)...), rand.New(rand.NewSource(int64(size)))
		const picks = 400
		worse, others, slower := 0, 0, 0.0
		for range picks {
			h.now += time.Second
			h.b.now = h.now
			randomizeEndpoints(h.b, rng)
			r := &request{class: &h.b.cfg.Classes[0]}
			seed := h.b.random.state
			want := scanAll(h.b, r)
			h.b.random.state = seed
			got := h.b.endpoints.pick(h.b.now, r, h.b.random.float64())
			rank := func(e *endpoint) int {
				penalty, slowness := e.health.at(h.b.now, h.b.endpoints.halfLife)
				return 2*int(float64(e.inFlight)+penalty+math.Floor(slowness/slownessPerSlot)) + e.suspicion()
			}
			if got == nil || rank(got) > rank(want) {
				worse++
			}
			if got != want {
				others++
			}
			slower += (got.health.relativeLatency - want.health.relativeLatency) / picks
		}
		t.Logf("%d endpoints, %d replicas, %d in the subset: "+
			"%.1f%% of picks rank worse, mean relative latency %.3f higher; %d of %d differ",
			size, tc.replicas, h.b.endpoints.subset.size, 100*float64(worse)/picks, slower, others, picks)
		if worse > picks/50 || slower > 0.2 {
			t.Errorf("%d endpoints: %d of %d picks rank worse, mean relative latency %.3f higher",
				size, worse, picks, slower)
		}
		if others == 0 {
			t.Errorf("%d endpoints: all picks equal those of a full scan, want a sampled scan", size)
		}
	}
}

// With more endpoints, and replicas and attempts in proportion, no decision may scan more endpoints or allocate. The
// test counts work rather than time, so that the result is the same on any machine.
func TestDecisionCostIsIndependentOfEndpointCount(t *testing.T) {
	for _, size := range []int{14, 140, 700, 7000} {
		f := newFlow(t, size)
		for range 4 * size { // until all one-time allocations are made
			f.replaceOldest()
		}
		if allocs := testing.AllocsPerRun(200, f.replaceOldest); allocs > 0 {
			t.Errorf("%d endpoints: got %v allocations per request, want 0", size, allocs)
		}
		f.h.b.endpoints.scanned = 0
		for range 200 {
			f.replaceOldest()
		}
		if per := f.h.b.endpoints.scanned / 200; per > 2*maxScanned+1 && size > maxExactScan {
			t.Errorf("%d endpoints: got %d scanned per pick, want at most 2*maxScanned+1", size, per)
		}
	}
}

// flow is a steady stream of requests with a constant number of attempts in flight.
type flow struct {
	h    *host
	out  []Action
	open []RequestID
	next RequestID
}

func newFlow(t testing.TB, size int) *flow {
	cfg := testConfig()
	cfg.ReplicaCount, cfg.Tiers = max(size*3/14, 1), 3 // the front of a chain: most are in the subset
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

// replaceOldest ends the oldest attempt and passes another request.
func (f *flow) replaceOldest() {
	f.h.now += 10 * ms
	id := f.open[0]
	copy(f.open, f.open[1:])
	f.open = f.open[:len(f.open)-1]
	f.out = f.h.b.Handle(f.h.now, Event{Kind: AttemptEnded, Request: id, RequestClosed: true, Elapsed: 80 * ms},
		f.out[:0])
	f.arrive()
}

// Removed endpoints must not stay referenced by the index or pooled requests.
func TestRemovedEndpointsAreReleased(t *testing.T) {
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
	for _, ranked := range h.b.endpoints.byRank {
		for _, e := range ranked[:cap(ranked)] {
			if e != nil && !slices.Contains(h.b.endpoints.listed, e) {
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
		t.Errorf("got %d endpoints listed, %d in byID, %d references to removed ones, want 50, 50, 0",
			len(h.b.endpoints.listed), len(h.b.endpoints.byID), kept)
	}
}
