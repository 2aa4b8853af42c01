package membership

import (
	"slices"
	"strings"
	"time"
)

// MemberInfo is what a member knows of another, or says of itself.
type MemberInfo struct {
	Record
	Self             bool
	StatusSince      time.Duration // when its status became what it is
	LastHeard        time.Duration // its latest own message; -1 is none
	ReplicaSetDigest uint64        // digest of those among whom it divides, as it told last
	SuspectedBy      []string      // by whom, while it is suspected
}

// Members are all that are known, by name, this one among them.
func (m *List) Members() []MemberInfo {
	all := make([]MemberInfo, 0, len(m.others)+1)
	all = append(all, MemberInfo{Record: m.self, Self: true, LastHeard: m.now, ReplicaSetDigest: m.counted})
	for _, p := range m.others {
		s := MemberInfo{Record: p.Record, StatusSince: p.since, LastHeard: p.heard, ReplicaSetDigest: p.counted}
		if p.doubt != nil {
			s.SuspectedBy = slices.Clone(p.doubt.by)
		}
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b MemberInfo) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Self is this member's own record.
func (m *List) Self() Record { return m.self }

// LocalHealth is Lifeguard's local health: 0 is good, 8 as bad as can be.
func (m *List) LocalHealth() int { return m.health }

// Digest is equal wherever the same is known of all.
func (m *List) Digest() uint64 { return m.digest }

// Displaced tells whether a process of this name that started later is known.
func (m *List) Displaced() bool { return m.displaced }

// Joined tells whether a whole view was exchanged with anybody yet.
func (m *List) Joined() bool { return m.joined }

// RTT is how long answers take, smoothed.
func (m *List) RTT() time.Duration { return m.srtt }

// Count is how many are held for alive, suspected and dead, this one left out.
func (m *List) Count() (alive, suspect, dead int) {
	return len(m.ring) - len(m.suspects), len(m.suspects), len(m.lost)
}

// Find is what is known of a member, tags included.
func (m *List) Find(name string) (Record, bool) {
	if name == m.self.Name {
		return m.self, true
	}
	if p := m.others[name]; p != nil {
		return p.Record, true
	}
	return Record{}, false
}

// SetReplicaSetDigest sets the digest of those among whom this member divides, which it tells
// with every message.
func (m *List) SetReplicaSetDigest(digest uint64) { m.counted = digest }
