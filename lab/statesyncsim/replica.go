package statesyncsim

import (
	"cmp"
	"slices"
	"time"

	"ryerill/balancer"
	"ryerill/fleet/outlier"
	"ryerill/fleet/quota"
	"ryerill/fleet/statesync"
)

// notScheduled is the time of the next synchronization of a replica that has just started.
const notScheduled = time.Duration(-1)

// quotaBurst is how long a tenant may save its quota up.
const quotaBurst = time.Second

// replica is one proxy: its decisions, and what it shares with its peers.
type replica struct {
	*balancer.Balancer
	hub        *hub
	cfg        balancer.Config
	name       string
	zone       string
	syncer     *statesync.Syncer
	demand     []float64 // requests by tenant since the last synchronization
	endpoints  map[balancer.EndpointID]balancer.Endpoint
	inbox      []incoming
	nextSyncAt time.Duration
}

// incoming is a packet on its way.
type incoming struct {
	at      time.Duration
	from    string
	payload []byte
}

// Handle lets the fleet synchronize, records what replicas share of the event, and has the
// Balancer handle it.
func (r *replica) Handle(now time.Duration, ev balancer.Event, out []balancer.Action) []balancer.Action {
	r.hub.now = max(r.hub.now, now)
	if r.hub.variant != off {
		r.hub.advance()
	}
	switch ev.Kind {
	case balancer.EndpointListUpdated:
		for _, endpoint := range ev.Endpoints {
			r.endpoints[endpoint.ID] = endpoint
		}
	case balancer.RequestArrived:
		if ev.Tenant >= 0 && ev.Tenant < len(r.demand) {
			r.demand[ev.Tenant]++
		}
	case balancer.AttemptEnded:
		r.recordAttempt(now, ev.Endpoint, ev.Outcome)
	}
	return r.Balancer.Handle(now, ev, out)
}

// recordAttempt records the outcome of an attempt as evidence about its endpoint.
func (r *replica) recordAttempt(now time.Duration, id balancer.EndpointID, outcome balancer.Outcome) {
	evidence, isEvidence := statesync.EvidenceOf(outcome)
	if !isEvidence {
		return
	}
	failed := &r.hub.failed
	if evidence != outlier.Succeeded && now >= failed.from && now < failed.to {
		failed.attempts++
	}
	if r.hub.variant != off {
		endpoint := outlier.Endpoint{ID: uint64(id), StartedAt: int64(r.endpoints[id].StartedAt)}
		r.syncer.Outliers.RecordOutcome(now, endpoint, evidence, r.RelativeLatency(id))
	}
}

// synchronize does what the fleet's host does at each interval.
func (r *replica) synchronize() {
	r.receive()
	r.updateLimits()
	r.hub.send(r.name, r.syncer.Tick(r.hub.now, r.updatePeers()))
	r.applyQuotas()
	r.applyPenalties()
}

// receive handles the packets that have arrived.
func (r *replica) receive() {
	now := r.hub.now
	packets := slices.Clone(r.inbox)
	r.inbox = slices.DeleteFunc(r.inbox, func(p incoming) bool { return p.at <= now })
	for _, packet := range packets {
		if packet.at <= now {
			r.hub.send(r.name, r.syncer.Receive(now, packet.from, packet.payload))
		}
	}
}

// updateLimits passes the tenants' quotas and their demand here to the quota manager.
func (r *replica) updateLimits() {
	var limits []quota.Limit
	for i, tenant := range r.cfg.Tenants {
		if tenant.Quota > 0 {
			limits = append(limits, quota.Limit{Name: tenant.Name, Kind: quota.Rate, Total: tenant.Quota})
			r.syncer.Quotas.AddDemand(r.hub.now, tenant.Name, r.demand[i])
		}
		r.demand[i] = 0
	}
	r.syncer.Quotas.SetLimits(r.hub.now, limits)
}

// updatePeers passes the other replicas to the quota manager, and returns them.
func (r *replica) updatePeers() (peers []statesync.Peer) {
	var names []string
	for _, other := range r.hub.replicas {
		if other != r {
			names = append(names, other.name)
			peers = append(peers, statesync.Peer{Name: other.name, Zone: other.zone})
		}
	}
	r.syncer.Quotas.SetReplicaCount(r.hub.now, len(r.hub.replicas), names)
	return peers
}

// applyQuotas sets the fractions of the tenants' quotas that this replica may spend.
func (r *replica) applyQuotas() {
	for i, tenant := range r.cfg.Tenants {
		for _, status := range r.syncer.Quotas.Status(r.hub.now) {
			if status.Name == tenant.Name {
				guaranteed := max(status.Guaranteed-status.Lent, 0)
				r.SetQuota(i, status.Rate/status.Total, guaranteed/status.Total, quotaBurst)
			}
		}
	}
}

// applyPenalties penalizes the endpoints that shared evidence speaks against, save those
// that this replica probes.
func (r *replica) applyPenalties() {
	var ready []outlier.Endpoint
	for id, endpoint := range r.endpoints {
		if endpoint.State == balancer.Ready {
			ready = append(ready, outlier.Endpoint{ID: uint64(id), StartedAt: int64(endpoint.StartedAt)})
		}
	}
	slices.SortFunc(ready, func(a, b outlier.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	for _, ejected := range r.syncer.Outliers.Evaluate(r.hub.now, ready, r.hub.zones) {
		if !outlier.ShouldProbe(ejected.Endpoint, r.hub.now, r.cfg.ReplicaIndex, len(r.hub.replicas)) {
			r.Penalize(balancer.EndpointID(ejected.Endpoint))
		}
	}
}
