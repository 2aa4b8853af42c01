package statesync

import (
	"bytes"
	"encoding/hex"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"ryerill/internal/golden"
)

// A recorded packet decodes without missing fields and encodes to the same bytes: replicas of other versions use it.
func TestRecordedPacketRoundTrip(t *testing.T) {
	text := golden.Recorded(t, "packet.cbor.hex", func() []byte {
		n, p := 0, new(Packet)
		golden.Fill(reflect.ValueOf(p).Elem(), &n)
		text, _ := cbor.Marshal(p)
		return []byte(hex.EncodeToString(text) + "\n")
	})
	want, err := hex.DecodeString(string(bytes.TrimSpace(text)))
	if err != nil {
		t.Fatal(err)
	}
	var p Packet
	if err := cbor.Unmarshal(want, &p); err != nil {
		t.Fatal(err)
	}
	if missing := golden.Zeros(reflect.ValueOf(p), "packet"); len(missing) > 0 {
		t.Errorf("got fields not decoded: %v, want none", missing)
	}
	if again, err := cbor.Marshal(p); err != nil || !bytes.Equal(again, want) {
		t.Errorf("error %v\ngot  %x\nwant %x", err, again, want)
	}
}
