// Package placement is what one copy makes of what it knows of the fleet: among how
// many a budget is divided, which of them it is, and how sure that is. It is pure:
// what is known and its time go in, places come out.
//
// Two numbers are kept apart. Budgets are divided among all that may be there: a
// copy that can't be reached may spend its part all the same, so it counts until
// it says that it leaves, its name starts anew, or a person says that it is gone.
// Places in the ring and the part of a limit follow those that are there, damped,
// and while this copy may itself be the one that is cut off they follow nobody.
package placement

import (
	"cmp"
	"slices"
	"time"

	"ryerill/fleet/membership"
	"ryerill/internal/seedrand"
)

// How long changes are watched before places follow them. What makes a part of a
// budget smaller holds at once.
const (
	Settle = time.Second      // one that is new: others may come beside it
	Calm   = 10 * time.Second // one that is missing: it may only flap

	cutSpan = 5 * time.Second // losses within this belong together
	cutPart = 0.5             // of those that were there: who lost more is likely the one that is cut off
	cutSick = 4               // local health from which losses are put down to this copy
)

// Snapshot is what a member knows.
type Snapshot struct {
	Members   []membership.MemberInfo // in the order of their names, this copy among them
	Joined    bool                    // a whole view was exchanged, or is remembered, or there is nobody to ask
	Displaced bool
	Health    int
}

// Position is a copy's place among those of one pool.
type Position struct {
	Index, Of     int // in the ring: a number below Of
	QuotaReplicas int // copies that may be there: each has an equal part of a budget
	// Sure tells that all of them count this copy too, so that its part is one of
	// theirs. Without it the part is nothing, unless Among is within the floor that
	// a person has written.
	Confirmed   bool
	Alive       int           // copies of the pool that are there for certain
	Unreachable int           // that may be there and can't be reached
	StaleFor    time.Duration // since when the fleet was not heard; 0 while it is
}

// QuotaFraction is the part of a budget that a copy may spend by itself.
func (p Position) QuotaFraction() float64 {
	if !p.Confirmed {
		return 0
	}
	return 1 / float64(max(p.QuotaReplicas, 1))
}

// Tracker follows a fleet. It is not safe for concurrent use.
type Tracker struct {
	floors  map[string]int
	now     time.Duration
	counted uint64
	sure    bool
	left    bool
	last    time.Duration // when anybody was heard
	lost    []time.Duration
	was     map[string]membership.Status
	cut     bool
	cutAt   time.Duration
	pools   map[string]*pool
}

type pool struct {
	place    Position
	there    []string // by name, whom places follow
	waiting  []string // whom they may follow next
	since    time.Duration
	self     int
	anything bool
}

// New returns a view of a fleet of which a person has written how many copies send
// to each pool: among fewer no budget of it is divided.
func New(floors map[string]int) *Tracker {
	return &Tracker{floors: floors, was: map[string]membership.Status{}, pools: map[string]*pool{}}
}

// Confirmed tells whether all that may be there count this copy. Once they do they go on
// doing so, over a restart too, until it says that it leaves.
func (v *Tracker) Confirmed() bool { return v.sure }

// RestoreConfirmed says that this copy was sure before its restart.
func (v *Tracker) RestoreConfirmed() { v.sure = true }

// SetMinimums changes what a person has written.
func (v *Tracker) SetMinimums(floors map[string]int) { v.floors = floors }

// ReplicaSetDigest is the digest of all copies that may be there, this one among them.
func (v *Tracker) ReplicaSetDigest() uint64 { return v.counted }

// Partitioned tells whether this copy is likely the one that is cut off, and since when.
func (v *Tracker) Partitioned() (bool, time.Duration) { return v.cut, v.cutAt }

// Position tells the place among the copies of a pool.
func (v *Tracker) Position(name string) Position {
	if p := v.pools[name]; p != nil {
		return p.place
	}
	return Position{Of: v.floor(name), QuotaReplicas: v.floor(name), Confirmed: true}
}

func (v *Tracker) floor(pool string) int { return max(v.floors[pool], 1) }

// Update takes in what is known. Times must not go back. It tells whether any
// place has changed.
func (v *Tracker) Update(now time.Duration, s Snapshot) (changed bool) {
	v.now = max(now, v.now)
	v.count(&s)
	v.judge(&s)
	var self *membership.MemberInfo
	for i := range s.Members {
		if s.Members[i].Self {
			self = &s.Members[i]
		}
	}
	if self == nil || self.Tags == nil {
		return false
	}
	v.left = self.Status == membership.Left // what others don't count any more it has not got
	for _, name := range self.Tags.Pools {
		p := v.pools[name]
		if p == nil {
			p = &pool{}
			v.pools[name] = p
		}
		before := p.place
		v.place(p, name, self.Name, &s)
		after := p.place
		before.StaleFor, after.StaleFor = 0, 0
		changed = changed || before != after
	}
	for name := range v.pools {
		if !slices.Contains(self.Tags.Pools, name) {
			delete(v.pools, name)
			changed = true
		}
	}
	return changed
}

// count finds who may be there, and whether all of them count this copy.
func (v *Tracker) count(s *Snapshot) {
	before := v.counted
	v.counted = 0
	for i := range s.Members {
		if m := &s.Members[i]; m.Status != membership.Left {
			part := seedrand.Spread(m.Name)
			if m.Tags != nil {
				for _, name := range m.Tags.Pools {
					part = part*31 + seedrand.Spread(name)
				}
			}
			v.counted ^= part
		}
	}
	if s.Displaced {
		v.sure = false
		return
	}
	// Once all count this copy they go on doing so: nobody is left out but for having left.
	all := s.Joined
	for i := range s.Members {
		m := &s.Members[i]
		all = all && (m.Self || m.Status == membership.Left || m.ReplicaSetDigest == v.counted)
	}
	v.sure = v.sure || all && before == v.counted
}

// judge finds whether this copy is likely the one that is cut off: it lost most of
// the others at once, or its own health says that it hears badly.
func (v *Tracker) judge(s *Snapshot) {
	alive, heard := 0, time.Duration(-1)
	for i := range s.Members {
		m := &s.Members[i]
		if m.Self {
			continue
		}
		if was := v.was[m.Name]; m.Status == membership.Dead && (was == membership.Alive || was == membership.Suspect) {
			v.lost = append(v.lost, v.now)
		}
		if v.was[m.Name] = m.Status; m.Status == membership.Alive || m.Status == membership.Suspect {
			alive++
		}
		heard = max(heard, m.LastHeard)
	}
	if len(v.was) > len(s.Members) {
		for name := range v.was {
			if !slices.ContainsFunc(s.Members, func(m membership.MemberInfo) bool { return m.Name == name }) {
				delete(v.was, name)
			}
		}
	}
	if heard >= 0 {
		v.last = max(v.last, heard)
	}
	v.lost = slices.DeleteFunc(v.lost, func(at time.Duration) bool { return v.now-at > cutSpan })
	recent := len(v.lost)
	cut := recent > 0 && (float64(recent) > cutPart*float64(recent+alive) || s.Health >= cutSick)
	switch {
	case cut && !v.cut:
		v.cut, v.cutAt = true, v.now
	case v.cut && alive > 0 && recent == 0 && s.Health < cutSick && v.majority(s):
		v.cut = false
	}
}

// majority tells whether most of those that may be there are there.
func (v *Tracker) majority(s *Snapshot) bool {
	there, all := 0, 0
	for i := range s.Members {
		switch s.Members[i].Status {
		case membership.Alive, membership.Suspect:
			there++
			fallthrough
		case membership.Dead:
			all++
		}
	}
	return 2*there > all
}

// place finds the place in one pool.
func (v *Tracker) place(p *pool, name, self string, s *Snapshot) {
	var there []string
	among, lost, certain := 0, 0, 0
	for i := range s.Members {
		m := &s.Members[i]
		if m.Status == membership.Left || m.Tags == nil || !slices.Contains(m.Tags.Pools, name) {
			continue
		}
		among++
		switch {
		case m.Status == membership.Dead:
			lost++
		case m.Status == membership.Alive:
			certain++
			fallthrough
		default:
			if m.Tags.Phase != membership.Leaving || m.Self {
				there = append(there, m.Name)
			}
		}
	}
	v.follow(p, there)
	at, found := slices.BinarySearch(p.there, self)
	of := len(p.there)
	if !found {
		at, of = 0, max(of, 1)
	}
	// While all that may be there fit the floor each may spend its part, whatever the others know. A copy
	// that has met nobody yet does not know who may be there.
	floor := v.floor(name)
	p.place = Position{Index: at, Of: of, QuotaReplicas: max(among, floor), Alive: certain, Unreachable: lost, Confirmed: !s.Displaced && !v.left && (v.sure || s.Joined && among <= floor)}
	if p.place.Of = max(p.place.Of, p.place.Index+1); v.last > 0 && len(s.Members) > 1 {
		if quiet := v.now - v.last; quiet > cutSpan {
			p.place.StaleFor = quiet
		}
	}
}

// follow has places follow those that are there, once they have been so for long
// enough. A copy that may be cut off goes on with the places that it knew.
func (v *Tracker) follow(p *pool, there []string) {
	if !p.anything {
		p.anything, p.there, p.waiting, p.since = true, there, there, v.now
		return
	}
	if !slices.Equal(there, p.waiting) {
		p.waiting, p.since = there, v.now
	}
	if slices.Equal(there, p.there) {
		return
	}
	wait := Settle
	for _, name := range p.there {
		if _, still := slices.BinarySearch(there, name); !still {
			wait = Calm
		}
	}
	if v.now-p.since >= wait && !(v.cut && wait == Calm) {
		p.there = there
	}
}

// NextUpdate is how long after an update the next one is due for what waits, at most.
func (v *Tracker) NextUpdate() time.Duration {
	for _, p := range v.pools {
		if !slices.Equal(p.there, p.waiting) {
			return Settle / 2
		}
	}
	return Settle
}

// Pools names the pools that are followed.
func (v *Tracker) Pools() []string {
	names := make([]string, 0, len(v.pools))
	for name := range v.pools {
		names = append(names, name)
	}
	slices.SortFunc(names, cmp.Compare)
	return names
}
