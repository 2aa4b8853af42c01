// Package counter adds up counts over all replicas. Each replica counts for itself and sends its counts with its epoch
// and a version; receivers merge them so that the order and duplication of messages don't matter. The package does no
// I/O and reads no clock.
//
// A sum carries its age, and bounds that contain the true value unless some replica's rate has more than doubled since
// its latest update.
package counter

import "time"

// Limits of memory and of update size.
const (
	MaxKeys    = 64   // in an update; the counts of further keys are summed under one overflow key
	MaxMembers = 8192 // replicas whose counts are kept
	MaxZones   = 256  // zones whose sums are kept

	maxOwnKeys = 4096           // at one replica; counts of further keys are dropped
	maxExpired = 4 * MaxMembers // replicas with an expired epoch that is kept
)

// Set holds one replica's own counts and the counts received from others. It is not safe for concurrent use.
type Set struct {
	name    string
	zone    string
	epoch   uint64 // of this process
	version uint64 // of the latest update sent
	now     time.Duration

	own      map[Key]Counts
	replicas updateTable // by name
	zones    updateTable // by zone

	minEpochs map[string]uint64 // by replica; updates of earlier epochs are ignored

	// Invalid counts refused updates with impossible values.
	Invalid uint64
}

// updateTable holds the latest update of each sender.
type updateTable struct {
	entries    map[string]*entry
	maxEntries int
}

// New returns the set of a replica in a zone.
func New(name, zone string, epoch uint64) *Set {
	return &Set{
		name:      name,
		zone:      zone,
		epoch:     epoch,
		own:       map[Key]Counts{},
		replicas:  updateTable{entries: map[string]*entry{}, maxEntries: MaxMembers},
		zones:     updateTable{entries: map[string]*entry{}, maxEntries: MaxZones},
		minEpochs: map[string]uint64{},
	}
}

// Record sets this replica's counts of a key.
func (s *Set) Record(now time.Duration, key Key, counts Counts) {
	s.advance(now)
	if _, known := s.own[key]; !known && len(s.own) >= maxOwnKeys {
		return
	}
	recorded := s.own[key]
	recorded.merge(counts)
	s.own[key] = recorded
}

// LocalUpdate returns an update of this replica's counts to send to others.
func (s *Set) LocalUpdate(now time.Duration) Update {
	s.advance(now)
	s.version++
	update := Update{Name: s.name, Epoch: s.epoch, Version: s.version, Counts: s.own}
	update.Combine(MaxKeys)
	return update
}

// ZoneUpdate returns an update to send to other zones: the sum over this replica and the named replicas of its zone.
// One sender per zone is enough; receivers do not see the counts of single replicas.
func (s *Set) ZoneUpdate(now time.Duration, names []string) Update {
	s.advance(now)
	s.version++
	update := Update{Name: s.name, Epoch: s.epoch, Version: s.version, Zone: s.zone, Counts: map[Key]Counts{}}
	update.addMember(s.own)
	for _, name := range names {
		member := s.replicas.entries[name]
		if member == nil || name == s.name {
			continue
		}
		update.addMember(member.Counts)
		update.AgeMS = max(update.AgeMS, (s.now - member.validAt).Milliseconds())
	}
	return update
}

// Merge adds an update, and reports whether it was newer than the one known.
func (s *Set) Merge(now time.Duration, update Update) bool {
	s.advance(now)
	if !update.valid() {
		s.Invalid++
		return false
	}
	if update.Name == s.name || update.Epoch < s.minEpochs[update.Name] {
		return false
	}
	if update.Zone == "" {
		return s.replicas.merge(update.Name, update, s.now-update.age())
	}
	if update.Zone == s.zone {
		return false // counts of this zone's replicas are kept one by one
	}
	return s.zones.merge(update.Zone, update, s.now-update.age())
}

// Expire drops the counts of a replica that left or restarted, in all epochs up to the one given. Updates of these
// epochs that arrive later are ignored.
func (s *Set) Expire(name string, epoch uint64) {
	minEpoch := epoch + 1
	if minEpoch <= s.minEpochs[name] {
		return
	}
	if len(s.minEpochs) >= maxExpired {
		clear(s.minEpochs)
	}
	s.minEpochs[name] = minEpoch
	if e := s.replicas.entries[name]; e != nil && e.Epoch < minEpoch {
		delete(s.replicas.entries, name)
	}
	for zone, e := range s.zones.entries {
		if e.Name == name && e.Epoch < minEpoch {
			delete(s.zones.entries, zone)
		}
	}
}

func (s *Set) advance(now time.Duration) { s.now = max(s.now, now) }

// merge adds an update that was valid at validAt, and reports whether it was newer than the one known.
func (t *updateTable) merge(key string, update Update, validAt time.Duration) bool {
	current := t.entries[key]
	if current == nil {
		if len(t.entries) >= t.maxEntries {
			return false
		}
		t.entries[key] = &entry{Update: update, validAt: validAt}
		return true
	}
	if !current.supersededBy(&update, validAt) {
		return false
	}
	current.replace(update, validAt)
	return true
}
