package route

import (
	"fmt"
	"slices"
	"strings"
)

// Table finds the rule for a request. It holds a tree of path segments for each host, with a leaf for each path stated
// by rules. It is immutable and safe for concurrent use.
type Table struct {
	exactHosts    map[string]*node
	wildcardHosts map[string]*node // by the host without the wildcard prefix
	anyHost       *node
	rules         []rule
}

// node is a node in a tree of path segments.
type node struct {
	literals map[string]*node // children for literal segments, by text
	named    *node            // child for {name}, which matches any segment
	end      *leaf            // rules whose path ends at this node
	rest     *leaf            // rules whose path continues with *
}

// New builds a table from rules and returns the problems of the rules. The table is nil if any problem is fatal.
func New(rules []Rule, vocabulary Vocabulary) (*Table, []Problem) {
	if len(rules) > MaxRules {
		text := fmt.Sprintf("got %d routes, want at most %d", len(rules), MaxRules)
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

// firstRule returns the index of the rule at fault, or -1 if the problem has none.
func (p Problem) firstRule() int {
	if len(p.Rules) == 0 {
		return -1
	}
	return p.Rules[0]
}

// leafOf returns the leaf of a rule and creates it if needed.
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

// hostNode returns the root of the tree of a host and creates it if needed.
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

// child returns the child node for a segment and creates it if needed.
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
