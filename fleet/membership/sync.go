package membership

import (
	"slices"
	"strings"
	"time"
)

const (
	viewQuietPeriod        = 600 * time.Millisecond  // an unchanged view is synchronized after this time
	maxSyncDelay           = 1500 * time.Millisecond // a changing view is synchronized after this time
	syncBacklog            = 64                      // queued updates above which gossip would take seconds
	minSyncInterval        = 500 * time.Millisecond  // between synchronizations that this member starts
	membersPerSyncInterval = 1000.0                  // above it the interval grows in proportion to the members
	syncTimeout            = 5 * time.Second         // a synchronization that takes longer is abandoned
	maxSyncBytes           = 3 << 19                 // bytes of records in a message, under 2 MiB with the names
)

// syncer schedules push/pull synchronizations of whole views. At most one started by this
// member is in progress.
type syncer struct {
	candidate     string // name of a member whose digest differs; empty if there is none
	current       uint64 // ID of the synchronization in progress; 0 if there is none
	endsAt        time.Duration
	started       uint64 // number of synchronizations started, and the ID of the latest
	lastStartedAt time.Duration
	nextAt        time.Duration // the next one must not start earlier
}

// startAt returns when a synchronization with the candidate is due: once the view has
// been quiet or has kept changing for long enough, or as soon as allowed if the queue is
// too long for gossip, as after a partition.
func (s *syncer) startAt(viewChangedAt time.Duration, queuedUpdates int) time.Duration {
	if queuedUpdates >= syncBacklog {
		return s.nextAt
	}
	return max(s.nextAt, min(viewChangedAt+viewQuietPeriod, s.lastStartedAt+maxSyncDelay))
}

// dueAt returns when the next step is due.
func (s *syncer) dueAt(viewChangedAt time.Duration, queuedUpdates int) time.Duration {
	switch {
	case s.current != 0:
		return s.endsAt
	case s.candidate != "":
		return s.startAt(viewChangedAt, queuedUpdates)
	}
	return never
}

// differs records that m's digest differs from this member's.
func (s *syncer) differs(m *member) {
	if m.Status == Alive {
		s.candidate = m.Name
	}
}

// agrees records that a member's digest equals this member's.
func (s *syncer) agrees(name string) {
	if s.candidate == name {
		s.candidate = ""
	}
}

// start records the start of a synchronization. reachable is the number of reachable members.
func (s *syncer) start(now time.Duration, reachable int, rng *random) {
	s.started++
	s.current = s.started
	s.endsAt = now + syncTimeout
	s.lastStartedAt = now
	gap := time.Duration(max(1, float64(reachable)/membersPerSyncInterval) * float64(minSyncInterval))
	s.nextAt = now + gap + rng.duration(gap)
}

// end ends the synchronization in progress if its ID is id.
func (s *syncer) end(id uint64) (ended bool) {
	if id != s.current {
		return false
	}
	s.current = 0
	return true
}

// abort abandons the synchronization in progress.
func (s *syncer) abort() { s.current = 0 }

// runSync abandons a synchronization that has timed out, and starts one that is due.
func (l *List) runSync() {
	s := &l.syncer
	if s.current != 0 && l.now >= s.endsAt {
		s.abort()
	}
	due := s.current == 0 && s.candidate != "" && l.now >= s.startAt(l.view.changedAt, len(l.gossiper.updates.entries))
	if !due {
		return
	}
	if m := l.members.byName[s.candidate]; m != nil {
		l.startSync(m.Name, m.Tags.Address)
	}
	s.candidate = ""
}

// startSync starts a synchronization with the member at address. name is empty for a seed.
func (l *List) startSync(name, address string) {
	l.Stats.Exchanges++
	l.syncer.start(l.now, len(l.members.reachable), &l.rng)
	request := &Message{Kind: SyncRequest, Target: name, Updates: l.viewWithoutTags()}
	l.stamp(request)
	l.emit(Action{Kind: StartSync, Name: name, Address: address, Message: request, Exchange: l.syncer.current})
}

// viewWithoutTags returns all records; only this member's own has tags.
func (l *List) viewWithoutTags() []Record {
	view := make([]Record, 0, len(l.members.byName)+1)
	view = append(view, l.self)
	for _, m := range l.members.byName {
		view = append(view, m.withoutTags())
	}
	sortByName(view)
	return view
}

func sortByName(records []Record) {
	slices.SortFunc(records, func(a, b Record) int { return strings.Compare(a.Name, b.Name) })
}

// syncRequested answers a synchronization that another member started, with the records
// that are newer here and the names of the records requested from the other member.
func (l *List) syncRequested(request *Message, exchange uint64) {
	if l.displaced || request == nil {
		return
	}
	response := &Message{Kind: SyncResponse, Target: request.From.Name}
	l.stamp(response)
	named := make(map[string]bool, len(request.Updates))
	for i := range request.Updates {
		record := &request.Updates[i]
		if !record.valid() {
			l.Stats.InvalidRecords++
			continue
		}
		named[record.Name] = true
		l.compareRecord(record, response)
	}
	if !named[l.self.Name] {
		response.Updates = append(response.Updates, l.self)
	}
	for name, m := range l.members.byName {
		if !named[name] && m.Status != Left {
			response.Updates = append(response.Updates, m.Record)
		}
	}
	sortByName(response.Updates)
	response.Updates = fittingPrefix(response.Updates)
	l.synchronized(&request.From)
	l.emit(Action{Kind: Reply, Message: response, Exchange: exchange})
}

// compareRecord merges one record of a request, requests its tags, or adds the newer
// known record to the response.
func (l *List) compareRecord(record *Record, response *Message) {
	if record.Name == l.self.Name {
		if record.State != l.self.State {
			l.learnAboutSelf(record)
			response.Updates = append(response.Updates, l.self)
		}
		return
	}
	m := l.members.byName[record.Name]
	switch {
	case m == nil || record.Newer(m.State) && !record.sameTags(m.State):
		if record.Tags != nil {
			l.learnFromView(record)
		} else if record.Status != Left {
			response.Requested = append(response.Requested, record.Name)
		}
	case record.Newer(m.State):
		l.learnFromView(record)
	case m.Newer(record.State):
		newer := m.Record
		if m.sameTags(record.State) {
			newer.Tags = nil
		}
		response.Updates = append(response.Updates, newer)
	}
}

// syncAnswered ends a synchronization that this member started, and sends the records
// that the other member requested.
func (l *List) syncAnswered(response *Message, exchange uint64) {
	if l.displaced || response == nil || !l.syncer.end(exchange) {
		return
	}
	l.learnView(response)
	l.synchronized(&response.From)
	if l.displaced {
		return
	}
	final := &Message{Kind: SyncFinal, Target: response.From.Name}
	l.stamp(final)
	for _, name := range response.Requested {
		if m := l.members.byName[name]; m != nil && m.Tags != nil {
			final.Updates = append(final.Updates, m.Record)
		} else if name == l.self.Name {
			final.Updates = append(final.Updates, l.self)
		}
	}
	final.Updates = fittingPrefix(final.Updates)
	l.emit(Action{Kind: Reply, Message: final, Exchange: exchange})
}

// fittingPrefix returns the first records, as many as fit into a message. The digests differ until all records have
// been transferred, so later synchronizations transfer the rest.
func fittingPrefix(records []Record) []Record {
	size := 0
	for i := range records {
		size += records[i].Size()
		if size > maxSyncBytes {
			return records[:i]
		}
	}
	return records
}

// syncFinished merges the records that this member requested.
func (l *List) syncFinished(final *Message) {
	if l.displaced || final == nil {
		return
	}
	l.learnView(final)
}

// synchronized records that views were exchanged. It ignores an exchange of this member
// with itself, since a seed may have its address.
func (l *List) synchronized(from *State) {
	if from.Name != l.self.Name {
		l.joined = true
	}
}

func (l *List) learnView(message *Message) {
	for i := range message.Updates {
		l.learnFromView(&message.Updates[i])
	}
}

// learnFromView merges a record of another member's whole view. A member that only the
// other considers dead gets the chance to refute first: after a partition each side
// considers the other dead, and neither is right.
func (l *List) learnFromView(record *Record) {
	m := l.members.byName[record.Name]
	if m != nil && record.valid() && disputable(m, record) {
		l.disputeDeath(m, record)
		return
	}
	l.learn(record, "")
}

// disputable reports whether record declares m dead while m is reachable here and can still refute.
func disputable(m *member, record *Record) bool {
	current := record.Epoch == m.Epoch && record.Incarnation >= m.Incarnation
	return current && record.Status == Dead && m.Status.reachable()
}
