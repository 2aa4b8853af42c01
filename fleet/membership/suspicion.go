package membership

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	neededConfirmations = 2   // further members that shorten a suspicion to its minimum
	minSuspicionPeriods = 6.0 // probe intervals: time to disseminate a suspicion and to receive the refutation
	maxSuspicionFactor  = 6.0 // times the minimum that a suspicion lasts if nobody confirms it
	lastChancePingers   = 300 // members of the fleet, on average, that ping a suspect before they declare it dead
	unconfirmableFactor = 2   // times the minimum that a suspicion lasts if no other member could confirm it
	verifiers           = 4.0 // members of the fleet, on average, that probe a newly suspected member at once
)

// suspicion is the time that a suspect has to refute.
type suspicion struct {
	startedAt           time.Duration
	min                 time.Duration // how long it lasts once it is confirmed
	max                 time.Duration // how long it lasts if nobody confirms it
	neededConfirmations int
	reporters           []string      // who suspected the member and who confirmed it
	lastChanceUntil     time.Duration // until when the last ping may be answered; 0 before the timeout
}

// timeoutAt is when a suspicion that is not refuted ends: the earlier, the more
// members confirmed it independently.
func (s *suspicion) timeoutAt() time.Duration {
	if s.neededConfirmations <= 0 { // nobody else could confirm it
		return s.startedAt + unconfirmableFactor*s.min
	}
	confirmations := min(len(s.reporters)-1, s.neededConfirmations)
	fraction := math.Log(float64(confirmations)+1) / math.Log(float64(s.neededConfirmations)+1)
	return s.startedAt + s.max - time.Duration(fraction*float64(s.max-s.min))
}

// confirmed reports whether as many members reported the suspicion as can shorten it.
func (s *suspicion) confirmed() bool { return len(s.reporters) > s.neededConfirmations }

// confirm adds a reporter, and reports whether it was a further one.
func (s *suspicion) confirm(reporter string) bool {
	if s.confirmed() || slices.Contains(s.reporters, reporter) {
		return false
	}
	s.reporters = append(s.reporters, reporter)
	return true
}

// postpone gives the suspect more time.
func (s *suspicion) postpone(by time.Duration) {
	s.startedAt += by
	if s.lastChanceUntil > 0 {
		s.lastChanceUntil += by
	}
}

// suspectList holds the members that are suspected. nextTimeout is no later than the
// end of any suspicion.
type suspectList struct {
	members     []*member
	nextTimeout time.Duration
}

func (s *suspectList) add(m *member, started *suspicion) {
	m.suspicion = started
	s.members = append(s.members, m)
	s.schedule(started.timeoutAt())
}

func (s *suspectList) remove(m *member) {
	m.suspicion = nil
	s.members = slices.DeleteFunc(s.members, func(other *member) bool { return other == m })
}

// schedule has the suspicions looked at no later than at.
func (s *suspectList) schedule(at time.Duration) { s.nextTimeout = min(s.nextTimeout, at) }

// postpone gives all suspects back the time in which this member received nothing:
// their refutations may be among what it reads next.
func (s *suspectList) postpone(by time.Duration) {
	for _, m := range s.members {
		m.suspicion.postpone(by)
	}
	if s.nextTimeout != never {
		s.nextTimeout += by
	}
}

// suspect begins the suspicion of m, which reporter found.
func (l *List) suspect(m *member, reporter string) {
	shortest := time.Duration(minSuspicionPeriods * float64(l.cfg.ProbeInterval))
	l.suspects.add(m, &suspicion{
		startedAt:           l.now,
		min:                 shortest,
		max:                 maxSuspicionFactor * shortest,
		neededConfirmations: min(neededConfirmations, len(l.members.reachable)-1),
		reporters:           []string{reporter},
	})
	if reporter != l.self.Name && l.rng.Float64() < verifiers/float64(len(l.members.reachable)+1) {
		l.prober.urgent = append(l.prober.urgent, m) // a second probe, independent of the first
	}
}

// confirmSuspicion records that reporter suspects m too, and passes it on.
func (l *List) confirmSuspicion(m *member, reporter string) {
	if m.suspicion == nil || !m.suspicion.confirm(reporter) {
		return
	}
	l.suspects.schedule(m.suspicion.timeoutAt())
	record := m.withoutTags()
	record.ReportedBy = reporter
	l.publish(record)
}

// runSuspicions ends the suspicions that are due.
func (l *List) runSuspicions() {
	for l.suspects.nextTimeout <= l.now {
		l.suspects.nextTimeout = never
		for _, m := range slices.Clone(l.suspects.members) {
			l.expireSuspicion(m)
		}
	}
}

// expireSuspicion declares m dead if its suspicion has ended. Before that it gets a
// last chance: it is pinged once more with the suspicion, since its refutation may
// have missed this member, and what has arrived meanwhile at a member that stood
// still is read before it decides.
func (l *List) expireSuspicion(m *member) {
	s := m.suspicion
	end := s.timeoutAt()
	if m.lastHeard >= s.startedAt && !s.confirmed() { // it sends: it may just not receive
		end = s.startedAt + s.max
	}
	if end > l.now {
		l.suspects.schedule(end)
		return
	}
	if s.lastChanceUntil == 0 {
		s.lastChanceUntil = l.now + l.prober.ackTimeout()
		if l.rng.Float64() < lastChancePingers/float64(len(l.members.reachable)) {
			l.ping(m, l.prober.nextSequence())
		}
	}
	if l.now < s.lastChanceUntil {
		l.suspects.schedule(s.lastChanceUntil)
		return
	}
	record := m.withoutTags()
	record.Status = Dead
	record.ReportedBy = l.self.Name
	l.learn(&record, "suspected by "+strings.Join(s.reporters, ", ")+", did not refute")
}
