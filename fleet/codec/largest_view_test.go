package codec

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"ryerill/fleet/membership"
)

// joiningMember is a member that joins through another member, in virtual time.
type joiningMember struct {
	*membership.List
	other *membership.List
	now   time.Duration
	send  func(*membership.Message) (*membership.Message, error) // encodes and decodes, within MaxSyncMessage
}

// begin advances time until the member starts a synchronization, and returns that action.
func (j *joiningMember) begin() (membership.Action, error) {
	ping := &membership.Message{Kind: membership.Ping, From: j.other.Self().State, Digest: j.other.Digest()}
	events := []membership.Event{{Kind: membership.MessageReceived, Message: ping}, {Kind: membership.Tick}}
	if j.now == 0 {
		events = []membership.Event{{Kind: membership.Start}}
	}
	for range 400 {
		for _, event := range events {
			for _, action := range j.Handle(j.now, event, nil) {
				if action.Kind == membership.StartSync {
					j.now += time.Millisecond
					return action, nil
				}
				j.acknowledge(&action)
			}
		}
		j.now += 50 * time.Millisecond
	}
	return membership.Action{}, errors.New("no synchronization started within 400 ticks")
}

// acknowledge answers pings of the member, so that it suspects no other member.
func (j *joiningMember) acknowledge(action *membership.Action) {
	if action.Kind != membership.Send || action.Message.Kind != membership.Ping {
		return
	}
	target, _ := j.Find(action.Message.Target)
	ack := &membership.Message{
		Kind: membership.Ack, Seq: action.Message.Seq, Digest: j.Digest(),
		From: target.State, Target: action.Message.From.Name,
	}
	j.Handle(j.now, membership.Event{Kind: membership.MessageReceived, Message: ack}, nil)
}

// exchange runs one synchronization of the member.
func (j *joiningMember) exchange() error {
	begun, err := j.begin()
	if err != nil {
		return err
	}
	message := begun.Message
	for _, step := range []struct {
		at   *membership.List
		kind membership.EventKind
	}{{j.other, membership.SyncRequested}, {j.List, membership.SyncAnswered}, {j.other, membership.SyncFinished}} {
		received, err := j.send(message)
		if err != nil {
			return err
		}
		event := membership.Event{Kind: step.kind, Message: received, Exchange: begun.Exchange}
		for _, action := range step.at.Handle(j.now, event, nil) {
			if action.Kind == membership.Reply {
				message = action.Message
			}
		}
	}
	return nil
}

// A member that joins the largest fleet receives the whole view, however long the tags are. Records that exceed one
// message follow in the next synchronizations.
func TestMemberJoinsLargestFleet(t *testing.T) {
	long := strings.Repeat("x", membership.MaxName)
	for name, tc := range map[string]struct {
		tags      membership.Tags
		exchanges int // maximum needed
	}{
		"usual tags": {membership.Tags{
			Address: "10.20.30.40:7946", Zone: "zone-a", Pools: []string{"main", "orders"},
			ProgramVersion: "v1.2.3-0-gabcdef012345", SettingsHash: "0123456789abcdef", Phase: membership.Serving,
		}, 1},
		"the longest tags": {membership.Tags{
			Address: long, Zone: long, Pools: []string{long, long, long, long}, ProgramVersion: long, SettingsHash: long,
			Phase: membership.Serving,
		}, 6},
	} {
		t.Run(name, func(t *testing.T) {
			const members = 8190 // in addition to the joining member and the one it contacts
			var records []membership.Record
			for i := range members {
				records = append(records, membership.Record{
					State: membership.State{Name: fmt.Sprintf("replica-%04d", i), Epoch: 1 << 62, Status: membership.Alive},
					Tags:  &tc.tags,
				})
			}
			other := membership.New(membership.Config{Name: "one-of-them", Tags: tc.tags})
			other.Handle(0, membership.Event{Kind: membership.Restore, Records: records}, nil)
			joiner := &joiningMember{other: other}
			joiner.List = membership.New(membership.Config{Name: "joiner", Tags: tc.tags, Seeds: []string{"seed"}})
			writer, reader := newCodec(t, "f", key1), newCodec(t, "f", key1)
			joiner.send = func(message *membership.Message) (*membership.Message, error) {
				frame, err := writer.Encode(message)
				if err != nil {
					return nil, err
				}
				return reader.Decode(frame, MaxSyncMessage)
			}
			for round := 1; joiner.Digest() != other.Digest(); round++ {
				if err := joiner.exchange(); err != nil {
					t.Fatalf("exchange %d, with %d known members: got error %v", round, len(joiner.Members()), err)
				}
				if round > tc.exchanges {
					t.Fatalf("got %d of %d members known after %d exchanges", len(joiner.Members()), members+2, round)
				}
			}
		})
	}
}
