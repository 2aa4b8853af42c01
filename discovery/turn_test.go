package discovery

import (
	"context"
	"testing"
	"time"
)

// What was seen: the watch of a new service began 2.1 s late, and that of the old one ended before it stood. How it came
// about: the old one passed the turn before the goroutine of the new watch had begun to wait for it, and took it right
// back for a call of 2 s. Cause: being in line began with that goroutine, and not with the order to watch. What proved it:
// the time of 2.1 s after which a watch that waits ends the one before; the test that moves failed so on a busy machine.
func TestTheTurnIsGivenToWhoAskedFirst(t *testing.T) {
	turn := new(watchTurn)
	first := &turnOf{turn: turn}
	second := &turnOf{turn: turn}
	soon := func() <-chan time.Time { return time.After(20 * time.Millisecond) }
	ctx := context.Background()
	if !first.await(ctx, nil) {
		t.Fatal("nobody has the turn, and it is not given")
	}
	second.ask()
	first.pass()
	if first.await(ctx, soon()) {
		t.Error("who has passed the turn has it again before who waits")
	}
	if !second.await(ctx, soon()) {
		t.Error("who waits has not been given the turn")
	}
	second.pass()
	if !first.await(ctx, soon()) {
		t.Error("it does not go back")
	}

	// Whoever leaves the line, before or after being given the turn, keeps nobody from it.
	second.ask()
	second.pass()
	third := &turnOf{turn: turn}
	third.ask()
	first.pass()
	third.pass() // it was given the turn, and did not come to know
	if !second.await(ctx, soon()) {
		t.Error("the turn is lost with who has left")
	}
}
