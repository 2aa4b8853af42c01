package membership

import (
	"maps"
	"slices"
	"time"
)

const (
	maxRelays       = 256 // indirect probes for other members that are under way
	relayAckTimeout = 4   // ack timeouts after which an indirect probe is given up
)

// relay is an indirect probe that another member asked for.
type relay struct {
	requester string
	seq       uint32 // of the requester's probe
	nackAt    time.Duration
	nacked    bool
	endsAt    time.Duration
}

// relays are the indirect probes under way, by the sequence number of their ping.
type relays map[uint32]relay

// take removes the relay that an ack belongs to.
func (r relays) take(seq uint32) (relay, bool) {
	found, ok := r[seq]
	delete(r, seq)
	return found, ok
}

// dueAt is when the next nack is due.
func (r relays) dueAt() time.Duration {
	due := never
	for _, pending := range r {
		if !pending.nacked {
			due = min(due, pending.nackAt)
		}
	}
	return due
}

// sequences returns the keys in ascending order, so that the order of what is sent
// is reproducible.
func (r relays) sequences() []uint32 { return slices.Sorted(maps.Keys(r)) }

// runRelays sends the nacks that are due and gives up what took too long.
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

// relayPing probes target because requester got no ack of it.
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
