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
func (w *Scenario) FaultTargets(fault *Fault, rng *rand.Rand) []Target {
	if fault.Kind == ZoneLoss {
		return w.zoneTargets(fault.Zone)
	}
	var targets []Target
	for tier := range w.Tiers {
		if fault.Tier != "all" && fault.Tier != w.Tiers[tier].Name {
			continue
		}
		for _, index := range drawFraction(fault.Fraction, w.Tiers[tier].Endpoints, rng) {
			targets = append(targets, Target{Tier: tier, Index: index})
		}
	}
	return targets
}

// FaultProxies returns the indices of the front proxies that a fault of kind Restart affects.
func (w *Scenario) FaultProxies(fault *Fault, rng *rand.Rand) []int {
	return drawFraction(fault.Fraction, w.Tiers[0].Proxies, rng)
}

// EndpointZone returns the zone of an endpoint, or of a front proxy, by its index: they take the zones in turn.
func (w *Scenario) EndpointZone(index int) int { return index % len(w.Network.Zones) }

// StepTime returns when the step of an index begins, for a fault whose steps are spread evenly over its length.
func (t *Fault) StepTime(index, steps int) time.Duration {
	return t.At + time.Duration(float64(t.For)*float64(index)/float64(steps))
}

func (w *Scenario) zoneTargets(zone string) []Target {
	var targets []Target
	for tier := range w.Tiers {
		for index := range w.Tiers[tier].Endpoints {
			if w.Network.Zones[w.EndpointZone(index)] == zone {
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
