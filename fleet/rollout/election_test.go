package rollout

import (
	"testing"
	"time"
)

// A vote holds for its time, over a restart too, goes to no lower token, and orders are accepted only from the leader
// that has it.
func TestVotesAndOrders(t *testing.T) {
	voter := func() *Participant {
		r, p := New("v", 0), Plan{ID: "p", Kind: Settings, Target: target}
		p.Complete()
		r.Restore(State{Plan: p, FencingToken: 3, Version: 5, Phase: Changing})
		return r
	}
	requestVote := func(r *Participant, now time.Duration, from string, token uint64) bool {
		for _, a := range r.Handle(now, Message{Kind: VoteRequest, From: from, FencingToken: token, Seq: 1}, nil) {
			if a.Message.Kind == VoteGranted && a.Message.FencingToken == token && a.Message.Seq == 1 {
				return true
			}
		}
		return false
	}
	giveOrder := func(r *Participant, now time.Duration, from string, token uint64) bool {
		return len(r.Handle(now, Message{Kind: ChangeOrder, From: from, FencingToken: token, Plan: "p", Target: target}, nil)) > 0
	}
	after := withMaxDrift(Lease) + 1
	r := voter()
	if requestVote(r, Lease, "a", 9) {
		t.Error("it votes although it may have voted before its restart")
	}
	if requestVote(r, after, "a", 2) || !requestVote(r, after, "a", 4) || requestVote(r, after+time.Second, "b", 5) || !requestVote(r, after+time.Second, "a", 4) {
		t.Error("votes for a lower token, not for a higher, for two at once, or not again")
	}
	if giveOrder(r, after+time.Second, "b", 9) || giveOrder(r, after+time.Second, "a", 3) || !giveOrder(r, after+time.Second, "a", 4) || giveOrder(r, after+time.Second, "a", 4) {
		t.Error("accepts orders without a vote, with a lower token, not from the leader, or one twice")
	}
	late := 2*after + 2*time.Second
	if r.application.latest = (order{}); giveOrder(r, late, "a", 4) {
		t.Error("accepts an order when the vote has ended")
	}
	if !requestVote(r, late, "b", 5) || requestVote(r, late, "a", 4) {
		t.Error("the next candidate does not get the vote, or the previous one does")
	}
	older, newer := r.State(), r.State()
	older.Version, older.Phase = 4, Paused
	newer.FencingToken, newer.Phase = 6, Aborted
	r.Handle(late, Message{Kind: StateUpdate, From: "a", FencingToken: older.FencingToken, State: &older}, nil)
	if r.State().Phase != Changing {
		t.Error("an older state supersedes")
	}
	r.Handle(late, Message{Kind: StateUpdate, From: "b", FencingToken: 6, State: &newer}, nil)
	if r.State().Phase != Aborted || requestVote(r, late, "b", 5) {
		t.Error("a newer state does not supersede, or a lower token than its gets a vote")
	}
}
