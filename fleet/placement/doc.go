// Package placement derives a replica's position from what it knows about its fleet:
// among how many replicas quotas are divided, which of them it is, and whether that is
// confirmed. It is pure: the known members and their time go in, positions come out.
//
// Two numbers are kept apart. Quotas are divided among all replicas that may run: one
// that can't be reached may spend its fraction all the same, so it counts until it
// announces that it leaves, its name restarts, or an operator declares it to be gone.
// The ring order follows the replicas that are alive, with a delay against flapping.
// While this replica may itself be the partitioned one the order stays as it is.
package placement
