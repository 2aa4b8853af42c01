package discovery

import (
	"context"
	"time"
)

// A watch whose call is not answered this long after its wait does not hold up the watch of the next service.
const maxTurnDelay = 100 * time.Millisecond

// watchTurn lets one of two services, the present one and the one before, have a call of its watch out at a time.
type watchTurn struct {
	free chan struct{} // holds a value while no watch has the turn
}

func newWatchTurn() watchTurn {
	free := make(chan struct{}, 1)
	free <- struct{}{}
	return watchTurn{free: free}
}

// take waits for the turn, at most for a time. It reports whether the turn was taken.
func (t watchTurn) take(ctx context.Context, atMost <-chan time.Time) bool {
	select {
	case <-t.free:
		return true
	case <-atMost:
	case <-ctx.Done():
	}
	return false
}

// pass gives the turn to whoever has waited for it longest.
func (t watchTurn) pass() { t.free <- struct{}{} }

// turnOf is the part of one watch in the turn of both.
type turnOf struct {
	turn watchTurn
	has  bool
}

// await waits for the turn, and reports whether the watch has it: not if ctx has ended or the time is over.
func (t *turnOf) await(ctx context.Context, atMost <-chan time.Time) bool {
	if !t.has {
		t.has = t.turn.take(ctx, atMost)
	}
	return t.has
}

// pass gives the turn on, if the watch has it.
func (t *turnOf) pass() {
	if t.has {
		t.has = false
		t.turn.pass()
	}
}
