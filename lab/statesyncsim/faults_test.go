package statesyncsim

import (
	"context"
	"testing"
	"time"

	"ryerill/lab/faultnet"
	"ryerill/lab/scenario"
	"ryerill/lab/sim"
)

// The same scenario, variant and seed have the same result, with replicas that restart,
// network faults between them, a tenant that roams and two tiers that share apart from
// each other.
func TestFaultsBetweenProxies(t *testing.T) {
	w, err := scenario.Parse("w", []byte(`
name: w
length: 12s
network: {zones: [a, b]}
tiers:
  - {name: one, proxies: 6, providers: 4, work: 0.5, calls: 1}
  - {name: two, providers: 6, work: 0.5}
classes: [{name: read, share: 1, work: 10ms, aim: 500ms, deadline: 2s}]
tenants: [{name: acme, share: 0.3, quota: 100, roams: 2s}, {name: bolt, share: 0.7, quota: 100}]
load: {rate: 300, uneven: 4}
troubles:
  - {kind: split, at: 3s, for: 3s, part: 0.5}
  - {kind: lossy, at: 2s, for: 8s, link: {drop: 0.3, duplicate: 0.2, delay: 20ms, jitter: 50ms}}
  - {kind: one-way, at: 7s, for: 2s, part: 0.2}
  - {kind: restart, at: 5s, part: 0.4}
  - {kind: err, at: 4s, for: 4s, part: 0.25, factor: 0.9}
`))
	if err != nil {
		t.Fatal(err)
	}
	if !w.VirtualOnly() {
		t.Error("it is not for virtual time alone")
	}
	goodput := map[string]float64{}
	for _, variant := range append(Variants[1:], Variants[1]) {
		h := NewHubs(variant, 1, w)
		res, err := sim.Run(context.Background(), w, sim.Options{Seed: 1, New: h.Decider})
		if err != nil {
			t.Fatal(err)
		}
		if was, played := goodput[variant]; played && was != res.Metrics["goodput"] {
			t.Errorf("%s: %v, and %v the same again", variant, was, res.Metrics["goodput"])
		}
		if goodput[variant] = res.Metrics["goodput"]; len(res.Violations) > 0 || goodput[variant] < 0.5 {
			t.Errorf("%s: goodput %v, %v", variant, goodput[variant], res.Violations)
		}
		for tier, n := range []int{6, 4} {
			if got := len(h.tiers[tier].replicas); got != n || h.tiers[tier].bytes == 0 {
				t.Errorf("tier %d: %d replicas share, want %d; %d bytes", tier, got, n, h.tiers[tier].bytes)
			}
		}
		if n := h.tiers[0].net.Total; variant == "shared" && (n.Dropped == 0 || n.Partitioned == 0 || n.Duplicated == 0) {
			t.Errorf("no network fault was injected: %+v", n)
		}
	}
}

// A fault of the network ends at its own time, whatever other faults begin and end meanwhile.
func TestOverlappingNetworkFaultsEndAtTheirOwnTimes(t *testing.T) {
	lossy := scenario.Fault{Kind: scenario.Lossy, At: time.Second, For: 8 * time.Second, Link: faultnet.Link{Drop: 0.5}}
	sc := &scenario.Scenario{Faults: []scenario.Fault{
		{Kind: scenario.Split, At: 2 * time.Second, For: 4 * time.Second, Fraction: 0.5},
		{Kind: scenario.OneWay, At: 3 * time.Second, For: time.Second, Fraction: 0.25},
		{Kind: scenario.Cut, At: 3 * time.Second, For: 5 * time.Second, Fraction: 0.25},
		lossy,
	}}
	h := newHub(shared, 1, 1)
	h.faults = networkFaults(sc, 4)
	first, second, last := replicaName(0), replicaName(1), replicaName(3)
	for _, tc := range []struct {
		at                  time.Duration
		cut, split, lossyTo bool // the first replica from the second, the second from the last, any link
	}{
		{0, false, false, false},
		{1 * time.Second, false, false, true},
		{2 * time.Second, false, true, true},
		{3 * time.Second, true, true, true},
		{4 * time.Second, true, true, true}, // one way has ended
		{6 * time.Second, true, false, true},
		{8 * time.Second, false, false, true},
		{9 * time.Second, false, false, false},
	} {
		h.now = simulationStart + tc.at
		h.advance()
		link := h.net.Link(second, last)
		if got := h.net.Link(second, first).Partitioned; got != tc.cut {
			t.Errorf("at %v the first is cut off: %v", tc.at, got)
		}
		if link.Partitioned != tc.split {
			t.Errorf("at %v the halves are cut off: %v", tc.at, link.Partitioned)
		}
		if got := link.Drop > 0; got != tc.lossyTo {
			t.Errorf("at %v datagrams are lost: %v", tc.at, got)
		}
	}
}
