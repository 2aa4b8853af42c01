package route

import (
	"fmt"
	"slices"
	"strings"
)

// Table finds the rule of a request. It is a tree for each host: of path segments, with a leaf for each path that rules
// state.
type Table struct {
	exactHosts    map[string]*node
	wildcardHosts map[string]*node // by the name below which they match
	anyHost       *node
	rules         []rule
}

// node is a node in a tree of path segments.
type node struct {
	literals map[string]*node // next segment, by its text
	named    *node            // next segment, whatever its text
	end      *leaf            // rules whose path ends here
	rest     *leaf            // rules whose path goes on with *
}

// New makes a table of rules. It is nil if one of the problems is fatal.
func New(rules []Rule, vocabulary Vocabulary) (*Table, []Problem) {
	if len(rules) > MaxRules {
		text := fmt.Sprintf("%d routes are more than %d", len(rules), MaxRules)
		return nil, []Problem{{Kind: Malformed, Text: text}}
	}
	t := &Table{
		exactHosts:    map[string]*node{},
		wildcardHosts: map[string]*node{},
		rules:         make([]rule, len(rules)),
	}
	var problems []Problem
	var leaves []*leaf
	for i := range rules {
		r := &t.rules[i]
		r.Rule = rules[i]
		r.index = i
		if problem := r.check(); problem != nil {
			problems = append(problems, *problem)
			continue
		}
		l := t.leafOf(r)
		if len(l.rules) == 0 {
			leaves = append(leaves, l)
		}
		l.rules = append(l.rules, r)
	}
	for _, l := range leaves {
		problems = append(problems, l.buildIndex()...)
	}
	slices.SortStableFunc(problems, func(a, b Problem) int { return a.firstRule() - b.firstRule() })
	if slices.ContainsFunc(problems, Problem.Fatal) {
		return nil, problems
	}
	for _, l := range leaves {
		problems = append(problems, l.findShadowed(vocabulary)...)
	}
	return t, problems
}

// firstRule is the index of the rule at fault, or -1.
func (p Problem) firstRule() int {
	if len(p.Rules) == 0 {
		return -1
	}
	return p.Rules[0]
}

// leafOf finds or makes the leaf of a rule.
func (t *Table) leafOf(r *rule) *leaf {
	n := t.hostNode(r.Host)
	for _, s := range r.segments {
		n = n.child(s)
	}
	place := &n.end
	if r.hasRest {
		place = &n.rest
	}
	if *place == nil {
		*place = &leaf{index: map[leafKey][]*rule{}}
	}
	return *place
}

// hostNode finds or makes the root of a host's tree.
func (t *Table) hostNode(host string) *node {
	if host == "" {
		if t.anyHost == nil {
			t.anyHost = &node{}
		}
		return t.anyHost
	}
	hosts := t.exactHosts
	name := host
	if below, isWildcard := strings.CutPrefix(host, wildcardPrefix); isWildcard {
		hosts = t.wildcardHosts
		name = below
	}
	if hosts[name] == nil {
		hosts[name] = &node{}
	}
	return hosts[name]
}

// child finds or makes the child node for a segment.
func (n *node) child(s segment) *node {
	if s.named {
		if n.named == nil {
			n.named = &node{}
		}
		return n.named
	}
	if n.literals == nil {
		n.literals = map[string]*node{}
	}
	if n.literals[s.text] == nil {
		n.literals[s.text] = &node{}
	}
	return n.literals[s.text]
}
