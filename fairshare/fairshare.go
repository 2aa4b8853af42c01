// Package fairshare divides the resources of one machine (sockets, bytes of
// bodies, open requests, work per second) among pools. Each pool has a guarantee
// that is never lent. The remainder is lent to pools that want more, by
// weighted max-min fairness (Bertsekas and Gallager, Data Networks,
// 6.5.2), and is reclaimed when other pools want it.
//
// The package does no I/O. The caller steps a [Ledger] several times a second
// with the usage and demand of each pool. Between steps a pool may take up to its
// allowance without coordination, so the request path shares no lock.
package fairshare

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Claim states the entitlement of a pool.
type Claim struct {
	Guarantee int     // units that are always available to it; 0 or more
	Weight    float64 // weight of its loans relative to other pools; 0 borrows nothing
	Max       int     // upper bound of its allowance; 0 means no bound
}

// Usage is the usage and unmet demand of a pool at a step.
type Usage struct {
	Used   int // units in use now
	Wanted int // additional units denied since the last step
}

// Guaranteed returns the sum of the guarantees of claims.
func Guaranteed(claims map[string]Claim) (sum int) {
	for _, claim := range claims {
		sum += max(claim.Guarantee, 0)
	}
	return sum
}

// Divide divides an amount by weighted max-min fairness: no claimant gets more than it
// wants, and none could get more without taking from one with less per unit of
// weight. Parts are integers; the remainder of rounding goes to the first claimants.
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
		level := left / weightLeft // per unit of weight, if the remaining claimants share evenly
		if float64(wants[i]) > level*weights[i] {
			// None of the remaining claimants can be satisfied.
			divideEvenly(parts, claimants[n:], int(math.Round(left)), level, wants, weights)
			return parts
		}
		parts[i] = wants[i]
		left -= float64(wants[i])
		weightLeft -= weights[i]
	}
	return parts
}

// bySatisfaction returns the indices of the claimants with a demand and a weight, in
// ascending order of demand per weight, the order in which they are satisfied.
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

// divideEvenly gives each claimant level times its weight, rounded down, and then
// distributes the remainder of the amount one unit at a time.
func divideEvenly(parts, claimants []int, amount int, level float64, wants []int, weights []float64) {
	distributed := 0
	for _, i := range claimants {
		parts[i] = min(int(level*weights[i]), wants[i])
		distributed += parts[i]
	}
	for progress := true; progress && distributed < amount; {
		progress = false
		for _, i := range claimants {
			if distributed < amount && parts[i] < wants[i] {
				parts[i]++
				distributed++
				progress = true
			}
		}
	}
}

// Rates divides a resource that is renewed in each interval, such as work per second. Nothing
// is held beyond an interval, so each call divides the total. Used is what a pool consumed
// in the previous interval. The allowance of a pool is its guarantee plus its part of the
// remainder by weighted max-min fairness. Units that no pool wanted are spread by weight, so
// that a pool with new demand need not wait for the next interval.
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
