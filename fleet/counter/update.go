package counter

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Key identifies a group of requests with separate counts.
type Key struct {
	Pool   string
	Class  string
	Tenant string
}

// compare orders keys by pool, class and tenant.
func (k Key) compare(other Key) int {
	return cmp.Or(
		cmp.Compare(k.Pool, other.Pool),
		cmp.Compare(k.Class, other.Class),
		cmp.Compare(k.Tenant, other.Tenant),
	)
}

// overflowKey holds the summed counts of the keys that exceed an update's limit.
var overflowKey = Key{Pool: "(other)"}

// Counts are the counts of one key. All but InFlight only grow during the life of a process.
type Counts struct {
	Arrivals uint64
	Served   uint64
	Refused  uint64
	Failed   uint64
	InFlight int64
}

// Limits of valid counts.
const (
	maxCount    = 1 << 56
	maxInFlight = 1 << 32
	maxAgeMS    = 1e9
)

// merge adopts newer counts of the same process. Counts that only grow never fall, as messages may arrive out of order.
func (c *Counts) merge(other Counts) {
	c.Arrivals = max(c.Arrivals, other.Arrivals)
	c.Served = max(c.Served, other.Served)
	c.Refused = max(c.Refused, other.Refused)
	c.Failed = max(c.Failed, other.Failed)
	c.InFlight = other.InFlight
}

func (c *Counts) add(other Counts) {
	c.Arrivals += other.Arrivals
	c.Served += other.Served
	c.Refused += other.Refused
	c.Failed += other.Failed
	c.InFlight += other.InFlight
}

func (c *Counts) valid() bool {
	return c.Arrivals < maxCount && c.Served < maxCount && c.Refused < maxCount && c.Failed < maxCount &&
		c.InFlight >= 0 && c.InFlight < maxInFlight
}

// Update carries the counts of one replica, or the sums of its zone.
type Update struct {
	Name    string // of the sender
	Epoch   uint64 // of the sender's process
	Version uint64 // grows with each update that the process sends
	Zone    string // if set, Counts are sums over Members replicas of this zone
	Members int
	AgeMS   int64 // age of the oldest counts when the update was sent, in milliseconds
	Counts  map[Key]Counts
}

func (u *Update) age() time.Duration { return time.Duration(u.AgeMS) * time.Millisecond }

func (u *Update) valid() bool {
	if u.Name == "" || len(u.Counts) > MaxKeys+1 || u.AgeMS < 0 || u.AgeMS > maxAgeMS {
		return false
	}
	if u.Members < 0 || u.Members > MaxMembers {
		return false
	}
	for _, counts := range u.Counts {
		if !counts.valid() {
			return false
		}
	}
	return true
}

// Keys returns the sorted keys of the update without the overflow key.
func (u *Update) Keys() []Key {
	keys := slices.SortedFunc(maps.Keys(u.Counts), Key.compare)
	return slices.DeleteFunc(keys, func(key Key) bool { return key == overflowKey })
}

// Combine sums the counts of all keys but the first keysApart under the overflow key. It replaces the map of the update
// and leaves the old map unchanged.
func (u *Update) Combine(keysApart int) {
	combined := map[Key]Counts{}
	if sum, counted := u.Counts[overflowKey]; counted {
		combined[overflowKey] = sum
	}
	for i, key := range u.Keys() {
		if i < keysApart {
			combined[key] = u.Counts[key]
			continue
		}
		sum := combined[overflowKey]
		sum.add(u.Counts[key])
		combined[overflowKey] = sum
	}
	u.Counts = combined
}

// addMember adds the counts of one replica to the sums of its zone.
func (u *Update) addMember(counts map[Key]Counts) {
	u.Members++
	for _, key := range slices.SortedFunc(maps.Keys(counts), Key.compare) {
		c := counts[key]
		if _, known := u.Counts[key]; !known && len(u.Counts) >= MaxKeys {
			key = overflowKey
		}
		sum := u.Counts[key]
		sum.add(c)
		u.Counts[key] = sum
	}
}

// entry is the latest update of a replica or zone, with the previous counts to compute the rate from.
type entry struct {
	Update
	validAt    time.Duration // time of receipt, less the age of the update
	previous   map[Key]Counts
	previousAt time.Duration
}

// supersededBy reports whether an update that was valid at validAt replaces this one. Of two senders for a zone, the
// younger counts win.
func (e *entry) supersededBy(update *Update, validAt time.Duration) bool {
	switch {
	case e.Name != update.Name:
		return validAt > e.validAt
	case e.Epoch != update.Epoch:
		return update.Epoch > e.Epoch
	default:
		return update.Version > e.Version
	}
}

func (e *entry) replace(update Update, validAt time.Duration) {
	if e.Name == update.Name && e.Epoch == update.Epoch {
		e.previous = e.Counts
		e.previousAt = e.validAt
		if update.Zone == "" {
			update.Counts = mergeCounts(e.Counts, update.Counts)
		}
	} else {
		e.previous = nil
	}
	e.Update = update
	e.validAt = validAt
}

// mergeCounts merges an older and a newer update of one process. Keys missing from the newer update are dropped: their
// counts are under its overflow key.
func mergeCounts(older, newer map[Key]Counts) map[Key]Counts {
	merged := make(map[Key]Counts, len(newer))
	for key, counts := range newer {
		sum := older[key]
		sum.merge(counts)
		merged[key] = sum
	}
	return merged
}
