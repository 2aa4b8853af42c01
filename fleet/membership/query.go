package membership

import (
	"slices"
	"strings"
	"time"
)

// MemberInfo is what a replica knows about a member, itself included.
type MemberInfo struct {
	Record
	Self             bool
	StatusSince      time.Duration // when the status became what it is
	LastHeard        time.Duration // when its latest own message arrived; -1 if none did
	ReplicaSetDigest uint64        // of the replicas that it divides quotas among, as it announced last
	SuspectedBy      []string      // names of the members that reported the suspicion under way
}

// Members returns all known members in the order of their names, this one included.
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

// Digest returns the digest of this view; it is equal where the same is known about all members.
func (l *List) Digest() uint64 { return l.view.value }

// Displaced reports whether a process of this member's name that started later is known.
func (l *List) Displaced() bool { return l.displaced }

// Joined reports whether a whole view was exchanged with another member yet.
func (l *List) Joined() bool { return l.joined }

// RTT returns the smoothed round-trip time of probes; 0 before the first.
func (l *List) RTT() time.Duration { return l.prober.rtt.smoothed }

// Count returns how many other members are alive, suspect and dead.
func (l *List) Count() (alive, suspect, dead int) {
	suspect = len(l.suspects.members)
	return len(l.members.reachable) - suspect, suspect, len(l.members.unreachable)
}

// Find returns the record of a member, this one included.
func (l *List) Find(name string) (Record, bool) {
	if name == l.self.Name {
		return l.self, true
	}
	if m := l.members.byName[name]; m != nil {
		return m.Record, true
	}
	return Record{}, false
}

// SetReplicaSetDigest sets the digest of the replicas that this member divides quotas
// among, which it sends with every message.
func (l *List) SetReplicaSetDigest(digest uint64) { l.replicaSetDigest = digest }
