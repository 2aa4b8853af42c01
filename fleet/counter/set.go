// Package counter adds up counts over all replicas. Each replica counts for itself and sends its counts with its epoch
// and a version; receivers merge them so that order and repetition of messages don't matter. It is pure.
//
// A sum comes with its age, and with the bounds within which the true value lies if no replica's rate has more than
// doubled since it last sent its counts.
package counter

import "time"

// Bounds of what is kept and sent.
const (
	MaxKeys    = 64   // of an update; the counts of further ones are under one common key
	MaxMembers = 8192 // replicas whose counts are kept
	MaxZones   = 256  // whose sums are kept

	maxOwnKeys = 4096           // that one replica counts; what it would count under further ones is not counted
	maxExpired = 4 * MaxMembers // replicas of which an expired epoch is kept
)

// Set holds one replica's own counts and those that it received. It is not safe for concurrent use.
type Set struct {
	name    string
	zone    string
	epoch   uint64 // of this process
	version uint64 // of the latest update sent
	now     time.Duration

	own      map[Key]Counts
	replicas updateTable // by name
	zones    updateTable // by zone

	minEpochs map[string]uint64 // by replica: updates of earlier epochs have expired

	// Invalid counts updates that can't be true.
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

// Record sets what this replica counts under a key.
func (s *Set) Record(now time.Duration, key Key, counts Counts) {
	s.advance(now)
	if _, known := s.own[key]; !known && len(s.own) >= maxOwnKeys {
		return
	}
	recorded := s.own[key]
	recorded.merge(counts)
	s.own[key] = recorded
}

// LocalUpdate returns this replica's counts, to be sent to others.
func (s *Set) LocalUpdate(now time.Duration) Update {
	s.advance(now)
	s.version++
	update := Update{Name: s.name, Epoch: s.epoch, Version: s.version, Counts: s.own}
	update.Combine(MaxKeys)
	return update
}

// ZoneUpdate returns the sum over the named replicas of this replica's zone and itself, to be sent to other zones. One
// sender for a zone is enough; a receiver of the sum does not see which replica counted what.
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

// Merge adds an update, and reports whether it was newer than what was known.
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
		return false // the replicas of this zone are known one by one
	}
	return s.zones.merge(update.Zone, update, s.now-update.age())
}

// Expire drops what a replica counted in epochs up to the one given: it left, or restarted. Later updates of these
// epochs are ignored.
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

// merge adds an update that was valid at a time, and reports whether it was newer than what was known.
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
