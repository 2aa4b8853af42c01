package membership

import "time"

// Backoff of local suspicions: after a member refuted a suspicion that this member raised, failed probes by
// this member do not raise another one for some time.
const (
	firstSuspicionBackoff = time.Second // after the first refutation; doubled with each further refutation
	maxFalseSuspicions    = 6           // the backoff stops doubling after this many refutations
)

// noIndex is the index of a member that is in neither list of memberTable.
const noIndex = -1

// neverHeard is the value of member.lastHeard before the first message.
const neverHeard = time.Duration(-1)

// member is another member of the fleet.
type member struct {
	Record
	suspicion        *suspicion    // non-nil if and only if the status is Suspect
	statusSince      time.Duration // time of the latest status change
	lastHeard        time.Duration // arrival of the latest message sent by the member itself, or neverHeard
	replicaSetDigest uint64        // as last announced in its current epoch
	index            int           // in the memberTable list of its status, or noIndex

	deathDisputed              bool          // another member considers it dead and it has not refuted yet
	suspectedLocally           bool          // the current suspicion was raised by a failed probe of the local member
	falseSuspicions            int           // refuted local suspicions in this epoch, at most maxFalseSuspicions
	localSuspicionBlockedUntil time.Duration // a failed probe raises no suspicion before this time
	conflictAnswerBlockedUntil time.Duration // an earlier process of its name is not answered before this time
}

// startEpoch resets the fields that belong to one process, after the member restarted.
func (m *member) startEpoch() {
	m.replicaSetDigest = 0
	m.falseSuspicions = 0
	m.localSuspicionBlockedUntil = 0
	m.lastHeard = neverHeard
}

// recordFalseSuspicion extends the backoff of local suspicions after the member refuted one.
func (m *member) recordFalseSuspicion(now time.Duration) {
	m.falseSuspicions = min(m.falseSuspicions+1, maxFalseSuspicions)
	m.localSuspicionBlockedUntil = now + firstSuspicionBackoff<<(m.falseSuspicions-1)
}
