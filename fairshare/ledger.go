package fairshare

import (
	"maps"
	"slices"
)

// Ledger keeps the allowances of pools. The units in use plus the units that pools
// may still take never exceed the total, whatever pools do between steps: a
// lower allowance takes effect at once, and a higher one only after other pools
// have returned the units.
type Ledger struct {
	total int
	pools map[string]*pool
}

type pool struct {
	claim   Claim
	allowed int
	leaving bool // its claim was removed, but units may still be in use
}

// NewLedger returns a ledger that divides a total amount.
func NewLedger(total int) *Ledger {
	return &Ledger{total: max(total, 0), pools: map[string]*pool{}}
}

// Set replaces the claims. It reports false, and changes nothing, if the
// guarantees exceed the total. A new pool's guarantee takes effect at the step
// after other pools have returned the units they borrowed.
func (l *Ledger) Set(claims map[string]Claim) bool {
	if Guaranteed(claims) > l.total {
		return false
	}
	for name, p := range l.pools {
		if _, stays := claims[name]; !stays {
			p.claim = Claim{}
			p.leaving = true
		}
	}
	for name, claim := range claims {
		claim.Guarantee = max(claim.Guarantee, 0)
		if claim.Max > 0 {
			claim.Max = max(claim.Max, claim.Guarantee)
		}
		p := l.pools[name]
		if p == nil {
			p = &pool{}
			l.pools[name] = p
		}
		p.claim = claim
		p.leaving = false
	}
	return true
}

// Step returns the allowance of each pool until the next step. Pools that use
// nothing may be missing from usage.
func (l *Ledger) Step(usage map[string]Usage) map[string]int {
	names := slices.Sorted(maps.Keys(l.pools))
	lent := l.lend(names, usage)
	maxUsed := 0 // the most that may be in use under the previous allowances
	for _, name := range names {
		maxUsed += max(usage[name].Used, l.pools[name].allowed)
	}
	free := max(l.total-maxUsed, 0)
	for i, name := range names { // reductions take effect at once
		p := l.pools[name]
		p.allowed = min(p.allowed, p.claim.Guarantee+lent[i])
	}
	for _, name := range names { // guarantees are restored before loans
		p := l.pools[name]
		free -= p.raise(p.claim.Guarantee, usage[name].Used, free)
	}
	for i, name := range names {
		p := l.pools[name]
		free -= p.raise(p.claim.Guarantee+lent[i], usage[name].Used, free)
	}
	allowed := make(map[string]int, len(names))
	for _, name := range names {
		p := l.pools[name]
		if p.leaving && usage[name].Used == 0 {
			delete(l.pools, name)
			continue
		}
		allowed[name] = p.allowed
	}
	return allowed
}

// raise raises the allowance to a level, by at most the free units, and returns how many
// free units it takes.
func (p *pool) raise(level, used, free int) (taken int) {
	more := min(level-p.allowed, free)
	if more <= 0 {
		return 0
	}
	overuse := max(used-p.allowed, 0) // in use beyond the allowance, so not counted as free
	p.allowed += more
	return max(more-overuse, 0)
}

// lend divides the units that are not guaranteed: first by demand, and then the unwanted rest, so
// that a pool with new demand need not wait for the next step.
func (l *Ledger) lend(names []string, usage map[string]Usage) (lent []int) {
	rest := l.total
	var wants []int
	var weights []float64
	for _, name := range names {
		claim := l.pools[name].claim
		rest -= claim.Guarantee
		want := usage[name].Used + usage[name].Wanted
		if claim.Max > 0 {
			want = min(want, claim.Max)
		}
		wants = append(wants, max(want-claim.Guarantee, 0))
		weights = append(weights, claim.Weight)
	}
	lent = Divide(rest, wants, weights)
	unwanted := rest
	for _, n := range lent {
		unwanted -= n
	}
	for i, n := range Divide(unwanted, l.headroom(names, lent, unwanted), weights) {
		lent[i] += n
	}
	return lent
}

// headroom returns how much more of an amount each pool may use within its Max. A leaving pool has none.
func (l *Ledger) headroom(names []string, lent []int, amount int) []int {
	headroom := make([]int, len(names))
	for i, name := range names {
		p := l.pools[name]
		switch {
		case p.leaving:
		case p.claim.Max > 0:
			headroom[i] = min(amount, max(p.claim.Max-p.claim.Guarantee-lent[i], 0))
		default:
			headroom[i] = amount
		}
	}
	return headroom
}
