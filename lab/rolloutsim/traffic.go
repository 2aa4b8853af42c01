// Package rolloutsim simulates rollouts through a fleet: the real plan and the real
// evaluator over replicas whose traffic and outcomes are drawn, against a plan with fixed
// observation periods and thresholds.
package rolloutsim

import (
	"math"
	"math/rand/v2"
)

// Day is what else happens during a rollout.
type Day string

// The days.
const (
	Calm   Day = "calm"
	Burst  Day = "burst"         // for 40 s every 2 minutes more arrives than can be served
	Faulty Day = "slow provider" // one zone's goodput falls for a minute at a time
	Uneven Day = "uneven copies" // one replica in six always has a goodput lower by 0.1
)

const (
	zones  = 3
	period = 120.0 // seconds after which bursts and zone faults come again

	burstLength = 40.0 // seconds
	burstFactor = 1.8  // of the requests
	burstCost   = 0.25 // of the goodput

	zoneFaultLength = 60.0 // seconds
	zoneFaultCost   = 0.15 // of the goodput

	unevenOneIn = 6
	unevenCost  = 0.1

	usualRate        = 20 // requests a second a replica
	rateDeviation    = 0.5
	usualGoodput     = 0.97
	replicaDeviation = 0.004 // of goodput, for good
	noiseDeviation   = 0.003 // of goodput, from second to second

	trafficStream = 11 // of the seed
)

// traffic draws the requests of a fleet's replicas and their outcomes.
type traffic struct {
	rng            *rand.Rand
	day            Day
	phase          float64   // seconds by which bursts and zone faults are shifted
	rate           float64   // requests a second a replica
	rateFactors    []float64 // by replica
	goodputOffsets []float64 // by replica
}

func newTraffic(replicas int, day Day, seed uint64) *traffic {
	t := &traffic{rng: rand.New(rand.NewPCG(seed, trafficStream)), day: day, rate: usualRate}
	t.phase = t.rng.Float64() * period
	for range replicas {
		t.rateFactors = append(t.rateFactors, math.Exp(rateDeviation*t.rng.NormFloat64()))
		offset := replicaDeviation * t.rng.NormFloat64()
		if day == Uneven && t.rng.IntN(unevenOneIn) == 0 {
			offset -= unevenCost
		}
		t.goodputOffsets = append(t.goodputOffsets, offset)
	}
	return t
}

// goodput draws the goodput of a replica at a second, without the change's cost.
func (t *traffic) goodput(replica int, second float64) float64 {
	goodput := usualGoodput + t.goodputOffsets[replica] + noiseDeviation*t.rng.NormFloat64()
	inPeriod := math.Mod(second+t.phase, period)
	faultyZone := int(math.Mod((second+t.phase)/period, zones))
	switch {
	case t.day == Burst && inPeriod < burstLength:
		goodput -= burstCost
	case t.day == Faulty && inPeriod < zoneFaultLength && replica%zones == faultyZone:
		goodput -= zoneFaultCost
	}
	return goodput
}

// draw draws how many requests a replica received in a second and how many of them were
// served in time, of a change that costs so much goodput there.
func (t *traffic) draw(replica int, second, cost float64) (offered, served float64) {
	mean := t.rate * t.rateFactors[replica]
	if t.day == Burst && math.Mod(second+t.phase, period) < burstLength {
		mean *= burstFactor
	}
	offered = math.Round(max(mean+math.Sqrt(mean)*t.rng.NormFloat64(), 0))
	probability := min(max(t.goodput(replica, second)-cost, 0), 1)
	deviation := math.Sqrt(offered * probability * (1 - probability))
	served = math.Round(offered*probability + deviation*t.rng.NormFloat64())
	return offered, min(max(served, 0), offered)
}
