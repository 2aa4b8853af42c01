// Package load draws what consumers ask for ahead of time, so that a proxy
// that stalls can't slow down those who ask: an open loop.
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

// Stream returns a random source of its own for each purpose of a run, so that
// what one part draws doesn't move what another does.
func Stream(seed uint64, purpose uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, purpose*0x9e3779b97f4a7c15+1))
}

// Draw returns all first tries of a world, in order of time. Each class is drawn
// from streams of its own, and what bursts add from others: two worlds that
// differ in a burst or in one class's load have all other requests in common.
func Draw(w *scenario.Scenario, seed uint64) []Request {
	shape := rateOf(w, Stream(seed, 1))
	sum := 0.0
	for _, c := range w.Classes {
		sum += c.Share
	}
	if sum <= 0 {
		return nil
	}
	var out []Request
	for i := range w.Classes {
		share := w.Classes[i].Share / sum
		base := func(at time.Duration) float64 { return share * shape(at) }
		own, extra := Stream(seed, 100+2*uint64(i)), Stream(seed, 101+2*uint64(i))
		add := func(rng *rand.Rand, rate func(time.Duration) float64) {
			for _, at := range arrivals(w.Length, rate, rng) {
				out = append(out, request(w, i, at, rng))
			}
		}
		add(own, base)
		if burst(w, i) {
			add(extra, func(at time.Duration) float64 { return base(at) * (factor(w, i, at) - 1) })
		}
	}
	slices.SortStableFunc(out, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	quota, last := make([]float64, len(w.Tenants)), make([]time.Duration, len(w.Tenants))
	for i, t := range w.Tenants {
		quota[i] = 2 * t.Quota
	}
	for n := range out {
		r := &out[n]
		r.ID, r.Weight = uint64(n+1), w.Classes[r.Class].PriorityWeight
		t := &w.Tenants[r.Tenant]
		for i := range w.Faults { // after all draws: nobody else's requests change
			if h := &w.Faults[i]; h.Kind == scenario.Heavy && h.Tenant == t.Name && r.At >= h.At && r.At < h.At+h.For {
				r.Work *= h.Factor
			}
		}
		if t.Quota == 0 {
			continue
		}
		saved := &quota[r.Tenant]
		*saved = math.Min(*saved+t.Quota*(r.At-last[r.Tenant]).Seconds(), 2*t.Quota)
		last[r.Tenant] = r.At
		if *saved < 1 {
			r.Over, r.Weight = true, r.Weight*w.Clients.OverQuotaWeight
		} else {
			*saved--
		}
	}
	return out
}

// arrivals are those of a Poisson process: drawn at the highest rate, and thinned
// to the rate of the moment.
func arrivals(length time.Duration, rate func(time.Duration) float64, rng *rand.Rand) (out []time.Duration) {
	top := 0.0
	for at := time.Duration(0); at < length; at += 10 * time.Millisecond {
		top = math.Max(top, rate(at))
	}
	for at := 0.0; top > 0; {
		at += rng.ExpFloat64() / top
		when := time.Duration(at * float64(time.Second))
		if when >= length {
			break
		}
		if rng.Float64()*top <= rate(when) {
			out = append(out, when)
		}
	}
	return out
}

// request draws what a first try of a class is.
func request(w *scenario.Scenario, class int, at time.Duration, rng *rand.Rand) Request {
	c := &w.Classes[class]
	sigma2 := math.Log(1 + c.Spread*c.Spread)
	work := distuv.LogNormal{Mu: math.Log(c.Work.Seconds()) - sigma2/2, Sigma: math.Sqrt(sigma2), Src: rng}
	tenants := weights(len(w.Tenants), func(i int) float64 { return w.Tenants[i].Share })
	return Request{At: at, Class: class, Tenant: pick(tenants, rng), Zone: rng.IntN(len(w.Network.Zones)), Key: rng.Uint64() | 1, Work: work.Rand()}
}

// burst tells whether a class has a burst at all.
func burst(w *scenario.Scenario, class int) bool {
	for i := range w.Faults {
		if meets(w, &w.Faults[i], class) {
			return true
		}
	}
	return false
}

// meets tells whether a trouble is a burst of a class. Where tiers are parallel
// a burst is of one tier's classes.
func meets(w *scenario.Scenario, t *scenario.Fault, class int) bool {
	return t.Kind == scenario.Burst && t.Factor > 1 && (!w.Parallel || t.Tier == w.Classes[class].Tier)
}

// factor is what bursts multiply a class's rate by at a time.
func factor(w *scenario.Scenario, class int, at time.Duration) float64 {
	f := 1.0
	for i := range w.Faults {
		if t := &w.Faults[i]; meets(w, t, class) && at >= t.At && at < t.At+t.For {
			f *= t.Factor
		}
	}
	return f
}

// rateOf returns the rate of first tries at a time.
func rateOf(w *scenario.Scenario, rng *rand.Rand) func(time.Duration) float64 {
	l := &w.Load
	type span struct {
		end    time.Duration
		factor float64
	}
	var spans []span
	if l.Shape == "bursty" {
		for end := time.Duration(0); end < w.Length; {
			end += time.Duration(rng.ExpFloat64() * float64(l.Period))
			spans = append(spans, span{end, 1 + l.Swing*(2*rng.Float64()-1)})
		}
	}
	phase, next := rng.Float64()*2*math.Pi, 0
	return func(at time.Duration) float64 {
		r := l.Rate
		switch l.Shape {
		case "wave":
			r *= 1 + l.Swing*math.Sin(phase+2*math.Pi*at.Seconds()/l.Period.Seconds())
		case "bursty":
			if next >= len(spans) || next > 0 && spans[next-1].end > at {
				next = 0
			}
			for next < len(spans)-1 && spans[next].end <= at {
				next++
			}
			r *= spans[next].factor
		}
		step := 1.0
		for _, s := range l.Steps {
			if at >= s.At {
				step = s.Factor
			}
		}
		return r * step
	}
}

func weights(n int, share func(int) float64) []float64 {
	sums, sum := make([]float64, n), 0.0
	for i := range sums {
		sum += share(i)
		sums[i] = sum
	}
	return sums
}

func pick(sums []float64, rng *rand.Rand) int {
	at := rng.Float64() * sums[len(sums)-1]
	for i, s := range sums {
		if at < s {
			return i
		}
	}
	return len(sums) - 1
}

// Speed draws the speed of a machine, never below a tenth of what is stated.
func Speed(rng *rand.Rand, n *scenario.Machine) float64 {
	return max(0.1, 1+n.Spread*rng.NormFloat64()) * n.Speed
}

// Calls draws how many calls to the next tier a request makes, mean on average.
func Calls(rng *rand.Rand, mean float64) int {
	n := int(mean)
	if rng.Float64() < mean-float64(n) {
		n++
	}
	return n
}
