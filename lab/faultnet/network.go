// Package faultnet simulates an unreliable network: for each datagram and each piece of
// a stream between two replicas it decides whether and when it arrives. It is pure, so
// that the simulations in virtual time and the relays on the loopback interface (package
// relay) inject the same faults, and it counts what was sent.
package faultnet

import (
	"time"

	"ryerill/internal/seedrand"
)

// anyReplica stands for every replica in the name of a path's end.
const anyReplica = "*"

// minReorderDelay is the minimum by which a reordered datagram is held back.
const minReorderDelay = time.Millisecond

// Counters count what a network was given to deliver, and its faults.
type Counters struct {
	Frames      uint64
	Bytes       uint64 // of datagrams and streams
	Dropped     uint64
	Duplicated  uint64
	Corrupted   uint64
	Partitioned uint64 // frames that a partition has discarded
}

// Delivery is one arrival of a datagram.
type Delivery struct {
	At      time.Duration
	Corrupt bool // the receiver gets it with a byte changed
}

// path is one direction between two replicas.
type path struct{ from, to string }

// Network is the state of the network. It is not safe for concurrent use.
type Network struct {
	rng         seedrand.Source
	defaultLink Link
	links       map[path]Link

	isSplit bool
	groups  map[string]int // by replica, while isSplit; 0 is the group of those that no group names

	idleAt map[path]time.Duration // when a throttled path has sent what it was given

	Total Counters
}

// New returns a network in which every path behaves as defaultLink. Equal seeds give
// equal faults to equal calls.
func New(defaultLink Link, seed uint64) *Network {
	return &Network{
		rng:         seedrand.Source(seed),
		defaultLink: defaultLink,
		links:       map[path]Link{},
		groups:      map[string]int{},
		idleAt:      map[path]time.Duration{},
	}
}

// Usual sets the behaviour of paths that have no link of their own.
func (n *Network) Usual(l Link) { n.defaultLink = l }

// Set sets the behaviour of the path from one replica to another. "*" stands for every
// replica.
func (n *Network) Set(from, to string, l Link) { n.links[path{from, to}] = l }

// Isolate partitions a replica from all others: in both directions, or only what it sends.
func (n *Network) Isolate(name string, outgoingOnly bool) {
	n.Set(name, anyReplica, Link{Partitioned: true})
	if !outgoingOnly {
		n.Set(anyReplica, name, Link{Partitioned: true})
	}
}

// Split partitions the replicas into groups, which can't reach each other. Replicas in
// none of the groups form one more group.
func (n *Network) Split(groups ...[]string) {
	n.isSplit = true
	clear(n.groups)
	for i, group := range groups {
		for _, name := range group {
			n.groups[name] = i + 1
		}
	}
}

// Heal removes all partitions and the links of single paths. The default link stays.
func (n *Network) Heal() {
	n.isSplit = false
	clear(n.links)
	clear(n.groups)
	clear(n.idleAt)
}

// Link returns the present behaviour of the path from one replica to another. The more
// specific link holds, but never takes a partition away.
func (n *Network) Link(from, to string) Link {
	link := n.defaultLink
	for _, p := range []path{{anyReplica, to}, {from, anyReplica}, {from, to}} {
		own, ok := n.links[p]
		if ok && (own.Partitioned || !link.Partitioned) {
			link = own
		}
	}
	if n.isSplit && n.groups[from] != n.groups[to] {
		link.Partitioned = true
	}
	return link
}

// Send returns the arrivals of a datagram that is sent now: none, one or two.
func (n *Network) Send(now time.Duration, from, to string, bytes int) []Delivery {
	link := n.Link(from, to)
	n.Total.Frames++
	n.Total.Bytes += uint64(bytes)
	if link.Partitioned {
		n.Total.Partitioned++
		return nil
	}
	if n.rng.Float64() < link.Drop {
		n.Total.Dropped++
		return nil
	}
	first := Delivery{At: n.arrival(now, path{from, to}, link, bytes)}
	if n.rng.Float64() < link.Reorder {
		first.At += link.Delay + n.uniform(link.Jitter) + minReorderDelay
	}
	if n.rng.Float64() < link.Corrupt {
		first.Corrupt = true
		n.Total.Corrupted++
	}
	deliveries := []Delivery{first}
	if n.rng.Float64() < link.Duplicate {
		n.Total.Duplicated++
		deliveries = append(deliveries, Delivery{At: n.arrival(now, path{from, to}, link, bytes)})
	}
	return deliveries
}

// Stream returns when a piece of a stream arrives. Streams lose and reorder nothing, but
// stall while their path is partitioned: ok is false then, and the caller has to try again.
func (n *Network) Stream(now time.Duration, from, to string, bytes int) (at time.Duration, ok bool) {
	link := n.Link(from, to)
	if link.Partitioned {
		return 0, false
	}
	n.Total.Bytes += uint64(bytes)
	return n.arrival(now, path{from, to}, link, bytes), true
}

// arrival returns when what is sent now arrives, after what a throttled path still has to
// send.
func (n *Network) arrival(now time.Duration, p path, link Link, bytes int) time.Duration {
	sentAt := now
	if link.BytesPerS > 0 {
		start := max(now, n.idleAt[p])
		sentAt = start + time.Duration(float64(bytes)/float64(link.BytesPerS)*float64(time.Second))
		n.idleAt[p] = sentAt
	}
	return sentAt + link.Delay + n.uniform(link.Jitter)
}

// uniform draws a duration below limit.
func (n *Network) uniform(limit time.Duration) time.Duration {
	return time.Duration(n.rng.Float64() * float64(limit))
}
