package proxy

import (
	"log/slog"
	"testing"
	"time"

	"ryerill/balancer"
)

// Events that arise while the queue is processed are handled in order by the caller that is
// processing it.
func TestEventsAreHandledInOrder(t *testing.T) {
	loop := decisionLoop{log: slog.New(slog.DiscardHandler), clock: clock{time.Now()}, balancer: balancer.New(balancer.Config{}, 1)}
	if !loop.push(balancer.Event{Kind: balancer.TimerFired, Token: 1}) {
		t.Fatal("first push returned false, want the caller to process the queue")
	}
	var handled []uint32
	for loop.decideNext() {
		token := loop.queue[loop.next-1].Token
		handled = append(handled, token)
		if token < 3 && loop.push(balancer.Event{Kind: balancer.TimerFired, Token: token + 1}) {
			t.Error("nested push returned true, want only the first caller to process the queue")
		}
	}
	if len(handled) != 3 || handled[0] != 1 || handled[1] != 2 || handled[2] != 3 {
		t.Errorf("got tokens %v handled, want [1 2 3]", handled)
	}
	if len(loop.queue) != 0 || !loop.push(balancer.Event{Kind: balancer.TimerFired}) {
		t.Errorf("after the last event: got %d queued, running %v; want an empty queue and a successful push", len(loop.queue), loop.running)
	}
}

// A timer that was stopped or has fired does not fire again.
func TestTimersFireOnceUnlessStopped(t *testing.T) {
	set := timerSet{pending: map[*time.Timer]struct{}{}}
	one, two := time.NewTimer(time.Hour), time.NewTimer(time.Hour)
	set.pending[one] = struct{}{}
	set.pending[two] = struct{}{}
	if !set.fired(one) || set.fired(one) {
		t.Error("timer did not fire exactly once")
	}
	set.stop()
	if set.fired(two) || !set.stopped || two.Stop() {
		t.Error("stopped timer fired")
	}
}
