package codec

import (
	"errors"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	"ryerill/fleet/membership"
)

func newCodec(t testing.TB, fleet string, keys ...string) *Codec {
	t.Helper()
	var all [][]byte
	for _, k := range keys {
		all = append(all, []byte(k))
	}
	c, err := New(fleet, all)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

const (
	key1 = "one-key-of-sixteen-bytes-or-more"
	key2 = "two-key-of-sixteen-bytes-or-more"
)

// largeMessage returns a message that sets all fields of a datagram to their bounds.
func largeMessage() *membership.Message {
	long := strings.Repeat("x", membership.MaxName)
	tags := &membership.Tags{
		Address: long, Zone: long, Tier: 3, Pools: []string{long, long, long, long},
		ProgramVersion: long, SettingsHash: long, Phase: membership.Draining,
	}
	state := membership.State{
		Name: long, Epoch: 1 << 60, Incarnation: 1 << 29, Status: membership.Suspect, TagsIncarnation: 1 << 28,
	}
	return &membership.Message{
		Kind: membership.Ping, Seq: 1 << 31, From: state, Target: long, Digest: 1 << 63, ReplicaSetDigest: 1 << 62,
		Updates: []membership.Record{{State: state, Tags: tags, ReportedBy: long}},
	}
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	writer := newCodec(t, "f", key1)
	reader := newCodec(t, "f", key2, key1)
	for name, m := range map[string]*membership.Message{
		"small":         {Kind: membership.Ack, From: membership.State{Name: "a", Epoch: 1, Status: membership.Alive}},
		"large":         largeMessage(),
		"with requests": {Kind: membership.SyncResponse, From: membership.State{Name: "a", Epoch: 1}, Requested: []string{"x", "y"}},
	} {
		t.Run(name, func(t *testing.T) {
			frame, err := writer.Encode(m)
			if err != nil || len(frame) > MaxDatagram {
				t.Fatalf("Encode: got %d bytes and error %v, want at most MaxDatagram and none", len(frame), err)
			}
			got, err := reader.Decode(frame, MaxDatagram)
			if err != nil || !reflect.DeepEqual(got, m) {
				t.Errorf("Decode: got error %v and message\n%+v\nwant\n%+v", err, got, m)
			}
			if _, err := reader.Decode(frame, MaxDatagram); !errors.Is(err, ErrReplayed) {
				t.Errorf("second Decode: got error %v, want ErrReplayed", err)
			}
		})
	}
}

// Record.Size, by which updates are packed into messages, is an upper bound of the encoded size.
func TestRecordSizeIsUpperBound(t *testing.T) {
	c := newCodec(t, "f", key1)
	one, two := largeMessage(), largeMessage()
	two.Updates = append(two.Updates, two.Updates[0])
	shorter, err := c.Encode(one)
	if err != nil {
		t.Fatal(err)
	}
	longer, err := c.Encode(two)
	if err != nil {
		t.Fatal(err)
	}
	if grown := len(longer) - len(shorter); grown > one.Updates[0].Size() {
		t.Errorf("record takes %d bytes, want at most its Size %d", grown, one.Updates[0].Size())
	}
}

func TestDecodeReturnsFault(t *testing.T) {
	encode := func(c *Codec) []byte {
		frame, err := c.Encode(largeMessage())
		if err != nil {
			t.Fatal(err)
		}
		return frame
	}
	good := encode(newCodec(t, "f", key1))
	change := func(at int) []byte {
		changed := slices.Clone(good)
		changed[at] ^= 1
		return changed
	}
	for name, tc := range map[string]struct {
		frame []byte
		want  error
	}{
		"empty":             {nil, ErrMalformed},
		"truncated":         {good[:len(good)-1], ErrAuthentication},
		"version":           {change(versionAt), ErrVersion},
		"other fleet":       {encode(newCodec(t, "g", key1)), ErrFleet},
		"other key":         {encode(newCodec(t, "f", key2)), ErrKey},
		"body changed":      {change(40), ErrAuthentication},
		"number":            {change(12), ErrAuthentication},
		"code":              {change(len(good) - 1), ErrAuthentication},
		"beyond a datagram": {make([]byte, MaxDatagram+1), ErrLarge},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := newCodec(t, "f", key1).Decode(tc.frame, MaxDatagram); !errors.Is(err, tc.want) {
				t.Errorf("got error %v, want %v", err, tc.want)
			}
		})
	}
}

func TestInvalidKeysAreRefused(t *testing.T) {
	if _, err := New("f", [][]byte{[]byte("short")}); err == nil {
		t.Error("short key: got no error")
	}
	if _, err := New("f", nil); err == nil {
		t.Error("no key: got no error")
	}
}

// A number is accepted once, in any order within the window. Numbers older than the window are
// rejected. Each epoch and sender has its own window.
func TestNumbersAreAcceptedOnce(t *testing.T) {
	c := newCodec(t, "f", key1)
	rng := rand.New(rand.NewPCG(1, 1))
	used := map[uint64]bool{}
	highest := uint64(0)
	for range 100_000 {
		number := highest + uint64(rng.IntN(300)) - min(highest, 280)
		if rng.IntN(500) == 0 {
			number += uint64(rng.IntN(2000))
		}
		want := !used[number] && number > 0 && number+256 > highest
		if number == 0 {
			continue
		}
		if got := c.replays.firstUse("a", 1, number); got != want {
			t.Fatalf("number %d with highest %d: got first use %v, want %v", number, highest, got, want)
		}
		used[number] = true
		highest = max(highest, number)
	}
	if !c.replays.firstUse("a", 2, 1) || c.replays.firstUse("a", 2, 1) || !c.replays.firstUse("b", 1, 1) {
		t.Error("another epoch or sender shares a window, want separate ones")
	}
}

// A frame of an earlier process is accepted only once, even after later processes of its name have started: an
// attacker may have recorded it.
func TestFramesOfEarlierProcessesAreAcceptedOnce(t *testing.T) {
	writer, reader := newCodec(t, "f", key1), newCodec(t, "f", key1)
	frameOf := func(epoch uint64) []byte {
		frame, err := writer.Encode(&membership.Message{
			Kind: membership.Ping, From: membership.State{Name: "a", Epoch: epoch, Status: membership.Alive},
		})
		if err != nil {
			t.Fatal(err)
		}
		return frame
	}
	var frames [][]byte
	for epoch := range uint64(windowsPerSender) {
		frames = append(frames, frameOf(epoch+1))
	}
	slices.Reverse(frames[:2]) // the first frame of an earlier process may arrive after that of a later one
	for round, want := range []error{nil, ErrReplayed, ErrReplayed} {
		for i, frame := range frames {
			if _, err := reader.Decode(frame, MaxDatagram); !errors.Is(err, want) {
				t.Errorf("round %d, frame %d: got error %v, want %v", round, i, err, want)
			}
		}
	}
	if _, err := reader.Decode(frameOf(1), MaxDatagram); err != nil {
		t.Errorf("new frame of the first process, which still runs: got error %v", err)
	}
	for epoch := range uint64(100) {
		if _, err := reader.Decode(frameOf(epoch+10), MaxDatagram); err != nil {
			t.Errorf("start %d: got error %v", epoch, err)
		}
	}
	if kept := len(reader.replays.windows["a"]); kept > windowsPerSender {
		t.Errorf("got %d windows of one sender, want at most windowsPerSender", kept)
	}
}

func FuzzDecode(f *testing.F) {
	c := newCodec(f, "f", key1)
	good, err := c.Encode(largeMessage())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Fuzz(func(_ *testing.T, frame []byte) {
		_, _ = c.Decode(frame, MaxDatagram) // must not panic
		if len(frame) <= headerSize+codeSize {
			return
		}
		// Nor may a body with a valid code cause a panic.
		frame = slices.Clone(frame)
		copy(frame, good[:numberAt])
		codeAt := len(frame) - codeSize
		copy(frame[codeAt:], authenticationCode([]byte(key1), "f", frame[:codeAt]))
		if m, err := c.Decode(frame, MaxDatagram); err == nil {
			received := membership.Event{Kind: membership.MessageReceived, Message: m}
			membership.New(membership.Config{Name: "x"}).Handle(0, received, nil)
		}
	})
}
