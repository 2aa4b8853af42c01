package outlier

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// against returns evidence of a reporter with 9 of 10 attempts at an endpoint failed.
func against(reporter, zone string, endpoint uint64, version uint64) Evidence {
	return Evidence{Reporter: reporter, Epoch: 1, Version: version, Zone: zone, Endpoint: endpoint, StartedAt: 7, Attempts: 10, Errors: 9}
}

func newPool(n int) (all []Endpoint) {
	for i := range n {
		all = append(all, Endpoint{uint64(i + 1), 7})
	}
	return all
}

func TestEndpointsThatAreEjected(t *testing.T) {
	many := func(f func(i int) Evidence) (all []Evidence) {
		for i := range 30 {
			all = append(all, f(i))
		}
		return all
	}
	shared := many(func(i int) Evidence { return against(fmt.Sprint("c", i/10), "z1", uint64(i%10+1), uint64(i+1)) })
	for _, tc := range []struct {
		name  string
		zones int
		given []Evidence
		want  []uint64
	}{
		{"one replica alone has nothing ejected", 2, []Evidence{against("a", "z1", 1, 1)}, nil},
		{"nor by repeating it", 2, many(func(i int) Evidence { return against("a", "z1", 1, uint64(i+1)) }), nil},
		{"replicas of two zones do", 2, []Evidence{against("a", "z1", 1, 1), against("b", "z2", 1, 1)}, []uint64{1}},
		{"another zone alone has nothing ejected here", 2, many(func(i int) Evidence { return against(fmt.Sprint("c", i), "z2", 1, 1) }), nil},
		{"the reader's own zone does", 2, []Evidence{against("a", "z1", 1, 1), against("b", "z1", 1, 1)}, []uint64{1}},
		{"with one zone two replicas do", 1, []Evidence{against("a", "z2", 1, 1), against("b", "z2", 1, 1)}, []uint64{1}},
		{"another start of the endpoint is another endpoint", 1, []Evidence{func() Evidence { e := against("a", "z1", 1, 1); e.StartedAt = 6; return e }(), against("b", "z1", 1, 1)}, nil},
		{"too few attempts", 1, []Evidence{{Reporter: "a", Epoch: 1, Version: 1, Zone: "z1", Endpoint: 1, StartedAt: 7, Attempts: 1, Errors: 1}, against("b", "z1", 1, 1)}, nil},
		{"many replicas with one attempt each", 1, many(func(i int) Evidence {
			return Evidence{Reporter: fmt.Sprint("c", i), Epoch: 1, Version: 1, Zone: "z1", Endpoint: 1, StartedAt: 7, Attempts: 1, Timeouts: 1}
		}), []uint64{1}},
		{"most of whom were served", 1, many(func(i int) Evidence {
			return Evidence{Reporter: fmt.Sprint("c", i), Epoch: 1, Version: 1, Zone: "z1", Endpoint: 1, StartedAt: 7, Attempts: 1, Errors: float64(i % 3 / 2)}
		}), nil},
		{"a faulty reporter among those who were served", 1, append(many(func(i int) Evidence {
			return Evidence{Reporter: fmt.Sprint("c", i), Epoch: 1, Version: 1, Zone: "z1", Endpoint: 1, StartedAt: 7, Attempts: 9}
		}), Evidence{Reporter: "liar", Epoch: 1, Version: 1, Zone: "z1", Endpoint: 1, StartedAt: 7, Attempts: 1e8, Errors: 1e8}, against("fool", "z1", 1, 1)), nil},
		{"all endpoints of the reporters fail alike", 1, many(func(i int) Evidence { e := against(fmt.Sprint("c", i), "z1", 1, 1); e.PeerErrorRate = 0.5; return e }), nil},
		{"what all endpoints share is not held against one", 1, shared, nil},
		{"slow ones too", 1, []Evidence{{Reporter: "a", Epoch: 1, Version: 1, Zone: "z1", Endpoint: 2, StartedAt: 7, Attempts: 9, RelativeLatency: 5}, {Reporter: "b", Epoch: 1, Version: 1, Zone: "z1", Endpoint: 2, StartedAt: 7, Attempts: 9, RelativeLatency: 4}}, []uint64{2}},
		{"never more than a fraction", 1, many(func(i int) Evidence { return against(fmt.Sprint("c", i/3, i%3/3*i), "z1", uint64(i%10+1), 1) }), nil},
		{"one that isn't in the list", 1, []Evidence{against("a", "z1", 99, 1), against("b", "z1", 99, 1)}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			detector := New("reader", "z1", 1)
			for _, e := range tc.given {
				detector.Merge(0, e, 0)
			}
			got := detector.Evaluate(0, newPool(10), tc.zones)
			var ids []uint64
			for _, j := range got {
				ids = append(ids, j.Endpoint)
			}
			if tc.want == nil && len(ids) > 3 || tc.want != nil && !slices.Equal(ids, tc.want) || tc.want == nil && tc.name != "never more than a fraction" && len(ids) > 0 {
				t.Errorf("got ejected endpoints %v, want %v", ids, tc.want)
			}
			// Evidence expires: nothing stays ejected.
			if late := detector.Evaluate(maxEvidenceAge+time.Second, newPool(10), tc.zones); len(late) > 0 {
				t.Errorf("after maxEvidenceAge: got verdicts %v, want none", late)
			}
		})
	}
}

func TestInvalidEvidenceIsIgnored(t *testing.T) {
	detector := New("r", "z1", 1)
	for _, e := range []Evidence{{Reporter: "a", Attempts: -1}, {Reporter: "a", Attempts: math.NaN()}, {Reporter: "a", Attempts: math.Inf(1)}, {Reporter: "a", Attempts: 1, Errors: 5},
		{Attempts: 1}, {Reporter: "a", Attempts: 1, PeerErrorRate: 7}, {Reporter: "r", Attempts: 1}} {
		if detector.Merge(0, e, 0) {
			t.Errorf("invalid evidence: got accepted, want refused: %+v", e)
		}
	}
	if detector.Merge(0, against("a", "z1", 1, 1), -time.Second) || detector.Merge(0, against("a", "z1", 1, 1), time.Hour) {
		t.Error("evidence with a negative age or an age of 1 h: got accepted, want refused")
	}
	for i := range 10 * maxReporters {
		detector.Merge(time.Duration(i)*time.Millisecond, against(fmt.Sprint("c", i), "z1", 1, 1), 0)
	}
	if n := len(detector.EvidenceAgainst(1)); n > maxReporters {
		t.Errorf("got evidence of %d reporters kept, want at most maxReporters", n)
	}
}

// A replica publishes evidence on endpoints that look faulty compared with its others, and once more after they recover.
func TestPendingEvidenceOnFaultyAndRecoveredEndpoints(t *testing.T) {
	detector := New("a", "z1", 1)
	now := time.Duration(0)
	record := func(outcome Outcome, endpoint uint64, n int) {
		for range n {
			detector.RecordOutcome(now, Endpoint{endpoint, 7}, outcome, 0)
		}
	}
	record(Succeeded, 1, 20)
	record(TimedOut, 2, 5)
	record(Failed, 3, 1)
	record(Succeeded, 3, 2)
	if got := detector.PendingEvidence(now); len(got) != 1 || got[0].Endpoint != 2 || got[0].Timeouts < 4.9 {
		t.Errorf("got %+v, want evidence of about 5 time-outs on endpoint 2 only", got)
	}
	now += 3 * HalfLife
	record(Succeeded, 2, 20)
	if got := detector.PendingEvidence(now); len(got) != 1 || got[0].Endpoint != 2 || got[0].Timeouts > 1 {
		t.Errorf("after recovery: got %+v, want evidence of at most 1 time-out on endpoint 2 only", got)
	}
	if got := detector.PendingEvidence(now); len(got) != 0 {
		t.Errorf("second call: got %+v, want no evidence", got)
	}
	detector.RecordOutcome(now, Endpoint{2, 8}, Failed, 0) // a new start has no evidence
	if detector.localFaulty(Endpoint{2, 7}) || detector.local[2].attempts > 1 {
		t.Error("new start has the evidence of the previous start")
	}
}

// In each slot exactly one replica probes, and each replica gets a fair number of slots.
func TestOneReplicaProbesPerSlot(t *testing.T) {
	probes := map[int]int{}
	for slot := range 3000 {
		n := 0
		for self := range 30 {
			if ShouldProbe(42, time.Duration(slot)*probeSlot, self, 30) {
				probes[self]++
				n++
			}
		}
		if n != 1 {
			t.Fatalf("slot %d: got %d probing replicas, want 1", slot, n)
		}
	}
	for self := range 30 {
		if probes[self] < 50 {
			t.Errorf("replica %d: got %d probes in 3000 slots, want at least 50", self, probes[self])
		}
	}
}
