package placement

import (
	"slices"
	"time"

	"ryerill/fleet/membership"
)

// How long a change must last before the ring order follows it. Changes that reduce a
// quota fraction apply at once.
const (
	JoinDelay = time.Second      // after additions: more replicas may be joining
	LossDelay = 10 * time.Second // after a loss: the replica may only be flapping
)

// pool holds the position and the ring order of one pool.
type pool struct {
	position Position
	ring     ring
}

// replicaCount holds the numbers of replicas of a pool by status.
type replicaCount struct {
	all         int // replicas that may run
	alive       int // replicas that are alive and not suspected
	unreachable int
	ring        []string // sorted names of the replicas that should be in the ring order
}

func countReplicas(poolName string, snapshot *Snapshot) (count replicaCount) {
	for i := range snapshot.Members {
		m := &snapshot.Members[i]
		if m.Status == membership.Left || m.Tags == nil || !slices.Contains(m.Tags.Pools, poolName) {
			continue
		}
		count.all++
		if m.Status == membership.Dead {
			count.unreachable++
			continue
		}
		if m.Status == membership.Alive {
			count.alive++
		}
		if m.Tags.Phase != membership.Leaving || m.Self {
			count.ring = append(count.ring, m.Name)
		}
	}
	return count
}

// ring is the ring order of a pool's replicas, which is the order of their names.
type ring struct {
	started  bool
	replicas []string
	next     []string // latest replicas, which replace replicas after a delay
	since    time.Duration
}

// changing reports whether a change is pending.
func (r *ring) changing() bool { return !slices.Equal(r.replicas, r.next) }

// position returns the index of a replica and the number of replicas. A replica that is
// not in the ring order gets index 0.
func (r *ring) position(name string) (index, of int) {
	index, found := slices.BinarySearch(r.replicas, name)
	if !found {
		return 0, max(len(r.replicas), 1)
	}
	return index, len(r.replicas)
}

// update applies the latest replicas once they have been stable for JoinDelay, or LossDelay
// if a replica is missing. It removes no replica while this replica is partitioned.
func (r *ring) update(now time.Duration, latest []string, partitioned bool) {
	if !r.started {
		r.started = true
		r.replicas = latest
		r.next = latest
		r.since = now
		return
	}
	if !slices.Equal(latest, r.next) {
		r.next = latest
		r.since = now
	}
	if !r.changing() {
		return
	}
	delay := JoinDelay
	if r.losing() {
		if partitioned {
			return
		}
		delay = LossDelay
	}
	if now-r.since >= delay {
		r.replicas = r.next
	}
}

// losing reports whether the pending change removes a replica.
func (r *ring) losing() bool {
	return slices.ContainsFunc(r.replicas, func(name string) bool {
		_, found := slices.BinarySearch(r.next, name)
		return !found
	})
}
