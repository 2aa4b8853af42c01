package placement

import (
	"slices"
	"time"

	"ryerill/fleet/membership"
)

// How long a change must last before the ring order follows it. What makes a quota
// fraction smaller holds at once.
const (
	JoinDelay = time.Second      // replicas were added: more may join beside them
	LossDelay = 10 * time.Second // a replica is missing: it may only flap
)

// pool is the position in one pool.
type pool struct {
	position Position
	ring     ring
}

// replicaCount counts the replicas of a pool.
type replicaCount struct {
	all         int // that may run
	alive       int // that are not even suspected
	unreachable int
	ring        []string // names of those that should be in the ring order, sorted
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

// ring is the ring order of a pool's replicas: their names, sorted.
type ring struct {
	started  bool
	replicas []string
	next     []string // the latest ones, which replace replicas once they have lasted
	since    time.Duration
}

// changing reports whether a change waits until it has lasted.
func (r *ring) changing() bool { return !slices.Equal(r.replicas, r.next) }

// position returns the index of a replica and their number. A replica that is not
// among them has the first index.
func (r *ring) position(name string) (index, of int) {
	index, found := slices.BinarySearch(r.replicas, name)
	if !found {
		return 0, max(len(r.replicas), 1)
	}
	return index, len(r.replicas)
}

// update has the order follow the latest replicas once they have lasted. While this
// replica is partitioned none is taken out.
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

// losing reports whether the next replicas lack one of the present ones.
func (r *ring) losing() bool {
	return slices.ContainsFunc(r.replicas, func(name string) bool {
		_, found := slices.BinarySearch(r.next, name)
		return !found
	})
}
