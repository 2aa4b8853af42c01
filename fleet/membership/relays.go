package membership

import (
	"maps"
	"slices"
	"time"
)

const (
	maxRelays       = 256 // maximum number of indirect probes in progress
	relayAckTimeout = 4   // in ack timeouts: an indirect probe is abandoned after this time
)

// relay is an indirect probe that another member requested.
type relay struct {
	requester string
	seq       uint32 // of the requester's probe
	nackAt    time.Duration
	nacked    bool
	endsAt    time.Duration
}

// relays holds the indirect probes in progress, by the sequence number of their ping.
type relays map[uint32]relay

// take removes and returns the relay whose ping has the sequence number seq.
func (r relays) take(seq uint32) (relay, bool) {
	found, ok := r[seq]
	delete(r, seq)
	return found, ok
}

// dueAt returns when the next nack is due.
func (r relays) dueAt() time.Duration {
	due := never
	for _, pending := range r {
		if !pending.nacked {
			due = min(due, pending.nackAt)
		}
	}
	return due
}

// sequences returns the keys in ascending order, which makes the order of sent messages
// reproducible.
func (r relays) sequences() []uint32 { return slices.Sorted(maps.Keys(r)) }

// runRelays sends the due nacks and abandons relays that have expired.
func (l *List) runRelays() {
	for _, seq := range l.relays.sequences() {
		pending := l.relays[seq]
		if !pending.nacked && l.now >= pending.nackAt {
			pending.nacked = true
			l.relays[seq] = pending
			l.sendToMember(l.members.byName[pending.requester], newNack(pending.seq))
		}
		if l.now >= pending.endsAt {
			delete(l.relays, seq)
		}
	}
}

// relayPing pings target on behalf of requester, which got no ack from it.
func (l *List) relayPing(requester *member, target string, requesterSeq uint32) {
	m := l.members.byName[target]
	if m == nil || len(l.relays) >= maxRelays {
		return
	}
	seq := l.prober.nextSequence()
	timeout := l.prober.ackTimeout()
	l.relays[seq] = relay{
		requester: requester.Name,
		seq:       requesterSeq,
		nackAt:    l.now + timeout,
		endsAt:    l.now + relayAckTimeout*timeout,
	}
	l.ping(m, seq)
}
