// Package membership keeps track of the replicas of a fleet: a failure detector and
// membership by gossip after SWIM (Das, Gupta, Motivala: "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol", 2002)
// with the amendments of Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: Local
// Health Awareness for More Accurate Failure Detection", 2018).
//
// It is a pure state machine: a [List] takes one event and its time, and returns
// the actions that its host carries out. It has no clock, socket, goroutine or
// global, and draws random numbers from a seed.
//
// A List is composed of types with one concern each:
//
//   - memberTable: the known members, the order in which they are probed, and the dead ones
//   - viewDigest: the digest by which members compare what they know
//   - prober: the probe under way, its timeouts and the local health that scales them
//   - relays: pings that this member sends for others
//   - suspectList: the suspicions under way and when they time out
//   - gossiper: updates that wait to be disseminated, within a rate of bytes
//   - syncer: push/pull synchronization with a member whose digest differs
package membership
