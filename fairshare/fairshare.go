// Package fairshare divides what one machine has (sockets, bytes of bodies, open
// requests, work a second) among pools. Each pool is guaranteed a part, which
// is never lent; the remainder is lent to those that want more, by
// weighted max-min fairness (Bertsekas and Gallager, Data Networks,
// 6.5.2), and is returned when others want it.
//
// The package is pure. A [Ledger] is stepped by its host some times a second
// with what each pool uses and wants; in between, a pool may take up to its
// allowance on its own, so that no lock is shared on a request's way.
package fairshare

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Claim is what a pool is entitled to.
type Claim struct {
	Guarantee int     // its own at all times; 0 or more
	Weight    float64 // its part of what is lent, against the others' weights; 0 borrows nothing
	Max       int     // its allowance never exceeds this; 0 is no bound
}

// Usage is what a pool uses and wants at a step.
type Usage struct {
	Used   int // in use now
	Wanted int // what it was denied since the last step, on top
}

// Guaranteed is the sum of the guarantees of claims.
func Guaranteed(claims map[string]Claim) (sum int) {
	for _, claim := range claims {
		sum += max(claim.Guarantee, 0)
	}
	return sum
}

// Divide divides an amount by weighted max-min fairness: nobody gets more than it
// wants, and nobody could get more without taking from one that has less for its
// weight. Parts are whole; what rounding leaves goes to those that come first.
func Divide(amount int, wants []int, weights []float64) []int {
	parts := make([]int, len(wants))
	if amount <= 0 {
		return parts
	}
	claimants := bySatisfaction(wants, weights)
	weightLeft := 0.0
	for _, i := range claimants {
		weightLeft += weights[i]
	}
	left := float64(amount)
	for n, i := range claimants {
		level := left / weightLeft // for each unit of weight, if all that remain share evenly
		if float64(wants[i]) > level*weights[i] {
			// None of those that remain can be satisfied.
			divideEvenly(parts, claimants[n:], int(math.Round(left)), level, wants, weights)
			return parts
		}
		parts[i] = wants[i]
		left -= float64(wants[i])
		weightLeft -= weights[i]
	}
	return parts
}

// bySatisfaction returns the indices of those that want something and have a weight, the
// one first that is satisfied soonest for its weight.
func bySatisfaction(wants []int, weights []float64) []int {
	var claimants []int
	for i, want := range wants {
		if want > 0 && weights[i] > 0 {
			claimants = append(claimants, i)
		}
	}
	slices.SortStableFunc(claimants, func(a, b int) int {
		return cmp.Compare(float64(wants[a])/weights[a], float64(wants[b])/weights[b])
	})
	return claimants
}

// divideEvenly gives each claimant the level for each unit of its weight, rounded down,
// and then one by one what rounding has left of the amount.
func divideEvenly(parts, claimants []int, amount int, level float64, wants []int, weights []float64) {
	given := 0
	for _, i := range claimants {
		parts[i] = min(int(level*weights[i]), wants[i])
		given += parts[i]
	}
	for progress := true; progress && given < amount; {
		progress = false
		for _, i := range claimants {
			if given < amount && parts[i] < wants[i] {
				parts[i]++
				given++
				progress = true
			}
		}
	}
}

// Rates divides a resource that is renewed in each span, such as work a second: nothing is
// held beyond a span, so the whole is divided anew each time. Used is what a pool took
// in the span before. The allowance of each is its guarantee and, of the remainder, what
// weighted max-min fairness gives it. What no pool wanted is spread by weight, so
// that the first to want it need not wait for the next span.
func Rates(total int, claims map[string]Claim, usage map[string]Usage) map[string]int {
	names := slices.Sorted(maps.Keys(claims))
	rest := total
	var wants, headroom []int
	var weights []float64
	for _, name := range names {
		claim := claims[name]
		used := usage[name]
		rest -= claim.Guarantee
		limit := total
		if claim.Max > 0 {
			limit = max(claim.Max, claim.Guarantee)
		}
		wants = append(wants, max(min(used.Used+used.Wanted, limit)-claim.Guarantee, 0))
		headroom = append(headroom, max(limit-claim.Guarantee, 0))
		weights = append(weights, claim.Weight)
	}
	rest = max(rest, 0)
	lent := Divide(rest, wants, weights)
	for i := range lent {
		rest -= lent[i]
		headroom[i] = max(headroom[i]-lent[i], 0)
	}
	allowed := make(map[string]int, len(names))
	for i, more := range Divide(rest, headroom, weights) {
		allowed[names[i]] = claims[names[i]].Guarantee + lent[i] + more
	}
	return allowed
}
