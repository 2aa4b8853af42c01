// Package membership keeps track of the replicas of a fleet: a failure detector and
// membership by gossip after SWIM (Das, Gupta, Motivala: "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol", 2002)
// with the amendments of Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: Local
// Health Awareness for More Accurate Failure Detection", 2018).
//
// It is a pure state machine: a [List] takes one event and its time, and returns
// the actions that its host must carry out. It uses no clock, socket, goroutine or
// global variable, and draws random numbers from a seeded source.
//
// A List combines these types:
//
//   - memberTable: the known members by status, and the order in which they are probed
//   - viewDigest: the digest by which members compare their views
//   - prober: the probe in progress, its timeouts and the local health that scales them
//   - relays: indirect probes that this member runs for others
//   - suspectList: the suspected members and when their suspicions time out
//   - gossiper: updates queued for dissemination, limited to a byte rate
//   - syncer: push/pull synchronization with a member whose digest differs
package membership
