package membership

// learn merges a record. A non-empty reason replaces the reason derived from the record.
func (l *List) learn(record *Record, reason string) {
	if !record.valid() {
		l.Stats.InvalidRecords++
		return
	}
	if record.Name == l.self.Name {
		l.learnAboutSelf(record)
		return
	}
	m := l.members.byName[record.Name]
	switch {
	case m == nil:
		l.addMember(record, reason)
	case !record.Newer(m.State):
		l.Stats.Stale++
		l.completeRecord(m, record)
	case record.Tags == nil && !record.sameTags(m.State):
		// The new tags are unknown. The digests differ, so a synchronization will transfer them.
	default:
		l.update(m, record, m.Status, reason)
	}
}

// addMember adds an unknown member. It ignores a record without tags: a synchronization
// will transfer the complete record.
func (l *List) addMember(record *Record, reason string) {
	if record.Tags == nil || record.Status == Left {
		return
	}
	if len(l.members.byName) >= l.cfg.MaxMembers {
		l.Stats.TableFull++
		l.emit(Action{Kind: TableFull, Record: *record})
		return
	}
	l.update(l.members.add(record.Name), record, 0, reason)
}

// completeRecord takes missing tags and a further reporter of a suspicion from a record
// that is not newer.
func (l *List) completeRecord(m *member, record *Record) {
	if record.Epoch != m.Epoch {
		return
	}
	if record.Tags != nil && record.TagsIncarnation == m.TagsIncarnation && m.Tags == nil {
		m.Tags = record.Tags
	}
	if record.Status == Suspect && m.Status == Suspect && record.Incarnation == m.Incarnation {
		l.confirmSuspicion(m, record.ReportedBy)
	}
}

// update replaces the record of m with a newer one and publishes it. previous is the
// status of m before, 0 if m was unknown.
func (l *List) update(m *member, record *Record, previous Status, reason string) {
	before := m.Record
	if previous != 0 {
		l.view.toggle(l.now, before.State)
	}
	if record.Epoch != m.Epoch {
		m.startEpoch()
	} else if refutes(record, m) && m.suspectedLocally {
		m.recordFalseSuspicion(l.now)
		l.prober.health.worsen()
	}
	m.Record = *record
	if record.Tags == nil {
		m.Tags = before.Tags
	}
	m.deathDisputed = false
	l.view.toggle(l.now, m.State)
	if previous != m.Status {
		m.statusSince = l.now
	}
	if m.suspicion != nil {
		l.suspects.remove(m)
	}
	if m.Status != Suspect {
		m.suspectedLocally = false
	}
	l.members.statusChanged(m, previous, &l.rng)
	changed := m.Record
	if previous != 0 && before.sameTags(m.State) {
		changed.Tags = nil // every member that knows m has its tags
	}
	l.publish(changed)
	if m.Status == Suspect {
		l.Stats.Suspected++
		l.suspect(m, m.ReportedBy)
	}
	if reason == "" {
		reason = reasonOf(m, &before, previous)
	}
	l.emit(Action{Kind: MemberChanged, Record: m.Record, PreviousStatus: previous, Reason: reason})
}

// refutes reports whether record refutes the suspicion of m. It must be of m's epoch.
func refutes(record *Record, m *member) bool {
	return m.Status == Suspect && record.Status == Alive && record.Incarnation > m.Incarnation
}

// reasonOf derives from the records why m changed.
func reasonOf(m *member, before *Record, previous Status) string {
	switch {
	case m.Status == Suspect:
		return "no answer to " + m.ReportedBy
	case m.Status == Dead:
		return "did not refute, declared by " + m.ReportedBy
	case m.Status == Left:
		return reasonLeft
	case previous != 0 && m.Epoch != before.Epoch:
		return ReasonRestarted
	case previous == Suspect || previous == Dead:
		return reasonRefuted
	}
	return reasonDiscovered
}

// learnAboutSelf handles another member's record of this member, and refutes it if it is wrong.
func (l *List) learnAboutSelf(record *Record) {
	switch {
	case l.displaced || record.Epoch < l.self.Epoch || l.self.Status == Left:
	case record.Epoch > l.self.Epoch && l.joined && record.Status != Dead && record.Status != Left:
		l.displaced = true
		l.emit(Action{Kind: Displaced, Record: *record})
	case record.Epoch > l.self.Epoch || record.Status == Left:
		// An earlier process of this name has ended or had a clock that was ahead, or an operator forgot this one.
		l.restart(record.Epoch + 1)
	case record.Status != Alive && record.Incarnation >= l.self.Incarnation:
		l.Stats.Refuted++
		l.prober.health.refuted(l.now)
		l.raiseIncarnation(record.Incarnation+1, nil)
	case record.Incarnation > l.self.Incarnation:
		// Only this member may raise its incarnation, so its own record must become the newest.
		l.raiseIncarnation(record.Incarnation+1, nil)
	}
}

// restart moves this member to another epoch.
func (l *List) restart(epoch uint64) {
	l.view.toggle(l.now, l.self.State)
	l.self.Epoch = epoch
	l.self.Incarnation = 0
	l.self.TagsIncarnation = 0
	l.view.toggle(l.now, l.self.State)
	l.publish(l.self)
}

// raiseIncarnation publishes this member's record under a higher incarnation, with
// new tags unless tags is nil.
func (l *List) raiseIncarnation(incarnation uint32, tags *Tags) {
	if incarnation >= maxIncarnation { // forged: only a new epoch overrides it
		l.restart(l.self.Epoch + 1)
		return
	}
	l.view.toggle(l.now, l.self.State)
	l.self.Incarnation = incarnation
	if tags != nil {
		l.self.Tags = tags
		l.self.TagsIncarnation = incarnation
	}
	l.view.toggle(l.now, l.self.State)
	record := l.self
	if tags == nil && l.joined {
		record.Tags = nil
	}
	l.publish(record)
}

// leave announces the departure of this member.
func (l *List) leave() {
	l.view.toggle(l.now, l.self.State)
	l.self.Status = Left
	l.self.Incarnation++
	l.publish(l.self)
	for _, m := range l.members.sample(departureFanout, nil, &l.rng) {
		l.sendToMember(m, newGossip(l.self))
	}
}

// forget marks a dead member as left.
func (l *List) forget(name string) {
	m := l.members.byName[name]
	if m == nil || m.Status != Dead {
		return
	}
	record := m.Record
	record.Status = Left
	record.ReportedBy = l.self.Name
	l.learn(&record, reasonForgotten)
}
