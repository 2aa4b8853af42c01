// Package fleet is the host of a proxy in a fleet of replicas: it holds the sockets,
// clocks and files, and feeds what arrives to the pure packages below it. Package
// membership decides who is in the fleet, placement what position follows from that,
// statesync and quota what replicas share, rollout how changes reach them, and codec how
// messages are encoded.
//
// A proxy that is not configured for a fleet creates none of this: no socket, no
// goroutine, no timer.
package fleet
