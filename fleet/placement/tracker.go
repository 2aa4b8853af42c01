package placement

import (
	"maps"
	"slices"
	"time"

	"ryerill/fleet/membership"
)

// Snapshot is what a replica knows about its fleet.
type Snapshot struct {
	Members   []membership.MemberInfo // in the order of their names, this replica among them
	Joined    bool                    // a whole view was exchanged or restored, or there is nobody to ask
	Displaced bool
	Health    int // the local health: 0 is good
}

// self returns this replica's own entry; nil without one.
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
	left      bool // this replica announced that it leaves
	replicas  replicaSet
	partition partitionDetector
	pools     map[string]*pool
}

// New returns a tracker without positions. minimums are the numbers of replicas that
// an operator has configured, by pool: among fewer no quota of the pool is divided.
func New(minimums map[string]int) *Tracker {
	return &Tracker{minimums: minimums, partition: newPartitionDetector(), pools: map[string]*pool{}}
}

// Confirmed reports whether all replicas that may run count this one. Once they do
// they continue to, over a restart too, until it announces that it leaves.
func (t *Tracker) Confirmed() bool { return t.replicas.confirmed }

// RestoreConfirmed makes the replica confirmed, as it was before its restart.
func (t *Tracker) RestoreConfirmed() { t.replicas.confirmed = true }

// SetMinimums replaces the configured numbers of replicas.
func (t *Tracker) SetMinimums(minimums map[string]int) { t.minimums = minimums }

// ReplicaSetDigest returns the digest of all replicas that may run, this one included.
func (t *Tracker) ReplicaSetDigest() uint64 { return t.replicas.digest }

// Partitioned reports whether this replica is likely the partitioned one, and since when.
func (t *Tracker) Partitioned() (partitioned bool, since time.Duration) {
	return t.partition.partitioned, t.partition.since
}

// Position returns the position among the replicas of a pool. Before the first update
// it is the first one of the configured minimum.
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

// Update processes what is known, and reports whether any position has changed. Times
// must not go back.
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

// updatePool updates the position in one pool, and reports whether it has changed.
func (t *Tracker) updatePool(name, self string, snapshot *Snapshot) (changed bool) {
	p := t.pools[name]
	if p == nil {
		p = &pool{}
		t.pools[name] = p
	}
	count := countReplicas(name, snapshot)
	p.ring.update(t.now, count.ring, t.partition.partitioned)
	minimum := t.minimum(name)
	// While all replicas that may run fit the minimum each may spend its fraction, whatever the others know.
	// A replica that has met no other yet does not know which may run.
	confirmed := t.replicas.confirmed || snapshot.Joined && count.all <= minimum
	index, of := p.ring.position(self)
	before := p.position
	p.position = Position{
		Index:         index,
		Of:            of,
		QuotaReplicas: max(count.all, minimum),
		Alive:         count.alive,
		Unreachable:   count.unreachable,
		Confirmed:     confirmed && !snapshot.Displaced && !t.left, // what others don't count any more has no fraction
	}
	if len(snapshot.Members) > 1 {
		p.position.StaleFor = t.partition.staleFor(t.now)
	}
	after := p.position
	after.StaleFor = before.StaleFor
	return before != after
}

// NextUpdate returns the longest time after an update until the next one is due.
func (t *Tracker) NextUpdate() time.Duration {
	for _, p := range t.pools {
		if p.ring.changing() {
			return JoinDelay / 2
		}
	}
	return JoinDelay
}
