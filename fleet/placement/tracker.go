package placement

import (
	"maps"
	"slices"
	"time"

	"ryerill/fleet/membership"
)

// Snapshot is a replica's view of the fleet at one time.
type Snapshot struct {
	Members   []membership.MemberInfo // sorted by name, including this replica
	Joined    bool                    // a whole view was exchanged or restored, or there is no other replica
	Displaced bool
	Health    int // local health score; 0 is good
}

// self returns this replica's own entry, or nil if there is none.
func (s *Snapshot) self() *membership.MemberInfo {
	for i := range s.Members {
		if s.Members[i].Self {
			return &s.Members[i]
		}
	}
	return nil
}

// Tracker tracks the positions of a replica. It is not safe for concurrent use.
type Tracker struct {
	minimums  map[string]int
	now       time.Duration
	left      bool // this replica announced its departure
	replicas  replicaSet
	partition partitionDetector
	pools     map[string]*pool
}

// New returns a tracker without positions. minimums holds the configured minimum number of
// replicas of each pool: quotas are divided by at least this number.
func New(minimums map[string]int) *Tracker {
	return &Tracker{minimums: minimums, partition: newPartitionDetector(), pools: map[string]*pool{}}
}

// Confirmed reports whether all replicas that may run count this one. It stays confirmed,
// also across a restart, until it announces that it leaves.
func (t *Tracker) Confirmed() bool { return t.replicas.confirmed }

// RestoreConfirmed restores the confirmation that the replica had before its restart.
func (t *Tracker) RestoreConfirmed() { t.replicas.confirmed = true }

// SetMinimums replaces the configured minimum numbers of replicas.
func (t *Tracker) SetMinimums(minimums map[string]int) { t.minimums = minimums }

// ReplicaSetDigest returns the digest of the set of all replicas that may run, including this one.
func (t *Tracker) ReplicaSetDigest() uint64 { return t.replicas.digest }

// Partitioned reports whether this replica itself is likely partitioned, and since when.
func (t *Tracker) Partitioned() (partitioned bool, since time.Duration) {
	return t.partition.partitioned, t.partition.since
}

// Position returns the position among the replicas of a pool. For a pool that is not tracked
// yet it assumes index 0 among the configured minimum.
func (t *Tracker) Position(poolName string) Position {
	if p := t.pools[poolName]; p != nil {
		return p.position
	}
	minimum := t.minimum(poolName)
	return Position{Of: minimum, QuotaReplicas: minimum, Confirmed: true}
}

func (t *Tracker) minimum(poolName string) int { return max(t.minimums[poolName], 1) }

// Pools returns the names of the tracked pools, sorted.
func (t *Tracker) Pools() []string { return slices.Sorted(maps.Keys(t.pools)) }

// Update processes a snapshot, and reports whether any position has changed, apart from
// StaleFor. Times must not decrease.
func (t *Tracker) Update(now time.Duration, snapshot Snapshot) (changed bool) {
	t.now = max(now, t.now)
	t.replicas.update(&snapshot)
	t.partition.update(t.now, &snapshot)
	self := snapshot.self()
	if self == nil || self.Tags == nil {
		return false
	}
	t.left = self.Status == membership.Left
	for _, name := range self.Tags.Pools {
		if t.updatePool(name, self.Name, &snapshot) {
			changed = true
		}
	}
	for name := range t.pools {
		if !slices.Contains(self.Tags.Pools, name) {
			delete(t.pools, name)
			changed = true
		}
	}
	return changed
}

// updatePool updates the position in one pool, and reports whether it has changed, apart from StaleFor.
func (t *Tracker) updatePool(name, self string, snapshot *Snapshot) (changed bool) {
	p := t.pools[name]
	if p == nil {
		p = &pool{}
		t.pools[name] = p
	}
	count := countReplicas(name, snapshot)
	p.ring.update(t.now, count.ring, t.partition.partitioned)
	minimum := t.minimum(name)
	// While the replicas that may run do not exceed the minimum, each may spend its fraction without being
	// confirmed by the others. Before it has joined, a replica does not know which others may run.
	confirmed := t.replicas.confirmed || snapshot.Joined && count.all <= minimum
	index, of := p.ring.position(self)
	before := p.position
	p.position = Position{
		Index:         index,
		Of:            of,
		QuotaReplicas: max(count.all, minimum),
		Alive:         count.alive,
		Unreachable:   count.unreachable,
		Confirmed:     confirmed && !snapshot.Displaced && !t.left, // others no longer count it
	}
	if len(snapshot.Members) > 1 {
		p.position.StaleFor = t.partition.staleFor(t.now)
	}
	after := p.position
	after.StaleFor = before.StaleFor
	return before != after
}

// NextUpdate returns the maximum time until the next call of Update.
func (t *Tracker) NextUpdate() time.Duration {
	for _, p := range t.pools {
		if p.ring.changing() {
			return JoinDelay / 2
		}
	}
	return JoinDelay
}
