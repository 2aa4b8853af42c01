package membership

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	gossipInterval      = 100 * time.Millisecond // while there are updates to send
	gossipFanout        = 3                      // members that are gossiped to at a time
	departureFanout     = 2 * gossipFanout       // members that are sent a departure at once: the process ends soon
	retransmitFactor    = 4.0                    // times that an update is sent, for each power of ten of members
	maxUpdateBytes      = 1000                   // updates in a datagram, which is under 1,200 bytes
	minBurstBytes       = 16 << 10               // bytes of updates that may be sent at once in a small fleet
	burstBytesPerMember = 64.0                   // or, in a large fleet, for each reachable member
	maxQueuedUpdates    = 1024                   // beyond it the one that was sent most often is dropped
	maxDisputes         = 512                    // members that are waiting to be asked to refute
	disputesPerGossip   = 32                     // of them at a time
	matchesToDropQueue  = 4                      // equal digests in a row that show that all know the queued updates
)

// gossiper holds what is to be disseminated.
type gossiper struct {
	updates  updateQueue
	disputes []dispute
	nextAt   time.Duration
}

// dispute is a member that another one considers dead while this one does not.
type dispute struct {
	member *member
	record Record // as the other member holds it
}

// pending reports whether there is anything to send.
func (g *gossiper) pending() bool { return len(g.updates.entries) > 0 || len(g.disputes) > 0 }

// dueAt is when gossip is sent next.
func (g *gossiper) dueAt() time.Duration {
	if !g.pending() {
		return never
	}
	return g.nextAt
}

// updateQueue holds the updates that are passed on with messages, those that were
// sent least often first, and one for each member at most. It spends a credit of
// bytes that grows with time.
type updateQueue struct {
	entries        []queuedUpdate
	bytesPerSecond float64
	credit         float64 // bytes; what is urgent may overdraw it
	creditAt       time.Duration
}

type queuedUpdate struct {
	Record
	transmits int
}

// push queues a record in the place of older ones of its member.
func (q *updateQueue) push(record Record) {
	q.entries = slices.DeleteFunc(q.entries, func(u queuedUpdate) bool { return u.Name == record.Name })
	if len(q.entries) >= maxQueuedUpdates {
		q.entries = q.entries[:maxQueuedUpdates-1]
	}
	q.entries = slices.Insert(q.entries, 0, queuedUpdate{Record: record})
}

// keepSuspicions drops all updates but suspicions.
func (q *updateQueue) keepSuspicions() {
	q.entries = slices.DeleteFunc(q.entries, func(u queuedUpdate) bool { return u.Status != Suspect })
}

// worthSending reports whether a message for updates alone would carry any.
func (q *updateQueue) worthSending() bool {
	if len(q.entries) == 0 {
		return false
	}
	return q.credit >= 0 || slices.ContainsFunc(q.entries, queuedUpdate.urgent)
}

// urgent reports whether the update may overdraw the credit: that a member is
// suspected, has refuted or is dead. Records with tags wait; a synchronization brings them too.
func (u queuedUpdate) urgent() bool { return u.Tags == nil }

// fill adds updates to a message: one at least, and as many more as fit into the
// datagram and the credit. reachable is the number of members that may receive them.
func (q *updateQueue) fill(now time.Duration, message *Message, reachable int) {
	burst := max(minBurstBytes, burstBytesPerMember*float64(reachable))
	q.credit = min(q.credit+q.bytesPerSecond*(now-q.creditAt).Seconds(), burst)
	q.creditAt = now
	if len(q.entries) == 0 {
		return
	}
	remaining := maxUpdateBytes
	for i := range message.Updates {
		remaining -= message.Updates[i].Size()
	}
	added := 0
	for i := range q.entries {
		update := &q.entries[i]
		size := update.Size()
		if size > remaining {
			break
		}
		left := q.credit - float64(size)
		if added > 0 && (left < -burst || left < 0 && !update.urgent()) {
			continue
		}
		remaining -= size
		q.credit -= float64(size)
		message.Updates = append(message.Updates, update.Record)
		update.transmits++
		added++
	}
	q.dropSent(reachable)
}

// dropSent drops the updates that were sent often enough to reach all members.
func (q *updateQueue) dropSent(reachable int) {
	limit := int(retransmitFactor * math.Ceil(math.Log10(float64(reachable+2))))
	q.entries = slices.DeleteFunc(q.entries, func(u queuedUpdate) bool { return u.transmits >= limit })
	slices.SortStableFunc(q.entries, func(a, b queuedUpdate) int { return cmp.Compare(a.transmits, b.transmits) })
}

// publish queues a record for dissemination. Before the start nothing is: what is
// restored may be known to all.
func (l *List) publish(record Record) {
	if !l.started {
		return
	}
	l.gossiper.updates.push(record)
	l.gossiper.nextAt = max(l.gossiper.nextAt, l.now)
}

// runGossip sends gossip if it is due.
func (l *List) runGossip() {
	if l.now < l.gossiper.nextAt || !l.gossiper.pending() {
		return
	}
	l.gossiper.nextAt = l.now + gossipInterval
	l.sendDisputes()
	for _, m := range l.members.sample(gossipFanout, nil, &l.rng) {
		if !l.gossiper.updates.worthSending() {
			return
		}
		l.sendToMember(m, newGossip())
	}
}

// sendDisputes asks members that others consider dead to refute.
func (l *List) sendDisputes() {
	for range min(disputesPerGossip, len(l.gossiper.disputes)) {
		disputed := l.gossiper.disputes[0]
		l.gossiper.disputes = l.gossiper.disputes[1:]
		m := disputed.member
		if m.deathDisputed && m.Epoch == disputed.record.Epoch && m.Incarnation == disputed.record.Incarnation {
			l.sendToMember(m, newGossip(disputed.record))
		}
	}
}

// disputeDeath has m asked to refute, which another member considers dead by record.
func (l *List) disputeDeath(m *member, record *Record) {
	if m.deathDisputed || len(l.gossiper.disputes) >= maxDisputes {
		return
	}
	m.deathDisputed = true
	l.gossiper.disputes = append(l.gossiper.disputes, dispute{member: m, record: record.withoutTags()})
	l.prober.urgent = append(l.prober.urgent, m)
}

// sendToMember sends a message with as many updates as fit. Without a known address
// of m nothing is sent.
func (l *List) sendToMember(m *member, message *Message) {
	if m != nil && m.Tags != nil {
		l.sendTo(m.Name, m.Tags.Address, message)
	}
}

// sendTo sends a message to an address; name may be empty.
func (l *List) sendTo(name, address string, message *Message) {
	l.stamp(message)
	l.gossiper.updates.fill(l.now, message, len(l.members.reachable))
	l.emit(Action{Kind: Send, Name: name, Address: address, Message: message})
}

// stamp sets what every message carries about its sender.
func (l *List) stamp(message *Message) {
	message.From = l.self.State
	message.Digest = l.view.value
	message.ReplicaSetDigest = l.replicaSetDigest
}

func (l *List) emit(action Action) { l.actions = append(l.actions, action) }
