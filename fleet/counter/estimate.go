package counter

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	maxRateGrowth = 2.0 // growth of a rate since the latest update that the bounds allow for
	staleAfter    = 10 * time.Second
)

// Value is a sum over all replicas, with its accuracy.
type Value struct {
	Estimate float64
	Lower    float64 // Lower and Upper are bounds of the true value
	Upper    float64
	Age      time.Duration // of the oldest counts in the sum
	Replicas int           // included in the sum
	Stale    bool          // some counts in the sum are older than staleAfter
}

// Sum adds up pick(counts) over all replicas and matching keys. pick must return whole numbers; a nil match selects all
// keys. Senders are added in the order of names, because rounding of the bounds depends on the order.
func (s *Set) Sum(now time.Duration, match func(Key) bool, pick func(Counts) float64) Value {
	s.advance(now)
	total := func(counts map[Key]Counts) float64 {
		sum := 0.0
		for key, c := range counts {
			if match == nil || match(key) {
				sum += pick(c)
			}
		}
		return sum
	}
	local := total(s.own)
	value := Value{Estimate: local, Lower: local, Upper: local, Replicas: 1}
	for _, table := range []updateTable{s.replicas, s.zones} {
		for _, sender := range slices.Sorted(maps.Keys(table.entries)) {
			value.add(s.now, table.entries[sender], total)
		}
	}
	return value
}

// add adds the counts of one sender and widens the bounds by the growth possible since its update.
func (v *Value) add(now time.Duration, e *entry, total func(map[Key]Counts) float64) {
	count := total(e.Counts)
	age := now - e.validAt
	rate := 0.0
	if e.previous != nil && e.validAt > e.previousAt {
		rate = math.Abs(count-total(e.previous)) / (e.validAt - e.previousAt).Seconds()
	} else if age > 0 {
		rate = count // rate unknown: assume that the count doubles in a second
	}
	margin := maxRateGrowth * rate * age.Seconds()
	v.Estimate += count
	v.Lower += max(count-margin, 0)
	v.Upper += count + margin
	v.Age = max(v.Age, age)
	v.Stale = v.Stale || age > staleAfter
	v.Replicas += max(e.Members, 1)
}

// Source describes the latest counts of one sender.
type Source struct {
	Name    string
	Zone    string // if set, the counts are sums over Members replicas of this zone
	Members int
	Age     time.Duration
	Counts  map[Key]Counts
}

// Sources returns all senders, this replica included, sorted by zone and name.
func (s *Set) Sources(now time.Duration) []Source {
	s.advance(now)
	all := []Source{{Name: s.name, Members: 1, Counts: s.own}}
	for _, e := range s.replicas.entries {
		all = append(all, Source{Name: e.Name, Members: 1, Age: s.now - e.validAt, Counts: e.Counts})
	}
	for zone, e := range s.zones.entries {
		all = append(all, Source{
			Name:    e.Name,
			Zone:    zone,
			Members: e.Members,
			Age:     s.now - e.validAt,
			Counts:  e.Counts,
		})
	}
	slices.SortFunc(all, func(a, b Source) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name))
	})
	return all
}
