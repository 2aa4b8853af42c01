// Package placement derives a replica's position in each of its pools from its view of
// the fleet: its index in the ring order, the number of replicas among which quotas are
// divided, and whether its fraction is confirmed. It does no I/O and has no clock: the
// caller passes the known members and the time.
//
// Quotas are divided among all replicas that may run. An unreachable replica may still
// spend its fraction, so it counts until it announces that it leaves, its name restarts,
// or an operator forgets it. The ring order contains the reachable replicas. It follows
// changes with a delay, to ignore flapping, and removes no replica while this replica may
// itself be partitioned.
package placement
