package rollout

import (
	"cmp"
	"fmt"
	"slices"

	"ryerill/internal/seedrand"
)

// Replica is a participant's knowledge of one replica of the fleet, itself included.
type Replica struct {
	Name          string
	Zone          string
	Alive         bool
	Ready         bool
	Version       string // current settings' hash or program version
	Epoch         uint64 // identifies the process: it changes on a crash or restart
	RefusedReason string // why it couldn't change as the plan ordered; empty if it could
	MinLevel      uint8  // range of supported protocol levels; 0 if unknown
	MaxLevel      uint8
}

// replicas are all replicas of the fleet.
type replicas []Replica

func (r replicas) find(name string) *Replica {
	for i := range r {
		if r[i].Name == name {
			return &r[i]
		}
	}
	return nil
}

func (r replicas) aliveCount() int {
	count := 0
	for i := range r {
		if r[i].Alive {
			count++
		}
	}
	return count
}

// hasQuorum reports whether a majority is alive.
func (r replicas) hasQuorum() bool { return r.isMajority(r.aliveCount()) }

func (r replicas) isMajority(count int) bool { return 2*count > len(r) }

// isFirst reports whether no replica that is alive has a smaller name.
func (r replicas) isFirst(name string) bool {
	return !slices.ContainsFunc(r, func(other Replica) bool { return other.Alive && other.Name < name })
}

// zoneCount is the number of zones with replicas.
func (r replicas) zoneCount() int {
	zones := map[string]bool{}
	for i := range r {
		zones[r[i].Zone] = true
	}
	return len(zones)
}

// aliveWithout counts the replicas that are alive, except for the named ones.
func (r replicas) aliveWithout(names []string) int {
	count := 0
	for i := range r {
		if r[i].Alive && !slices.Contains(names, r[i].Name) {
			count++
		}
	}
	return count
}

// deadWithout counts the replicas that aren't alive, except for the named ones.
func (r replicas) deadWithout(names []string) int {
	count := 0
	for i := range r {
		if !r[i].Alive && !slices.Contains(names, r[i].Name) {
			count++
		}
	}
	return count
}

// checkLevels returns a KeyError if some replica supports none of the protocol levels of a plan's program.
func (r replicas) checkLevels(plan *Plan) error {
	for i := range r {
		replica := &r[i]
		if plan.MaxLevel == 0 || replica.MaxLevel == 0 {
			continue
		}
		if replica.MinLevel > plan.MaxLevel || replica.MaxLevel < plan.MinLevel {
			levels := fmt.Sprintf("%d to %d", plan.MinLevel, plan.MaxLevel)
			want := fmt.Sprintf("levels that meet those of every copy: %s speaks %d to %d, "+
				"and the two could not hear each other", replica.Name, replica.MinLevel, replica.MaxLevel)
			return &KeyError{"speaks", levels, want}
		}
	}
	return nil
}

// inChangeOrder returns the replicas in the order in which a plan changes them: alternating between zones, and within a
// zone in a random order derived from the plan's ID.
func (r replicas) inChangeOrder(planID string) []Replica {
	byZone := map[string][]Replica{}
	var zones []string
	for _, replica := range r {
		if byZone[replica.Zone] == nil {
			zones = append(zones, replica.Zone)
		}
		byZone[replica.Zone] = append(byZone[replica.Zone], replica)
	}
	slices.Sort(zones)
	for _, zone := range zones {
		slices.SortFunc(byZone[zone], func(a, b Replica) int {
			byChance := cmp.Compare(seedrand.Spread(planID, "/", a.Name), seedrand.Spread(planID, "/", b.Name))
			return cmp.Or(byChance, cmp.Compare(a.Name, b.Name))
		})
	}
	var ordered []Replica
	for i := 0; len(ordered) < len(r); i++ {
		for _, zone := range zones {
			if i < len(byZone[zone]) {
				ordered = append(ordered, byZone[zone][i])
			}
		}
	}
	return ordered
}
