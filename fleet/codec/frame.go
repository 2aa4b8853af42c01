// Package codec turns what members say to each other into datagrams and pieces of
// a connection, and back. Each carries a version, the fleet it is of, a number that
// is used once, and an authentication code. Whatever does not fit is an error that
// says why, and nobody answers it.
//
//	version 1 | fleet 4 | key 1 | number 8 | CBOR | code 16
//
// The version is that of this form alone. What a message says grows by fields and by
// kinds: a CBOR map with small whole numbers for keys, so that a copy that is older
// passes over what it does not know. What a member says of itself is handed on by
// others, so what of that is not known is kept and handed on as it came. A record's
// head, by which the newer of two is found, never grows.
//
// The code is HMAC-SHA-256 over all before it and the fleet's name, cut to its
// first 16 bytes. The number counts up within a start of the sender; a receiver
// keeps a window of those it has seen, so that a frame counts once.
package codec

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"ryerill/fleet/membership"
)

// Bounds and form of a frame.
const (
	Version        = 1
	MaxDatagram    = 1200    // bytes: under the least MTU that is met in practice
	MaxSyncMessage = 2 << 20 // bytes of one message of an exchange: a view of 8,192 members
	MinKey         = 16      // bytes of a key

	header = 14
	code   = 16
)

// What can be wrong with a frame.
var (
	ErrVersion        = errors.New("of another version")
	ErrFleet          = errors.New("of another fleet")
	ErrKey            = errors.New("by a key that is not known")
	ErrAuthentication = errors.New("its code does not fit")
	ErrMalformed      = errors.New("torn")
	ErrLarge          = errors.New("too large")
	ErrReplayed       = errors.New("seen before")
)

// Errors are all of them, in the order in which they are told.
var Errors = []error{ErrVersion, ErrFleet, ErrKey, ErrAuthentication, ErrMalformed, ErrLarge, ErrReplayed}

// Codec writes and reads the frames of one fleet. What it writes is numbered, so it
// is not safe for concurrent use.
type Codec struct {
	fleet  string
	short  [4]byte
	keys   map[byte][]byte
	sign   byte
	number uint64
	enc    cbor.EncMode
	dec    cbor.DecMode
	seen   map[string]*window
}

// keyID identifies a key by its first bytes' hash, so that two may be valid at once.
func keyID(key []byte) byte { s := sha256.Sum256(key); return s[0] }

// New returns a codec. The first key signs; all of them are taken.
func New(fleet string, keys [][]byte) (*Codec, error) {
	c := &Codec{fleet: fleet, keys: map[byte][]byte{}, seen: map[string]*window{}}
	sum := sha256.Sum256([]byte(fleet))
	copy(c.short[:], sum[:])
	if err := c.SetKeys(keys); err != nil {
		return nil, err
	}
	var err error
	if c.enc, err = cbor.CoreDetEncOptions().EncMode(); err != nil {
		return nil, err
	}
	c.dec, err = cbor.DecOptions{MaxArrayElements: 1 << 14, MaxMapPairs: 64, MaxNestedLevels: 8, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	return c, err
}

// SetKeys puts other keys in the place of those that hold.
func (c *Codec) SetKeys(keys [][]byte) error {
	next := map[byte][]byte{}
	for i, k := range keys {
		if len(k) < MinKey {
			return fmt.Errorf("key %d has %d bytes, and %d are the least", i, len(k), MinKey)
		}
		if _, twice := next[keyID(k)]; twice {
			return fmt.Errorf("key %d can't be told from another: make another one", i)
		}
		next[keyID(k)] = k
	}
	if len(keys) == 0 {
		return errors.New("no key")
	}
	c.keys, c.sign = next, keyID(keys[0])
	return nil
}

// The form on the wire. Numbers are never used for another meaning.
type (
	wireTags struct {
		Address  string   `cbor:"1,keyasint,omitempty"`
		Zone     string   `cbor:"2,keyasint,omitempty"`
		Tier     int      `cbor:"3,keyasint,omitempty"`
		Pools    []string `cbor:"4,keyasint,omitempty"`
		Program  string   `cbor:"5,keyasint,omitempty"`
		Settings string   `cbor:"6,keyasint,omitempty"`
		Phase    uint8    `cbor:"7,keyasint,omitempty"`
		Least    uint8    `cbor:"8,keyasint,omitempty"`
		Most     uint8    `cbor:"9,keyasint,omitempty"`
	}
	wireRecord struct {
		Name   string          `cbor:"1,keyasint,omitempty"`
		Epoch  uint64          `cbor:"2,keyasint,omitempty"`
		Inc    uint32          `cbor:"3,keyasint,omitempty"`
		Status uint8           `cbor:"4,keyasint,omitempty"`
		Tagged uint32          `cbor:"5,keyasint,omitempty"`
		By     string          `cbor:"6,keyasint,omitempty"`
		Tags   cbor.RawMessage `cbor:"7,keyasint,omitempty"`
	}
	wireMessage struct {
		Kind    uint8        `cbor:"1,keyasint"`
		Seq     uint32       `cbor:"2,keyasint,omitempty"`
		From    wireRecord   `cbor:"3,keyasint"`
		Target  string       `cbor:"4,keyasint,omitempty"`
		Digest  uint64       `cbor:"5,keyasint,omitempty"`
		Counted uint64       `cbor:"6,keyasint,omitempty"`
		News    []wireRecord `cbor:"7,keyasint,omitempty"`
		Want    []string     `cbor:"8,keyasint,omitempty"`
		Share   []byte       `cbor:"9,keyasint,omitempty"`
	}
)

// mostTag is the highest key of wireTags.
const mostTag = 9

// tags writes what a member says of itself, and what it says that is not known here.
func (c *Codec) tags(t *membership.Tags) (cbor.RawMessage, error) {
	text, err := c.enc.Marshal(wireTags{Address: t.Address, Zone: t.Zone, Tier: t.Tier, Pools: t.Pools, Program: t.ProgramVersion, Settings: t.SettingsHash, Phase: uint8(t.Phase),
		Least: t.MinLevel, Most: t.MaxLevel})
	if err != nil || len(t.Unknown) == 0 {
		return text, err
	}
	all := map[uint64]cbor.RawMessage{}
	if err := errors.Join(c.dec.Unmarshal([]byte(t.Unknown), &all), c.dec.Unmarshal(text, &all)); err != nil {
		return text, nil // what was not understood is no reason to say nothing
	}
	return c.enc.Marshal(all)
}

func (c *Codec) readTags(text cbor.RawMessage) (*membership.Tags, error) {
	var w wireTags
	if err := c.dec.Unmarshal(text, &w); err != nil {
		return nil, err
	}
	t := &membership.Tags{Address: w.Address, Zone: w.Zone, Tier: w.Tier, Pools: w.Pools, ProgramVersion: w.Program, SettingsHash: w.Settings, Phase: membership.Phase(w.Phase),
		MinLevel: w.Least, MaxLevel: w.Most}
	all := map[uint64]cbor.RawMessage{}
	if err := c.dec.Unmarshal(text, &all); err != nil {
		return nil, err
	}
	for key := range all {
		if key <= mostTag {
			delete(all, key)
		}
	}
	if len(all) > 0 {
		later, err := c.enc.Marshal(all)
		if err == nil && len(later) <= membership.MaxUnknown {
			t.Unknown = string(later)
		}
	}
	return t, nil
}

func (c *Codec) toWire(r *membership.Record) (w wireRecord, err error) {
	w = wireRecord{Name: r.Name, Epoch: r.Epoch, Inc: r.Incarnation, Status: uint8(r.Status), Tagged: r.TagsIncarnation, By: r.ReportedBy}
	if r.Tags != nil {
		w.Tags, err = c.tags(r.Tags)
	}
	return w, err
}

func (c *Codec) fromWire(w *wireRecord) (r membership.Record, err error) {
	r = membership.Record{State: membership.State{Name: w.Name, Epoch: w.Epoch, Incarnation: w.Inc, Status: membership.Status(w.Status), TagsIncarnation: w.Tagged}, ReportedBy: w.By}
	if len(w.Tags) > 0 {
		r.Tags, err = c.readTags(w.Tags)
	}
	return r, err
}

// Encode makes a frame of a message.
func (c *Codec) Encode(m *membership.Message) ([]byte, error) {
	w := wireMessage{Kind: uint8(m.Kind), Seq: m.Seq, Target: m.Target, Digest: m.Digest, Counted: m.ReplicaSetDigest, Want: m.Requested, Share: m.Payload}
	var err error
	if w.From, err = c.toWire(&membership.Record{State: m.From}); err != nil {
		return nil, err
	}
	for i := range m.Updates {
		r, err := c.toWire(&m.Updates[i])
		if err != nil {
			return nil, err
		}
		w.News = append(w.News, r)
	}
	body, err := c.enc.Marshal(later(&w))
	if err != nil {
		return nil, err
	}
	c.number++
	out := make([]byte, header, header+len(body)+code)
	out[0], out[5] = Version, c.sign
	copy(out[1:5], c.short[:])
	binary.BigEndian.PutUint64(out[6:], c.number)
	out = append(out, body...)
	return append(out, c.code(c.keys[c.sign], out)...), nil
}

func (c *Codec) code(key, text []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(c.fleet))
	h.Write(text)
	return h.Sum(nil)[:code]
}

// Decode reads a frame. most bounds its size.
func (c *Codec) Decode(text []byte, most int) (*membership.Message, error) {
	switch {
	case len(text) > most:
		return nil, ErrLarge
	case len(text) < header+code:
		return nil, ErrMalformed
	case text[0] != Version:
		return nil, ErrVersion
	case [4]byte(text[1:5]) != c.short:
		return nil, ErrFleet
	}
	key, known := c.keys[text[5]]
	if !known {
		return nil, ErrKey
	}
	end := len(text) - code
	if !hmac.Equal(text[end:], c.code(key, text[:end])) {
		return nil, ErrAuthentication
	}
	var w wireMessage
	if err := c.dec.Unmarshal(text[header:end], &w); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	m := &membership.Message{Kind: membership.MessageKind(w.Kind), Seq: w.Seq, Target: w.Target, Digest: w.Digest, ReplicaSetDigest: w.Counted, Requested: w.Want, Payload: w.Share}
	from, err := c.fromWire(&w.From)
	for i := range w.News {
		r, bad := c.fromWire(&w.News[i])
		m.Updates, err = append(m.Updates, r), errors.Join(err, bad)
	}
	if m.From = from.State; err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	if !c.fresh(m.From.Name, m.From.Epoch, binary.BigEndian.Uint64(text[6:])) {
		return nil, ErrReplayed
	}
	return m, nil
}

// mostSenders bounds the windows that are kept; beyond it all are forgotten, and
// what was seen before may count once more.
const mostSenders = 16384

// window is which numbers of one start of a sender were seen.
type window struct {
	epoch, top uint64
	bits       [4]uint64 // of the numbers below top
}

// fresh books a number and tells whether it is new.
func (c *Codec) fresh(name string, epoch, number uint64) bool {
	w := c.seen[name]
	if w == nil {
		if len(c.seen) >= mostSenders {
			clear(c.seen)
		}
		w = &window{epoch: epoch}
		c.seen[name] = w
	}
	if epoch < w.epoch {
		return true // of an earlier process: its record says so, and it must be told
	}
	if epoch > w.epoch {
		*w = window{epoch: epoch}
	}
	const span = uint64(len(w.bits) * 64)
	switch {
	case number >= w.top+span:
		w.bits, w.top = [4]uint64{}, number
	case number > w.top:
		for w.top < number {
			w.top++
			w.bits[w.top%span/64] &^= 1 << (w.top % 64)
		}
	case w.top-number >= span:
		return false
	}
	i := number % span
	if w.bits[i/64]&(1<<(i%64)) != 0 {
		return false
	}
	w.bits[i/64] |= 1 << (i % 64)
	return true
}
