package placement

import "time"

// Position is a replica's position among the replicas of one pool.
type Position struct {
	Index         int // in the ring order, below Of
	Of            int // replicas in the ring order
	QuotaReplicas int // replicas that may run, or the configured minimum: each has an equal fraction of a quota
	// Confirmed reports whether all of these replicas count this one, so that it may spend its fraction.
	// It is also set while QuotaReplicas is within the minimum that an operator has configured.
	Confirmed   bool
	Alive       int           // replicas of the pool that are alive and not suspected
	Unreachable int           // replicas of the pool that are dead but may still run
	StaleFor    time.Duration // time since the latest message of another replica; 0 while messages arrive
}

// QuotaFraction returns the fraction of a quota that the replica may spend without a loan.
func (p Position) QuotaFraction() float64 {
	if !p.Confirmed {
		return 0
	}
	return 1 / float64(max(p.QuotaReplicas, 1))
}
