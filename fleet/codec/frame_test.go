package codec

import (
	"errors"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"

	"ryerill/fleet/membership"
)

func codec(t testing.TB, fleet string, keys ...string) *Codec {
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

// full is a message that uses all there is, at its bounds.
func full() *membership.Message {
	long := strings.Repeat("x", membership.MaxName)
	var pools []string
	for range 4 {
		pools = append(pools, long)
	}
	tags := &membership.Tags{Address: long, Zone: long, Tier: 3, Pools: pools, ProgramVersion: long, SettingsHash: long, Phase: membership.Draining}
	h := membership.State{Name: long, Epoch: 1 << 60, Incarnation: 1 << 29, Status: membership.Suspect, TagsIncarnation: 1 << 28}
	return &membership.Message{Kind: membership.Ping, Seq: 1 << 31, From: h, Target: long, Digest: 1 << 63, ReplicaSetDigest: 1 << 62, Updates: []membership.Record{{State: h, Tags: tags, ReportedBy: long}}}
}

func TestWhatIsWrittenIsRead(t *testing.T) {
	a, b := codec(t, "f", key1), codec(t, "f", key2, key1)
	for _, m := range []*membership.Message{{Kind: membership.Ack, From: membership.State{Name: "a", Epoch: 1, Status: membership.Alive}}, full(),
		{Kind: membership.SyncResponse, From: membership.State{Name: "a", Epoch: 1}, Requested: []string{"x", "y"}}} {
		text, err := a.Encode(m)
		if err != nil || len(text) > MaxDatagram {
			t.Fatalf("%d bytes, %v", len(text), err)
		}
		got, err := b.Decode(text, MaxDatagram)
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Errorf("%v\n%+v\n%+v", err, got, m)
		}
		if _, err := b.Decode(text, MaxDatagram); !errors.Is(err, ErrReplayed) {
			t.Errorf("a second time: %v", err)
		}
	}
	// The size by which news is packed is never less than what it takes.
	one, more := full(), full()
	more.Updates = append(more.Updates, more.Updates[0])
	x, _ := a.Encode(one)
	y, _ := a.Encode(more)
	if grown := len(y) - len(x); grown > one.Updates[0].Size() {
		t.Errorf("a record takes %d bytes and is taken for %d", grown, one.Updates[0].Size())
	}
}

func TestWhatIsWrongIsNamed(t *testing.T) {
	good, _ := codec(t, "f", key1).Encode(full())
	change := func(at int) []byte { b := append([]byte(nil), good...); b[at] ^= 1; return b }
	other, _ := codec(t, "g", key1).Encode(full())
	stranger, _ := codec(t, "f", key2).Encode(full())
	for name, tc := range map[string]struct {
		text []byte
		want error
	}{"nothing": {nil, ErrMalformed}, "cut": {good[:len(good)-1], ErrAuthentication}, "version": {change(0), ErrVersion}, "fleet": {other, ErrFleet}, "key": {stranger, ErrKey},
		"changed": {change(40), ErrAuthentication}, "number": {change(12), ErrAuthentication}, "code": {change(len(good) - 1), ErrAuthentication}, "large": {make([]byte, MaxDatagram+1), ErrLarge}} {
		if _, err := codec(t, "f", key1).Decode(tc.text, MaxDatagram); !errors.Is(err, tc.want) {
			t.Errorf("%s: %v, want %v", name, err, tc.want)
		}
	}
	if _, err := New("f", [][]byte{[]byte("short")}); err == nil {
		t.Error("a short key is taken")
	}
	if _, err := New("f", nil); err == nil {
		t.Error("no key is taken")
	}
}

// Each number counts once, in any order within the window; what is older than the
// window does not count, and another start begins anew.
func TestNumbersCountOnce(t *testing.T) {
	c := codec(t, "f", key1)
	rng := rand.New(rand.NewPCG(1, 1))
	seen, top := map[uint64]bool{}, uint64(0)
	for range 100_000 {
		n := top + uint64(rng.IntN(300)) - min(top, 280)
		if rng.IntN(500) == 0 {
			n += uint64(rng.IntN(2000))
		}
		want := !seen[n] && n > 0 && n+256 > top
		if n == 0 {
			continue
		}
		if got := c.fresh("a", 1, n); got != want {
			t.Fatalf("number %d at %d: %v, want %v", n, top, got, want)
		}
		seen[n], top = true, max(top, n)
	}
	if !c.fresh("a", 2, 1) || c.fresh("a", 2, 1) || !c.fresh("b", 1, 1) {
		t.Error("another start or sender is not told apart")
	}
}

func FuzzDecode(f *testing.F) {
	c := codec(f, "f", key1)
	good, _ := c.Encode(full())
	f.Add(good)
	f.Fuzz(func(t *testing.T, text []byte) {
		c.Decode(text, MaxDatagram)
		// Behind a good code too nothing breaks.
		if len(text) > header+code {
			text = append([]byte(nil), text...)
			copy(text, good[:6])
			end := len(text) - code
			copy(text[end:], c.code(c.keys[c.sign], text[:end]))
			if m, err := c.Decode(text, MaxDatagram); err == nil {
				membership.New(membership.Config{Name: "x"}).Handle(0, membership.Event{Kind: membership.MessageReceived, Message: m}, nil)
			}
		}
	})
}
