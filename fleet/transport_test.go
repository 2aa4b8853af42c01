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

// Datagrams arrive at the address that overrides the one that the receiver advertises, and
// are counted at both ends.
func TestDatagramsAreSentAndReceived(t *testing.T) {
	receiver := newTestTransport(t, nil)
	sender := newTestTransport(t, map[string]string{"b": receiver.listenAddress().String()})
	received := make(chan *membership.Message, 1)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		receiver.readDatagrams(func(message *membership.Message, address string) {
			if address != sender.listenAddress().String() {
				t.Errorf("it came from %s", address)
			}
			received <- message
		})
	}()
	sender.send("b", "192.0.2.1:1", testMessage(membership.Gossip))
	select {
	case message := <-received:
		if message.Kind != membership.Gossip || message.From.Name != "a" {
			t.Errorf("%+v", message)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("nothing arrives")
	}
	receiver.close()
	<-ended
	if s := sender.statistics(); s.FramesOut != 1 || s.BytesOut == 0 {
		t.Errorf("sender: %+v", s)
	}
	if s := receiver.statistics(); s.FramesIn != 1 || s.BytesIn == 0 {
		t.Errorf("receiver: %+v", s)
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
				t.Errorf("%+v", s)
			}
		})
	}
}

// Datagrams beyond the rate are dropped unread; with time they are decoded again. These have the version, the fleet and
// the key of this one, and a code that does not fit.
func TestFloodOfDatagramsIsDropped(t *testing.T) {
	tr := newTestTransport(t, nil)
	forged := frameOf(t, testMessage(membership.Gossip))
	forged[len(forged)-1] ^= 1
	tr.sources.allStrangers.available = 1
	tr.sources.allStrangers.updatedAt = time.Now().Add(time.Hour) // no credit is gained
	for range 3 {
		tr.decodeDatagram(forged, "127.0.0.1:1")
	}
	if s := tr.statistics(); s.FramesIn != 3 || s.Invalid[faultFlood] < 2 {
		t.Errorf("%+v", s)
	}
	tr.sources.allStrangers.updatedAt = time.Now().Add(-time.Second)
	tr.sources.allStrangers.available = 0
	before := tr.statistics().Invalid[codec.ErrAuthentication.Error()]
	tr.decodeDatagram(forged, "127.0.0.1:1")
	if after := tr.statistics().Invalid[codec.ErrAuthentication.Error()]; after != before+1 {
		t.Errorf("%d and then %d are decoded", before, after)
	}
}

// What shows at its head that it is no frame of this fleet is counted by its fault, and takes nothing from the rate at
// which members' frames are decoded: whoever knows nothing of the fleet can't have them dropped.
func TestDatagramsOfStrangersTakeNothingFromTheRate(t *testing.T) {
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
			const strangers = 2 * maxStrangerBurst
			tr.sources.allStrangers = credit{available: 1, updatedAt: time.Now()}
			for range strangers {
				tr.decodeDatagram(tc.frame, "127.0.0.1:1")
			}
			if message := tr.decodeDatagram(whole, "127.0.0.1:1"); message == nil {
				t.Error("a member's frame is dropped")
			}
			if s := tr.statistics(); s.Invalid[tc.fault.Error()] != strangers || s.FramesIn != strangers+1 {
				t.Errorf("%+v", s)
			}
		})
	}
}

// frameOf returns the frame of a message of this fleet.
func frameOf(t *testing.T, message *membership.Message) []byte {
	t.Helper()
	frame, err := newTestTransport(t, nil).encode(message)
	if err != nil {
		t.Fatal(err)
	}
	return frame
}

// What a connection brings is read if it is whole, of an expected kind and within the bound.
func TestMessagesOfConnections(t *testing.T) {
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
		want  error // nil if it is read
		fault error // that is counted, if any
	}{
		"whole":            {whole, nil, nil},
		"another kind":     {written(membership.SyncFinal), codec.ErrMalformed, codec.ErrMalformed},
		"cut short":        {written(membership.SyncRequest)[:len(whole)-1], io.ErrUnexpectedEOF, nil},
		"no length":        {[]byte{0, 0}, io.ErrUnexpectedEOF, nil},
		"beyond the bound": {[]byte{0xff, 0xff, 0xff, 0xff}, codec.ErrLarge, codec.ErrLarge},
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
				t.Errorf("%v, want %v", err, tc.want)
			}
			if tc.want == nil && (message == nil || message.Kind != membership.SyncRequest) {
				t.Errorf("%+v", message)
			}
			if tc.fault != nil && tr.statistics().Invalid[tc.fault.Error()] != 1 {
				t.Errorf("counted: %v", tr.statistics().Invalid)
			}
		})
	}
}

func TestRepeatedMessagesAreLoggedOccasionally(t *testing.T) {
	var text strings.Builder
	log := newThrottledLogger(slog.New(slog.NewTextHandler(&text, nil)))
	for i := range 5 {
		log.warnOccasionally("one", "i", i)
		log.errorOccasionally("two", "i", i)
	}
	if lines := strings.Count(text.String(), "\n"); lines != 2 {
		t.Errorf("%d lines:\n%s", lines, text.String())
	}
	log.loggedAt["one"] = time.Now().Add(-2 * throttleInterval)
	log.warnOccasionally("one")
	if lines := strings.Count(text.String(), "\n"); lines != 3 {
		t.Errorf("%d lines:\n%s", lines, text.String())
	}
}
