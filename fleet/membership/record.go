package membership

import "ryerill/internal/seedrand"

// State is the versioned part of a record. Every member keeps the newer of two states,
// in whatever order they arrive, so all views converge.
type State struct {
	Name            string `json:"Name"`
	Epoch           uint64 `json:"Epoch"` // identifies one start of the member; increases with each restart
	Incarnation     uint32 `json:"Inc"`   // raised only by the member itself, to refute or to change its tags
	Status          Status `json:"Status"`
	TagsIncarnation uint32 `json:"Tagged"` // the incarnation at which its tags last changed
}

// Newer reports whether s overrides other. Both must be states of the same member.
func (s State) Newer(other State) bool {
	switch {
	case s.Epoch != other.Epoch:
		return s.Epoch > other.Epoch
	case (s.Status == Left) != (other.Status == Left):
		return s.Status == Left
	case s.Incarnation != other.Incarnation:
		return s.Incarnation > other.Incarnation
	}
	return s.Status > other.Status
}

// sameTags reports whether s and other have the same tags. Both must be states of the same member.
func (s State) sameTags(other State) bool {
	return s.Epoch == other.Epoch && s.TagsIncarnation == other.TagsIncarnation
}

// Bit positions in the version that hash covers. The fields do not overlap: a status has two bits, and an
// incarnation is less than maxIncarnation.
const (
	incarnationShift     = 32
	tagsIncarnationShift = 2
	statusMask           = 1<<tagsIncarnationShift - 1
)

// hash returns the state's contribution to the digest of a view: equal views have equal
// digests. Suspect counts as Alive, since suspicions change quickly; members that left
// contribute nothing.
func (s State) hash() uint64 {
	if s.Status == Left {
		return 0
	}
	status := s.Status
	if status == Suspect {
		status = Alive
	}
	identity := seedrand.HashName(s.Name) ^ seedrand.Mix(s.Epoch)
	version := uint64(s.Incarnation)<<incarnationShift |
		uint64(s.TagsIncarnation)<<tagsIncarnationShift | uint64(status&statusMask)
	return seedrand.Mix(identity ^ seedrand.Mix(version))
}

// Record describes a member. If Tags is nil, the receiver keeps the tags it knows,
// provided that they have the same TagsIncarnation.
type Record struct {
	State
	Tags       *Tags  `json:"Tags"` // shared between records, immutable
	ReportedBy string `json:"By"`   // name of the member that suspected this one or declared it dead
}

// maxIncarnation bounds incarnations. A member raises its own by one at a time and never
// gets near the bound, so a greater incarnation is forged or corrupt.
const maxIncarnation = 1 << 30

// valid reports whether a state is well formed.
func (s *State) valid() bool {
	switch {
	case s.Name == "" || len(s.Name) > MaxName:
		return false
	case s.Status < Alive || s.Status > Left:
		return false
	}
	return s.TagsIncarnation <= s.Incarnation && s.Incarnation < maxIncarnation
}

// valid reports whether a record is well formed.
func (r *Record) valid() bool {
	if !r.State.valid() || len(r.ReportedBy) > MaxName {
		return false
	}
	return r.Tags == nil || r.Tags.valid()
}

// withoutTags returns a copy without tags, for recipients that already know them.
func (r Record) withoutTags() Record {
	r.Tags = nil
	return r
}

// Upper bounds of the CBOR overhead, in addition to the strings themselves.
const (
	recordOverhead = 40 // bytes for the keys and numbers of a record
	tagsOverhead   = 40 // bytes for the keys and numbers of its tags
	poolOverhead   = 2  // bytes for the length of a pool name
)

// Size returns an upper bound on the encoded size of the record, in bytes.
func (r *Record) Size() int {
	size := recordOverhead + len(r.Name) + len(r.ReportedBy)
	if r.Tags == nil {
		return size
	}
	t := r.Tags
	size += tagsOverhead + len(t.Address) + len(t.Zone) + len(t.ProgramVersion) + len(t.SettingsHash) + len(t.Unknown)
	for _, pool := range t.Pools {
		size += poolOverhead + len(pool)
	}
	return size
}
