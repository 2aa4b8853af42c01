package placement

import (
	"slices"
	"time"

	"ryerill/fleet/membership"
)

const (
	lossWindow              = 5 * time.Second // losses within it are attributed to one cause
	partitionedLossFraction = 0.5             // a replica that lost a greater fraction is likely the partitioned one
	poorHealth              = 4               // local health from which any loss is attributed to this replica
)

// partitionDetector finds whether this replica is likely the partitioned one: it lost
// most of the others at once, or its local health is poor while it loses some.
type partitionDetector struct {
	partitioned bool
	since       time.Duration
	lastHeard   time.Duration // when the latest message of any other replica arrived; 0 if none did
	losses      []time.Duration
	statuses    map[string]membership.Status // of the other members at the last update
}

func newPartitionDetector() partitionDetector {
	return partitionDetector{statuses: map[string]membership.Status{}}
}

// update processes the members.
func (d *partitionDetector) update(now time.Duration, snapshot *Snapshot) {
	alive := 0
	for i := range snapshot.Members {
		m := &snapshot.Members[i]
		if m.Self {
			continue
		}
		if m.Status == membership.Dead && reachable(d.statuses[m.Name]) {
			d.losses = append(d.losses, now)
		}
		d.statuses[m.Name] = m.Status
		if reachable(m.Status) {
			alive++
		}
		d.lastHeard = max(d.lastHeard, m.LastHeard)
	}
	d.dropMissing(snapshot.Members)
	d.losses = slices.DeleteFunc(d.losses, func(at time.Duration) bool { return now-at > lossWindow })
	losses := len(d.losses)
	lostMost := float64(losses) > partitionedLossFraction*float64(losses+alive)
	healthy := snapshot.Health < poorHealth
	switch {
	case !d.partitioned && losses > 0 && (lostMost || !healthy):
		d.partitioned = true
		d.since = now
	case d.partitioned && losses == 0 && alive > 0 && healthy && majorityReachable(snapshot.Members):
		d.partitioned = false
	}
}

// dropMissing forgets the statuses of those that are not members any more.
func (d *partitionDetector) dropMissing(members []membership.MemberInfo) {
	if len(d.statuses) <= len(members) {
		return
	}
	for name := range d.statuses {
		if !slices.ContainsFunc(members, func(m membership.MemberInfo) bool { return m.Name == name }) {
			delete(d.statuses, name)
		}
	}
}

// staleFor returns since when no message of another replica arrived; 0 while messages
// arrive, and before the first.
func (d *partitionDetector) staleFor(now time.Duration) time.Duration {
	silence := now - d.lastHeard
	if d.lastHeard <= 0 || silence <= lossWindow {
		return 0
	}
	return silence
}

// majorityReachable reports whether more than half of the members that may run are
// reachable, this replica included.
func majorityReachable(members []membership.MemberInfo) bool {
	all, reached := 0, 0
	for i := range members {
		status := members[i].Status
		if reachable(status) {
			reached++
		}
		if reachable(status) || status == membership.Dead {
			all++
		}
	}
	return 2*reached > all
}

func reachable(status membership.Status) bool {
	return status == membership.Alive || status == membership.Suspect
}
