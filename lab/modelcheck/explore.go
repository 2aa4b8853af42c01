package modelcheck

import "slices"

// Explore visits states breadth first.
func Explore(start func() System, bounds Bounds) Result {
	e := newExplorer(start, bounds)
	for at := int32(0); int(at) < len(e.nodes); at++ {
		depth := int(e.nodes[at].depth)
		e.result.Depth = max(e.result.Depth, depth)
		if depth >= bounds.Depth {
			continue
		}
		if !e.expand(at) {
			return e.result
		}
	}
	e.result.States = len(e.seen)
	e.result.Complete = true
	return e.result
}

// explorer is an exploration in progress.
type explorer struct {
	start  func() System
	bounds Bounds
	clones bool // the system is a Cloner
	seen   map[string]struct{}
	nodes  []node // in the order in which they are visited
	result Result
}

// node is a state that was reached.
type node struct {
	parent int32 // -1 for the start
	move   int16 // of the parent, that led here
	depth  int16
	system System // nil once its moves were made, and for a system that is no Cloner
}

func newExplorer(start func() System, bounds Bounds) *explorer {
	first := start()
	_, clones := first.(Cloner)
	return &explorer{
		start:  start,
		bounds: bounds,
		clones: clones,
		seen:   map[string]struct{}{first.Key(): {}},
		nodes:  []node{{parent: -1, move: -1, system: first}},
	}
}

// expand makes all moves of a state. It returns false if that ends the exploration.
func (e *explorer) expand(at int32) bool {
	var path []int
	system := e.nodes[at].system
	if !e.clones {
		path = e.path(at)
		system, _ = e.replay(path)
	}
	for move := range len(system.Moves()) {
		next := system
		switch {
		case e.clones:
			next = system.(Cloner).Clone()
		case move > 0: // the move before has changed the system
			next, _ = e.replay(path)
		}
		e.result.Moves++
		if err := next.Do(move); err != nil {
			e.result.Err = err
			_, e.result.Trace = e.replay(append(e.path(at), move))
			e.result.States = len(e.seen)
			e.result.Complete = true
			return false
		}
		if !e.visit(at, move, next) {
			e.result.States = len(e.seen)
			return false
		}
	}
	e.nodes[at].system = nil
	return true
}

// visit keeps a state that is new. It returns false if there is no space for it.
func (e *explorer) visit(parent int32, move int, system System) bool {
	key := system.Key()
	if _, known := e.seen[key]; known {
		return true
	}
	if len(e.seen) >= e.bounds.States {
		return false
	}
	e.seen[key] = struct{}{}
	reached := node{parent: parent, move: int16(move), depth: e.nodes[parent].depth + 1}
	if e.clones {
		reached.system = system
	}
	e.nodes = append(e.nodes, reached)
	return true
}

// path returns the moves that lead to a state.
func (e *explorer) path(at int32) []int {
	var moves []int
	for e.nodes[at].parent >= 0 {
		moves = append(moves, int(e.nodes[at].move))
		at = e.nodes[at].parent
	}
	slices.Reverse(moves)
	return moves
}

// replay makes moves from the start, of which only the last may fail, and returns their names.
func (e *explorer) replay(moves []int) (System, []string) {
	system := e.start()
	var names []string
	for _, move := range moves {
		names = append(names, system.Moves()[move])
		_ = system.Do(move) // the caller knows how it ends
	}
	return system, names
}
