package balancer

import (
	"math"
	"time"
)

const (
	subsetPerSlot = 0.7  // endpoints in the subset per slot of the initial limit
	minSubset     = 2.0  // minimum endpoints in the subset; the replicas that share a single one can fill it
	minZoneShare  = 0.17 // part of all endpoints that a zone needs for its replicas to stay in the zone
)

// chooseSubset chooses the endpoints that this replica prefers and resizes the limit to its part of all
// endpoints.
func (b *Balancer) chooseSubset() {
	if part := b.endpoints.chooseSubset(b.now); part > 0 { // without endpoints the limit stays
		b.limiter.resize(part)
	}
}

// chooseSubset chooses the endpoints that this replica prefers and returns the endpoints per replica. If many
// replicas used all endpoints, none would learn their health. All replicas derive the same ring of a zone's
// endpoints. A subset starts at a position given by ReplicaIndex and extends at least to the start of the
// next replica's subset. Drawback: replicas with an outdated list have shifted starts.
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
	if !s.subset.zoneLocal { // a few endpoints must not get all attempts
		local = all
	}
	s.subset.size = int(math.Ceil(min(max(subsetPerSlot*initialSlots*part, minSubset), float64(len(local)))))
	spacing := float64(len(local)) / replicas
	from, to := int(float64(s.cfg.ReplicaIndex)*spacing), int(float64(s.cfg.ReplicaIndex+1)*spacing)
	for i := range min(max(s.subset.size, to-from), len(local)) {
		local[(from+i)%len(local)].inSubset = true
	}
	return part
}
