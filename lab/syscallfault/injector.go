package syscallfault

import (
	"math/rand/v2"
	"strings"
	"time"
)

// call is one call of the system that the program is about to make.
type call struct {
	name       string
	descriptor int // -1 is none
	target     target
	elapsed    time.Duration // since the start of the program
}

// injector decides which calls are disturbed. One goroutine uses it.
type injector struct {
	rules    []Rule
	random   *rand.Rand
	seen     []int // by rule: calls that it applies to
	injected []int // by rule
}

func newInjector(plan *Plan) *injector {
	return &injector{
		rules:    plan.Rules,
		random:   rand.New(rand.NewPCG(plan.Seed, plan.Seed)),
		seen:     make([]int, len(plan.Rules)),
		injected: make([]int, len(plan.Rules)),
	}
}

// decide returns the rule by which a call is disturbed, or nil.
func (i *injector) decide(c call) *Rule {
	for n := range i.rules {
		rule := &i.rules[n]
		if !rule.appliesTo(c) {
			continue
		}
		i.seen[n]++
		if !i.isDue(n) {
			continue
		}
		i.injected[n]++
		return rule
	}
	return nil
}

// isDue reports whether the last call that a rule applies to is one that it disturbs.
func (i *injector) isDue(n int) bool {
	rule := &i.rules[n]
	ordinal := i.seen[n] - rule.Skip
	switch {
	case ordinal <= 0, rule.Most > 0 && i.injected[n] >= rule.Most:
		return false
	case rule.Every > 1 && ordinal%rule.Every != 0:
		return false
	}
	return rule.Share == 0 || i.random.Float64() < rule.Share
}

func (r *Rule) appliesTo(c call) bool {
	switch {
	case r.Call != c.name, r.Descriptor != Any && r.Descriptor != c.target.kind:
		return false
	case c.elapsed < r.From, r.Until > 0 && c.elapsed >= r.Until:
		return false
	}
	return strings.Contains(c.target.name, r.Path)
}
