package fairshare

import (
	"maps"
	"slices"
)

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
func NewLedger(total int) *Ledger {
	return &Ledger{total: max(total, 0), pools: map[string]*pool{}}
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

// Step returns the allowance of each pool from now on. Usage may lack pools that
// use nothing.
func (l *Ledger) Step(usage map[string]Usage) map[string]int {
	names := slices.Sorted(maps.Keys(l.pools))
	lent := l.lend(names, usage)
	reach := 0 // what is used, or may yet be under the allowances that hold until now
	for _, name := range names {
		reach += max(usage[name].Used, l.pools[name].allowed)
	}
	free := max(l.total-reach, 0)
	for i, name := range names { // what falls, falls at once
		p := l.pools[name]
		p.allowed = min(p.allowed, p.claim.Guarantee+lent[i])
	}
	for _, name := range names { // guarantees rise before what is lent
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

// raise lets the allowance rise to a level, as far as what is free allows, and returns how
// much of that it takes.
func (p *pool) raise(level, used, free int) (taken int) {
	more := min(level-p.allowed, free)
	if more <= 0 {
		return 0
	}
	counted := max(used-p.allowed, 0) // in use beyond its allowance: not free already
	p.allowed += more
	return max(more-counted, 0)
}

// lend divides what is not guaranteed: first by what pools want, and then what is left over as
// well, so that the first pool to want some need not wait for the next step.
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

// headroom is how much more of an amount each pool could use, by its bound.
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
