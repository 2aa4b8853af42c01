package rollout

import (
	"testing"
	"time"
)

// A vote is valid for its whole period, even across a restart, and is not given to a lower token. Orders are accepted
// only from the leader that has the vote.
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
		t.Error("got a vote right after a restart, want none")
	}
	if requestVote(r, after, "a", 2) || !requestVote(r, after, "a", 4) || requestVote(r, after+time.Second, "b", 5) || !requestVote(r, after+time.Second, "a", 4) {
		t.Error("want votes for higher tokens only, for one candidate at a time, and renewed votes")
	}
	if giveOrder(r, after+time.Second, "b", 9) || giveOrder(r, after+time.Second, "a", 3) || !giveOrder(r, after+time.Second, "a", 4) || giveOrder(r, after+time.Second, "a", 4) {
		t.Error("want orders accepted once, only from the leader with the vote, and not with a lower token")
	}
	late := 2*after + 2*time.Second
	if r.application.latest = (order{}); giveOrder(r, late, "a", 4) {
		t.Error("got an order accepted after the vote expired, want none")
	}
	if !requestVote(r, late, "b", 5) || requestVote(r, late, "a", 4) {
		t.Error("want the vote for the next candidate, and none for the previous one")
	}
	older, newer := r.State(), r.State()
	older.Version, older.Phase = 4, Paused
	newer.FencingToken, newer.Phase = 6, Aborted
	r.Handle(late, Message{Kind: StateUpdate, From: "a", FencingToken: older.FencingToken, State: &older}, nil)
	if r.State().Phase != Changing {
		t.Error("got an older state adopted, want it ignored")
	}
	r.Handle(late, Message{Kind: StateUpdate, From: "b", FencingToken: 6, State: &newer}, nil)
	if r.State().Phase != Aborted || requestVote(r, late, "b", 5) {
		t.Error("want a newer state adopted, and no vote for a token below its own")
	}
}
