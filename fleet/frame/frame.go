// Package frame turns what members say to each other into datagrams and pieces of
// a connection, and back. Each carries a version, the fleet it is of, a number that
// is used once, and an authentication code. Whatever does not fit is an error that
// says why, and nobody answers it.
//
//	version 1 | fleet 4 | key 1 | number 8 | CBOR | code 16
//
// The code is HMAC-SHA-256 over all before it and the fleet's name, cut to its
// first 16 bytes. The number counts up within a start of the sender; a receiver
// keeps a window of those it has seen, so that a frame counts once.
package frame

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"ryerill/fleet/member"
)

// Bounds and form of a frame.
const (
	Version     = 1
	MaxDatagram = 1200    // bytes: under the least MTU that is met in practice
	MaxPiece    = 2 << 20 // bytes of one message of an exchange: a view of 8,192 members
	LeastKey    = 16      // bytes of a key

	header = 14
	code   = 16
)

// What can be wrong with a frame.
var (
	ErrVersion = errors.New("of another version")
	ErrFleet   = errors.New("of another fleet")
	ErrKey     = errors.New("by a key that is not known")
	ErrCode    = errors.New("its code does not fit")
	ErrTorn    = errors.New("torn")
	ErrLarge   = errors.New("too large")
	ErrAgain   = errors.New("seen before")
)

// Faults are all of them, in the order in which they are told.
var Faults = []error{ErrVersion, ErrFleet, ErrKey, ErrCode, ErrTorn, ErrLarge, ErrAgain}

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

// Key identifies a key by its first bytes' hash, so that two may be valid at once.
func keyID(key []byte) byte { s := sha256.Sum256(key); return s[0] }

// New returns a codec. The first key signs; all of them are taken.
func New(fleet string, keys [][]byte) (*Codec, error) {
	c := &Codec{fleet: fleet, keys: map[byte][]byte{}, seen: map[string]*window{}}
	sum := sha256.Sum256([]byte(fleet))
	copy(c.short[:], sum[:])
	if err := c.Keys(keys); err != nil {
		return nil, err
	}
	var err error
	if c.enc, err = cbor.CoreDetEncOptions().EncMode(); err != nil {
		return nil, err
	}
	c.dec, err = cbor.DecOptions{MaxArrayElements: 1 << 14, MaxMapPairs: 64, MaxNestedLevels: 8, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	return c, err
}

// Keys puts other keys in the place of those that hold.
func (c *Codec) Keys(keys [][]byte) error {
	next := map[byte][]byte{}
	for i, k := range keys {
		if len(k) < LeastKey {
			return fmt.Errorf("key %d has %d bytes, and %d are the least", i, len(k), LeastKey)
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

// The form on the wire: arrays, in this order. More elements at an end are of a
// later version and passed over.
type (
	wireTags struct {
		_        struct{} `cbor:",toarray"`
		Address  string
		Zone     string
		Tier     int
		Pools    []string
		Program  string
		Settings string
		Phase    uint8
	}
	wireRecord struct {
		_      struct{} `cbor:",toarray"`
		Name   string
		Epoch  uint64
		Inc    uint32
		Status uint8
		Tagged uint32
		By     string
		Tags   *wireTags
	}
	wireMessage struct {
		_       struct{} `cbor:",toarray"`
		Kind    uint8
		Seq     uint32
		From    wireRecord
		Target  string
		Digest  uint64
		Counted uint64
		News    []wireRecord
		Want    []string
		Share   []byte
	}
)

func toWire(r *member.Record) wireRecord {
	w := wireRecord{Name: r.Name, Epoch: r.Epoch, Inc: r.Inc, Status: uint8(r.Status), Tagged: r.Tagged, By: r.By}
	if t := r.Tags; t != nil {
		w.Tags = &wireTags{Address: t.Address, Zone: t.Zone, Tier: t.Tier, Pools: t.Pools, Program: t.Program, Settings: t.Settings, Phase: uint8(t.Phase)}
	}
	return w
}

func fromWire(w *wireRecord) member.Record {
	r := member.Record{Head: member.Head{Name: w.Name, Epoch: w.Epoch, Inc: w.Inc, Status: member.Status(w.Status), Tagged: w.Tagged}, By: w.By}
	if t := w.Tags; t != nil {
		r.Tags = &member.Tags{Address: t.Address, Zone: t.Zone, Tier: t.Tier, Pools: t.Pools, Program: t.Program, Settings: t.Settings, Phase: member.Phase(t.Phase)}
	}
	return r
}

// Encode makes a frame of a message.
func (c *Codec) Encode(m *member.Message) ([]byte, error) {
	w := wireMessage{Kind: uint8(m.Kind), Seq: m.Seq, From: toWire(&member.Record{Head: m.From}), Target: m.Target, Digest: m.Digest, Counted: m.Counted, Want: m.Want, Share: m.Share}
	for i := range m.News {
		w.News = append(w.News, toWire(&m.News[i]))
	}
	body, err := c.enc.Marshal(w)
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
func (c *Codec) Decode(text []byte, most int) (*member.Message, error) {
	switch {
	case len(text) > most:
		return nil, ErrLarge
	case len(text) < header+code:
		return nil, ErrTorn
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
		return nil, ErrCode
	}
	var w wireMessage
	if err := c.dec.Unmarshal(text[header:end], &w); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrTorn, err)
	}
	m := &member.Message{Kind: member.MessageKind(w.Kind), Seq: w.Seq, From: fromWire(&w.From).Head, Target: w.Target, Digest: w.Digest, Counted: w.Counted, Want: w.Want, Share: w.Share}
	for i := range w.News {
		m.News = append(m.News, fromWire(&w.News[i]))
	}
	if !c.fresh(m.From.Name, m.From.Epoch, binary.BigEndian.Uint64(text[6:])) {
		return nil, ErrAgain
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
