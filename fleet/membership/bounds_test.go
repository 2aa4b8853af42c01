package membership

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// A full table drops new members, and counts and reports them. Known members are still updated.
func TestFullTableDropsNewMembers(t *testing.T) {
	const most = 8
	l := New(Config{Name: "a", MaxMembers: most, Tags: Tags{Address: "a"}})
	l.Handle(0, Event{Kind: Start}, nil)
	recordOf := func(i int, epoch uint64) Record {
		return Record{State: State{Name: fmt.Sprint("m", i), Epoch: epoch, Status: Alive}, Tags: &Tags{Address: "x"}}
	}
	sender := State{Name: "m0", Epoch: 1, Status: Alive}
	reported := 0
	for i := range most + 3 {
		for _, action := range l.Handle(0, gossipFrom(sender, recordOf(i, 1)), nil) {
			if action.Kind == TableFull {
				reported++
			}
		}
	}
	if n := len(l.Members()); n != most+1 || l.Stats.TableFull != 3 || reported != 3 {
		t.Errorf("got %d members including the local one, %d drops counted, %d reported; want 9, 3, 3", n, l.Stats.TableFull, reported)
	}
	l.Handle(0, gossipFrom(sender, recordOf(1, 2)), nil)
	if r, _ := l.Find("m1"); r.Epoch != 2 {
		t.Errorf("restart of a known member: got record %+v, want epoch 2", r)
	}
}

// A full queue drops the update that was sent most often, never the newest.
func TestFullQueueDropsMostSentUpdate(t *testing.T) {
	var q updateQueue
	for i := range maxQueuedUpdates {
		q.push(update(fmt.Sprint("m", i), Alive))
	}
	for i := range q.entries {
		q.entries[i].transmits = 1
	}
	q.entries[len(q.entries)-1].transmits = 2
	mostSent := q.entries[len(q.entries)-1].Name
	q.push(update("latest", Dead))
	if len(q.entries) != maxQueuedUpdates || q.entries[0].Name != "latest" {
		t.Errorf("got %d updates starting with %s, want maxQueuedUpdates starting with latest", len(q.entries), q.entries[0].Name)
	}
	for _, u := range q.entries {
		if u.Name == mostSent {
			t.Errorf("update of %s, which was sent most often, is still queued", mostSent)
		}
	}
}

// The number of relayed probes is bounded, and they expire.
func TestRelaysAreBoundedAndExpire(t *testing.T) {
	l := newStartedList(t)
	requester := State{Name: "b", Epoch: 5, Incarnation: 1, Status: Alive}
	for seq := range uint32(2 * maxRelays) {
		request := &Message{Kind: PingReq, Seq: seq, From: requester, Target: "b"}
		l.Handle(0, Event{Kind: MessageReceived, Message: request, From: "b"}, nil)
	}
	if n := len(l.relays); n != maxRelays {
		t.Errorf("got %d relays, want %d", n, maxRelays)
	}
	for now := time.Duration(0); now < 5*time.Second; now += 50 * time.Millisecond {
		l.Handle(now, Event{Kind: Tick}, nil)
	}
	if n := len(l.relays); n != 0 {
		t.Errorf("got %d relays after 5 s, want 0", n)
	}
}

// The queue of disputed deaths is bounded; a later synchronization raises the dropped disputes again.
func TestDisputedDeathsAreBounded(t *testing.T) {
	l := New(Config{Name: "a", Tags: Tags{Address: "a"}})
	l.Handle(0, Event{Kind: Start}, nil)
	var alive, dead []Record
	for i := range 2 * maxDisputes {
		record := update(fmt.Sprint("m", i), Alive)
		record.Tags = &Tags{Address: "x"}
		alive = append(alive, record)
		record.Status = Dead
		dead = append(dead, record.withoutTags())
	}
	l.Handle(0, gossipFrom(alive[0].State, alive...), nil)
	view := &Message{Kind: SyncRequest, From: alive[0].State, Updates: dead}
	l.Handle(0, Event{Kind: SyncRequested, Message: view}, nil)
	if waiting := len(l.gossiper.disputes); waiting > maxDisputes || waiting < maxDisputes-disputesPerGossip {
		t.Errorf("got %d queued disputes, want at most %d and at most disputesPerGossip fewer", waiting, maxDisputes)
	}
	if _, _, dead := l.Count(); dead != 0 {
		t.Errorf("got %d dead members on the word of another, want 0", dead)
	}
}

// A member truncates its own tags that exceed the bounds, since other members would reject its record.
func TestBoundTruncatesTags(t *testing.T) {
	long := strings.Repeat("x", MaxName+1)
	for name, tags := range map[string]Tags{
		"an address":     {Address: long},
		"a zone":         {Zone: long},
		"a version":      {ProgramVersion: long},
		"settings":       {SettingsHash: long},
		"unknown tags":   {Unknown: strings.Repeat("x", MaxUnknown+1)},
		"too many pools": {Pools: make([]string, MaxPools+1)},
		"long pools":     {Pools: []string{strings.Repeat("x", MaxPoolBytes), "y"}},
	} {
		t.Run(name, func(t *testing.T) {
			if tags.valid() {
				t.Error("tags beyond the bounds are valid, want invalid")
			}
			if cut := tags.Bound(); !cut || !tags.valid() {
				t.Errorf("Bound: got cut %v and tags %+v, want true and valid tags", cut, tags)
			}
			if tags.Bound() {
				t.Error("second Bound: got cut true, want false")
			}
		})
	}
}

// Each refuted suspicion doubles the time until the next local suspicion, up to a bound.
func TestRefutedSuspicionsBackOff(t *testing.T) {
	var m member
	for i, want := range []time.Duration{1, 2, 4, 8, 16, 32, 32, 32} {
		m.recordFalseSuspicion(time.Minute)
		if got := m.localSuspicionBlockedUntil - time.Minute; got != want*time.Second {
			t.Errorf("after refutation %d: got backoff %v, want %v", i+1, got, want*time.Second)
		}
	}
	m.startEpoch()
	if m.localSuspicionBlockedUntil != 0 || m.falseSuspicions != 0 {
		t.Error("after a restart: backoff or false suspicions remain, want both reset")
	}
}

// The reason of a death names the members that suspected the dead one, in order.
func TestDeathReasonNamesReporters(t *testing.T) {
	l := newStartedList(t)
	for _, name := range []string{"c", "d", "e"} {
		known := Record{State: State{Name: name, Epoch: 1, Status: Alive}, Tags: &Tags{Address: name}}
		l.Handle(0, gossipFrom(State{Name: "c", Epoch: 1, Status: Alive}, known), nil)
	}
	suspected := State{Name: "b", Epoch: 5, Incarnation: 1, Status: Suspect}
	for _, reporter := range []string{"d", "e", "c"} {
		report := Record{State: suspected, ReportedBy: reporter}
		l.Handle(0, gossipFrom(State{Name: reporter, Epoch: 1, Status: Alive}, report), nil)
	}
	for now := time.Duration(0); now < 10*time.Second; now += 20 * time.Millisecond {
		for _, action := range l.Handle(now, Event{Kind: Tick}, nil) {
			if action.Kind == MemberChanged && action.Record.Name == "b" && action.Record.Status == Dead {
				if want := "suspected by d, e, c, did not refute"; action.Reason != want {
					t.Errorf("got reason %q, want %q", action.Reason, want)
				}
				return
			}
		}
	}
	t.Error("b was not declared dead within 10 s")
}
