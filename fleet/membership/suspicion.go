package membership

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	neededConfirmations = 2   // confirmations by other members that shorten a suspicion to its minimum
	minSuspicionPeriods = 6.0 // in probe intervals: time to disseminate a suspicion and receive the refutation
	maxSuspicionFactor  = 6.0 // a suspicion without confirmations lasts this many times the minimum
	lastChancePingers   = 300 // mean number of members in the fleet that ping a suspect before declaring it dead
	unconfirmableFactor = 2   // a suspicion that no other member could confirm lasts this many times the minimum
	verifiers           = 4.0 // mean number of members in the fleet that probe a new suspect at once
)

// suspicion determines how long a suspect has to refute.
type suspicion struct {
	startedAt           time.Duration
	min                 time.Duration // duration with all needed confirmations
	max                 time.Duration // duration without confirmations
	neededConfirmations int
	reporters           []string      // the member that raised the suspicion, then those that confirmed it
	lastChanceUntil     time.Duration // the last ping may be answered until then; 0 before the timeout
}

// timeoutAt returns when the suspicion ends unless it is refuted. Each independent
// confirmation makes it end earlier.
func (s *suspicion) timeoutAt() time.Duration {
	if s.neededConfirmations <= 0 { // no other member could confirm it
		return s.startedAt + unconfirmableFactor*s.min
	}
	confirmations := min(len(s.reporters)-1, s.neededConfirmations)
	fraction := math.Log(float64(confirmations)+1) / math.Log(float64(s.neededConfirmations)+1)
	return s.startedAt + s.max - time.Duration(fraction*float64(s.max-s.min))
}

// confirmed reports whether the suspicion has all needed confirmations.
func (s *suspicion) confirmed() bool { return len(s.reporters) > s.neededConfirmations }

// confirm adds a reporter, and reports whether it counts as a new confirmation.
func (s *suspicion) confirm(reporter string) bool {
	if s.confirmed() || slices.Contains(s.reporters, reporter) {
		return false
	}
	s.reporters = append(s.reporters, reporter)
	return true
}

// postpone extends the time to refute.
func (s *suspicion) postpone(by time.Duration) {
	s.startedAt += by
	if s.lastChanceUntil > 0 {
		s.lastChanceUntil += by
	}
}

// suspectList holds the suspected members. nextTimeout is never later than the end of a
// suspicion.
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

// schedule makes sure that the suspicions are checked no later than at.
func (s *suspectList) schedule(at time.Duration) { s.nextTimeout = min(s.nextTimeout, at) }

// postpone extends all suspicions by the time in which this member received nothing:
// unread messages may contain refutations.
func (s *suspectList) postpone(by time.Duration) {
	for _, m := range s.members {
		m.suspicion.postpone(by)
	}
	if s.nextTimeout != never {
		s.nextTimeout += by
	}
}

// suspect starts a suspicion of m that reporter raised.
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
		l.prober.urgent = append(l.prober.urgent, m) // independent of the reporter's probe
	}
}

// confirmSuspicion records that reporter suspects m too, and publishes the confirmation.
func (l *List) confirmSuspicion(m *member, reporter string) {
	if m.suspicion == nil || !m.suspicion.confirm(reporter) {
		return
	}
	l.suspects.schedule(m.suspicion.timeoutAt())
	record := m.withoutTags()
	record.ReportedBy = reporter
	l.publish(record)
}

// runSuspicions checks the suspicions if one may have timed out.
func (l *List) runSuspicions() {
	for l.suspects.nextTimeout <= l.now {
		l.suspects.nextTimeout = never
		for _, m := range slices.Clone(l.suspects.members) {
			l.expireSuspicion(m)
		}
	}
}

// expireSuspicion declares m dead if its suspicion has timed out and a last chance has
// passed. For the last chance some members ping m with the suspicion, since its refutation
// may not have reached them. The delay also lets a member that was stalled read the
// messages that arrived meanwhile before it decides.
func (l *List) expireSuspicion(m *member) {
	s := m.suspicion
	end := s.timeoutAt()
	if m.lastHeard >= s.startedAt && !s.confirmed() { // m still sends; it may only fail to receive
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
