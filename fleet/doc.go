// Package fleet makes a proxy a replica of a fleet. It owns the sockets, clocks and files and
// passes events to pure packages: membership tracks the replicas, placement derives this
// replica's position among them, statesync and quota share state, rollout distributes changes,
// and codec encodes messages.
//
// A proxy without a fleet configuration creates no socket, goroutine or timer of this package.
package fleet
