package discovery

import (
	"context"
	"time"
)

// maxTurnDelay is how long after its wait a call of the replaced service may delay the watch of the new one.
const maxTurnDelay = 100 * time.Millisecond

// watchTurn is a lock shared by the watches of the current and the previous service: only its holder may have a call
// in flight.
type watchTurn struct {
	free chan struct{} // holds a value while no watch has the turn
}

func newWatchTurn() watchTurn {
	free := make(chan struct{}, 1)
	free <- struct{}{}
	return watchTurn{free: free}
}

// take waits for the turn until atMost fires or ctx ends. It reports whether the turn was taken.
func (t watchTurn) take(ctx context.Context, atMost <-chan time.Time) bool {
	select {
	case <-t.free:
		return true
	case <-atMost:
	case <-ctx.Done():
	}
	return false
}

// pass releases the turn. The watch that has waited longest gets it.
func (t watchTurn) pass() { t.free <- struct{}{} }

// turnHolder is one watch's handle of the turn.
type turnHolder struct {
	turn watchTurn
	has  bool
}

// await waits for the turn unless the watch has it. It returns false if ctx ends or atMost fires first.
func (t *turnHolder) await(ctx context.Context, atMost <-chan time.Time) bool {
	if !t.has {
		t.has = t.turn.take(ctx, atMost)
	}
	return t.has
}

// pass releases the turn if the watch has it.
func (t *turnHolder) pass() {
	if t.has {
		t.has = false
		t.turn.pass()
	}
}
