package fleet

import (
	"bytes"
	"fmt"
	"testing"

	"ryerill/fleet/codec"
	"ryerill/fleet/membership"
)

// floodedTransport is a transport that receives frames of members and forged frames.
type floodedTransport struct {
	*transport
	t      *testing.T
	sender *transport
	forged []byte // a frame of this fleet with an invalid authentication code
}

func newFloodedTransport(t *testing.T) *floodedTransport {
	t.Helper()
	f := &floodedTransport{transport: newTestTransport(t, nil), t: t, sender: newTestTransport(t, nil)}
	f.forged = bytes.Clone(frameOf(t, testMessage(membership.Gossip)))
	f.forged[len(f.forged)-1] ^= 1
	return f
}

// receive reports whether a valid frame from an address is decoded.
func (f *floodedTransport) receive(from string) bool {
	f.t.Helper()
	frame, err := f.sender.encode(testMessage(membership.Gossip))
	if err != nil {
		f.t.Fatal(err)
	}
	return f.decodeDatagram(frame, from) != nil
}

// All frames of members are decoded during a flood of forged frames of this fleet far above the rate limit.
func TestMemberFramesDecodedDuringFlood(t *testing.T) {
	const floodFactor, frames = 200, 200
	const member, other = "192.0.2.1:7000", "192.0.2.2:7000"
	for name, source := range map[string]func(i int) string{
		"from one host":                 func(int) string { return "203.0.113.9:4000" },
		"from all ports of one host":    func(i int) string { return fmt.Sprint("203.0.113.9:", i) },
		"from the member's host":        func(int) string { return "192.0.2.1:4000" },
		"from another member's address": func(int) string { return other },
		"from changing hosts":           func(i int) string { return fmt.Sprintf("10.%d.%d.1:%d", i>>8, i&255, i) },
		"from changing IPv6 hosts":      func(i int) string { return fmt.Sprintf("[2001:db8::%x]:1", i) },
	} {
		t.Run(name, func(t *testing.T) {
			receiver := newFloodedTransport(t)
			if !receiver.receive(member) || !receiver.receive(other) {
				t.Fatal("member's frame dropped before the flood")
			}
			arrived := 0
			for i := range floodFactor * frames {
				receiver.decodeDatagram(receiver.forged, source(i))
				if i%floodFactor == 0 && receiver.receive(member) {
					arrived++
				}
			}
			if arrived != frames {
				t.Errorf("got %d of the member's frames, want %d", arrived, frames)
			}
			invalid := receiver.statistics().Invalid
			if invalid[faultFlood] == 0 || invalid[codec.ErrAuthentication.Error()] == 0 {
				t.Errorf("got invalid frames %v, want some dropped by rate and some decoded", invalid)
			}
		})
	}
}

// First frames of new members are decoded during a flood from one host. One member may share the flooding host's
// bucket and fail.
func TestMembersJoinDuringFloodFromOneHost(t *testing.T) {
	const flood, joining = 10 * maxUnverifiedBurst, 5
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
		t.Errorf("got frames of %d of %d new members, want all but one at least", arrived, joining)
	}
}

// The number of kept member sources is limited, and the latest source is always kept.
func TestMemberSourcesAreBounded(t *testing.T) {
	credits := newSourceCredits()
	for i := range maxMemberSources + 10 {
		address := fmt.Sprint("member ", i)
		credits.addMember(address)
		if credits.members[address] == nil || len(credits.members) > maxMemberSources {
			t.Fatalf("got %d sources, latest one kept: %v", len(credits.members), credits.members[address] != nil)
		}
	}
}
