package placement

import (
	"slices"
	"time"

	"ryerill/fleet/membership"
)

const (
	lossWindow              = 5 * time.Second // losses within this window are attributed to one cause
	partitionedLossFraction = 0.5             // a replica that lost a greater fraction is likely partitioned itself
	poorHealth              = 4               // local health score from which any loss is attributed to this replica
)

// partitionDetector detects that this replica itself is likely partitioned: it lost most
// other replicas at once, or lost some while its local health is poor.
type partitionDetector struct {
	partitioned bool
	since       time.Duration
	lastHeard   time.Duration // arrival of the latest message of any other replica; 0 before the first
	losses      []time.Duration
	statuses    map[string]membership.Status // of the other members at the last update
}

func newPartitionDetector() partitionDetector {
	return partitionDetector{statuses: map[string]membership.Status{}}
}

// update processes a snapshot.
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

// dropMissing removes the statuses of replicas that are no longer members.
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

// staleFor returns the time since the latest message of another replica, or 0 if that is
// at most lossWindow or no message has arrived yet.
func (d *partitionDetector) staleFor(now time.Duration) time.Duration {
	silence := now - d.lastHeard
	if d.lastHeard <= 0 || silence <= lossWindow {
		return 0
	}
	return silence
}

// majorityReachable reports whether more than half of the members that may run, including
// this replica, are reachable.
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
