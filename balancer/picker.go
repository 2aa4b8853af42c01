package balancer

import (
	"math"
	"time"
)

const (
	maxExactScan    = 128 // up to this many endpoints are all scanned; of more, maxScanned per rank are
	maxScanned      = 20  // enough to find an endpoint of the best rank, though perhaps not the fastest
	warmingUpRank   = 0
	rankPerSlot     = 2   // ranks are half slots, which break ties
	slownessPerSlot = 1.5 // relative latency that counts as one taken slot; twice as much counts as two
)

// pick returns the endpoint for the next attempt of r, or nil: the one with the fewest slots taken by
// attempts, failures and slowness. Ties go to endpoints that warm up, then to the own zone, then to the
// fastest. The search ends at a rank that can hold no better one. Drawback: of many endpoints only a sample
// is scanned.
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
				s.updateRank(ranked[i], now) // the endpoint may be warm by now
			}
		}
		s.scan(now, s.byRank[rank], limit, &best)
	}
	if best.endpoint == nil && limit < size { // the sample may have missed usable endpoints
		s.scan(now, s.listed, size, &best)
	}
	return best.endpoint
}

// scan compares up to limit endpoints of a list with the best candidate so far.
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
			continue // health never improves the rank, and relative latency above 1 decays to 1 at best
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

// updateRank moves e to the rank of its attempts in flight and rank penalty, plus 1. Scans add the health.
// Rank 0 is for endpoints of the subset that warm up, which come half a slot earlier.
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
