// Package statesyncsim simulates in virtual time what replicas share: each proxy of a
// scenario has the real Balancer, and beside it the real pure packages that the fleet's
// host drives, over the laboratory's unreliable network.
package statesyncsim

import (
	"fmt"
	"slices"
	"time"

	"ryerill/balancer"
	"ryerill/fleet/statesync"
	"ryerill/lab/baseline"
	"ryerill/lab/faultnet"
	"ryerill/lab/scenario"
)

// The variants of state sharing.
const (
	off    = "off"    // nothing is shared
	shared = "shared" // as in service
	oracle = "oracle" // replicas receive updates at once, over a network without limits
)

// Variants are the variants that are compared, by name.
var Variants = []string{off, shared, oracle}

const (
	simulationStart = time.Hour // what deciders of the simulation see as its start
	unlimitedBytes  = 1 << 30   // a second, for the oracle
	tierSeedShift   = 32        // separates the seeds of tiers
	syncPhases      = 16        // over which replicas spread the times at which they synchronize
	packetOverhead  = 120       // bytes of a packet beside its payload
)

// lan is the network between replicas where no fault holds.
var lan = faultnet.Link{Delay: time.Millisecond, Jitter: 2 * time.Millisecond}

// Hubs connect the replicas of a run of a scenario: those that send to one tier are a
// fleet. They are not safe for concurrent use.
type Hubs struct{ tiers []*hub }

// NewHubs returns the hubs of a run of a scenario. The variant is one of Variants.
func NewHubs(variant string, seed uint64, sc *scenario.Scenario) *Hubs {
	h := &Hubs{}
	zones := max(len(sc.Network.Zones), 1)
	for tier := range sc.Tiers {
		connected := newHub(variant, seed+uint64(tier)<<tierSeedShift, zones)
		connected.faults = networkFaults(sc, sc.ProxyCount(tier))
		h.tiers = append(h.tiers, connected)
	}
	return h
}

// Decider returns the decider of one replica, for sim.Options.New.
func (h *Hubs) Decider(cfg balancer.Config, seed uint64) baseline.Decider {
	return h.tiers[cfg.Tier].decider(cfg, seed)
}

// hub connects the replicas of one fleet.
type hub struct {
	variant  string
	net      *faultnet.Network
	zones    int
	replicas []*replica
	faults   []networkFault

	now     time.Duration
	syncAt  time.Duration // when the next replica synchronizes
	started uint64        // replicas so far, restarted ones again: their epochs

	bytes  uint64 // sent by all replicas
	failed failureCount
}

// failureCount counts the attempts of all replicas that fail in a period.
type failureCount struct {
	from, to time.Duration
	attempts int
}

func newHub(variant string, seed uint64, zones int) *hub {
	return &hub{variant: variant, net: faultnet.New(lan, seed), zones: zones}
}

// replicaName returns the name of the replica of an index.
func replicaName(index int) string { return fmt.Sprintf("c%04d", index) }

// decider starts a replica, or restarts the one of that index.
func (h *hub) decider(cfg balancer.Config, seed uint64) baseline.Decider {
	r := &replica{
		Balancer:   balancer.New(cfg, seed),
		hub:        h,
		cfg:        cfg,
		name:       replicaName(cfg.ReplicaIndex),
		zone:       fmt.Sprint("z", cfg.Zone),
		demand:     make([]float64, len(cfg.Tenants)),
		endpoints:  map[balancer.EndpointID]balancer.Endpoint{},
		nextSyncAt: notScheduled,
	}
	bytesPerSecond := 0
	if h.variant == oracle {
		bytesPerSecond = unlimitedBytes
	}
	h.started++
	previous := slices.IndexFunc(h.replicas, func(other *replica) bool { return other.name == r.name })
	restarted := previous >= 0
	r.syncer, _ = statesync.New(statesync.Config{
		Name:           r.name,
		Zone:           r.zone,
		Epoch:          h.started,
		Seed:           seed,
		Quotas:         true,
		Evidence:       true,
		BytesPerSecond: bytesPerSecond,
		LostState:      restarted, // it doesn't know what it had lent
	}, h.now)
	h.syncAt = 0
	if !restarted {
		h.replicas = append(h.replicas, r)
		return r
	}
	h.replicas[previous] = r
	for _, other := range h.replicas {
		if other != r {
			other.syncer.ExpireReplica(r.name, h.started-1)
		}
	}
	return r
}

// advance applies the network faults that are due, and has replicas synchronize whose
// time has come.
func (h *hub) advance() {
	h.applyFaults()
	if h.now < h.syncAt {
		return
	}
	h.syncAt = h.now + statesync.Interval
	for i, r := range h.replicas {
		if r.nextSyncAt == notScheduled {
			r.nextSyncAt = h.now + statesync.Interval*time.Duration(i%syncPhases)/syncPhases
		}
		if h.now >= r.nextSyncAt {
			r.nextSyncAt = h.now + statesync.Interval
			r.synchronize()
		}
		h.syncAt = min(h.syncAt, r.nextSyncAt)
	}
}

// send puts packets on the network.
func (h *hub) send(from string, packets []statesync.Outgoing) {
	for _, packet := range packets {
		h.bytes += uint64(len(packet.Payload)) + packetOverhead
		index := slices.IndexFunc(h.replicas, func(r *replica) bool { return r.name == packet.To })
		receiver := h.replicas[index]
		if h.variant == oracle {
			receiver.inbox = append(receiver.inbox, incoming{at: h.now, from: from, payload: packet.Payload})
			continue
		}
		for _, delivery := range h.net.Send(h.now, from, packet.To, len(packet.Payload)) {
			receiver.inbox = append(receiver.inbox, incoming{at: delivery.At, from: from, payload: packet.Payload})
		}
	}
}
