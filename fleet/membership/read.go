package membership

import (
	"slices"
	"strings"
	"time"
)

// Standing is what a member knows of another, or says of itself.
type Standing struct {
	Record
	Self    bool
	Since   time.Duration // when its status became what it is
	Heard   time.Duration // its latest own message; -1 is none
	Counted uint64        // digest of those among whom it divides, as it told last
	Accused []string      // by whom, while it is suspected
}

// Members are all that are known, by name, this one among them.
func (m *Member) Members() []Standing {
	all := make([]Standing, 0, len(m.others)+1)
	all = append(all, Standing{Record: m.self, Self: true, Heard: m.now, Counted: m.counted})
	for _, p := range m.others {
		s := Standing{Record: p.Record, Since: p.since, Heard: p.heard, Counted: p.counted}
		if p.doubt != nil {
			s.Accused = slices.Clone(p.doubt.by)
		}
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Standing) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Self is this member's own record.
func (m *Member) Self() Record { return m.self }

// Health is Lifeguard's local health: 0 is good, 8 as bad as can be.
func (m *Member) Health() int { return m.health }

// Digest is equal wherever the same is known of all.
func (m *Member) Digest() uint64 { return m.digest }

// Displaced tells whether a process of this name that started later is known.
func (m *Member) Displaced() bool { return m.displaced }

// Joined tells whether a whole view was exchanged with anybody yet.
func (m *Member) Joined() bool { return m.joined }

// RTT is how long answers take, smoothed.
func (m *Member) RTT() time.Duration { return m.srtt }

// Count is how many are held for alive, suspected and dead, this one left out.
func (m *Member) Count() (alive, suspect, dead int) {
	return len(m.ring) - len(m.suspects), len(m.suspects), len(m.lost)
}

// Find is what is known of a member, tags included.
func (m *Member) Find(name string) (Record, bool) {
	if name == m.self.Name {
		return m.self, true
	}
	if p := m.others[name]; p != nil {
		return p.Record, true
	}
	return Record{}, false
}

// Counted sets the digest of those among whom this member divides, which it tells
// with every message.
func (m *Member) Counted(digest uint64) { m.counted = digest }
