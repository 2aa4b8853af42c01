package scenario

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func twoTiers() *Scenario {
	return &Scenario{
		Network: Network{Zones: []string{"east", "west"}},
		Tiers: []Tier{
			{Name: "shop", Proxies: 4, Endpoints: 3},
			{Name: "store", Endpoints: 10},
		},
	}
}

func TestFaultTargets(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault Fault
		want  []int // how many endpoints of each tier
	}{
		{"at least one", Fault{Kind: Slow, Tier: "shop", Fraction: 0.01}, []int{1, 0}},
		{"a rounded fraction", Fault{Kind: Slow, Tier: "store", Fraction: 0.25}, []int{0, 3}},
		{"a fraction of each tier", Fault{Kind: Hang, Tier: "all", Fraction: 1}, []int{3, 10}},
		{"an unknown tier", Fault{Kind: Hang, Tier: "none", Fraction: 1}, []int{0, 0}},
		{"the lost zone in all tiers", Fault{Kind: ZoneLoss, Zone: "east"}, []int{2, 5}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := twoTiers()
			targets := s.FaultTargets(&tc.fault, rand.New(rand.NewPCG(1, 2)))
			got := make([]int, len(s.Tiers))
			seen := map[Target]bool{}
			for _, target := range targets {
				got[target.Tier]++
				if seen[target] {
					t.Errorf("%+v is there twice", target)
				}
				seen[target] = true
				if target.Index < 0 || target.Index >= s.Tiers[target.Tier].Endpoints {
					t.Errorf("%+v is no endpoint", target)
				}
				if tc.fault.Kind == ZoneLoss && s.Network.Zones[s.EndpointZone(target.Index)] != tc.fault.Zone {
					t.Errorf("%+v is in another zone", target)
				}
			}
			if !slices.Equal(got, tc.want) {
				t.Errorf("got %v endpoints by tier, want %v", got, tc.want)
			}
		})
	}
}

// Both hosts draw from streams of their own and must come to the same targets.
func TestFaultTargetsDependOnTheStreamOnly(t *testing.T) {
	s := twoTiers()
	fault := Fault{Kind: Slow, Tier: "all", Fraction: 0.5}
	draw := func() []Target { return s.FaultTargets(&fault, rand.New(rand.NewPCG(3, 4))) }
	if first, second := draw(), draw(); !slices.Equal(first, second) {
		t.Errorf("got %v and %v", first, second)
	}
}

func TestFaultProxies(t *testing.T) {
	s := twoTiers()
	rng := rand.New(rand.NewPCG(1, 2))
	if got := s.FaultProxies(&Fault{Kind: Restart, Fraction: 0.5}, rng); len(got) != 2 {
		t.Errorf("got proxies %v, want two of four", got)
	}
	if got := s.FaultProxies(&Fault{Kind: Restart}, rng); len(got) != 1 {
		t.Errorf("got proxies %v, want one at least", got)
	}
}

func TestStepsAreSpreadEvenly(t *testing.T) {
	fault := Fault{At: time.Second, For: 4 * time.Second}
	for step, want := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second} {
		if got := fault.StepTime(step, 4); got != want {
			t.Errorf("step %d begins at %v, want %v", step, got, want)
		}
	}
}
