package membership

import (
	"testing"
	"time"
)

// newStartedList returns a started list of the member a, which knows b as alive.
func newStartedList(t *testing.T) *List {
	t.Helper()
	l := New(Config{Name: "a", Epoch: 5, Tags: Tags{Address: "a"}})
	l.Handle(0, Event{Kind: Start}, nil)
	b := Record{State: State{Name: "b", Epoch: 5, Incarnation: 1, Status: Alive}, Tags: &Tags{Address: "b"}}
	l.Handle(0, gossipFrom(b.State, b), nil)
	if got, known := l.Find("b"); !known || got.Status != Alive {
		t.Fatalf("got record %+v of b, want it alive", got)
	}
	return l
}

func gossipFrom(sender State, updates ...Record) Event {
	return Event{Kind: MessageReceived, From: sender.Name, Message: &Message{Kind: Gossip, From: sender, Updates: updates}}
}

func TestLearnAboutSelf(t *testing.T) {
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
		{"higher incarnation of its own is exceeded", true, State{Epoch: 5, Incarnation: 7, Status: Alive}, 5, 8, false},
		{"forged incarnation starts an epoch", true, State{Epoch: 5, Incarnation: maxIncarnation - 1, Status: Suspect}, 6, 0, false},
		{"earlier epoch is ignored", true, State{Epoch: 4, Incarnation: 9, Status: Suspect}, 5, 0, false},
		{"later process displaces it", true, State{Epoch: 6, Status: Alive}, 5, 0, true},
		{"later process that left does not displace it", true, State{Epoch: 6, Status: Left}, 7, 0, false},
		{"later epoch is exceeded before joining", false, State{Epoch: 6, Status: Alive}, 7, 0, false},
		{"forgotten member starts an epoch", true, State{Epoch: 5, Status: Left}, 6, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newStartedList(t)
			l.joined = tc.joined
			tc.record.Name = "a"
			l.Handle(time.Millisecond, gossipFrom(State{Name: "b", Epoch: 5, Incarnation: 1, Status: Alive}, Record{State: tc.record}), nil)
			self := l.Self()
			if self.Epoch != tc.wantEpoch || self.Incarnation != tc.wantIncarnation || l.Displaced() != tc.wantDisplaced {
				t.Errorf("got epoch %d, incarnation %d, displaced %v; not as the test case wants", self.Epoch, self.Incarnation, l.Displaced())
			}
		})
	}
}

func TestInvalidRecordsAreCounted(t *testing.T) {
	for name, r := range map[string]Record{
		"no name":                {State: State{Epoch: 1, Status: Alive}},
		"no status":              {State: State{Name: "c", Epoch: 1}},
		"unknown status":         {State: State{Name: "c", Epoch: 1, Status: Left + 1}},
		"tags newer than record": {State: State{Name: "c", Epoch: 1, Status: Alive, TagsIncarnation: 1}},
		"forged incarnation":     {State: State{Name: "c", Epoch: 1, Status: Alive, Incarnation: maxIncarnation}},
		"too many pools":         {State: State{Name: "c", Epoch: 1, Status: Alive}, Tags: &Tags{Pools: make([]string, MaxPools+1)}},
	} {
		t.Run(name, func(t *testing.T) {
			l := newStartedList(t)
			l.Handle(0, gossipFrom(State{Name: "b", Epoch: 5, Incarnation: 1, Status: Alive}, r), nil)
			if _, known := l.Find("c"); known || l.Stats.InvalidRecords != 1 {
				t.Errorf("got known %v and %d invalid records, want false and 1", known, l.Stats.InvalidRecords)
			}
		})
	}
}

// A message whose sender state is invalid neither displaces this member nor counts as a message from its sender.
func TestInvalidSendersAreIgnored(t *testing.T) {
	self := State{Name: "a", Epoch: 9, Status: Alive}
	forged := self
	forged.Incarnation = maxIncarnation
	later := State{Name: "a", Epoch: 9, Status: Left + 1}
	noStatus := State{Name: "a", Epoch: 9}
	for name, tc := range map[string]struct {
		event EventKind
		from  State
		view  []Record
	}{
		"unknown status":       {event: MessageReceived, from: later},
		"no status":            {event: MessageReceived, from: noStatus},
		"another member":       {event: MessageReceived, from: State{Name: "b", Epoch: 5, Status: Left + 1}},
		"forged incarnation":   {event: MessageReceived, from: forged},
		"in a view":            {event: SyncRequested, from: self, view: []Record{{State: later}}},
		"in a view, no status": {event: SyncRequested, from: self, view: []Record{{State: noStatus}}},
	} {
		t.Run(name, func(t *testing.T) {
			l := newStartedList(t)
			l.joined = true
			before := l.members.byName["b"].lastHeard
			message := &Message{Kind: Ping, Target: "a", From: tc.from, Updates: tc.view}
			l.Handle(time.Millisecond, Event{Kind: tc.event, Message: message, From: "elsewhere"}, nil)
			if l.Displaced() || l.Self().Epoch != 5 || l.Self().Incarnation != 0 {
				t.Errorf("got displaced %v and own record %+v, want false, epoch 5 and incarnation 0", l.Displaced(), l.Self())
			}
			if l.members.byName["b"].lastHeard != before {
				t.Error("lastHeard of b changed")
			}
			if l.Stats.InvalidRecords != 1 {
				t.Errorf("got %d invalid records, want 1", l.Stats.InvalidRecords)
			}
		})
	}
}

// Logs show the reason of a change, which is derived from the record.
func TestChangeReasons(t *testing.T) {
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
			l := newStartedList(t)
			sender := State{Name: "x", Epoch: 1, Status: Alive}
			for _, action := range l.Handle(0, gossipFrom(sender, tc.record), nil) {
				if action.Kind == MemberChanged && action.Reason != tc.want {
					t.Errorf("got reason %q, want %q", action.Reason, tc.want)
				} else if action.Kind == MemberChanged {
					return
				}
			}
			t.Error("got no MemberChanged action")
		})
	}
}
