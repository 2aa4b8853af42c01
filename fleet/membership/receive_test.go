package membership

import (
	"testing"
	"time"
)

// A replaced process learns of its replacement. Answers are rare and small, so that replayed frames of it can't be
// used to amplify traffic.
func TestAnswersToReplacedProcessAreLimited(t *testing.T) {
	l := newStartedList(t)
	for _, name := range []string{"c", "d", "e"} { // updates that a message could carry
		news := Record{State: State{Name: name, Epoch: 1, Status: Alive}, Tags: &Tags{Address: name}}
		l.Handle(0, gossipFrom(State{Name: "b", Epoch: 5, Incarnation: 1, Status: Alive}, news), nil)
	}
	replaced := gossipFrom(State{Name: "b", Epoch: 4, Status: Alive})
	replaced.From = "elsewhere"
	answers := 0
	const span = 3 * time.Second
	for now := time.Duration(0); now < span; now += 10 * time.Millisecond {
		for _, action := range l.Handle(now, replaced, nil) {
			if action.Kind != Send || action.Address != "elsewhere" {
				continue
			}
			answers++
			updates := action.Message.Updates
			if len(updates) != 1 || updates[0].Name != "b" || updates[0].Epoch != 5 || updates[0].Tags != nil {
				t.Fatalf("got answer with %+v, want only the record of b, epoch 5, without tags", updates)
			}
		}
	}
	if want := int(span / conflictAnswerInterval); answers != want {
		t.Errorf("got %d answers in %v, want %d", answers, span, want)
	}
}
