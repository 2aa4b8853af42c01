package scenario

import (
	"math"
	"math/rand/v2"
	"time"
)

// Target is an endpoint that a fault affects.
type Target struct {
	Tier  int // index of its tier
	Index int // of the endpoint within its tier
}

// FaultTargets returns the endpoints that a fault affects: all endpoints of the lost zone, or the fault's fraction
// of the tier that it names. Both hosts of the laboratory call it with a stream of the same seed, fault by fault, so
// that a scenario affects the same endpoints in virtual time and on sockets.
func (s *Scenario) FaultTargets(fault *Fault, rng *rand.Rand) []Target {
	if fault.Kind == ZoneLoss {
		return s.zoneTargets(fault.Zone)
	}
	var targets []Target
	for tier := range s.Tiers {
		if fault.Tier != "all" && fault.Tier != s.Tiers[tier].Name {
			continue
		}
		for _, index := range drawFraction(fault.Fraction, s.Tiers[tier].Endpoints, rng) {
			targets = append(targets, Target{Tier: tier, Index: index})
		}
	}
	return targets
}

// FaultProxies returns the indices of the front proxies that a fault of kind Restart affects.
func (s *Scenario) FaultProxies(fault *Fault, rng *rand.Rand) []int {
	return drawFraction(fault.Fraction, s.Tiers[0].Proxies, rng)
}

// EndpointZone returns the zone of an endpoint, or of a front proxy, by its index: they take the zones in turn.
func (s *Scenario) EndpointZone(index int) int { return index % len(s.Network.Zones) }

// StepTime returns when the step of an index begins, for a fault whose steps are spread evenly over its length.
func (f *Fault) StepTime(index, steps int) time.Duration {
	return f.At + time.Duration(float64(f.For)*float64(index)/float64(steps))
}

func (s *Scenario) zoneTargets(zone string) []Target {
	var targets []Target
	for tier := range s.Tiers {
		for index := range s.Tiers[tier].Endpoints {
			if s.Network.Zones[s.EndpointZone(index)] == zone {
				targets = append(targets, Target{Tier: tier, Index: index})
			}
		}
	}
	return targets
}

// drawFraction draws a fraction of count indices, at least one, in random order.
func drawFraction(fraction float64, count int, rng *rand.Rand) []int {
	chosen := max(1, int(math.Round(fraction*float64(count))))
	return rng.Perm(count)[:chosen]
}
