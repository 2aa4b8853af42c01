package placement

import "time"

// Position is a replica's position among those of one pool.
type Position struct {
	Index         int // in the ring order, below Of
	Of            int // replicas in the ring order
	QuotaReplicas int // replicas that may run: each has an equal fraction of a quota
	// Confirmed reports whether all of them count this replica too, so that its fraction is one of theirs.
	// Otherwise it has none, unless QuotaReplicas is within the minimum that an operator has configured.
	Confirmed   bool
	Alive       int           // replicas of the pool that are alive and not suspected
	Unreachable int           // replicas of the pool that are dead, but may run
	StaleFor    time.Duration // since when no message of another replica arrived; 0 while messages do
}

// QuotaFraction returns the fraction of a quota that the replica may spend by itself.
func (p Position) QuotaFraction() float64 {
	if !p.Confirmed {
		return 0
	}
	return 1 / float64(max(p.QuotaReplicas, 1))
}
