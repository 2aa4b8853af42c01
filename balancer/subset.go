package balancer

import (
	"math"
	"time"
)

const (
	subsetPerSlot = 0.7  // endpoints in the subset, for each attempt of the first limit
	minSubset     = 2.0  // endpoints in the subset at least: replicas that share a single one can fill it
	minZoneShare  = 0.17 // of all endpoints that a zone must have for its replicas to stay in the zone
)

// chooseSubset chooses the endpoints that this replica prefers, and bounds the limit by its part of all.
func (b *Balancer) chooseSubset() {
	if part := b.endpoints.chooseSubset(b.now); part > 0 { // else what the limit has learnt stays
		b.limiter.resize(part)
	}
}

// chooseSubset chooses the endpoints that this replica prefers: of many replicas that use all, none would
// know their health. All derive one ring of a zone's endpoints; ReplicaIndex gives a subset's start, and it
// goes at least up to the next one's. It returns the endpoints a replica. Harm: late lists shift starts.
func (s *endpointSet) chooseSubset(now time.Duration) (part float64) {
	defer s.rebuildIndex(now)
	all, local := s.candidates[:0], s.local[:0]
	for _, e := range s.ring {
		e.inSubset = false
		if !s.usable(e, now) || e.suspicion() >= maxPenalty {
			continue
		}
		all = append(all, e)
		if e.Zone == s.cfg.Zone {
			local = append(local, e)
		}
	}
	s.candidates, s.local = all, local
	if len(all) == 0 {
		return 0
	}
	s.subset.available = len(all)
	replicas := float64(s.cfg.ReplicaCount)
	part = float64(s.subset.available) / replicas * float64(s.cfg.Tiers-s.cfg.Tier)
	s.subset.zoneLocal = float64(len(local)) >= max(minSubset, minZoneShare*float64(len(all)))
	if !s.subset.zoneLocal { // few must not get all
		local = all
	}
	s.subset.size = int(math.Ceil(min(max(subsetPerSlot*initialSlots*part, minSubset), float64(len(local)))))
	between := float64(len(local)) / replicas
	from, to := int(float64(s.cfg.ReplicaIndex)*between), int(float64(s.cfg.ReplicaIndex+1)*between)
	for i := range min(max(s.subset.size, to-from), len(local)) {
		local[(from+i)%len(local)].inSubset = true
	}
	return part
}
