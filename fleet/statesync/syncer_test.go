package statesync

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ryerill/fleet/counter"
	"ryerill/fleet/outlier"
	"ryerill/fleet/quota"
)

// cluster simulates replicas that exchange packets with a fraction of loss.
type cluster struct {
	syncers []*Syncer
	peers   [][]Peer
	now     time.Duration
	rng     *rand.Rand
	loss    float64
	lost    func(payload []byte) bool // reports whether to drop a packet regardless of loss; may be nil
}

func newCluster(t testing.TB, n, zones int, budget int) *cluster {
	t.Helper()
	c := &cluster{rng: rand.New(rand.NewPCG(1, uint64(n)))}
	for i := range n {
		s, err := New(Config{Name: fmt.Sprintf("c%04d", i), Zone: fmt.Sprint("z", i%zones), Epoch: 1, Seed: uint64(i), Quotas: true, Counters: true, Evidence: true, BytesPerSecond: budget}, 0)
		if err != nil {
			t.Fatal(err)
		}
		c.syncers = append(c.syncers, s)
	}
	for i := range n {
		var peers []Peer
		for j := range n {
			if j != i {
				peers = append(peers, Peer{fmt.Sprintf("c%04d", j), fmt.Sprint("z", j%zones)})
			}
		}
		c.peers = append(c.peers, peers)
	}
	return c
}

func (c *cluster) deliver(from int, out []Outgoing) {
	for _, o := range out {
		var to int
		if c.lost != nil && c.lost(o.Payload) {
			continue
		}
		if fmt.Sscanf(o.To, "c%d", &to); c.rng.Float64() >= c.loss {
			c.deliver(to, c.syncers[to].Receive(c.now, fmt.Sprintf("c%04d", from), o.Payload))
		}
	}
}

// play runs the cluster for a time d. It calls each for every replica before its tick.
func (c *cluster) play(d time.Duration, each func(i int, s *Syncer)) {
	for end := c.now + d; c.now < end; c.now += Interval {
		for i, s := range c.syncers {
			each(i, s)
			c.deliver(i, s.Tick(c.now, c.peers[i]))
		}
	}
}

// Counters and evidence reach all replicas within the byte budget at any fleet size, with a fifth of the packets lost.
// Some counts of a large zone take longer: the sum says how many replicas it covers.
func TestUpdatesReachAllWithinTheByteBudget(t *testing.T) {
	for _, n := range []int{3, 30, 120} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, n, 3, 0)
			c.loss = 0.2
			bad := outlier.Endpoint{ID: 77, StartedAt: 5}
			key := counter.Key{Pool: "main", Class: "read"}
			span := 20 * time.Second
			c.play(span, func(i int, s *Syncer) {
				s.Counters.Record(c.now, key, counter.Counts{Arrivals: 100})
				for id := range uint64(8) {
					s.Outliers.RecordOutcome(c.now, outlier.Endpoint{ID: id, StartedAt: 5}, outlier.Succeeded, 1)
				}
				if i < 3 && c.now > 5*time.Second {
					s.Outliers.RecordOutcome(c.now, bad, outlier.TimedOut, 0)
				}
			})
			for i, s := range c.syncers {
				if reporters := s.Outliers.ReporterCount(bad.ID); reporters < 2 {
					t.Errorf("replica %d of %d: got evidence of %d reporters on the endpoint that times out, want at least 2 of 3", i, n, reporters)
				}
				if v := s.Counters.Sum(c.now, nil, func(c counter.Counts) float64 { return float64(c.Arrivals) }); v.Estimate < float64(95*n) || v.Estimate != float64(100*v.Replicas) {
					t.Errorf("replica %d of %d: got %v arrivals, want about %d; sum covers %d replicas", i, n, v.Estimate, 100*n, v.Replicas)
				}
				if rate := float64(s.Stats.BytesOut) / span.Seconds(); rate > 1.1*DefaultBytesPerSecond {
					t.Errorf("replica %d of %d: got %.0f bytes/s sent, want at most 1.1 times DefaultBytesPerSecond", i, n, rate)
				}
			}
		})
	}
}

// The state of a thousand replicas and ten thousand endpoints stays within a memory limit.
func TestMemoryIsBounded(t *testing.T) {
	const members, endpoints, maxHeld = 1000, 10_000, 96 << 20
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	s, err := New(Config{Name: "self", Zone: "z0", Epoch: 1, Quotas: true, Counters: true, Evidence: true}, 0)
	if err != nil {
		t.Fatal(err)
	}
	var limits []quota.Limit
	for i := range 16 {
		limits = append(limits, quota.Limit{Name: fmt.Sprint("pool/", i), Total: 1000})
	}
	s.Quotas.SetLimits(0, limits)
	for i := range members {
		item := counter.Update{Name: fmt.Sprintf("c%04d", i), Epoch: 1, Version: 1, Counts: map[counter.Key]counter.Counts{}}
		for k := range 20 {
			item.Counts[counter.Key{Pool: "main", Class: fmt.Sprint("class", k%5), Tenant: fmt.Sprint("tenant", k)}] = counter.Counts{Arrivals: 5}
		}
		s.Counters.Merge(0, item)
	}
	for endpoint := range uint64(endpoints) {
		s.Outliers.RecordOutcome(0, outlier.Endpoint{ID: endpoint, StartedAt: 1}, outlier.Failed, 1)
		for reporter := range 10 {
			s.Outliers.Merge(0, outlier.Evidence{Reporter: fmt.Sprintf("c%04d", (int(endpoint)*7+reporter)%members), Epoch: 1, Version: 1, Zone: "z1", Endpoint: endpoint, StartedAt: 1, Attempts: 3, Errors: 3}, 0)
		}
	}
	held := heap() - before
	t.Logf("%d replicas, %d endpoints with 10 reporters each: %.1f MB", members, endpoints, float64(held)/(1<<20))
	if held > maxHeld {
		t.Errorf("got %d bytes held, want at most maxHeld", held)
	}
	runtime.KeepAlive(s)
}

// Unknown fields of a packet from a later version are ignored; truncated packets are counted as invalid.
func TestUnknownAndTruncatedPackets(t *testing.T) {
	c := newCluster(t, 2, 1, 0)
	c.play(3*time.Second, func(_ int, s *Syncer) {
		s.Counters.Record(c.now, counter.Key{Pool: "main"}, counter.Counts{Arrivals: 7})
	})
	text, err := cbor.Marshal(map[int]any{1: []any{}, 2: []any{map[int]any{1: 5, 99: "later", 2: map[int]any{1: "c0001", 2: 1, 3: 1 << 40, 6: []any{map[int]any{1: "main", 4: 9, 77: true}}}}}, 42: "later"})
	if err != nil {
		t.Fatal(err)
	}
	s := c.syncers[0]
	if s.Receive(c.now, "c0001", text); s.Stats.Invalid != 0 {
		t.Error("packet of a later version: got counted as invalid, want accepted")
	}
	if v := s.Counters.Sum(c.now, nil, func(c counter.Counts) float64 { return float64(c.Arrivals) }); v.Estimate != 16 {
		t.Errorf("got %v arrivals, want 16", v.Estimate)
	}
	for i := range text {
		s.Receive(c.now, "c0001", text[:i])
	}
	if s.Stats.Invalid < uint64(len(text))-2 {
		t.Errorf("got %d invalid packets, want about %d", s.Stats.Invalid, len(text))
	}
}

func FuzzReceive(f *testing.F) {
	s, err := New(Config{Name: "a", Zone: "z", Epoch: 1, Quotas: true, Counters: true, Evidence: true}, 0)
	if err != nil {
		f.Fatal(err)
	}
	s.Quotas.SetLimits(0, []quota.Limit{{Name: "b", Total: 10}})
	s.Quotas.SetReplicaCount(0, 2, []string{"b"})
	text, _ := cbor.Marshal(Packet{Quotas: []quota.Message{{Request: quota.RequestID{Replica: "b", Epoch: 1, Seq: 1}, Quota: "b", Amount: 3}}})
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		s.Receive(s.now+time.Millisecond, "b", text)
		if rate := s.Quotas.Rate(s.now, "b"); !(rate >= 0 && rate <= 10) {
			t.Errorf("got rate %v, want 0 to 10", rate)
		}
	})
}
