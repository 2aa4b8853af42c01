// Package counter counts over all copies. Each copy counts for itself, and what it says
// is merged by its start and version, so that order and repetition of messages do not
// matter. It is pure.
//
// A reader never gets a bare number: with it go its age and the bounds within which
// the truth lies if nobody's pace has more than doubled since.
package counter

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Bounds.
const (
	MaxKeys    = 64   // that one copy counts apart; what comes beyond counts as Other
	MaxMembers = 8192 // whose counts are kept
	MaxZones   = 256
	paceMost   = 2.0 // by which a pace may have grown since it was told, in bounds
	staleAfter = 10 * time.Second
)

// Key is what is counted apart.
type Key struct{ Pool, Class, Tenant string }

// Other is where counts go that there is no room for.
var other = Key{Pool: "(other)"}

// Counts are those of one key. All but InFlight only grow while a process lives.
type Counts struct {
	Arrivals, Served, Refused, Failed uint64
	InFlight                          int64
}

func (c *Counts) merge(o Counts) {
	c.Arrivals, c.Served = max(c.Arrivals, o.Arrivals), max(c.Served, o.Served)
	c.Refused, c.Failed = max(c.Refused, o.Refused), max(c.Failed, o.Failed)
	c.InFlight = o.InFlight
}

func (c *Counts) add(o Counts) {
	c.Arrivals, c.Served, c.Refused, c.Failed, c.InFlight = c.Arrivals+o.Arrivals, c.Served+o.Served, c.Refused+o.Refused, c.Failed+o.Failed, c.InFlight+o.InFlight
}

// sound tells whether counts can be true.
func (c *Counts) sound() bool {
	const most = 1 << 56
	return c.Arrivals < most && c.Served < most && c.Refused < most && c.Failed < most && c.InFlight >= 0 && c.InFlight < 1<<32
}

// Update is what one copy says of itself, or of its zone.
type Update struct {
	Name    string // of the copy; of the zone's speaker if Zone is given
	Epoch   uint64
	Version uint64 // grows with each that the process makes
	Zone    string // then the counts are sums over Members copies of it
	Members int
	AgeMS   int64 // of the oldest that went into it, when it was said
	Counts  map[Key]Counts
}

// entry is the newest item of one speaker.
type entry struct {
	Update
	at       time.Duration // when it came, less the age that it had
	before   map[Key]Counts
	beforeAt time.Duration
}

// Set is one copy's knowledge. It is not safe for concurrent use.
type Set struct {
	name, zone string
	epoch      uint64
	version    uint64
	now        time.Duration
	own        map[Key]Counts
	members    map[string]*entry
	zones      map[string]*entry
	gone       map[string]uint64 // the newest start of each that is over: older ones never come back
	Invalid    uint64
}

// New returns a tally of a copy in a zone.
func New(name, zone string, epoch uint64) *Set {
	return &Set{name: name, zone: zone, epoch: epoch, own: map[Key]Counts{}, members: map[string]*entry{}, zones: map[string]*entry{}, gone: map[string]uint64{}}
}

// Record sets what this copy counts of a key.
func (t *Set) Record(now time.Duration, k Key, c Counts) {
	t.now = max(t.now, now)
	if _, known := t.own[k]; !known && len(t.own) >= MaxKeys {
		k = other
		sum := t.own[k]
		sum.add(c)
		c = sum
	}
	before := t.own[k]
	before.merge(c)
	t.own[k] = before
}

// LocalUpdate is what this copy says of itself next.
func (t *Set) LocalUpdate(now time.Duration) Update {
	t.now = max(t.now, now)
	t.version++
	counts := make(map[Key]Counts, len(t.own))
	for k, c := range t.own {
		counts[k] = c
	}
	return Update{Name: t.name, Epoch: t.epoch, Version: t.version, Counts: counts}
}

// ZoneUpdate is the sum over those of this copy's zone that are named, for copies of
// other zones: one speaker for a zone is enough, and what is lost by it is who counted
// what, and as much time as a message takes more.
func (t *Set) ZoneUpdate(now time.Duration, names []string) Update {
	t.now = max(t.now, now)
	t.version++
	item := Update{Name: t.name, Epoch: t.epoch, Version: t.version, Zone: t.zone, Counts: map[Key]Counts{}}
	add := func(counts map[Key]Counts) {
		item.Members++
		for k, c := range counts {
			if _, known := item.Counts[k]; !known && len(item.Counts) >= MaxKeys {
				k = other
			}
			sum := item.Counts[k]
			sum.add(c)
			item.Counts[k] = sum
		}
	}
	add(t.own)
	for _, name := range names {
		if e := t.members[name]; e != nil && name != t.name {
			add(e.Counts)
			item.AgeMS = max(item.AgeMS, (t.now - e.at).Milliseconds())
		}
	}
	return item
}

// Merge takes an item in, and tells whether it was news.
func (t *Set) Merge(now time.Duration, item Update) bool {
	t.now = max(t.now, now)
	bad := item.Name == "" || len(item.Counts) > MaxKeys+1 || item.AgeMS < 0 || item.AgeMS > 1e9 || item.Members < 0
	for _, c := range item.Counts {
		bad = bad || !c.sound()
	}
	if bad {
		t.Invalid++
		return false
	}
	if item.Epoch < t.gone[item.Name] || item.Name == t.name {
		return false
	}
	all, key, most := t.members, item.Name, MaxMembers
	if item.Zone != "" {
		if item.Zone == t.zone {
			return false // one's own zone is known copy by copy
		}
		all, key, most = t.zones, item.Zone, MaxZones
	}
	e := all[key]
	switch {
	case e == nil:
		if len(all) >= most {
			return false
		}
		e = &entry{}
		all[key] = e
	case e.Name == item.Name && (item.Epoch < e.Epoch || item.Epoch == e.Epoch && item.Version <= e.Version):
		return false
	case e.Name != item.Name && time.Duration(item.AgeMS)*time.Millisecond >= t.now-e.at:
		return false // of two speakers of a zone the one with younger figures holds
	}
	at := t.now - time.Duration(item.AgeMS)*time.Millisecond
	if e.Name == item.Name && e.Epoch == item.Epoch {
		e.before, e.beforeAt = e.Counts, e.at
		if item.Zone == "" { // by maximum: what a copy counted once it has counted
			merged := make(map[Key]Counts, len(item.Counts))
			for k, c := range e.Counts {
				merged[k] = c
			}
			for k, c := range item.Counts {
				sum := merged[k]
				sum.merge(c)
				merged[k] = sum
			}
			item.Counts = merged
		}
	} else {
		e.before = nil
	}
	e.Update, e.at = item, at
	return true
}

// Expire says that starts of a copy up to an epoch are over: they left, or another
// followed. What they counted goes, and nothing of them comes back.
func (t *Set) Expire(name string, epoch uint64) {
	if epoch++; epoch <= t.gone[name] {
		return
	}
	if len(t.gone) >= 4*MaxMembers {
		clear(t.gone)
	}
	t.gone[name] = epoch
	if e := t.members[name]; e != nil && e.Epoch < epoch {
		delete(t.members, name)
	}
	for zone, e := range t.zones {
		if e.Name == name && e.Epoch < epoch {
			delete(t.zones, zone)
		}
	}
}

// Value is a figure with what it is worth.
type Value struct {
	Estimate     float64
	Lower, Upper float64
	Age          time.Duration // of the oldest part
	Replicas     int           // copies in it
	Stale        bool          // a part is too old to go by
}

// Sum adds up over all copies what pick takes of the counts of keys that match.
func (t *Set) Sum(now time.Duration, match func(Key) bool, pick func(Counts) float64) (v Value) {
	t.now = max(t.now, now)
	add := func(counts map[Key]Counts) (n float64) {
		for k, c := range counts {
			if match == nil || match(k) {
				n += pick(c)
			}
		}
		return n
	}
	v.Estimate = add(t.own)
	v.Lower, v.Upper, v.Replicas = v.Estimate, v.Estimate, 1
	part := func(e *entry) {
		n := add(e.Counts)
		age := t.now - e.at
		pace := 0.0
		if e.before != nil && e.at > e.beforeAt {
			pace = math.Abs(n-add(e.before)) / (e.at - e.beforeAt).Seconds()
		} else if age > 0 {
			pace = n // nothing is known of its pace: as much again in a second
		}
		v.Estimate += n
		v.Lower += max(n-paceMost*pace*age.Seconds(), 0)
		v.Upper += n + paceMost*pace*age.Seconds()
		v.Age = max(v.Age, age)
		v.Stale = v.Stale || age > staleAfter
		v.Replicas += max(e.Members, 1)
	}
	for _, e := range t.members {
		part(e)
	}
	for _, e := range t.zones {
		part(e)
	}
	return v
}

// Source is what is known of one speaker, as people read it.
type Source struct {
	Name, Zone string
	Members    int
	Age        time.Duration
	Counts     map[Key]Counts
}

// Sources are all speakers by zone and name.
func (t *Set) Sources(now time.Duration) []Source {
	t.now = max(t.now, now)
	all := []Source{{t.name, "", 1, 0, t.own}}
	for _, e := range t.members {
		all = append(all, Source{e.Name, "", 1, t.now - e.at, e.Counts})
	}
	for zone, e := range t.zones {
		all = append(all, Source{e.Name, zone, e.Members, t.now - e.at, e.Counts})
	}
	slices.SortFunc(all, func(a, b Source) int { return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name)) })
	return all
}
