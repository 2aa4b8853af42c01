package placement

import (
	"ryerill/fleet/membership"
	"ryerill/internal/seedrand"
)

// replicaSet holds the digest of the set of all replicas that may run, and whether this
// replica is confirmed as part of it.
type replicaSet struct {
	digest    uint64
	confirmed bool
}

// update processes a snapshot. The replica is confirmed once all others announce the same
// set: they count it until it leaves. A later process of its name takes the confirmation
// over.
func (r *replicaSet) update(snapshot *Snapshot) {
	before := r.digest
	r.digest = setDigest(snapshot.Members)
	if snapshot.Displaced {
		r.confirmed = false
		return
	}
	if before == r.digest && snapshot.Joined && r.announcedByAll(snapshot.Members) {
		r.confirmed = true
	}
}

// announcedByAll reports whether all other replicas that may run announced the same set.
func (r *replicaSet) announcedByAll(members []membership.MemberInfo) bool {
	for i := range members {
		m := &members[i]
		if !m.Self && m.Status != membership.Left && m.ReplicaSetDigest != r.digest {
			return false
		}
	}
	return true
}

// poolHashFactor makes a replica's hash depend on the order of its pools.
const poolHashFactor = 31

// setDigest returns a digest of the names and pools of the members that may run.
func setDigest(members []membership.MemberInfo) (digest uint64) {
	for i := range members {
		m := &members[i]
		if m.Status == membership.Left {
			continue
		}
		hash := seedrand.Spread(m.Name)
		if m.Tags != nil {
			for _, name := range m.Tags.Pools {
				hash = hash*poolHashFactor + seedrand.Spread(name)
			}
		}
		digest ^= hash
	}
	return digest
}
