package outlier

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// against is evidence of a copy that calls to a server fail.
func against(who, zone string, server uint64, version uint64) Evidence {
	return Evidence{Reporter: who, Epoch: 1, Version: version, Zone: zone, Endpoint: server, StartedAt: 7, Attempts: 10, Errors: 9}
}

func pool(n int) (all []Endpoint) {
	for i := range n {
		all = append(all, Endpoint{uint64(i + 1), 7})
	}
	return all
}

func TestWhoIsCondemned(t *testing.T) {
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
		said  []Evidence
		want  []uint64
	}{
		{"one copy alone condemns nobody", 2, []Evidence{against("a", "z1", 1, 1)}, nil},
		{"nor by saying it often", 2, many(func(i int) Evidence { return against("a", "z1", 1, uint64(i+1)) }), nil},
		{"copies of two zones do", 2, []Evidence{against("a", "z1", 1, 1), against("b", "z2", 1, 1)}, []uint64{1}},
		{"another zone alone condemns nobody here", 2, many(func(i int) Evidence { return against(fmt.Sprint("c", i), "z2", 1, 1) }), nil},
		{"one's own zone does, here", 2, []Evidence{against("a", "z1", 1, 1), against("b", "z1", 1, 1)}, []uint64{1}},
		{"where there is one zone two copies do", 1, []Evidence{against("a", "z2", 1, 1), against("b", "z2", 1, 1)}, []uint64{1}},
		{"another start of the server is another server", 1, []Evidence{func() Evidence { e := against("a", "z1", 1, 1); e.StartedAt = 6; return e }(), against("b", "z1", 1, 1)}, nil},
		{"too few calls", 1, []Evidence{{Reporter: "a", Epoch: 1, Version: 1, Zone: "z1", Endpoint: 1, StartedAt: 7, Attempts: 1, Errors: 1}, against("b", "z1", 1, 1)}, nil},
		{"many copies with a call each", 1, many(func(i int) Evidence {
			return Evidence{Reporter: fmt.Sprint("c", i), Epoch: 1, Version: 1, Zone: "z1", Endpoint: 1, StartedAt: 7, Attempts: 1, Timeouts: 1}
		}), []uint64{1}},
		{"most of whom were served", 1, many(func(i int) Evidence {
			return Evidence{Reporter: fmt.Sprint("c", i), Epoch: 1, Version: 1, Zone: "z1", Endpoint: 1, StartedAt: 7, Attempts: 1, Errors: float64(i % 3 / 2)}
		}), nil},
		{"a liar among those who were served", 1, append(many(func(i int) Evidence {
			return Evidence{Reporter: fmt.Sprint("c", i), Epoch: 1, Version: 1, Zone: "z1", Endpoint: 1, StartedAt: 7, Attempts: 9}
		}), Evidence{Reporter: "liar", Epoch: 1, Version: 1, Zone: "z1", Endpoint: 1, StartedAt: 7, Attempts: 1e8, Errors: 1e8}, against("fool", "z1", 1, 1)), nil},
		{"all copies' servers fail alike", 1, many(func(i int) Evidence { e := against(fmt.Sprint("c", i), "z1", 1, 1); e.PeerErrorRate = 0.5; return e }), nil},
		{"what all servers share is no server's fault", 1, shared, nil},
		{"slow ones too", 1, []Evidence{{Reporter: "a", Epoch: 1, Version: 1, Zone: "z1", Endpoint: 2, StartedAt: 7, Attempts: 9, RelativeLatency: 5}, {Reporter: "b", Epoch: 1, Version: 1, Zone: "z1", Endpoint: 2, StartedAt: 7, Attempts: 9, RelativeLatency: 4}}, []uint64{2}},
		{"never more than a part", 1, many(func(i int) Evidence { return against(fmt.Sprint("c", i/3, i%3/3*i), "z1", uint64(i%10+1), 1) }), nil},
		{"one that the list does not name", 1, []Evidence{against("a", "z1", 99, 1), against("b", "z1", 99, 1)}, nil},
	} {
		v := New("reader", "z1", 1)
		for _, e := range tc.said {
			v.Merge(0, e, 0)
		}
		got := v.Evaluate(0, pool(10), tc.zones)
		var ids []uint64
		for _, j := range got {
			ids = append(ids, j.Endpoint)
		}
		if tc.want == nil && len(ids) > 3 || tc.want != nil && !slices.Equal(ids, tc.want) || tc.want == nil && tc.name != "never more than a part" && len(ids) > 0 {
			t.Errorf("%s: %v, want %v", tc.name, ids, tc.want)
		}
		// Evidence ages: in the end nobody is condemned.
		if late := v.Evaluate(oldest+time.Second, pool(10), tc.zones); len(late) > 0 {
			t.Errorf("%s: still condemned: %v", tc.name, late)
		}
	}
}

func TestNonsenseIsNoEvidence(t *testing.T) {
	v := New("r", "z1", 1)
	for _, e := range []Evidence{{Reporter: "a", Attempts: -1}, {Reporter: "a", Attempts: math.NaN()}, {Reporter: "a", Attempts: math.Inf(1)}, {Reporter: "a", Attempts: 1, Errors: 5},
		{Attempts: 1}, {Reporter: "a", Attempts: 1, PeerErrorRate: 7}, {Reporter: "r", Attempts: 1}} {
		if v.Merge(0, e, 0) {
			t.Errorf("heard: %+v", e)
		}
	}
	if v.Merge(0, against("a", "z1", 1, 1), -time.Second) || v.Merge(0, against("a", "z1", 1, 1), time.Hour) {
		t.Error("an impossible or old age is taken")
	}
	for i := range 10 * mostVoices {
		v.Merge(time.Duration(i)*time.Millisecond, against(fmt.Sprint("c", i), "z1", 1, 1), 0)
	}
	if n := len(v.EvidenceAgainst(1)); n > mostVoices {
		t.Errorf("%d voices are kept", n)
	}
}

// What a copy tells: servers that look bad against its others, and once more those
// that no longer do.
func TestEvidenceIsToldWhereItMatters(t *testing.T) {
	v := New("a", "z1", 1)
	now := time.Duration(0)
	see := func(o Outcome, server uint64, n int) {
		for range n {
			v.RecordOutcome(now, Endpoint{server, 7}, o, 0)
		}
	}
	see(Succeeded, 1, 20)
	see(TimedOut, 2, 5)
	see(Failed, 3, 1)
	see(Succeeded, 3, 2)
	if got := v.PendingEvidence(now); len(got) != 1 || got[0].Endpoint != 2 || got[0].Timeouts < 4.9 {
		t.Errorf("%+v", got)
	}
	now += 3 * HalfLife
	see(Succeeded, 2, 20)
	if got := v.PendingEvidence(now); len(got) != 1 || got[0].Endpoint != 2 || got[0].Timeouts > 1 {
		t.Errorf("healed: %+v", got)
	}
	if got := v.PendingEvidence(now); len(got) != 0 {
		t.Errorf("told again: %+v", got)
	}
	v.RecordOutcome(now, Endpoint{2, 8}, Failed, 0) // another start begins with nothing
	if v.mine(Endpoint{2, 7}) || v.own[2].calls > 1 {
		t.Error("another start inherits")
	}
}

// The probing share is divided: about one copy at a time, and each in its turn.
func TestProbesAreDivided(t *testing.T) {
	turns := map[int]int{}
	for slot := range 3000 {
		n := 0
		for self := range 30 {
			if ShouldProbe(42, time.Duration(slot)*probeSpan, self, 30) {
				turns[self]++
				n++
			}
		}
		if n != 1 {
			t.Fatalf("slot %d: %d copies probe", slot, n)
		}
	}
	for self := range 30 {
		if turns[self] < 50 {
			t.Errorf("copy %d probes %d times of 3000", self, turns[self])
		}
	}
}
