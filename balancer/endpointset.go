package balancer

import (
	"cmp"
	"slices"
	"time"
)

// endpointSet holds the listed endpoints and those retained after they left the list, with their ranks.
type endpointSet struct {
	cfg      *Config
	division *division
	halfLife float64 // half-life of health, in seconds

	listed     []*endpoint // in the order in which lists first named them
	byID       map[EndpointID]*endpoint
	byRank     rankIndex
	ring       []*endpoint // sorted by a hash of the identifier, so that all replicas have the same order
	ringSorted bool        // no endpoint was added since ring was sorted
	version    uint64      // version of the latest list
	withdrawn  withdrawals // endpoints that were removed

	subset     subset
	candidates []*endpoint // scratch space of chooseSubset: usable endpoints
	local      []*endpoint // scratch space of chooseSubset: candidates of this replica's zone

	served  decayingRate // served attempts
	scanned int          // endpoints scanned by picks so far; read by tests
}

// subset describes the endpoints that this replica prefers.
type subset struct {
	size      int
	available int  // number of endpoints that the subset is chosen from
	zoneLocal bool // the subset lies within this replica's zone
}

// division holds the number of replicas and processes that share quotas and warm-up budgets.
type division struct {
	replicas  int // replicas that may be alive; each gets an equal part
	processes int // processes of this replica, which share its part; two during an upgrade
}

// add adds a new endpoint and returns its state.
func (s *endpointSet) add(entry Endpoint, now time.Duration) *endpoint {
	e := newEndpoint(entry, now)
	s.byID[e.ID] = e
	s.listed = append(s.listed, e)
	s.ring = append(s.ring, e)
	s.ringSorted = false
	return e
}

// removeIf removes the endpoints for which forget returns true.
func (s *endpointSet) removeIf(forget func(*endpoint) bool) {
	found := false
	for _, e := range s.listed {
		if e.forgotten = forget(e); e.forgotten {
			found = true
			delete(s.byID, e.ID)
			if e.drained || !s.cfg.Contract.OnlyDrainingBinds {
				s.withdrawn.add(e)
			}
		}
	}
	if !found { // the common case for ListChanges
		return
	}
	isForgotten := func(e *endpoint) bool { return e.forgotten }
	s.listed = slices.DeleteFunc(s.listed, isForgotten)
	s.ring = slices.DeleteFunc(s.ring, isForgotten)
}

// sortRing sorts the ring if endpoints were added.
func (s *endpointSet) sortRing() {
	if s.ringSorted {
		return
	}
	s.ringSorted = true
	slices.SortFunc(s.ring, func(x, y *endpoint) int { return cmp.Compare(mix(uint64(x.ID)), mix(uint64(y.ID))) })
}

// rebuildIndex recomputes the ranks of all endpoints.
func (s *endpointSet) rebuildIndex(now time.Duration) {
	s.byRank.clear()
	for i, e := range s.listed {
		e.index = i
		e.rank = unranked
		s.updateRank(e, now)
	}
}

// newEndpointSet returns an empty set. The half-life of health is a multiple of objective.
func newEndpointSet(cfg *Config, division *division, objective time.Duration) endpointSet {
	return endpointSet{
		cfg:       cfg,
		division:  division,
		halfLife:  penaltyHalfLife * objective.Seconds(),
		byID:      map[EndpointID]*endpoint{},
		withdrawn: newWithdrawals(),
		served:    newDecayingRate(cfg.Contract.WarmUpPeriod),
	}
}
