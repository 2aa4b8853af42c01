//go:build !fleetlater

package codec

import (
	"bytes"
	"encoding/hex"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"ryerill/fleet/membership"
)

// recordedMessages returns a message of each kind, in the order of the kinds.
func recordedMessages() []*membership.Message {
	state := membership.State{Name: "c1", Epoch: 1_700_000_000_000, Incarnation: 7, Status: membership.Alive, TagsIncarnation: 5}
	other := membership.Record{State: membership.State{Name: "c2", Epoch: 1_700_000_000_001, Incarnation: 3, Status: membership.Suspect, TagsIncarnation: 2}, ReportedBy: "c1"}
	whole := membership.Record{State: membership.State{Name: "c3", Epoch: 1_700_000_000_002, Incarnation: 9, Status: membership.Left, TagsIncarnation: 9}, ReportedBy: "c3",
		Tags: &membership.Tags{Address: "127.0.0.1:7400", Zone: "z1", Tier: 2, Pools: []string{"main", "more"}, ProgramVersion: "v1", SettingsHash: "0123456789abcdef", Phase: membership.Leaving,
			MinLevel: 1, MaxLevel: 1, Unknown: "\xa1\x18\x64\x65later"}}
	return []*membership.Message{
		{Kind: membership.Ping, Seq: 1, From: state, Target: "c2", Digest: 0x1122334455667788, ReplicaSetDigest: 0x99, Updates: []membership.Record{other}},
		{Kind: membership.Ack, Seq: 1, From: state, Target: "c2", Digest: 1, Updates: []membership.Record{whole}},
		{Kind: membership.PingReq, Seq: 2, From: state, Target: "c3"},
		{Kind: membership.Nack, Seq: 2, From: state},
		{Kind: membership.Gossip, From: state, Updates: []membership.Record{other, whole}},
		{Kind: membership.SyncRequest, From: state, Digest: 2, Updates: []membership.Record{{State: other.State}, {State: whole.State}}},
		{Kind: membership.SyncResponse, From: state, Updates: []membership.Record{whole}, Requested: []string{"c2", "c4"}},
		{Kind: membership.SyncFinal, From: state, Updates: []membership.Record{whole, other}},
		{Kind: membership.StateSync, From: state, Target: "c2", Digest: 3, ReplicaSetDigest: 4, Payload: []byte("what is shared")},
		{Kind: membership.Rollout, From: state, Target: "c2", Digest: 3, ReplicaSetDigest: 4, Payload: []byte("of a rollout")},
		{Kind: membership.RolloutFetch, From: state},
		{Kind: membership.RolloutState, From: state, Payload: []byte("a state")},
	}
}

// Encoding each kind of message yields the recorded frame, and decoding the frame yields the message.
func TestRecordedFramesRoundTrip(t *testing.T) {
	file := filepath.Join("testdata", "compatibility", "frames.hex")
	key := []byte("a-key-of-more-than-sixteen-bytes")
	writer, err := New("recorded", [][]byte{key})
	if err != nil {
		t.Fatal(err)
	}
	var now bytes.Buffer
	for _, m := range recordedMessages() {
		text, err := writer.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		now.WriteString(hex.EncodeToString(text) + "\n")
	}
	want, err := os.ReadFile(file)
	if errors.Is(err, os.ErrNotExist) && os.Getenv("RYERILL_RECORD") != "" {
		want = now.Bytes()
		if err = os.MkdirAll(filepath.Dir(file), 0o755); err == nil {
			err = os.WriteFile(file, want, 0o644)
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(now.Bytes(), want) {
		t.Errorf("got frames\n%swant\n%s", now.Bytes(), want)
	}
	reader, err := New("recorded", [][]byte{key})
	if err != nil {
		t.Fatal(err)
	}
	lines := bytes.Split(bytes.TrimSpace(want), []byte("\n"))
	if len(lines) != len(recordedMessages()) {
		t.Fatalf("got %d recorded frames, want one for each message", len(lines))
	}
	for i, m := range recordedMessages() {
		text, err := hex.DecodeString(string(lines[i]))
		if err != nil {
			t.Fatal(err)
		}
		got, err := reader.Decode(text, MaxSyncMessage)
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Errorf("kind %d: got error %v and message\n%+v\nwant\n%+v", m.Kind, err, got, m)
		}
		if int(m.Kind) != i+1 {
			t.Errorf("want kind %d, got %d", i+1, m.Kind)
		}
	}
}

// Other programs and operators read the levels and the texts of faults.
func TestRecordedLevelsAndFaults(t *testing.T) {
	if Version != 1 || MinLevel != 1 || MaxLevel != 1 || MaxDatagram != 1200 {
		t.Errorf("got version %d, levels %d to %d, datagrams of %d bytes; want 1, 1 to 1, 1200", Version, MinLevel, MaxLevel, MaxDatagram)
	}
	names := []string{"of another version", "of another fleet", "by a key that is not known", "its code does not fit", "torn", "too large", "seen before"}
	for i, err := range Errors {
		if err.Error() != names[i] {
			t.Errorf("fault %d: got text %q, want %q", i, err, names[i])
		}
	}
}
