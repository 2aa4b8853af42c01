// Package fairshare divides what one machine has (sockets, bytes of bodies, open
// invocations, work a second) among pools. Each pool is guaranteed a part, which
// is never lent; the rest is lent out by weight to those who want more, as
// weighted max-min fairness has it (Bertsekas and Gallager, Data Networks,
// 6.5.2), and called back when others want it.
//
// The package is pure. A [Ledger] is stepped by its host some times a second
// with what each pool uses and wants; in between, a pool may take up to its
// allowance without asking anybody, so that no lock is shared on a request's way.
package fairshare

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Claim is what a pool is owed.
type Claim struct {
	Guarantee int     // its own at all times; 0 or more
	Weight    float64 // its part of the rest against others'; 0 borrows nothing
	Max       int     // its allowance never exceeds this; 0 is no bound
}

// Divide divides an amount by weighted max-min fairness: nobody gets more than it
// wants, and nobody could get more without taking from one who has less for its
// weight. Parts are whole; what rounding leaves goes to the first in line.
func Divide(amount int, wants []int, weights []float64) []int {
	parts := make([]int, len(wants))
	if amount <= 0 {
		return parts
	}
	var open []int
	for i, w := range wants {
		if w > 0 && weights[i] > 0 {
			open = append(open, i)
		}
	}
	// Fill from the one who is satisfied soonest for its weight.
	slices.SortStableFunc(open, func(a, b int) int {
		return cmp.Compare(float64(wants[a])/weights[a], float64(wants[b])/weights[b])
	})
	sum := 0.0
	for _, i := range open {
		sum += weights[i]
	}
	left := float64(amount)
	for k, i := range open {
		level := left / sum // for each unit of weight, if all that remain share evenly
		if float64(wants[i]) > level*weights[i] {
			given, rest := 0, int(math.Round(left))
			for _, j := range open[k:] { // nobody that remains is satisfied
				parts[j] = min(int(level*weights[j]), wants[j])
				given += parts[j]
			}
			for again := true; again && given < rest; {
				again = false
				for _, j := range open[k:] {
					if given < rest && parts[j] < wants[j] {
						parts[j]++
						given++
						again = true
					}
				}
			}
			return parts
		}
		parts[i] = wants[i]
		left -= float64(wants[i])
		sum -= weights[i]
	}
	return parts
}

// Ledger keeps the allowances of pools. The sum of what pools use and of what
// they may still take never exceeds the total, whatever they do between steps:
// an allowance that falls takes effect at once, one that rises waits until what
// it takes has really been given back.
type Ledger struct {
	total int
	pools map[string]*pool
}

type pool struct {
	claim   Claim
	allowed int
	leaving bool // no claim any more, but something may still be in use
}

// NewLedger returns a ledger of a total amount.
func NewLedger(total int) *Ledger { return &Ledger{total: max(total, 0), pools: map[string]*pool{}} }

// Guaranteed is the sum of guarantees that claims ask for.
func Guaranteed(claims map[string]Claim) (sum int) {
	for _, c := range claims {
		sum += max(c.Guarantee, 0)
	}
	return sum
}

// Set replaces the claims. It reports false, and changes nothing, where the
// guarantees exceed the total. A new pool's guarantee is its own from the step
// on in which what others borrowed has come back.
func (l *Ledger) Set(claims map[string]Claim) bool {
	if Guaranteed(claims) > l.total {
		return false
	}
	for name, p := range l.pools {
		if _, stays := claims[name]; !stays {
			p.claim, p.leaving = Claim{}, true
		}
	}
	for name, c := range claims {
		c.Guarantee = max(c.Guarantee, 0)
		if c.Max > 0 {
			c.Max = max(c.Max, c.Guarantee)
		}
		if p := l.pools[name]; p != nil {
			p.claim, p.leaving = c, false
		} else {
			l.pools[name] = &pool{claim: c}
		}
	}
	return true
}

// Usage is what a pool has and wants at a step.
type Usage struct {
	Used   int // in use now
	Wanted int // what it was denied since the last step, on top
}

// Step returns the allowance of each pool from now on. Usage may lack pools that
// use nothing.
func (l *Ledger) Step(usage map[string]Usage) map[string]int {
	names := slices.Sorted(maps.Keys(l.pools))
	var wants []int
	var weights []float64
	rest := l.total
	for _, name := range names {
		p, u := l.pools[name], usage[name]
		rest -= p.claim.Guarantee
		want := u.Used + u.Wanted
		if p.claim.Max > 0 {
			want = min(want, p.claim.Max)
		}
		wants, weights = append(wants, max(want-p.claim.Guarantee, 0)), append(weights, p.claim.Weight)
	}
	lent := Divide(rest, wants, weights)
	// What nobody wants now is spread as well, or the first who wants it would wait a step.
	spare := rest
	for _, n := range lent {
		spare -= n
	}
	for i, n := range Divide(spare, headroom(l, names, lent, spare), weights) {
		lent[i] += n
	}
	out := make(map[string]int, len(names))
	// What is, or may yet be, taken under the allowances that hold until now.
	held := 0
	for _, name := range names {
		held += max(usage[name].Used, l.pools[name].allowed)
	}
	for i, name := range names { // what falls, falls at once
		p := l.pools[name]
		p.allowed = min(p.allowed, p.claim.Guarantee+lent[i])
		out[name] = p.allowed
	}
	free := max(l.total-held, 0)
	grow := func(up func(p *pool, i int) int) { // guarantees first, then what is lent
		for i, name := range names {
			p := l.pools[name]
			if more := min(up(p, i)-p.allowed, free); more > 0 {
				// What it uses beyond its allowance is counted already.
				over := max(usage[name].Used-p.allowed, 0)
				p.allowed += more
				free -= max(more-over, 0)
				out[name] = p.allowed
			}
		}
	}
	grow(func(p *pool, _ int) int { return p.claim.Guarantee })
	grow(func(p *pool, i int) int { return p.claim.Guarantee + lent[i] })
	for _, name := range names {
		if p := l.pools[name]; p.leaving && usage[name].Used == 0 {
			delete(l.pools, name)
			delete(out, name)
		}
	}
	return out
}

// headroom is how much more each pool could use, by its bound.
func headroom(l *Ledger, names []string, lent []int, spare int) []int {
	room := make([]int, len(names))
	for i, name := range names {
		p := l.pools[name]
		room[i] = spare
		if p.claim.Max > 0 {
			room[i] = min(spare, max(p.claim.Max-p.claim.Guarantee-lent[i], 0))
		}
		if p.leaving {
			room[i] = 0
		}
	}
	return room
}

// Rates divides what is used up and comes anew in each span, as work a second
// does: nothing is held beyond a span, so that each takes part in the whole. Used
// is what a pool took in the span before. The guarantee of each and, of the rest,
// what weighted max-min gives it, are its allowance; what nobody wanted is spread
// by weight, lest the first who wants it wait.
func Rates(total int, claims map[string]Claim, usage map[string]Usage) map[string]int {
	names := slices.Sorted(maps.Keys(claims))
	rest := total
	var wants, room []int
	var weights []float64
	for _, name := range names {
		c, u := claims[name], usage[name]
		rest -= c.Guarantee
		want, most := u.Used+u.Wanted, total
		if c.Max > 0 {
			most = max(c.Max, c.Guarantee)
		}
		wants = append(wants, max(min(want, most)-c.Guarantee, 0))
		room = append(room, max(most-c.Guarantee, 0))
		weights = append(weights, c.Weight)
	}
	rest = max(rest, 0)
	lent := Divide(rest, wants, weights)
	for i := range lent {
		rest -= lent[i]
		room[i] = max(room[i]-lent[i], 0)
	}
	out := make(map[string]int, len(names))
	for i, more := range Divide(rest, room, weights) {
		out[names[i]] = claims[names[i]].Guarantee + lent[i] + more
	}
	return out
}
