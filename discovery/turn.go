package discovery

import (
	"context"
	"slices"
	"sync"
	"time"
)

// A watch whose call is not answered this long after its wait does not hold up the watch of the next service.
const maxTurnDelay = 100 * time.Millisecond

// watchTurn lets one of two services, the present one and the one before, have a call of its watch out at a time. It is
// given in the order in which it was asked for.
type watchTurn struct {
	mu    sync.Mutex // guards what follows
	taken bool
	line  []chan struct{} // of those that wait, each closed once the turn is its own
}

// enter gets in line. What it returns is closed once the turn has come.
func (t *watchTurn) enter() (granted chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	granted = make(chan struct{})
	if t.taken {
		t.line = append(t.line, granted)
	} else {
		t.taken = true
		close(granted)
	}
	return granted
}

// leave ends a wait. If the turn has come meanwhile it is given on.
func (t *watchTurn) leave(granted chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.Index(t.line, granted); i >= 0 {
		t.line = slices.Delete(t.line, i, i+1)
		return
	}
	t.giveOnLocked()
}

// giveOn gives the turn to whoever has waited for it longest.
func (t *watchTurn) giveOn() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.giveOnLocked()
}

func (t *watchTurn) giveOnLocked() {
	if len(t.line) == 0 {
		t.taken = false
		return
	}
	close(t.line[0])
	t.line = t.line[1:]
}

// turnOf is the part of one watch in the turn of both. One goroutine at a time uses it.
type turnOf struct {
	turn    *watchTurn
	has     bool
	granted chan struct{} // nil unless it is in line
}

// ask gets in line, unless the watch has the turn or is in line. It returns at once.
func (t *turnOf) ask() {
	if !t.has && t.granted == nil {
		t.granted = t.turn.enter()
	}
}

// await waits for the turn, and reports whether the watch has it: not if ctx has ended or the time is over. It stays in
// line then.
func (t *turnOf) await(ctx context.Context, atMost <-chan time.Time) bool {
	t.ask()
	if t.has {
		return true
	}
	select {
	case <-t.granted:
		t.has = true
		t.granted = nil
	case <-atMost:
	case <-ctx.Done():
	}
	return t.has
}

// pass gives the turn on, or leaves the line.
func (t *turnOf) pass() {
	switch {
	case t.has:
		t.has = false
		t.turn.giveOn()
	case t.granted != nil:
		t.turn.leave(t.granted)
		t.granted = nil
	}
}
