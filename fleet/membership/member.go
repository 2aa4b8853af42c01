package membership

import "time"

// A member that refuted a suspicion that began here is not suspected from here again for some time.
const (
	firstSuspicionBackoff = time.Second // after the first refutation; doubled with each further one
	maxFalseSuspicions    = 6           // after this many refutations it is no longer doubled
)

// noIndex is the index of a member that is on no list.
const noIndex = -1

// neverHeard is the time of the latest message of a member that sent none.
const neverHeard = time.Duration(-1)

// member is another member of the fleet.
type member struct {
	Record
	suspicion        *suspicion    // set exactly while the status is Suspect
	statusSince      time.Duration // when the status became what it is
	lastHeard        time.Duration // when its latest own message arrived, or neverHeard
	replicaSetDigest uint64        // as it announced last, in its present epoch
	index            int           // on the list of its status in memberTable, or noIndex

	deathDisputed              bool          // another member considers it dead, and no refutation arrived yet
	suspectedLocally           bool          // the suspicion under way began with a probe of this member
	falseSuspicions            int           // suspicions that began here and were refuted in this epoch, bounded
	localSuspicionBlockedUntil time.Duration // until when a failed probe does not begin a suspicion
	conflictAnswerBlockedUntil time.Duration // until when an earlier process of its name is not answered
}

// startEpoch forgets what is known about an earlier process of the member.
func (m *member) startEpoch() {
	m.replicaSetDigest = 0
	m.falseSuspicions = 0
	m.localSuspicionBlockedUntil = 0
	m.lastHeard = neverHeard
}

// recordFalseSuspicion blocks new suspicions from here, as one of them was refuted.
func (m *member) recordFalseSuspicion(now time.Duration) {
	m.falseSuspicions = min(m.falseSuspicions+1, maxFalseSuspicions)
	m.localSuspicionBlockedUntil = now + firstSuspicionBackoff<<(m.falseSuspicions-1)
}
