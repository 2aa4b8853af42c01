package membership

import (
	"testing"
	"time"
)

// newStarted returns a list named a that knows b, which is alive.
func newStarted(t *testing.T) *List {
	t.Helper()
	l := New(Config{Name: "a", Epoch: 5, Tags: Tags{Address: "a"}})
	l.Handle(0, Event{Kind: Start}, nil)
	b := Record{State: State{Name: "b", Epoch: 5, Incarnation: 1, Status: Alive}, Tags: &Tags{Address: "b"}}
	l.Handle(0, gossipFrom(b.State, b), nil)
	if got, known := l.Find("b"); !known || got.Status != Alive {
		t.Fatalf("%+v", got)
	}
	return l
}

func gossipFrom(sender State, updates ...Record) Event {
	return Event{Kind: MessageReceived, From: sender.Name, Message: &Message{Kind: Gossip, From: sender, Updates: updates}}
}

func TestRecordsOfTheMemberItself(t *testing.T) {
	for _, tc := range []struct {
		name            string
		joined          bool
		record          State
		wantEpoch       uint64
		wantIncarnation uint32
		wantDisplaced   bool
	}{
		{"suspicion is refuted", true, State{Epoch: 5, Incarnation: 3, Status: Suspect}, 5, 4, false},
		{"death is refuted", true, State{Epoch: 5, Incarnation: 0, Status: Dead}, 5, 1, false},
		{"own higher incarnation is passed", true, State{Epoch: 5, Incarnation: 7, Status: Alive}, 5, 8, false},
		{"forged incarnation begins an epoch", true, State{Epoch: 5, Incarnation: maxIncarnation - 1, Status: Suspect}, 6, 0, false},
		{"an earlier epoch is ignored", true, State{Epoch: 4, Incarnation: 9, Status: Suspect}, 5, 0, false},
		{"a later process displaces it", true, State{Epoch: 6, Status: Alive}, 5, 0, true},
		{"a later process that left does not", true, State{Epoch: 6, Status: Left}, 7, 0, false},
		{"before it joined a later epoch is passed", false, State{Epoch: 6, Status: Alive}, 7, 0, false},
		{"forgotten by an operator it begins an epoch", true, State{Epoch: 5, Status: Left}, 6, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newStarted(t)
			l.joined = tc.joined
			tc.record.Name = "a"
			l.Handle(time.Millisecond, gossipFrom(State{Name: "b", Epoch: 5, Incarnation: 1, Status: Alive}, Record{State: tc.record}), nil)
			self := l.Self()
			if self.Epoch != tc.wantEpoch || self.Incarnation != tc.wantIncarnation || l.Displaced() != tc.wantDisplaced {
				t.Errorf("epoch %d, incarnation %d, displaced %v", self.Epoch, self.Incarnation, l.Displaced())
			}
		})
	}
}

func TestRecordsThatCanNotBeTrueAreCounted(t *testing.T) {
	for name, r := range map[string]Record{
		"no name":            {State: State{Epoch: 1, Status: Alive}},
		"no status":          {State: State{Name: "c", Epoch: 1}},
		"unknown status":     {State: State{Name: "c", Epoch: 1, Status: Left + 1}},
		"tags of the future": {State: State{Name: "c", Epoch: 1, Status: Alive, TagsIncarnation: 1}},
		"forged incarnation": {State: State{Name: "c", Epoch: 1, Status: Alive, Incarnation: maxIncarnation}},
		"too many pools":     {State: State{Name: "c", Epoch: 1, Status: Alive}, Tags: &Tags{Pools: make([]string, MaxPools+1)}},
	} {
		t.Run(name, func(t *testing.T) {
			l := newStarted(t)
			l.Handle(0, gossipFrom(State{Name: "b", Epoch: 5, Incarnation: 1, Status: Alive}, r), nil)
			if _, known := l.Find("c"); known || l.Stats.InvalidRecords != 1 {
				t.Errorf("known %v, %d counted", known, l.Stats.InvalidRecords)
			}
		})
	}
}

// What a message says of its sender is checked as what it says of others: it neither displaces this member nor counts
// as a message of its sender.
func TestSendersThatCanNotBeTrueAreIgnored(t *testing.T) {
	self := State{Name: "a", Epoch: 9, Status: Alive}
	forged := self
	forged.Incarnation = maxIncarnation
	later := State{Name: "a", Epoch: 9, Status: Left + 1}
	noStatus := State{Name: "a", Epoch: 9}
	for name, tc := range map[string]struct {
		event EventKind
		from  State
		view  []Record // besides
	}{
		"unknown status":       {event: MessageReceived, from: later},
		"no status":            {event: MessageReceived, from: noStatus},
		"of another":           {event: MessageReceived, from: State{Name: "b", Epoch: 5, Status: Left + 1}},
		"forged incarnation":   {event: MessageReceived, from: forged},
		"in a view":            {event: SyncRequested, from: self, view: []Record{{State: later}}},
		"in a view, no status": {event: SyncRequested, from: self, view: []Record{{State: noStatus}}},
	} {
		t.Run(name, func(t *testing.T) {
			l := newStarted(t)
			l.joined = true
			before := l.members.byName["b"].lastHeard
			message := &Message{Kind: Ping, Target: "a", From: tc.from, Updates: tc.view}
			l.Handle(time.Millisecond, Event{Kind: tc.event, Message: message, From: "elsewhere"}, nil)
			if l.Displaced() || l.Self().Epoch != 5 || l.Self().Incarnation != 0 {
				t.Errorf("displaced %v, %+v", l.Displaced(), l.Self())
			}
			if l.members.byName["b"].lastHeard != before {
				t.Error("it counts as heard from")
			}
			if l.Stats.InvalidRecords != 1 {
				t.Errorf("%d counted", l.Stats.InvalidRecords)
			}
		})
	}
}

// The reason of a change follows from the record, for the log.
func TestReasonsOfChanges(t *testing.T) {
	for name, tc := range map[string]struct {
		record Record
		want   string
	}{
		"suspected": {Record{State: State{Name: "b", Epoch: 5, Incarnation: 1, Status: Suspect}, ReportedBy: "c"}, "no answer to c"},
		"dead":      {Record{State: State{Name: "b", Epoch: 5, Incarnation: 1, Status: Dead}, ReportedBy: "c"}, "did not refute, declared by c"},
		"left":      {Record{State: State{Name: "b", Epoch: 5, Incarnation: 2, Status: Left}}, reasonLeft},
		"restarted": {Record{State: State{Name: "b", Epoch: 6, Status: Alive}, Tags: &Tags{Address: "b"}}, ReasonRestarted},
		"new":       {Record{State: State{Name: "c", Epoch: 1, Status: Alive}, Tags: &Tags{Address: "c"}}, reasonDiscovered},
	} {
		t.Run(name, func(t *testing.T) {
			l := newStarted(t)
			sender := State{Name: "x", Epoch: 1, Status: Alive}
			for _, action := range l.Handle(0, gossipFrom(sender, tc.record), nil) {
				if action.Kind == MemberChanged && action.Reason != tc.want {
					t.Errorf("%q, want %q", action.Reason, tc.want)
				} else if action.Kind == MemberChanged {
					return
				}
			}
			t.Error("no change")
		})
	}
}
