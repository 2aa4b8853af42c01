package membership

import "ryerill/internal/seedrand"

// State orders the records of a member. Of two states the newer one holds wherever
// both have arrived, in whatever order: that is why all views converge.
type State struct {
	Name            string `json:"Name"`
	Epoch           uint64 `json:"Epoch"` // identifies a start of the member: a restart has a greater one
	Incarnation     uint32 `json:"Inc"`   // raised by the member alone, to refute or to change its tags
	Status          Status `json:"Status"`
	TagsIncarnation uint32 `json:"Tagged"` // the incarnation at which its tags last changed
}

// Newer reports whether s overrides other, which is a state of the same member.
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

// sameTags reports whether s and other, states of the same member, have the same tags.
func (s State) sameTags(other State) bool {
	return s.Epoch == other.Epoch && s.TagsIncarnation == other.TagsIncarnation
}

// The places of numbers in the version that a state's hash covers. They do not overlap: a status has two bits, and an
// incarnation is less than maxIncarnation.
const (
	incarnationShift     = 32
	tagsIncarnationShift = 2
	statusMask           = 1<<tagsIncarnationShift - 1
)

// hash is the state's contribution to the digest of a view: views that hold the
// same have the same digest. Whether a member is suspected changes quickly and is
// not part of it; neither are members that left.
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

// Record is what is known about a member. Tags may be missing: then the known ones
// hold, if they are of the same TagsIncarnation.
type Record struct {
	State
	Tags       *Tags  `json:"Tags"` // shared between records and never changed
	ReportedBy string `json:"By"`   // name of the member that suspected it or declared it dead
}

// maxIncarnation bounds incarnations: a member raises its own by one at a time and
// never comes near, so a greater one is forged or corrupt.
const maxIncarnation = 1 << 30

// valid reports whether a state can be true at all.
func (s *State) valid() bool {
	switch {
	case s.Name == "" || len(s.Name) > MaxName:
		return false
	case s.Status < Alive || s.Status > Left:
		return false
	}
	return s.TagsIncarnation <= s.Incarnation && s.Incarnation < maxIncarnation
}

// valid reports whether a record can be true at all.
func (r *Record) valid() bool {
	if !r.State.valid() || len(r.ReportedBy) > MaxName {
		return false
	}
	return r.Tags == nil || r.Tags.valid()
}

// withoutTags returns the record without its tags, for members that know them already.
func (r Record) withoutTags() Record {
	r.Tags = nil
	return r
}

// Upper bounds of what CBOR takes beside the texts themselves.
const (
	recordOverhead = 40 // bytes of a record's keys and numbers
	tagsOverhead   = 40 // bytes of the keys and numbers of its tags
	poolOverhead   = 2  // bytes of the length of a pool's name
)

// Size returns an upper bound of the bytes that a record needs in a datagram.
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
