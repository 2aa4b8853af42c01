package load

import (
	"math"
	"testing"
	"time"

	"ryerill/lab/scenario"
)

// demand returns a scenario with two classes and a load.
func demand(l scenario.Load, faults ...scenario.Fault) *scenario.Scenario {
	s := &scenario.Scenario{Name: "w", Length: 400 * time.Second, Load: l, Faults: faults,
		Tiers:   []scenario.Tier{{Name: "one", Proxies: 1, Endpoints: 1}},
		Classes: []scenario.Class{{Name: "a", Share: 3, Work: 100 * time.Millisecond, LatencyObjective: time.Second, Deadline: time.Second}, {Name: "b", Share: 1, Work: time.Second, LatencyObjective: time.Second, Deadline: time.Second}}}
	s.Complete()
	return s
}

func TestDrawHasRateSharesAndWork(t *testing.T) {
	for _, tc := range []struct {
		name string
		s    *scenario.Scenario
		want float64 // first tries
	}{
		{"steady", demand(scenario.Load{Rate: 50}), 20000},
		{"wave", demand(scenario.Load{Rate: 50, Shape: "wave", Swing: 0.5, Period: 20 * time.Second}), 20000},
		{"steps", demand(scenario.Load{Rate: 50, Steps: []scenario.Step{{At: 100 * time.Second, Factor: 2}, {At: 200 * time.Second, Factor: 0}}}), 15000},
		{"burst", demand(scenario.Load{Rate: 50}, scenario.Fault{Kind: scenario.Burst, At: time.Second, For: 100 * time.Second, Factor: 3}), 30000},
	} {
		all := Draw(tc.s, 1)
		if n := float64(len(all)); math.Abs(n-tc.want) > 5*math.Sqrt(tc.want) {
			t.Errorf("%s: drew %v, want about %v", tc.name, n, tc.want)
		}
		share, work := 0.0, 0.0
		for i, r := range all {
			if i > 0 && (r.At < all[i-1].At || r.ID != all[i-1].ID+1) {
				t.Fatalf("%s: request %d is out of order", tc.name, i)
			}
			if r.Class == 0 {
				share++
				work += r.Work
			}
		}
		if math.Abs(share/float64(len(all))-0.75) > 0.02 || math.Abs(work/share-0.1) > 0.005 {
			t.Errorf("%s: share %v, mean work %v", tc.name, share/float64(len(all)), work/share)
		}
	}
}

func TestQuotaMarksWhatGoesBeyond(t *testing.T) {
	s := demand(scenario.Load{Rate: 50})
	s.Tenants = []scenario.Tenant{{Name: "all", Share: 1, Quota: 25}}
	over := 0
	all := Draw(s, 1)
	for _, r := range all {
		if r.Over {
			over++
			if r.Weight != s.Clients.OverQuotaWeight {
				t.Fatalf("weight %v", r.Weight)
			}
		}
	}
	if fraction := float64(over) / float64(len(all)); math.Abs(fraction-0.5) > 0.03 {
		t.Errorf("%v is beyond a quota of half", fraction)
	}
}

// Scenarios that differ in a burst have all other requests in common: differences between them are the burst's.
func TestBurstOnlyAddsRequests(t *testing.T) {
	calm := Draw(demand(scenario.Load{Rate: 50, Shape: "bursty", Swing: 0.4}), 3)
	burst := Draw(demand(scenario.Load{Rate: 50, Shape: "bursty", Swing: 0.4}, scenario.Fault{Kind: scenario.Burst, At: 50 * time.Second, For: 20 * time.Second, Factor: 2}), 3)
	byKey := map[uint64]Request{}
	for _, r := range burst {
		byKey[r.Key] = r
	}
	for _, r := range calm {
		if b, ok := byKey[r.Key]; !ok || b.At != r.At || b.Work != r.Work || b.Class != r.Class {
			t.Fatalf("request at %v is not in both", r.At)
		}
	}
	if len(burst) <= len(calm) {
		t.Error("the burst adds nothing")
	}
}
