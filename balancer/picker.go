package balancer

import (
	"math"
	"time"
)

const (
	maxExactScan    = 128 // endpoints among which the best is picked; of more so many of a rank are scanned:
	maxScanned      = 20  // enough that none picked ranks worse, as measured, though it may be slower
	warmingUpRank   = 0
	rankPerSlot     = 2   // half slots decide among equals
	slownessPerSlot = 1.5 // an endpoint this much slower than its peers holds a slot, twice as much two
)

// pick returns the endpoint for the next attempt of r, or nil: the one with the fewest slots taken by
// attempts, failures or slowness. Of equals those that warm up come first, then those of the own zone, then
// the fastest. It ends at a rank that can hold no better one. Harm: of many endpoints it scans a sample.
func (s *endpointSet) pick(now time.Duration, r *request, random float64) *endpoint {
	size := len(s.listed)
	best := newCandidate(r, int(random*float64(size)), size)
	limit := maxScanned
	if size <= maxExactScan || r.boundToGroup() { // a group is small
		limit = size
	}
	for rank, ranked := range s.byRank {
		if best.rank < rank-1 {
			break
		}
		if rank == warmingUpRank {
			for i := len(ranked) - 1; i >= max(len(ranked)-limit, 0); i-- {
				s.updateRank(ranked[i], now) // it may be warm by now
			}
		}
		s.scan(now, s.byRank[rank], limit, &best)
	}
	if best.endpoint == nil && limit < size { // some may have been left out
		s.scan(now, s.listed, size, &best)
	}
	return best.endpoint
}

// scan compares up to limit endpoints of a list with the best so far.
func (s *endpointSet) scan(now time.Duration, list []*endpoint, limit int, best *candidate) {
	if len(list) > limit {
		start := best.from * (len(list) - limit + 1) / best.size
		list = list[start : start+limit]
	}
	for _, e := range list {
		s.scanned++
		if !s.usable(e, now) || !best.request.mayUse(e, now) || !s.withinWarmUpBudget(e, now) {
			continue
		}
		rank := e.rankPenalty + rankPerSlot*e.inFlight
		if s.loadShare(e, now) < 1 {
			rank--
		}
		if rank > best.rank || rank == best.rank && min(e.health.relativeLatency, 1) > best.relativeLatency {
			continue // health makes no rank better, and a decaying slowness ends at 1
		}
		penalty, latency := e.health.at(now, s.halfLife)
		rank += rankPerSlot * int(penalty+math.Floor(latency/slownessPerSlot))
		if rank > best.rank || rank == best.rank && latency > best.relativeLatency {
			continue
		}
		if rank < best.rank || latency < best.relativeLatency || best.distance(e) < best.distance(best.endpoint) {
			best.set(e, rank, latency)
		}
	}
}

// updateRank moves e to the rank, and one, that its attempts in flight and its rank penalty give it; health
// comes on top in scans. Endpoints of the subset that warm up come half a slot before: rank 0 is theirs.
func (s *endpointSet) updateRank(e *endpoint, now time.Duration) {
	e.rankPenalty = e.suspicion()
	if s.subset.zoneLocal && e.Zone != s.cfg.Zone {
		e.rankPenalty++
	}
	rank := 1 + e.rankPenalty + rankPerSlot*e.inFlight
	if !s.trusted(e) {
		rank = unranked
	} else if e.inSubset && s.loadShare(e, now) < 1 {
		rank = warmingUpRank
	}
	s.byRank.move(e, rank)
}
