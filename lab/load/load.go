// Package load draws what consumers ask for ahead of time, so that a proxy
// that stalls can't slow down those who ask: an open loop.
package load

import (
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"ryerill/lab/world"
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
	Worth  float64
}

// Stream returns a random source of its own for each purpose of a run, so that
// what one part draws doesn't move what another does.
func Stream(seed uint64, purpose uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, purpose*0x9e3779b97f4a7c15+1))
}

// Draw returns all first tries of a world, in order of time.
func Draw(w *world.World, seed uint64) []Request {
	rng := Stream(seed, 1)
	rate := rateOf(w, rng)
	top := 0.0
	for at := time.Duration(0); at < w.Length; at += 10 * time.Millisecond {
		top = math.Max(top, rate(at))
	}
	var out []Request
	if top <= 0 {
		return nil
	}
	classes, tenants := weights(len(w.Classes), func(i int) float64 { return w.Classes[i].Share }),
		weights(len(w.Tenants), func(i int) float64 { return w.Tenants[i].Share })
	works := make([]distuv.LogNormal, len(w.Classes))
	for i, c := range w.Classes {
		sigma2 := math.Log(1 + c.Spread*c.Spread)
		works[i] = distuv.LogNormal{Mu: math.Log(c.Work.Seconds()) - sigma2/2, Sigma: math.Sqrt(sigma2), Src: rng}
	}
	quota := make([]float64, len(w.Tenants))
	last := make([]time.Duration, len(w.Tenants))
	for i, t := range w.Tenants {
		quota[i] = 2 * t.Quota
	}
	for at := 0.0; ; {
		// Poisson arrivals at the highest rate, thinned to the rate of the moment.
		at += rng.ExpFloat64() / top
		when := time.Duration(at * float64(time.Second))
		if when >= w.Length {
			return out
		}
		if rng.Float64()*top > rate(when) {
			continue
		}
		r := Request{At: when, ID: uint64(len(out) + 1), Class: pick(classes, rng), Tenant: pick(tenants, rng),
			Zone: rng.IntN(len(w.Network.Zones)), Key: rng.Uint64() | 1}
		r.Work, r.Worth = works[r.Class].Rand(), w.Classes[r.Class].Worth
		if t := &w.Tenants[r.Tenant]; t.Quota > 0 {
			saved := &quota[r.Tenant]
			*saved = math.Min(*saved+t.Quota*(when-last[r.Tenant]).Seconds(), 2*t.Quota)
			last[r.Tenant] = when
			if *saved < 1 {
				r.Over, r.Worth = true, r.Worth*w.Consumers.OverWorth
			} else {
				*saved--
			}
		}
		out = append(out, r)
	}
}

// rateOf returns the rate of first tries at a time.
func rateOf(w *world.World, rng *rand.Rand) func(time.Duration) float64 {
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
		r *= step
		for _, t := range w.Troubles {
			if t.Kind == world.Burst && at >= t.At && at < t.At+t.For {
				r *= t.Factor
			}
		}
		return r
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

// Calls draws how many calls to the next tier a request makes, mean on average.
func Calls(rng *rand.Rand, mean float64) int {
	n := int(mean)
	if rng.Float64() < mean-float64(n) {
		n++
	}
	return n
}
