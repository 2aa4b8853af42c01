// Package modelcheck visits every state of a pure machine that a bound leaves, in the
// order of the steps that lead there, and so finds a shortest way to what must not
// be. What is explored is the real code: a System wraps it, names the moves that its
// environment may make next, and says what a state is.
package modelcheck

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// System is a machine with its environment, in one state.
type System interface {
	// Moves names what may happen next, always in the same order for the same state.
	Moves() []string
	// Do has the move of a number happen. An error is something that must not be.
	Do(move int) error
	// Key is equal for states that are the same for all that may follow.
	Key() string
}

// Cloner is a System that can be copied. One that can't is led anew from its start
// to each state.
type Cloner interface{ Clone() System }

// Bounds end an exploration.
type Bounds struct {
	Depth  int // moves from the start
	States int // that are kept
}

// Result is what an exploration found.
type Result struct {
	States, Moves, Depth int
	Complete             bool     // all states within the depth were visited
	Trace                []string // the moves that lead to Err
	Err                  error
}

// String tells a result in words, a counterexample move by move.
func (r Result) String() string {
	whole := "all"
	if !r.Complete {
		whole = "the first"
	}
	text := fmt.Sprintf("%s %d states within %d moves, %d moves made", whole, r.States, r.Depth, r.Moves)
	if r.Err != nil {
		text = fmt.Sprintf("%v\nafter:\n  %s\n(%s)", r.Err, strings.Join(r.Trace, "\n  "), text)
	}
	return text
}

type node struct {
	parent int32
	move   int16
	depth  int16
	system System // nil where it is led anew
}

// Explore visits states breadth first.
func Explore(start func() System, b Bounds) (res Result) {
	seen := map[string]struct{}{}
	first := start()
	_, clones := first.(Cloner)
	nodes := []node{{parent: -1, move: -1, system: first}}
	seen[first.Key()] = struct{}{}
	path := func(n int32) (moves []int) {
		for ; nodes[n].parent >= 0; n = nodes[n].parent {
			moves = append(moves, int(nodes[n].move))
		}
		slices.Reverse(moves)
		return moves
	}
	lead := func(moves []int) (System, []string) {
		s := start()
		var names []string
		for _, m := range moves {
			names = append(names, s.Moves()[m])
			s.Do(m)
		}
		return s, names
	}
	res.Complete = true
	for at := int32(0); int(at) < len(nodes); at++ {
		n := nodes[at]
		if res.Depth = max(res.Depth, int(n.depth)); int(n.depth) >= b.Depth {
			continue
		}
		here := n.system
		var way []int
		if !clones {
			way = path(at)
			here, _ = lead(way)
		}
		count := len(here.Moves())
		for m := range count {
			next := here
			switch {
			case clones:
				next = here.(Cloner).Clone()
			case m > 0:
				next, _ = lead(way)
			}
			res.Moves++
			if err := next.Do(m); err != nil {
				_, res.Trace = lead(append(path(at), m))
				res.Err, res.States = err, len(seen)
				return res
			}
			key := next.Key()
			if _, known := seen[key]; known {
				continue
			}
			if len(seen) >= b.States {
				res.Complete = false
				res.States = len(seen)
				return res
			}
			seen[key] = struct{}{}
			kept := node{parent: at, move: int16(m), depth: n.depth + 1}
			if clones {
				kept.system = next
			}
			nodes = append(nodes, kept)
		}
		nodes[at].system = nil
	}
	res.States = len(seen)
	return res
}

// Walk makes walks of a length at random, beyond what can be visited whole. The
// first thing that must not be ends it; its trace is then cut to moves without
// which it does not come about.
func Walk(start func() System, seed uint64, walks, length int) (res Result) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for range walks {
		s := start()
		var moves []int
		var names []string
		for range length {
			all := s.Moves()
			if len(all) == 0 {
				break
			}
			m := rng.IntN(len(all))
			moves, names = append(moves, m), append(names, all[m])
			res.Moves++
			if err := s.Do(m); err != nil {
				res.Err, res.Trace = err, shrink(start, names)
				return res
			}
		}
		res.States++
		res.Depth = max(res.Depth, len(moves))
	}
	return res
}

// shrink leaves out moves, by their names, as long as the error stays.
func shrink(start func() System, names []string) []string {
	fails := func(names []string) ([]string, bool) {
		s := start()
		var made []string
		for _, name := range names {
			i := slices.Index(s.Moves(), name)
			if i < 0 {
				continue
			}
			made = append(made, name)
			if s.Do(i) != nil {
				return made, true
			}
		}
		return nil, false
	}
	for size := len(names) / 2; size > 0; size /= 2 {
		for at := 0; at+size <= len(names); {
			shorter := append(slices.Clone(names[:at]), names[at+size:]...)
			if made, still := fails(shorter); still {
				names = made
			} else {
				at += size
			}
		}
	}
	return names
}
