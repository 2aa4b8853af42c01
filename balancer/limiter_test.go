package balancer

import (
	"math"
	"slices"
	"testing"
	"time"
)

// endWindow gives the limiter samples, all of one latency, and ends its window.
func endWindow(h *host, latency time.Duration) {
	for range minRequests {
		h.b.limiter.window.addLatency(latency, h.b.cfg.Classes[0].LatencyObjective)
	}
	h.now = max(h.now, h.b.limiter.windowEnd)
	h.handle(Event{Kind: TimerFired})
}

func TestLimitFollowsLatency(t *testing.T) {
	h := newHost(t, testConfig(), readyList(10)...)
	b := h.b
	if b.limiter.maxIFR != initialSlots*10 || b.limiter.floor != 10 || b.limiter.ceiling != maxSlots*10 {
		t.Fatalf("initial %v, floor %v, ceiling %v", b.limiter.maxIFR, b.limiter.floor, b.limiter.ceiling)
	}
	endWindow(h, 900*ms)
	if b.limiter.maxIFR != initialSlots*10*backoffRatio {
		t.Errorf("above Lmax: %v", b.limiter.maxIFR)
	}
	was := b.limiter.maxIFR
	endWindow(h, 100*ms)
	if b.limiter.maxIFR != was+1 {
		t.Errorf("below Lmax: %v, want %v", b.limiter.maxIFR, was+1)
	}
	for range 50 {
		endWindow(h, 900*ms)
	}
	if b.limiter.maxIFR != b.limiter.floor {
		t.Errorf("limit %v is not at its floor %v", b.limiter.maxIFR, b.limiter.floor)
	}
	for range 200 {
		endWindow(h, 100*ms)
	}
	if b.limiter.maxIFR != b.limiter.ceiling {
		t.Errorf("limit %v is not at its ceiling %v", b.limiter.maxIFR, b.limiter.ceiling)
	}
}

// A calm front must not shed: on the quiet days of a chain of three tiers its two replicas had 10 attempts in
// flight for each endpoint of the first, each for half an objective and more, and the ceiling alone shed one
// request in ten.
func TestCalmFrontShedsNothing(t *testing.T) {
	cfg := testConfig()
	cfg.Tiers, cfg.ReplicaCount = 3, 2
	h := newHost(t, cfg, readyList(4)...)
	for range 20 {
		var open []RequestID
		for range 40 {
			id, actions := h.arrive(0)
			only(t, actions, Send)
			open = append(open, id)
		}
		for _, id := range open {
			h.end(id, 0, OK, 550*ms)
		}
	}
}

// A release takes endpoints out and brings others: the limit keeps its slots an endpoint, or it regrows by one a
// window while requests are shed. A quiet front, some 20 answers a second, ends a window within half of one.
func TestLimitFollowsTheNumberOfEndpoints(t *testing.T) {
	h := newHost(t, testConfig(), readyList(8)...)
	endWindow(h, 900*ms)
	slots := h.b.limiter.maxIFR / 8
	for _, endpoints := range []int{4, 2, 6, 8} {
		h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull, Endpoints: readyList(endpoints)})
		if got := h.b.limiter.maxIFR / float64(endpoints); got < 0.999*slots || got > 1.001*slots {
			t.Errorf("%d endpoints: %v slots each, want %v", endpoints, got, slots)
		}
	}
	was := h.b.limiter.maxIFR
	for range 10 {
		h.b.limiter.window.addLatency(100*ms, h.b.cfg.Classes[0].LatencyObjective)
	}
	h.now += time.Second
	if h.handle(Event{Kind: TimerFired}); h.b.limiter.maxIFR <= was {
		t.Errorf("ten quick answers leave the limit at %v", h.b.limiter.maxIFR)
	}
}

// While its peer restarts, a replica carries more than its load: its limit must be able to grow, yet not to twice
// as much, at which gateways jam (0.27 at 16 slots).
func TestLimitOfOneReplicaGrowsWhileItsPeerIsAway(t *testing.T) {
	cfg := testConfig()
	cfg.Tiers, cfg.ReplicaCount = 3, 2
	h := newHost(t, cfg, readyList(2)...)
	for range 60 {
		endWindow(h, 500*ms)
	}
	if got := h.b.limiter.maxIFR; got < 1.2*initialSlots*3 {
		t.Errorf("the limit grows to %v only", got)
	}
}

func TestTooFewSamplesHoldTheLimitAndAreCarriedOver(t *testing.T) {
	h := newHost(t, testConfig(), readyList(10)...)
	for range minRequests - 1 {
		h.b.limiter.window.addLatency(900*ms, h.b.cfg.Classes[0].LatencyObjective)
	}
	h.now += time.Minute
	h.handle(Event{Kind: TimerFired})
	if h.b.limiter.maxIFR != initialSlots*10 {
		t.Fatalf("limit moved to %v on too few samples", h.b.limiter.maxIFR)
	}
	h.b.limiter.window.addLatency(900*ms, h.b.cfg.Classes[0].LatencyObjective)
	h.handle(Event{Kind: TimerFired})
	if h.b.limiter.maxIFR >= initialSlots*10 {
		t.Errorf("limit stayed at %v: samples were lost", h.b.limiter.maxIFR)
	}
}

// The bounds were once set before the first list, and the limit began at its floor. It is half as high where no
// class's late answers are worth anything: see kochi-orders in docs/results/rare.
func TestInitialLimitComesWithTheFirstList(t *testing.T) {
	for _, c := range []struct{ late, slots float64 }{{0.5, initialSlots}, {0.01, initialSlots}, {7, initialSlots},
		{0, initialSlotsNoLateValue}} {
		cfg := testConfig()
		for i := range cfg.Classes {
			cfg.Classes[i].LateWeight = c.late
		}
		h := newHost(t, cfg)
		h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull, Endpoints: readyList(20)})
		if h.b.limiter.maxIFR != c.slots*20 {
			t.Errorf("late answers worth %v: limit %v, want %v", c.late, h.b.limiter.maxIFR, c.slots*20)
		}
	}
}

// Errors were once left out: what endpoints deep in a chain shed came back as errors and cut nothing at the front.
func TestErrorsDoNotRaiseTheLimit(t *testing.T) {
	h := newHost(t, testConfig(), readyList(4)...)
	for _, c := range []struct {
		o    Outcome
		want int
	}{{Error, 1}, {Reset, 0}, {Rejected, 0}, {OK, 1}, {Timeout, 1}, {ConnectFailed, 1}} {
		h.b.limiter.window.count, h.b.stats.typicalLatency[4] = 0, 0.5
		id, _ := h.arrive(4)
		after := 400 * ms
		if c.o == ConnectFailed {
			after = ms
		}
		if c.o == Timeout {
			after = time.Second
		}
		h.end(id, 0, c.o, after)
		if h.b.limiter.window.count != c.want {
			t.Errorf("outcome %d: %d samples, want %d", c.o, h.b.limiter.window.count, c.want)
		}
		if c.o == Error && h.b.limiter.window.values[0] < h.b.limiter.lmax {
			t.Errorf("an error counted as %v objectives, below Lmax", h.b.limiter.window.values[0])
		}
		if c.o == ConnectFailed && h.b.limiter.window.values[0] != 0.1 {
			t.Errorf("a failed connection counted as %v objectives, want its full wait", h.b.limiter.window.values[0])
		}
	}
}

// Replicas that outnumber the endpoints have limits of a few attempts or less. Rounded up to whole attempts, or to
// a least number of them, these once added up to several times what the endpoints bear.
func TestSmallLimitsAddUpToTheSlotsOfTheEndpoints(t *testing.T) {
	for _, replicas := range []int{1, 3, 40, 300} {
		const endpoints, step = 30, 10 * ms
		cfg := testConfig()
		cfg.ReplicaCount = replicas
		hosts := make([]*host, min(replicas, 40)) // a sample of the replicas
		for i := range hosts {
			cfg.ReplicaIndex = i
			hosts[i] = newHost(t, cfg, readyList(endpoints)...)
		}
		type attempt struct {
			id  RequestID
			end time.Duration
		}
		open := make([][]attempt, len(hosts))
		held, steps := 0, 0
		start := hosts[0].now
		for now := start; now < start+8*time.Second; now += step {
			for i, h := range hosts {
				for len(open[i]) > 0 && open[i][0].end <= now {
					h.end(open[i][0].id, 0, OK, 300*ms)
					open[i] = open[i][1:]
				}
				h.now = now
				for range max(1, 20*endpoints/replicas/5) { // far more than fits
					if id, actions := h.arrive(0); actions[0].Kind == Send {
						open[i] = append(open[i], attempt{id, now + 300*ms})
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
		mean := float64(held) / float64(steps) * float64(replicas) / float64(len(hosts))
		if mean > 1.1*maxSlots*endpoints || mean < 0.8*initialSlots*endpoints {
			t.Errorf("%d replicas hold %.0f attempts on average, want up to %.0f", replicas, mean, maxSlots*endpoints)
		}
	}
}

// Where late answers are worth nothing, overload costs all: less of the objective may go into waiting.
func TestLmaxWhereLateAnswersAreWorthNothing(t *testing.T) {
	for _, tc := range []struct {
		late  []float64
		tier  int
		tiers int
		want  float64
	}{{[]float64{0, 0}, 0, 1, lmaxShareNoLateValue}, {[]float64{0, 0.1}, 0, 1, lmaxShare}, {[]float64{1}, 0, 2, lmaxShare},
		{[]float64{0}, 1, 2, lmaxShareNoLateValue / 2}, {[]float64{7}, 0, 1, lmaxShare}} {
		cfg := Config{Tier: tc.tier, Tiers: tc.tiers}
		for _, late := range tc.late {
			cfg.Classes = append(cfg.Classes, Class{LateWeight: late})
		}
		if got := New(cfg, 1).limiter.lmax; math.Abs(got-tc.want) > 1e-9 {
			t.Errorf("%+v: %v", tc, got)
		}
	}
}

// Hundreds of replicas that each had one slow attempt at one time pay it back in full, and not all at one time:
// else they send in step, choke the tier together, and learn of it in step.
func TestQuietReplicasPayBackApart(t *testing.T) {
	cfg := testConfig()
	cfg.ReplicaCount = 400
	var waits []time.Duration
	for seed := range uint64(40) {
		h := &host{t: t, b: New(cfg, seed+1), now: time.Hour}
		h.handle(Event{Kind: EndpointListUpdated, ListKind: ListCached, Endpoints: readyList(10)})
		id, _ := h.arrive(0)
		h.end(id, 0, OK, 500*ms)
		ended := h.now
		for {
			h.now += 20 * ms
			if _, actions := h.arrive(0); actions[0].Kind == Send {
				break
			}
			if h.now > ended+time.Minute {
				t.Fatal("it never sends again")
			}
		}
		waits = append(waits, h.now-ended)
	}
	slices.Sort(waits)
	// A limit of a quarter: half a second of one attempt takes at least a second and a half.
	if least, most := waits[0], waits[len(waits)-1]; least < time.Second || most < least*5/4 {
		t.Errorf("replicas send again after %v to %v", least, most)
	}
}

// A quiet replica must bear attempts that chance bunches, and pays them back.
func TestUnusedSlotsAreSaved(t *testing.T) {
	cfg := testConfig()
	cfg.ReplicaCount = 80
	h := newHost(t, cfg, readyList(10)...)
	h.now += 2 * time.Second
	sent := 0
	for range 10 {
		if _, actions := h.arrive(0); only(t, actions, actions[0].Kind).Kind == Send {
			sent++
		}
	}
	if sent != 4 { // a limit of one, and three saved
		t.Errorf("%d attempts admitted in a bunch, want 4", sent)
	}
	for id := RequestID(1); id <= 3; id++ {
		h.end(id, 0, OK, time.Second)
	}
	_, actions := h.arrive(0)
	only(t, actions, Shed) // what was overdrawn is paid back
}

// An attempt cut short by its client is not quick, nor is its endpoint slow.
func TestAttemptsCutShortAreNoQuickSamples(t *testing.T) {
	h := newHost(t, testConfig(), readyList(2)...)
	for _, o := range []Outcome{Timeout, Cancelled} {
		id, actions := h.arrive(4)
		s := h.b.endpoints.byID[only(t, actions, Send).Endpoint]
		h.end(id, 0, o, 100*ms)
		if h.b.limiter.window.count != 0 || s.health.relativeLatency != 1 {
			t.Errorf("outcome %v: %d samples, endpoint counts as %v", o, h.b.limiter.window.count,
				s.health.relativeLatency)
		}
	}
	id, _ := h.arrive(4)
	h.end(id, 0, Cancelled, 900*ms)
	if h.b.limiter.window.count != 1 {
		t.Error("an attempt cancelled beyond Lmax was no sample")
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

// A replica with few attempts once took a single cut at the end of each window, and so went on for many objectives
// by what held before the overload. It now makes up for the windows without one, to a half at the most.
func TestQuietReplicaCutsForTheWindowsItMissed(t *testing.T) {
	for _, tc := range []struct {
		name  string
		apart time.Duration // between samples, of which a window takes minRequests
		want  float64       // of the limit after one window
	}{
		{"busy", 16 * ms, backoffRatio},
		{"four windows missed", 63 * ms, math.Pow(backoffRatio, 4)},
		{"seldom used", time.Second, minBackoff},
	} {
		h := newHost(t, testConfig(), readyList(8)...)
		feed := func() {
			for range minRequests {
				h.now += tc.apart
				h.b.limiter.window.addLatency(2*time.Second, h.b.cfg.Classes[0].LatencyObjective)
			}
			h.handle(Event{Kind: TimerFired, Token: 99})
		}
		h.now += time.Second
		feed()
		h.b.limiter.maxIFR = h.b.limiter.ceiling
		feed()
		if got := h.b.limiter.maxIFR / h.b.limiter.ceiling; math.Abs(got-tc.want) > 1e-9 {
			t.Errorf("%s: cut to %.3f of the limit, want %.3f", tc.name, got, tc.want)
		}
	}
}

// Attempts in flight beyond Lmax count as samples where most busy endpoints have such: those that end show too late
// that all are overloaded. One hung endpoint says nothing of the tier.
func TestAttemptsInFlightBeyondLmaxAreSamples(t *testing.T) {
	for _, tc := range []struct {
		hung int
		cut  bool
	}{{1, false}, {2, false}, {3, true}, {4, true}} {
		h := newHost(t, testConfig(), readyList(4)...)
		h.b.cfg.Limits.AllowHedging = false
		slow := map[EndpointID]bool{}
		var ids []RequestID
		for range 16 {
			id, actions := h.arrive(0)
			ids = append(ids, id)
			if s := only(t, actions, Send).Endpoint; len(slow) < tc.hung {
				slow[s] = true
			}
		}
		h.now += time.Duration(1.1 * h.b.limiter.lmax * float64(time.Second))
		now := h.now
		for _, id := range ids { // the others' attempts are new ones
			if r := h.b.requests[id]; !slow[r.attempts[0].ID] {
				h.end(id, 0, OK, 100*ms)
			}
		}
		for h.now = now; h.b.attempts.inFlight < 16; {
			h.arrive(0)
		}
		h.b.limiter.window.count = 0
		before := h.b.limiter.maxIFR
		for range minRequests { // what ends is quick
			h.b.limiter.window.addLatency(100*ms, h.b.cfg.Classes[0].LatencyObjective)
		}
		h.b.limiter.windowEnd = h.now
		h.handle(Event{Kind: TimerFired})
		if cut := h.b.limiter.maxIFR < before; cut != tc.cut {
			t.Errorf("%d of 4 endpoints with attempts in flight for too long: limit %v to %v", tc.hung, before,
				h.b.limiter.maxIFR)
		}
	}
}

// More answers in one window than it holds samples, while most busy endpoints have attempts beyond Lmax.
func TestWindowFullOfSamplesWhileMostEndpointsAreOverdue(t *testing.T) {
	h := newHost(t, testConfig(), readyList(2)...)
	h.b.limiter.maxIFR = 20
	for range 16 {
		h.arrive(0)
	}
	h.now += 900 * ms // both endpoints have attempts beyond Lmax
	h.handle(Event{Kind: TimerFired, Token: 9})
	for range maxSamples + 44 {
		h.b.limiter.maxIFR = 40
		id, actions := h.arrive(4)
		only(t, actions, Send)
		h.handle(Event{Kind: AttemptEnded, Request: id, RequestClosed: true, Elapsed: ms})
	}
	h.now += time.Second
	h.handle(Event{Kind: TimerFired, Token: 9})
	if h.b.limiter.window.count != 0 {
		t.Errorf("%d samples are left of a window that has ended", h.b.limiter.window.count)
	}
}
