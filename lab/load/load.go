// Package load draws what clients request ahead of time, so that a proxy that stalls can't slow down its clients: an
// open loop.
package load

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"ryerill/lab/scenario"
)

// Request is one first try as it was drawn.
type Request struct {
	At     time.Duration
	ID     uint64 // from 1 on, in order of time
	Class  int
	Tenant int
	Zone   int
	Work   float64 // seconds of one core over the whole chain
	Key    uint64
	Over   bool // beyond its tenant's quota
	Weight float64
}

// Purposes of the random streams of Draw. The hosts have those between.
const (
	ratePurpose  = 1
	classPurpose = 100 // and on: two for each class
)

// streamStep separates the seeds of streams: 2^64 divided by the golden ratio.
const streamStep = 0x9e3779b97f4a7c15

// Stream returns a random source of its own for each purpose of a run, so that what one part draws does not change what
// another one does.
func Stream(seed uint64, purpose uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, purpose*streamStep+1))
}

// Draw returns all first tries of a scenario, in order of time. Each class is drawn from a stream of its own, and what
// bursts add from another: two scenarios that differ in a burst or in one class's load have all other requests in
// common.
func Draw(s *scenario.Scenario, seed uint64) []Request {
	rate := newTotalRate(s, Stream(seed, ratePurpose))
	shares := 0.0
	for _, class := range s.Classes {
		shares += class.Share
	}
	if shares <= 0 {
		return nil
	}
	var requests []Request
	for class := range s.Classes {
		share := s.Classes[class].Share / shares
		classRate := func(at time.Duration) float64 { return share * rate.at(at) }
		burstRate := func(at time.Duration) float64 { return classRate(at) * (burstFactor(s, class, at) - 1) }
		purpose := classPurpose + 2*uint64(class)
		requests = append(requests, drawClass(s, class, classRate, Stream(seed, purpose))...)
		if hasBurst(s, class) {
			requests = append(requests, drawClass(s, class, burstRate, Stream(seed, purpose+1))...)
		}
	}
	slices.SortStableFunc(requests, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	complete(s, requests)
	return requests
}

// drawClass draws the first tries of a class at a rate.
func drawClass(s *scenario.Scenario, class int, rate func(time.Duration) float64, rng *rand.Rand) []Request {
	var requests []Request
	for _, at := range arrivals(s.Length, rate, rng) {
		requests = append(requests, draw(s, class, at, rng))
	}
	return requests
}

// arrivals are those of a Poisson process: drawn at the highest rate, and thinned to the rate of the moment.
func arrivals(length time.Duration, rate func(time.Duration) float64, rng *rand.Rand) []time.Duration {
	const step = 10 * time.Millisecond
	highest := 0.0
	for at := time.Duration(0); at < length; at += step {
		highest = math.Max(highest, rate(at))
	}
	if highest <= 0 {
		return nil
	}
	var times []time.Duration
	seconds := 0.0
	for {
		seconds += rng.ExpFloat64() / highest
		at := time.Duration(seconds * float64(time.Second))
		if at >= length {
			return times
		}
		if rng.Float64()*highest <= rate(at) {
			times = append(times, at)
		}
	}
}

// draw draws a first try of a class. The order of its draws is part of what a seed means.
func draw(s *scenario.Scenario, class int, at time.Duration, rng *rand.Rand) Request {
	tenant := pickTenant(s, rng)
	zone := rng.IntN(len(s.Network.Zones))
	key := rng.Uint64() | 1 // 0 is no key
	return Request{
		At:     at,
		Class:  class,
		Tenant: tenant,
		Zone:   zone,
		Key:    key,
		Work:   drawWork(&s.Classes[class], rng),
	}
}

// drawWork draws the work of a request, log-normal with the class's mean and coefficient of variation.
func drawWork(class *scenario.Class, rng *rand.Rand) float64 {
	variance := math.Log(1 + class.Spread*class.Spread) // of the logarithm
	work := distuv.LogNormal{
		Mu:    math.Log(class.Work.Seconds()) - variance/2,
		Sigma: math.Sqrt(variance),
		Src:   rng,
	}
	return work.Rand()
}

// pickTenant draws a tenant by the tenants' shares.
func pickTenant(s *scenario.Scenario, rng *rand.Rand) int {
	sum := 0.0
	for i := range s.Tenants {
		sum += s.Tenants[i].Share
	}
	drawn := rng.Float64() * sum
	upTo := 0.0
	for i := range s.Tenants {
		upTo += s.Tenants[i].Share
		if drawn < upTo {
			return i
		}
	}
	return len(s.Tenants) - 1
}

// complete fills in what follows from a request and those before it. Nothing is drawn: faults and quotas leave all
// other requests as they are.
func complete(s *scenario.Scenario, requests []Request) {
	var quotas []quota
	for _, tenant := range s.Tenants {
		quotas = append(quotas, newQuota(tenant.Quota))
	}
	for i := range requests {
		request := &requests[i]
		request.ID = uint64(i + 1)
		request.Weight = s.Classes[request.Class].PriorityWeight
		applyHeavy(s, request)
		if !quotas[request.Tenant].take(request.At) {
			request.Over = true
			request.Weight *= s.Clients.OverQuotaWeight
		}
	}
}

// applyHeavy multiplies a request's work by the factors of the faults that make its tenant's requests heavy.
func applyHeavy(s *scenario.Scenario, request *Request) {
	tenant := s.Tenants[request.Tenant].Name
	for i := range s.Faults {
		fault := &s.Faults[i]
		if fault.Kind == scenario.Heavy && fault.Tenant == tenant && isActive(fault, request.At) {
			request.Work *= fault.Factor
		}
	}
}

// isActive reports whether a fault lasts at a time.
func isActive(fault *scenario.Fault, at time.Duration) bool {
	return at >= fault.At && at < fault.At+fault.For
}

// Speed draws the speed of a machine, never below a tenth of what is stated.
func Speed(rng *rand.Rand, machine *scenario.Machine) float64 {
	const lowest = 0.1
	return max(lowest, 1+machine.Spread*rng.NormFloat64()) * machine.Speed
}

// Calls draws how many calls to the next tier a request makes, mean on average.
func Calls(rng *rand.Rand, mean float64) int {
	calls := int(mean)
	if rng.Float64() < mean-float64(calls) {
		calls++
	}
	return calls
}
