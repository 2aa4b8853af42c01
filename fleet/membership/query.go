package membership

import (
	"slices"
	"strings"
	"time"
)

// MemberInfo describes what this replica knows about a member or about itself.
type MemberInfo struct {
	Record
	Self             bool
	StatusSince      time.Duration // time of the latest status change
	LastHeard        time.Duration // arrival of the latest message sent by the member itself; -1 before the first
	ReplicaSetDigest uint64        // of the replicas among which it divides quotas, as last announced
	SuspectedBy      []string      // names of the members that reported the current suspicion
}

// Members returns all known members, including this one, sorted by name.
func (l *List) Members() []MemberInfo {
	all := make([]MemberInfo, 0, len(l.members.byName)+1)
	all = append(all, MemberInfo{Record: l.self, Self: true, LastHeard: l.now, ReplicaSetDigest: l.replicaSetDigest})
	for _, m := range l.members.byName {
		info := MemberInfo{
			Record:           m.Record,
			StatusSince:      m.statusSince,
			LastHeard:        m.lastHeard,
			ReplicaSetDigest: m.replicaSetDigest,
		}
		if m.suspicion != nil {
			info.SuspectedBy = slices.Clone(m.suspicion.reporters)
		}
		all = append(all, info)
	}
	slices.SortFunc(all, func(a, b MemberInfo) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Self returns this member's own record.
func (l *List) Self() Record { return l.self }

// LocalHealth returns Lifeguard's local health score: 0 is good, 8 is worst.
func (l *List) LocalHealth() int { return l.prober.health.score }

// Digest returns the digest of this view. Equal views have equal digests.
func (l *List) Digest() uint64 { return l.view.value }

// Displaced reports whether a later process uses this member's name.
func (l *List) Displaced() bool { return l.displaced }

// Joined reports whether this member's view has agreed with another's or been synchronized with it.
func (l *List) Joined() bool { return l.joined }

// RTT returns the smoothed round-trip time of probes, or 0 before the first ack.
func (l *List) RTT() time.Duration { return l.prober.rtt.smoothed }

// Count returns how many other members are alive, suspect and dead.
func (l *List) Count() (alive, suspect, dead int) {
	suspect = len(l.suspects.members)
	return len(l.members.reachable) - suspect, suspect, len(l.members.unreachable)
}

// Find returns the record of a member, which may be this one.
func (l *List) Find(name string) (Record, bool) {
	if name == l.self.Name {
		return l.self, true
	}
	if m := l.members.byName[name]; m != nil {
		return m.Record, true
	}
	return Record{}, false
}

// SetReplicaSetDigest sets the digest of the replicas among which this member divides
// quotas. Every message carries it.
func (l *List) SetReplicaSetDigest(digest uint64) { l.replicaSetDigest = digest }
