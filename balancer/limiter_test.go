package balancer

import (
	"math"
	"slices"
	"testing"
	"time"
)

// endWindow adds samples of one latency to the limiter and ends its window.
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
		t.Fatalf("got initial limit %v, floor %v, ceiling %v", b.limiter.maxIFR, b.limiter.floor, b.limiter.ceiling)
	}
	endWindow(h, 900*ms)
	if b.limiter.maxIFR != initialSlots*10*backoffRatio {
		t.Errorf("above Lmax: got limit %v, want a cut by backoffRatio", b.limiter.maxIFR)
	}
	was := b.limiter.maxIFR
	endWindow(h, 100*ms)
	if b.limiter.maxIFR != was+1 {
		t.Errorf("below Lmax: got limit %v, want %v", b.limiter.maxIFR, was+1)
	}
	for range 50 {
		endWindow(h, 900*ms)
	}
	if b.limiter.maxIFR != b.limiter.floor {
		t.Errorf("got limit %v, want floor %v", b.limiter.maxIFR, b.limiter.floor)
	}
	for range 200 {
		endWindow(h, 100*ms)
	}
	if b.limiter.maxIFR != b.limiter.ceiling {
		t.Errorf("got limit %v, want ceiling %v", b.limiter.maxIFR, b.limiter.ceiling)
	}
}

// Guards against a ceiling that sheds under light load. In a chain of three tiers, two front replicas had 10 attempts
// in flight per endpoint of the first tier, each for at least half an objective, and the ceiling shed one request in
// ten.
func TestFrontUnderLightLoadDoesNotShed(t *testing.T) {
	cfg := testConfig()
	cfg.Tiers, cfg.ReplicaCount = 3, 2
	h := newHost(t, cfg, readyList(4)...)
	for range 20 {
		var open []RequestID
		for range 40 {
			id, actions := h.arrive(0)
			onlyAction(t, actions, Send)
			open = append(open, id)
		}
		for _, id := range open {
			h.end(id, 0, OK, 550*ms)
		}
	}
}

// A release of the service removes and adds endpoints. The limit must keep its slots per endpoint, or it would grow
// back by one per window while requests are shed. A quiet front with some 20 answers per second must end a window
// within half a second.
func TestLimitScalesWithEndpointCount(t *testing.T) {
	h := newHost(t, testConfig(), readyList(8)...)
	endWindow(h, 900*ms)
	slots := h.b.limiter.maxIFR / 8
	for _, endpoints := range []int{4, 2, 6, 8} {
		h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull, Endpoints: readyList(endpoints)})
		if got := h.b.limiter.maxIFR / float64(endpoints); got < 0.999*slots || got > 1.001*slots {
			t.Errorf("%d endpoints: got %v slots each, want %v", endpoints, got, slots)
		}
	}
	was := h.b.limiter.maxIFR
	for range 10 {
		h.b.limiter.window.addLatency(100*ms, h.b.cfg.Classes[0].LatencyObjective)
	}
	h.now += time.Second
	if h.handle(Event{Kind: TimerFired}); h.b.limiter.maxIFR <= was {
		t.Errorf("after ten quick answers got an unchanged limit of %v, want growth", h.b.limiter.maxIFR)
	}
}

// While its peer restarts, a replica carries more than its usual load. Its limit must be able to grow, but not to
// twice as much, at which gateways congest (0.27 at 16 slots).
func TestLimitGrowsWhilePeerRestarts(t *testing.T) {
	cfg := testConfig()
	cfg.Tiers, cfg.ReplicaCount = 3, 2
	h := newHost(t, cfg, readyList(2)...)
	for range 60 {
		endWindow(h, 500*ms)
	}
	if got := h.b.limiter.maxIFR; got < 1.2*initialSlots*3 {
		t.Errorf("got limit %v, want at least 1.2 times the initial one", got)
	}
}

func TestTooFewSamplesAreCarriedOver(t *testing.T) {
	h := newHost(t, testConfig(), readyList(10)...)
	for range minRequests - 1 {
		h.b.limiter.window.addLatency(900*ms, h.b.cfg.Classes[0].LatencyObjective)
	}
	h.now += time.Minute
	h.handle(Event{Kind: TimerFired})
	if h.b.limiter.maxIFR != initialSlots*10 {
		t.Fatalf("got limit %v after too few samples, want the initial one", h.b.limiter.maxIFR)
	}
	h.b.limiter.window.addLatency(900*ms, h.b.cfg.Classes[0].LatencyObjective)
	h.handle(Event{Kind: TimerFired})
	if h.b.limiter.maxIFR >= initialSlots*10 {
		t.Errorf("got limit %v, want a cut by the samples carried over", h.b.limiter.maxIFR)
	}
}

// Guards against bounds set before the first list, which made the limit start at its floor. The initial limit is half
// as high if no class's late answers have value: see kochi-orders in docs/results/rare.
func TestInitialLimitIsSetByFirstList(t *testing.T) {
	for _, c := range []struct{ late, slots float64 }{{0.5, initialSlots}, {0.01, initialSlots}, {7, initialSlots},
		{0, initialSlotsNoLateValue}} {
		cfg := testConfig()
		for i := range cfg.Classes {
			cfg.Classes[i].LateWeight = c.late
		}
		h := newHost(t, cfg)
		h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull, Endpoints: readyList(20)})
		if h.b.limiter.maxIFR != c.slots*20 {
			t.Errorf("late weight %v: got limit %v, want %v", c.late, h.b.limiter.maxIFR, c.slots*20)
		}
	}
}

// Guards against errors that are no samples: requests shed deep in a chain return as errors and must cut the limit at
// the front.
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
			t.Errorf("outcome %d: got %d samples, want %d", c.o, h.b.limiter.window.count, c.want)
		}
		if c.o == Error && h.b.limiter.window.values[0] < h.b.limiter.lmax {
			t.Errorf("error: got a sample of %v objectives, want at least Lmax", h.b.limiter.window.values[0])
		}
		if c.o == ConnectFailed && h.b.limiter.window.values[0] != 0.1 {
			t.Errorf("failed connection: got a sample of %v objectives, want 0.1", h.b.limiter.window.values[0])
		}
	}
}

// Replicas that outnumber the endpoints have limits of a few attempts or less than one. Guards against rounding these
// up, by which they add up to several times the capacity of the endpoints.
func TestSmallLimitsSumToEndpointSlots(t *testing.T) {
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
				for range max(1, 20*endpoints/replicas/5) { // far more than the limit admits
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
			t.Errorf("%d replicas: got %.0f attempts in flight on average, want up to %.0f",
				replicas, mean, maxSlots*endpoints)
		}
	}
}

// If late answers have no value, overload loses all value, so less of the objective may be spent waiting.
func TestLmaxWithoutLateValue(t *testing.T) {
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
			t.Errorf("%+v: got Lmax %v", tc, got)
		}
	}
}

// Hundreds of replicas that each had one slow attempt at the same time must pay it back in full, but at different
// times. Otherwise they send in step, overload the tier together and notice it in step.
func TestQuietReplicasDoNotSendInStep(t *testing.T) {
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
				t.Fatal("got no attempt within a minute, want the replica to send again")
			}
		}
		waits = append(waits, h.now-ended)
	}
	slices.Sort(waits)
	// At a limit of a quarter, half a second of one attempt takes at least a second and a half to pay back.
	if least, most := waits[0], waits[len(waits)-1]; least < time.Second || most < least*5/4 {
		t.Errorf("replicas sent again after %v to %v, want at least 1s and a spread of a quarter", least, most)
	}
}

// A quiet replica must admit a random burst of attempts and pay it back.
func TestUnusedSlotsBecomeBurstCredit(t *testing.T) {
	cfg := testConfig()
	cfg.ReplicaCount = 80
	h := newHost(t, cfg, readyList(10)...)
	h.now += 2 * time.Second
	sent := 0
	for range 10 {
		if _, actions := h.arrive(0); onlyAction(t, actions, actions[0].Kind).Kind == Send {
			sent++
		}
	}
	if sent != 4 { // a limit of one, and a credit of three
		t.Errorf("got %d attempts admitted in a burst, want 4", sent)
	}
	for id := RequestID(1); id <= 3; id++ {
		h.end(id, 0, OK, time.Second)
	}
	_, actions := h.arrive(0)
	onlyAction(t, actions, Shed) // the overdrawn credit is being paid back
}

// An attempt that its client ends early shows neither a low latency nor a slow endpoint.
func TestEarlyTimeoutIsNoLatencySample(t *testing.T) {
	h := newHost(t, testConfig(), readyList(2)...)
	for _, o := range []Outcome{Timeout, Cancelled} {
		id, actions := h.arrive(4)
		s := h.b.endpoints.byID[onlyAction(t, actions, Send).Endpoint]
		h.end(id, 0, o, 100*ms)
		if h.b.limiter.window.count != 0 || s.health.relativeLatency != 1 {
			t.Errorf("outcome %v: got %d samples, relative latency %v, want 0 and 1", o, h.b.limiter.window.count,
				s.health.relativeLatency)
		}
	}
	id, _ := h.arrive(4)
	h.end(id, 0, Cancelled, 900*ms)
	if h.b.limiter.window.count != 1 {
		t.Error("got no sample from an attempt cancelled beyond Lmax, want 1")
	}
}

// Guards against taking a clock that starts at 0 for an observation that has not started.
func TestClockMayStartAtZero(t *testing.T) {
	b := New(testConfig(), 1)
	for now := range 3 * time.Second / ms {
		b.Handle(now*ms, Event{Kind: TimerFired}, nil)
	}
	if b.endpoints.served.startedAt != 0 {
		t.Errorf("got start of observation %v, want 0", b.endpoints.served.startedAt)
	}
}

// Guards against a single cut per window on a replica with few attempts, whose limit then stays too high for many
// objectives after an overload begins. The cut must cover the missed windows, down to a factor of a half.
func TestLimitCutCoversMissedWindows(t *testing.T) {
	for _, tc := range []struct {
		name  string
		apart time.Duration // time between samples; a window needs minRequests samples
		want  float64       // factor of the limit after one window
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
			t.Errorf("%s: got a cut to %.3f of the limit, want %.3f", tc.name, got, tc.want)
		}
	}
}

// Attempts in flight beyond Lmax are samples if most busy endpoints have one, because ended attempts show an overload
// of all endpoints too late. A single hung endpoint says nothing about the tier.
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
			if s := onlyAction(t, actions, Send).Endpoint; len(slow) < tc.hung {
				slow[s] = true
			}
		}
		h.now += time.Duration(1.1 * h.b.limiter.lmax * float64(time.Second))
		now := h.now
		for _, id := range ids { // end the attempts at the other endpoints
			if r := h.b.requests[id]; !slow[r.attempts[0].ID] {
				h.end(id, 0, OK, 100*ms)
			}
		}
		for h.now = now; h.b.attempts.inFlight < 16; {
			h.arrive(0)
		}
		h.b.limiter.window.count = 0
		before := h.b.limiter.maxIFR
		for range minRequests { // ended attempts are quick
			h.b.limiter.window.addLatency(100*ms, h.b.cfg.Classes[0].LatencyObjective)
		}
		h.b.limiter.windowEnd = h.now
		h.handle(Event{Kind: TimerFired})
		if cut := h.b.limiter.maxIFR < before; cut != tc.cut {
			t.Errorf("%d of 4 endpoints with attempts beyond Lmax: limit went from %v to %v", tc.hung, before,
				h.b.limiter.maxIFR)
		}
	}
}

// Guards against overdue samples overflowing a window that got more answers than it can hold.
func TestFullWindowTakesNoOverdueSamples(t *testing.T) {
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
		onlyAction(t, actions, Send)
		h.handle(Event{Kind: AttemptEnded, Request: id, RequestClosed: true, Elapsed: ms})
	}
	h.now += time.Second
	h.handle(Event{Kind: TimerFired, Token: 9})
	if h.b.limiter.window.count != 0 {
		t.Errorf("got %d samples after the end of the window, want 0", h.b.limiter.window.count)
	}
}
