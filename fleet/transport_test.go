package fleet

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"ryerill/fleet/codec"
	"ryerill/fleet/membership"
)

func newTestTransport(t *testing.T, overrides map[string]string) *transport {
	t.Helper()
	cfg := &Config{Fleet: "f", Listen: "127.0.0.1:0", Keys: testKeys, AddressOverrides: overrides}
	tr, err := newTransport(cfg, newThrottledLogger(slog.New(slog.DiscardHandler)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(tr.close)
	return tr
}

func testMessage(kind membership.MessageKind) *membership.Message {
	return &membership.Message{Kind: kind, From: membership.State{Name: "a", Epoch: 1, Status: membership.Alive}}
}

// A configured address overrides the one that the receiver advertises, and both sides count the datagrams.
func TestDatagramsUseAddressOverride(t *testing.T) {
	receiver := newTestTransport(t, nil)
	sender := newTestTransport(t, map[string]string{"b": receiver.listenAddress().String()})
	received := make(chan *membership.Message, 1)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		receiver.readDatagrams(func(message *membership.Message, address string) {
			if address != sender.listenAddress().String() {
				t.Errorf("got source address %s, want the sender's", address)
			}
			received <- message
		})
	}()
	sender.send("b", "192.0.2.1:1", testMessage(membership.Gossip))
	select {
	case message := <-received:
		if message.Kind != membership.Gossip || message.From.Name != "a" {
			t.Errorf("got message %+v, want gossip from a", message)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("no datagram received within 10 s")
	}
	receiver.close()
	<-ended
	if s := sender.statistics(); s.FramesOut != 1 || s.BytesOut == 0 {
		t.Errorf("got sender statistics %+v, want 1 frame out", s)
	}
	if s := receiver.statistics(); s.FramesIn != 1 || s.BytesIn == 0 {
		t.Errorf("got receiver statistics %+v, want 1 frame in", s)
	}
}

func TestUnsendableDatagramsAreCounted(t *testing.T) {
	large := testMessage(membership.StateSync)
	large.Payload = make([]byte, codec.MaxDatagram)
	for name, tc := range map[string]struct {
		address string
		message *membership.Message
	}{
		"no address": {"", testMessage(membership.Gossip)},
		"too large":  {"127.0.0.1:9", large},
	} {
		t.Run(name, func(t *testing.T) {
			tr := newTestTransport(t, nil)
			tr.send("b", tc.address, tc.message)
			if s := tr.statistics(); s.Unsent != 1 || s.FramesOut != 0 {
				t.Errorf("got statistics %+v, want 1 unsent and 0 sent", s)
			}
		})
	}
}

// Datagrams above the rate limit are dropped without decoding, and decoded again once credit has accumulated. The test
// sends frames with the version, fleet and key of this fleet and an invalid authentication code.
func TestDatagramsAboveRateAreDropped(t *testing.T) {
	tr := newTestTransport(t, nil)
	forged := frameOf(t, testMessage(membership.Gossip))
	forged[len(forged)-1] ^= 1
	tr.sources.allUnverified.available = 1
	tr.sources.allUnverified.updatedAt = time.Now().Add(time.Hour) // no credit accumulates
	for range 3 {
		tr.decodeDatagram(forged, "127.0.0.1:1")
	}
	if s := tr.statistics(); s.FramesIn != 3 || s.Invalid[faultFlood] < 2 {
		t.Errorf("got statistics %+v, want 3 frames in and at least 2 dropped by rate", s)
	}
	tr.sources.allUnverified.updatedAt = time.Now().Add(-time.Second)
	tr.sources.allUnverified.available = 0
	before := tr.statistics().Invalid[codec.ErrAuthentication.Error()]
	tr.decodeDatagram(forged, "127.0.0.1:1")
	if after := tr.statistics().Invalid[codec.ErrAuthentication.Error()]; after != before+1 {
		t.Errorf("got %d frames decoded before and %d after, want one more", before, after)
	}
}

// A datagram whose head is not that of a frame of this fleet is counted by its fault and uses none of the credit for
// decoding. Otherwise a sender without knowledge of the fleet could cause members' frames to be dropped.
func TestForeignDatagramsUseNoCredit(t *testing.T) {
	whole := frameOf(t, testMessage(membership.Gossip))
	changed := func(at int) []byte {
		frame := bytes.Clone(whole)
		frame[at] ^= 1
		return frame
	}
	for name, tc := range map[string]struct {
		frame []byte
		fault error
	}{
		"no frame":        {[]byte("not a frame"), codec.ErrMalformed},
		"nothing":         {nil, codec.ErrMalformed},
		"too large":       {make([]byte, codec.MaxDatagram+1), codec.ErrLarge},
		"another version": {changed(0), codec.ErrVersion},
		"another fleet":   {changed(1), codec.ErrFleet},
		"another key":     {changed(5), codec.ErrKey},
	} {
		t.Run(name, func(t *testing.T) {
			tr := newTestTransport(t, nil)
			const foreign = 2 * maxUnverifiedBurst
			tr.sources.allUnverified = credit{available: 1, updatedAt: time.Now()}
			for range foreign {
				tr.decodeDatagram(tc.frame, "127.0.0.1:1")
			}
			if message := tr.decodeDatagram(whole, "127.0.0.1:1"); message == nil {
				t.Error("member's frame dropped")
			}
			if s := tr.statistics(); s.Invalid[tc.fault.Error()] != foreign || s.FramesIn != foreign+1 {
				t.Errorf("got statistics %+v, want all foreign frames counted by their fault", s)
			}
		})
	}
}

// frameOf encodes a message as a frame of this fleet.
func frameOf(t *testing.T, message *membership.Message) []byte {
	t.Helper()
	frame, err := newTestTransport(t, nil).encode(message)
	if err != nil {
		t.Fatal(err)
	}
	return frame
}

// A message from a connection is accepted if it is complete, of an expected kind and within the size limit.
func TestReadValidatesMessages(t *testing.T) {
	writer := newTestTransport(t, nil)
	written := func(kind membership.MessageKind) []byte {
		var text bytes.Buffer
		if err := writer.write(&text, testMessage(kind)); err != nil {
			t.Fatal(err)
		}
		return text.Bytes()
	}
	whole := written(membership.SyncRequest)
	for name, tc := range map[string]struct {
		text  []byte
		want  error // nil if the message is accepted
		fault error // counted fault, if any
	}{
		"whole":            {whole, nil, nil},
		"another kind":     {written(membership.SyncFinal), codec.ErrMalformed, codec.ErrMalformed},
		"cut short":        {written(membership.SyncRequest)[:len(whole)-1], io.ErrUnexpectedEOF, nil},
		"truncated length": {[]byte{0, 0}, io.ErrUnexpectedEOF, nil},
		"too large":        {[]byte{0xff, 0xff, 0xff, 0xff}, codec.ErrLarge, codec.ErrLarge},
	} {
		t.Run(name, func(t *testing.T) {
			tr := newTestTransport(t, nil)
			local, remote := net.Pipe()
			defer local.Close()
			go func() {
				defer remote.Close()
				remote.Write(tc.text)
			}()
			message, err := tr.read(local, membership.SyncRequest)
			if !errors.Is(err, tc.want) {
				t.Errorf("got error %v, want %v", err, tc.want)
			}
			if tc.want == nil && (message == nil || message.Kind != membership.SyncRequest) {
				t.Errorf("got message %+v, want a sync request", message)
			}
			if tc.fault != nil && tr.statistics().Invalid[tc.fault.Error()] != 1 {
				t.Errorf("got fault counts %v, want 1 of the expected fault", tr.statistics().Invalid)
			}
		})
	}
}

func TestRepeatedMessagesAreThrottled(t *testing.T) {
	var text strings.Builder
	log := newThrottledLogger(slog.New(slog.NewTextHandler(&text, nil)))
	for i := range 5 {
		log.warnThrottled("one", "i", i)
		log.errorThrottled("two", "i", i)
	}
	if lines := strings.Count(text.String(), "\n"); lines != 2 {
		t.Errorf("got %d log lines, want 2:\n%s", lines, text.String())
	}
	log.loggedAt["one"] = time.Now().Add(-2 * throttleInterval)
	log.warnThrottled("one")
	if lines := strings.Count(text.String(), "\n"); lines != 3 {
		t.Errorf("got %d log lines, want 3:\n%s", lines, text.String())
	}
}
