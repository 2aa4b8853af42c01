// Package modelcheck visits every state of a pure state machine within bounds, in the order of the moves that lead
// there, and so finds a shortest way to what must not be. What is explored is the real code: a System wraps it, names
// the moves that its environment may make next, and distinguishes states.
package modelcheck

import (
	"fmt"
	"strings"
)

// System is a state machine with its environment, in one state.
type System interface {
	// Moves names what may happen next, always in the same order for the same state.
	Moves() []string
	// Do makes the move of an index. An error is something that must not be.
	Do(move int) error
	// Key is equal for states that are the same for all that may follow.
	Key() string
}

// Cloner is a System that can be copied. The moves to a state of one that can't are made again from its start.
type Cloner interface{ Clone() System }

// Bounds end an exploration.
type Bounds struct {
	Depth  int // moves from the start
	States int // that are kept
}

// Result is what an exploration found.
type Result struct {
	States   int
	Moves    int
	Depth    int
	Complete bool     // all states within the depth were visited
	Trace    []string // the moves that lead to Err
	Err      error
}

// String describes a result; a counterexample is listed move by move.
func (r Result) String() string {
	extent := "all"
	if !r.Complete {
		extent = "the first"
	}
	text := fmt.Sprintf("%s %d states within %d moves, %d moves made", extent, r.States, r.Depth, r.Moves)
	if r.Err == nil {
		return text
	}
	return fmt.Sprintf("%v\nafter:\n  %s\n(%s)", r.Err, strings.Join(r.Trace, "\n  "), text)
}
