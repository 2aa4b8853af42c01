package fleet

import (
	"time"

	"ryerill/fleet/placement"
)

// PositionsFunc receives the replica's positions by pool after each change. The fleet calls it
// with its mutex locked: it must neither block nor call the fleet.
type PositionsFunc func(positions map[string]placement.Position)

// positions keeps the replica's positions and publishes their changes.
type positions struct {
	tracker       *placement.Tracker
	publish       PositionsFunc // may be nil
	updatedAt     time.Time
	startedJoined bool // no sync is needed to join: no seeds, or the members were restored
}

func newPositions(cfg *Config, restored *persistedState, publish PositionsFunc) positions {
	p := positions{
		tracker:       placement.New(cfg.ReplicaCounts),
		publish:       publish,
		startedJoined: len(cfg.Seeds) == 0 || restored.membersComplete(),
	}
	if restored.Confirmed {
		p.tracker.RestoreConfirmed()
	}
	return p
}

// due reports whether the positions need an update even without a member change.
func (p *positions) due(now time.Time) bool {
	return now.Sub(p.updatedAt) >= p.tracker.NextUpdate()
}

// maxQuotaReplicas returns the maximum over all pools of the number of replicas that share a
// quota, and whether the positions in all pools are confirmed.
func (p *positions) maxQuotaReplicas() (replicas int, confirmed bool) {
	confirmed = true
	for _, name := range p.tracker.Pools() {
		position := p.tracker.Position(name)
		replicas = max(replicas, position.QuotaReplicas)
		confirmed = confirmed && position.Confirmed
	}
	return replicas, confirmed
}

// updatePositions recomputes the positions from the members and publishes changes. Callers must
// hold mu.
func (f *Fleet) updatePositions(membersChanged bool) {
	p := &f.positions
	now := time.Now()
	if !membersChanged && !p.due(now) {
		return
	}
	p.updatedAt = now
	moved := p.tracker.Update(f.now(), f.placementSnapshot())
	f.updateQuotaReplicas()
	// Loans beyond the smaller fraction must end before others may rely on it.
	if f.loansFit() && !f.persisted.matches(p.tracker) && f.persisted.mayWrite(now) {
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
