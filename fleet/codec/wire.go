package codec

import (
	"errors"

	"github.com/fxamacker/cbor/v2"

	"ryerill/fleet/membership"
)

// The wire formats. A key must never be reused with another meaning.
type (
	wireTags struct {
		Address        string   `cbor:"1,keyasint,omitempty"`
		Zone           string   `cbor:"2,keyasint,omitempty"`
		Tier           int      `cbor:"3,keyasint,omitempty"`
		Pools          []string `cbor:"4,keyasint,omitempty"`
		ProgramVersion string   `cbor:"5,keyasint,omitempty"`
		SettingsHash   string   `cbor:"6,keyasint,omitempty"`
		Phase          uint8    `cbor:"7,keyasint,omitempty"`
		MinLevel       uint8    `cbor:"8,keyasint,omitempty"`
		MaxLevel       uint8    `cbor:"9,keyasint,omitempty"`
	}
	wireRecord struct {
		Name            string          `cbor:"1,keyasint,omitempty"`
		Epoch           uint64          `cbor:"2,keyasint,omitempty"`
		Incarnation     uint32          `cbor:"3,keyasint,omitempty"`
		Status          uint8           `cbor:"4,keyasint,omitempty"`
		TagsIncarnation uint32          `cbor:"5,keyasint,omitempty"`
		ReportedBy      string          `cbor:"6,keyasint,omitempty"`
		Tags            cbor.RawMessage `cbor:"7,keyasint,omitempty"`
	}
	wireMessage struct {
		Kind             uint8        `cbor:"1,keyasint"`
		Seq              uint32       `cbor:"2,keyasint,omitempty"`
		From             wireRecord   `cbor:"3,keyasint"`
		Target           string       `cbor:"4,keyasint,omitempty"`
		Digest           uint64       `cbor:"5,keyasint,omitempty"`
		ReplicaSetDigest uint64       `cbor:"6,keyasint,omitempty"`
		Updates          []wireRecord `cbor:"7,keyasint,omitempty"`
		Requested        []string     `cbor:"8,keyasint,omitempty"`
		Payload          []byte       `cbor:"9,keyasint,omitempty"`
	}
)

// maxTagsKey is the highest key of wireTags.
const maxTagsKey = 9

// Bounds of decoded CBOR, in addition to the size of a frame.
const (
	maxArrayElements = 1 << 14
	maxMapPairs      = 64
	maxNestedLevels  = 8
)

// wireCodec encodes and decodes messages as CBOR.
type wireCodec struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

func newWireCodec() (wireCodec, error) {
	enc, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		return wireCodec{}, err
	}
	dec, err := cbor.DecOptions{
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNestedLevels,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	return wireCodec{enc: enc, dec: dec}, err
}

func (c *wireCodec) encodeMessage(m *membership.Message) ([]byte, error) {
	from, err := c.encodeRecord(&membership.Record{State: m.From})
	if err != nil {
		return nil, err
	}
	wire := wireMessage{
		Kind:             uint8(m.Kind),
		Seq:              m.Seq,
		From:             from,
		Target:           m.Target,
		Digest:           m.Digest,
		ReplicaSetDigest: m.ReplicaSetDigest,
		Requested:        m.Requested,
		Payload:          m.Payload,
	}
	for i := range m.Updates {
		update, err := c.encodeRecord(&m.Updates[i])
		if err != nil {
			return nil, err
		}
		wire.Updates = append(wire.Updates, update)
	}
	return marshalMessage(c.enc, &wire)
}

func (c *wireCodec) decodeMessage(body []byte) (*membership.Message, error) {
	var wire wireMessage
	if err := c.dec.Unmarshal(body, &wire); err != nil {
		return nil, err
	}
	from, err := c.decodeRecord(&wire.From)
	m := &membership.Message{
		Kind:             membership.MessageKind(wire.Kind),
		Seq:              wire.Seq,
		From:             from.State,
		Target:           wire.Target,
		Digest:           wire.Digest,
		ReplicaSetDigest: wire.ReplicaSetDigest,
		Requested:        wire.Requested,
		Payload:          wire.Payload,
	}
	for i := range wire.Updates {
		update, updateErr := c.decodeRecord(&wire.Updates[i])
		m.Updates = append(m.Updates, update)
		err = errors.Join(err, updateErr)
	}
	return m, err
}

func (c *wireCodec) encodeRecord(r *membership.Record) (wire wireRecord, err error) {
	wire = wireRecord{
		Name:            r.Name,
		Epoch:           r.Epoch,
		Incarnation:     r.Incarnation,
		Status:          uint8(r.Status),
		TagsIncarnation: r.TagsIncarnation,
		ReportedBy:      r.ReportedBy,
	}
	if r.Tags != nil {
		wire.Tags, err = c.encodeTags(r.Tags)
	}
	return wire, err
}

func (c *wireCodec) decodeRecord(wire *wireRecord) (r membership.Record, err error) {
	r = membership.Record{
		State: membership.State{
			Name:            wire.Name,
			Epoch:           wire.Epoch,
			Incarnation:     wire.Incarnation,
			Status:          membership.Status(wire.Status),
			TagsIncarnation: wire.TagsIncarnation,
		},
		ReportedBy: wire.ReportedBy,
	}
	if len(wire.Tags) > 0 {
		r.Tags, err = c.decodeTags(wire.Tags)
	}
	return r, err
}

// encodeTags encodes tags, including those that this version does not know.
func (c *wireCodec) encodeTags(t *membership.Tags) (cbor.RawMessage, error) {
	known, err := c.enc.Marshal(wireTags{
		Address:        t.Address,
		Zone:           t.Zone,
		Tier:           t.Tier,
		Pools:          t.Pools,
		ProgramVersion: t.ProgramVersion,
		SettingsHash:   t.SettingsHash,
		Phase:          uint8(t.Phase),
		MinLevel:       t.MinLevel,
		MaxLevel:       t.MaxLevel,
	})
	if err != nil || len(t.Unknown) == 0 {
		return known, err
	}
	all := map[uint64]cbor.RawMessage{}
	if c.dec.Unmarshal([]byte(t.Unknown), &all) != nil || c.dec.Unmarshal(known, &all) != nil {
		return known, nil // send the known tags even if the unknown ones can't be decoded
	}
	return c.enc.Marshal(all)
}

func (c *wireCodec) decodeTags(text cbor.RawMessage) (*membership.Tags, error) {
	var wire wireTags
	if err := c.dec.Unmarshal(text, &wire); err != nil {
		return nil, err
	}
	unknown, err := c.unknownTags(text)
	if err != nil {
		return nil, err
	}
	return &membership.Tags{
		Address:        wire.Address,
		Zone:           wire.Zone,
		Tier:           wire.Tier,
		Pools:          wire.Pools,
		ProgramVersion: wire.ProgramVersion,
		SettingsHash:   wire.SettingsHash,
		Phase:          membership.Phase(wire.Phase),
		MinLevel:       wire.MinLevel,
		MaxLevel:       wire.MaxLevel,
		Unknown:        unknown,
	}, nil
}

// unknownTags returns the encoded tags that this version does not know. It returns "" if
// there are none or they exceed the bound.
func (c *wireCodec) unknownTags(text cbor.RawMessage) (string, error) {
	tags := map[uint64]cbor.RawMessage{}
	if err := c.dec.Unmarshal(text, &tags); err != nil {
		return "", err
	}
	for key := range tags {
		if key <= maxTagsKey {
			delete(tags, key)
		}
	}
	if len(tags) == 0 {
		return "", nil
	}
	unknown, err := c.enc.Marshal(tags)
	if err != nil || len(unknown) > membership.MaxUnknown {
		return "", nil // drop unknown tags that can't be forwarded; the known tags stay valid
	}
	return string(unknown), nil
}
