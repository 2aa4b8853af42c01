package proxy

import (
	"log/slog"
	"testing"
	"time"

	"ryerill/balancer"
)

// Events that arise while the queue is worked off are decided after those before them, by the
// caller that began.
func TestEventsAreHandledInOrder(t *testing.T) {
	loop := decisionLoop{log: slog.New(slog.DiscardHandler), clock: clock{time.Now()}, balancer: balancer.New(balancer.Config{}, 1)}
	if !loop.push(balancer.Event{Kind: balancer.TimerFired, Token: 1}) {
		t.Fatal("the first caller is not to work the queue off")
	}
	var decided []uint32
	for loop.decideNext() {
		token := loop.queue[loop.next-1].Token
		decided = append(decided, token)
		if token < 3 && loop.push(balancer.Event{Kind: balancer.TimerFired, Token: token + 1}) {
			t.Error("a caller further down is to work the queue off as well")
		}
	}
	if len(decided) != 3 || decided[0] != 1 || decided[1] != 2 || decided[2] != 3 {
		t.Errorf("decided %v", decided)
	}
	if len(loop.queue) != 0 || !loop.push(balancer.Event{Kind: balancer.TimerFired}) {
		t.Errorf("afterwards: %d queued, running %v", len(loop.queue), loop.running)
	}
}

// A timer that was stopped, or has fired, does not fire.
func TestTimersFireOnceUnlessStopped(t *testing.T) {
	set := timerSet{pending: map[*time.Timer]struct{}{}}
	one, two := time.NewTimer(time.Hour), time.NewTimer(time.Hour)
	set.pending[one] = struct{}{}
	set.pending[two] = struct{}{}
	if !set.fired(one) || set.fired(one) {
		t.Error("a timer fires once")
	}
	set.stop()
	if set.fired(two) || !set.stopped || two.Stop() {
		t.Error("a timer that was stopped fires")
	}
}
