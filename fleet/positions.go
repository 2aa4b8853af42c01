package fleet

import (
	"time"

	"ryerill/fleet/placement"
)

// PositionsFunc receives the replica's positions, by pool, with every change. It is
// called with the fleet's mutex held: it must neither block nor call the fleet.
type PositionsFunc func(positions map[string]placement.Position)

// positions keeps the replica's positions and publishes their changes.
type positions struct {
	tracker       *placement.Tracker
	publish       PositionsFunc // may be nil
	updatedAt     time.Time
	startedJoined bool // no view need be exchanged: there is no seed, or those that may run were restored
}

func newPositions(cfg *Config, restored *persistedState, publish PositionsFunc) positions {
	p := positions{
		tracker:       placement.New(cfg.ReplicaCounts),
		publish:       publish,
		startedJoined: len(cfg.Seeds) == 0 || restored.countsMembers(),
	}
	if restored.Confirmed {
		p.tracker.RestoreConfirmed()
	}
	return p
}

// due reports whether the positions are to be updated although no member changed.
func (p *positions) due(now time.Time) bool {
	return now.Sub(p.updatedAt) >= p.tracker.NextUpdate()
}

// maxQuotaReplicas returns the greatest number of replicas that quotas of any pool are
// divided among, and whether the positions in all pools are confirmed.
func (p *positions) maxQuotaReplicas() (replicas int, confirmed bool) {
	confirmed = true
	for _, name := range p.tracker.Pools() {
		position := p.tracker.Position(name)
		replicas = max(replicas, position.QuotaReplicas)
		confirmed = confirmed && position.Confirmed
	}
	return replicas, confirmed
}

// updatePositions has the positions follow the members, and publishes them if they
// change. The mutex is held.
func (f *Fleet) updatePositions(membersChanged bool) {
	p := &f.positions
	now := time.Now()
	if !membersChanged && !p.due(now) {
		return
	}
	p.updatedAt = now
	moved := p.tracker.Update(f.now(), f.placementSnapshot())
	f.updateQuotaReplicas()
	// Loans must end before others may rely on this replica's fraction being smaller.
	if f.loansFit() && !f.persisted.holds(p.tracker) && f.persisted.mayWrite(now) {
		f.persistReplicaSet()
	}
	if moved && p.publish != nil {
		f.publishPositions()
	}
}

func (f *Fleet) publishPositions() {
	all := map[string]placement.Position{}
	for _, name := range f.positions.tracker.Pools() {
		position := f.positions.tracker.Position(name)
		all[name] = position
		f.log.Info("fleet position changed", "pool", name, "index", position.Index, "of", position.Of,
			"quota_replicas", position.QuotaReplicas, "quota_fraction", position.QuotaFraction(),
			"unreachable", position.Unreachable)
	}
	f.positions.publish(all)
}

func (f *Fleet) placementSnapshot() placement.Snapshot {
	return placement.Snapshot{
		Members:   f.list.Members(),
		Joined:    f.list.Joined() || f.positions.startedJoined,
		Displaced: f.list.Displaced(),
		Health:    f.list.LocalHealth(),
	}
}
