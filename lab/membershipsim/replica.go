package membershipsim

import (
	"time"

	"ryerill/fleet/membership"
	"ryerill/fleet/placement"
)

// poolName is the pool that all replicas serve.
const poolName = "main"

// Replica is one process of the fleet.
type Replica struct {
	Name    string
	Address string
	List    *membership.List   // nil before the first start
	Tracker *placement.Tracker // nil from each start until UpdatePlacements

	Up         bool
	Stopped    bool // as by SIGSTOP
	DiskFailed bool // nothing is persisted, and a restart finds nothing

	Bytes         uint64 // of the datagrams that it has sent
	Frames        uint64
	ExchangeBytes uint64 // in both directions, of the exchanges that it has started

	persisted []membership.Record // what it knows after a restart
	confirmed bool                // persisted beside the records: see placement.Tracker
	hasLeft   bool                // it has announced that it leaves
	wasMember bool                // at its start it knew of a fleet, or founded one

	generation int // grows with each start and kill
	tickAt     time.Duration
	backlog    []membership.Event // what it has received while stopped
}

// start replaces the process by a new one.
func (r *Replica) start(list *membership.List) {
	r.List = list
	r.Tracker = nil
	r.Up = true
	r.Stopped = false
	r.backlog = nil
	r.tickAt = noTick
	if r.DiskFailed {
		r.persisted = nil
		r.confirmed = false
	}
}

// AnnounceLeave persists that a replica leaves: at its next start it is not one that all
// the others count already.
func (r *Replica) AnnounceLeave() {
	r.confirmed = false
	r.hasLeft = true
}

// UpdatePlacements has each replica that runs compute its placement, as the host does, in
// a fleet whose configuration states minReplicas replicas.
func (s *Sim) UpdatePlacements(minReplicas int) {
	for _, replica := range s.Replicas {
		if replica.Up && !replica.Stopped {
			replica.updatePlacement(s.Now, minReplicas)
		}
	}
}

func (r *Replica) updatePlacement(now time.Duration, minReplicas int) {
	if r.Tracker == nil {
		r.Tracker = placement.New(map[string]int{poolName: minReplicas})
		if r.confirmed {
			r.Tracker.RestoreConfirmed()
		}
	}
	r.Tracker.Update(now, placement.Snapshot{
		Members:   r.List.Members(),
		Joined:    r.List.Joined() || r.wasMember,
		Displaced: r.List.Displaced(),
		Health:    r.List.LocalHealth(),
	})
	r.hasLeft = r.List.Self().Status == membership.Left
	if r.DiskFailed {
		return
	}
	r.persist()
	r.List.SetReplicaSetDigest(r.Tracker.ReplicaSetDigest())
}

// persist saves what the host would save.
func (r *Replica) persist() {
	r.confirmed = r.Tracker.Confirmed() && !r.hasLeft
	r.persisted = r.persisted[:0]
	for _, member := range r.List.Members() {
		if !member.Self && member.Status != membership.Left {
			r.persisted = append(r.persisted, member.Record)
		}
	}
}

// StatusOf returns the status that a list holds of a member; 0 if it knows none.
func StatusOf(list *membership.List, name string) membership.Status {
	record, _ := list.Find(name)
	return record.Status
}

// Equal reports whether all replicas that are up have the same view.
func (s *Sim) Equal() bool {
	first := uint64(0)
	for _, replica := range s.Replicas {
		if !replica.Up {
			continue
		}
		digest := replica.List.Digest()
		if first == 0 {
			first = digest
		}
		if digest != first {
			return false
		}
	}
	return true
}
