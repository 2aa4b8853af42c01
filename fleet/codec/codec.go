package codec

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"ryerill/fleet/membership"
)

// Version is the version of the layout of a frame.
const Version = 1

// Bounds of a frame.
const (
	MaxDatagram    = 1200    // bytes: below the smallest MTU common in practice
	MaxSyncMessage = 2 << 20 // bytes of one message of a connection; fits a view of 8,192 members
)

// The layout of a frame: offsets and sizes of its parts, in bytes.
const (
	versionAt  = 0
	fleetAt    = 1
	fleetSize  = 4
	keyAt      = fleetAt + fleetSize
	numberAt   = keyAt + 1
	headerSize = numberAt + 8
	codeSize   = 16
)

// Codec encodes and decodes the frames of one fleet. It is not safe for concurrent use.
type Codec struct {
	fleet   string
	fleetID [fleetSize]byte
	keys    keyRing
	number  uint64 // of the latest encoded frame
	wire    wireCodec
	replays replayFilter
}

// New returns a codec. It signs with the first key and accepts all keys.
func New(fleet string, keys [][]byte) (*Codec, error) {
	ring, err := newKeyRing(keys)
	if err != nil {
		return nil, err
	}
	wire, err := newWireCodec()
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256([]byte(fleet))
	return &Codec{
		fleet:   fleet,
		fleetID: [fleetSize]byte(sum[:fleetSize]),
		keys:    ring,
		wire:    wire,
		replays: replayFilter{windows: map[string][]*replayWindow{}},
	}, nil
}

// SetKeys replaces the keys. On an error it keeps the previous keys.
func (c *Codec) SetKeys(keys [][]byte) error {
	ring, err := newKeyRing(keys)
	if err != nil {
		return err
	}
	c.keys = ring
	return nil
}

// Encode returns a message as a signed frame.
func (c *Codec) Encode(m *membership.Message) ([]byte, error) {
	body, err := c.wire.encodeMessage(m)
	if err != nil {
		return nil, err
	}
	c.number++
	frame := make([]byte, headerSize, headerSize+len(body)+codeSize)
	frame[versionAt] = Version
	copy(frame[fleetAt:], c.fleetID[:])
	frame[keyAt] = c.keys.signing
	binary.BigEndian.PutUint64(frame[numberAt:], c.number)
	frame = append(frame, body...)
	return append(frame, authenticationCode(c.keys.byID[c.keys.signing], c.fleet, frame)...), nil
}

// CheckHead checks the size and the header of a frame of at most maxSize bytes, without the cost of authentication.
// It returns one of Errors, or nil if the frame may belong to this fleet.
func (c *Codec) CheckHead(frame []byte, maxSize int) error {
	switch {
	case len(frame) > maxSize:
		return ErrLarge
	case len(frame) < headerSize+codeSize:
		return ErrMalformed
	case frame[versionAt] != Version:
		return ErrVersion
	case [fleetSize]byte(frame[fleetAt:keyAt]) != c.fleetID:
		return ErrFleet
	}
	if _, known := c.keys.byID[frame[keyAt]]; !known {
		return ErrKey
	}
	return nil
}

// Decode authenticates a frame of at most maxSize bytes and returns its message. An error
// wraps one of Errors.
func (c *Codec) Decode(frame []byte, maxSize int) (*membership.Message, error) {
	if err := c.CheckHead(frame, maxSize); err != nil {
		return nil, err
	}
	key := c.keys.byID[frame[keyAt]]
	codeAt := len(frame) - codeSize
	if !hmac.Equal(frame[codeAt:], authenticationCode(key, c.fleet, frame[:codeAt])) {
		return nil, ErrAuthentication
	}
	m, err := c.wire.decodeMessage(frame[headerSize:codeAt])
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if !c.replays.firstUse(m.From.Name, m.From.Epoch, binary.BigEndian.Uint64(frame[numberAt:])) {
		return nil, ErrReplayed
	}
	return m, nil
}
