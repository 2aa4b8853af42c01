package fleet

import (
	"bytes"
	"fmt"
	"testing"

	"ryerill/fleet/codec"
	"ryerill/fleet/membership"
)

// floodedTransport is one that frames of members and forged ones arrive at.
type floodedTransport struct {
	*transport
	t      *testing.T
	sender *transport
	forged []byte // has the head of a frame of this fleet, and a code that does not fit
}

func newFloodedTransport(t *testing.T) *floodedTransport {
	t.Helper()
	f := &floodedTransport{transport: newTestTransport(t, nil), t: t, sender: newTestTransport(t, nil)}
	f.forged = bytes.Clone(frameOf(t, testMessage(membership.Gossip)))
	f.forged[len(f.forged)-1] ^= 1
	return f
}

// receive reports whether a member's frame from an address is received.
func (f *floodedTransport) receive(from string) bool {
	f.t.Helper()
	frame, err := f.sender.encode(testMessage(membership.Gossip))
	if err != nil {
		f.t.Fatal(err)
	}
	return f.decodeDatagram(frame, from) != nil
}

// While far more forged frames with the head of this fleet arrive than are decoded, all frames of members do too.
func TestMembersFramesArriveUnderAFlood(t *testing.T) {
	const floodFactor, frames = 200, 200
	const member, other = "192.0.2.1:7000", "192.0.2.2:7000"
	for name, source := range map[string]func(i int) string{
		"from one host":                 func(int) string { return "203.0.113.9:4000" },
		"from all ports of one host":    func(i int) string { return fmt.Sprint("203.0.113.9:", i) },
		"from the member's host":        func(int) string { return "192.0.2.1:4000" },
		"from another member's address": func(int) string { return other },
		"from ever other hosts":         func(i int) string { return fmt.Sprintf("10.%d.%d.1:%d", i>>8, i&255, i) },
		"from ever other hosts over v6": func(i int) string { return fmt.Sprintf("[2001:db8::%x]:1", i) },
	} {
		t.Run(name, func(t *testing.T) {
			receiver := newFloodedTransport(t)
			if !receiver.receive(member) || !receiver.receive(other) {
				t.Fatal("a member's frame is dropped before the flood")
			}
			arrived := 0
			for i := range floodFactor * frames {
				receiver.decodeDatagram(receiver.forged, source(i))
				if i%floodFactor == 0 && receiver.receive(member) {
					arrived++
				}
			}
			if arrived != frames {
				t.Errorf("%d of the member's %d frames arrive", arrived, frames)
			}
			invalid := receiver.statistics().Invalid
			if invalid[faultFlood] == 0 || invalid[codec.ErrAuthentication.Error()] == 0 {
				t.Errorf("some of the flood is to be decoded, and some is not: %v", invalid)
			}
		})
	}
}

// Frames of members that were not heard before arrive while one host floods, but for one that may share its bucket.
func TestMembersJoinUnderAFloodFromOneHost(t *testing.T) {
	const flood, joining = 10 * maxStrangerBurst, 5
	receiver := newFloodedTransport(t)
	for i := range flood {
		receiver.decodeDatagram(receiver.forged, fmt.Sprint("203.0.113.9:", i))
	}
	arrived := 0
	for i := range joining {
		if receiver.receive(fmt.Sprintf("192.0.2.%d:7000", i)) {
			arrived++
		}
	}
	if arrived < joining-1 {
		t.Errorf("frames of %d of %d members arrive", arrived, joining)
	}
}

// The sources that are kept are bounded, and one that was dropped is kept again after its next frame.
func TestMemberSourcesAreBounded(t *testing.T) {
	credits := newSourceCredits()
	for i := range maxMemberSources + 10 {
		address := fmt.Sprint("member ", i)
		credits.addMember(address)
		if credits.members[address] == nil || len(credits.members) > maxMemberSources {
			t.Fatalf("%d sources are kept, the latest of them: %v", len(credits.members), credits.members[address] != nil)
		}
	}
}
