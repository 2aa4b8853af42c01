package membership

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	gossipInterval      = 100 * time.Millisecond // between gossip rounds while updates are queued
	gossipFanout        = 3                      // recipients in each round
	departureFanout     = 2 * gossipFanout       // recipients of a departure: the process exits soon
	retransmitFactor    = 4.0                    // transmissions of an update for each power of ten of members
	maxUpdateBytes      = 1000                   // bytes of updates in a datagram, whose limit is 1,200 bytes
	minBurstBytes       = 16 << 10               // burst limit of update bytes in a small fleet
	burstBytesPerMember = 64.0                   // burst limit in a large fleet, for each reachable member
	maxQueuedUpdates    = 1024                   // beyond it the update sent most often is dropped
	maxDisputes         = 512                    // members queued to be asked to refute
	disputesPerGossip   = 32                     // members asked to refute in each round
	matchesToDropQueue  = 4                      // consecutive equal digests after which all members count as informed
)

// gossiper holds the information to be disseminated.
type gossiper struct {
	updates  updateQueue
	disputes []dispute
	nextAt   time.Duration
}

// dispute is a member that another member considers dead and this member does not.
type dispute struct {
	member *member
	record Record // as the other member holds it
}

// pending reports whether any update or dispute is queued.
func (g *gossiper) pending() bool { return len(g.updates.entries) > 0 || len(g.disputes) > 0 }

// dueAt returns when gossip is sent next.
func (g *gossiper) dueAt() time.Duration {
	if !g.pending() {
		return never
	}
	return g.nextAt
}

// updateQueue holds the updates to piggyback on messages, at most one for each member,
// ordered by ascending number of transmissions. Sending spends a credit of bytes that
// grows with time.
type updateQueue struct {
	entries        []queuedUpdate
	bytesPerSecond float64
	credit         float64 // bytes; urgent updates may overdraw it
	creditAt       time.Duration
}

type queuedUpdate struct {
	Record
	transmits int
}

// push queues a record first and removes an older update of its member.
func (q *updateQueue) push(record Record) {
	q.entries = slices.DeleteFunc(q.entries, func(u queuedUpdate) bool { return u.Name == record.Name })
	if len(q.entries) >= maxQueuedUpdates {
		q.entries = q.entries[:maxQueuedUpdates-1]
	}
	q.entries = slices.Insert(q.entries, 0, queuedUpdate{Record: record})
}

// keepSuspicions drops all updates except suspicions.
func (q *updateQueue) keepSuspicions() {
	q.entries = slices.DeleteFunc(q.entries, func(u queuedUpdate) bool { return u.Status != Suspect })
}

// shouldSend reports whether a gossip message would carry any update.
func (q *updateQueue) shouldSend() bool {
	if len(q.entries) == 0 {
		return false
	}
	return q.credit >= 0 || slices.ContainsFunc(q.entries, queuedUpdate.urgent)
}

// urgent reports whether the update may overdraw the credit: suspicions, refutations
// and deaths may. Records with tags wait; a synchronization transfers them as well.
func (u queuedUpdate) urgent() bool { return u.Tags == nil }

// fill adds queued updates to a message: the first one whatever the credit is, if it fits
// into the datagram, then as many as datagram and credit allow. reachable is the number of
// reachable members.
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

// dropSent drops the updates that were sent often enough to reach all reachable members.
func (q *updateQueue) dropSent(reachable int) {
	limit := int(retransmitFactor * math.Ceil(math.Log10(float64(reachable+2))))
	q.entries = slices.DeleteFunc(q.entries, func(u queuedUpdate) bool { return u.transmits >= limit })
	slices.SortStableFunc(q.entries, func(a, b queuedUpdate) int { return cmp.Compare(a.transmits, b.transmits) })
}

// publish queues a record for dissemination. Before Start it does nothing: other members
// probably know the restored records.
func (l *List) publish(record Record) {
	if !l.started {
		return
	}
	l.gossiper.updates.push(record)
	l.gossiper.nextAt = max(l.gossiper.nextAt, l.now)
}

// runGossip sends disputes and gossip if they are due.
func (l *List) runGossip() {
	if l.now < l.gossiper.nextAt || !l.gossiper.pending() {
		return
	}
	l.gossiper.nextAt = l.now + gossipInterval
	l.sendDisputes()
	for _, m := range l.members.sample(gossipFanout, nil, &l.rng) {
		if !l.gossiper.updates.shouldSend() {
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

// disputeDeath queues a request to m to refute record, by which another member considers m dead.
func (l *List) disputeDeath(m *member, record *Record) {
	if m.deathDisputed || len(l.gossiper.disputes) >= maxDisputes {
		return
	}
	m.deathDisputed = true
	l.gossiper.disputes = append(l.gossiper.disputes, dispute{member: m, record: record.withoutTags()})
	l.prober.urgent = append(l.prober.urgent, m)
}

// sendToMember sends a message to m with as many updates as fit. It does nothing if m is
// nil or its address is unknown.
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

// stamp sets the fields of a message that describe its sender.
func (l *List) stamp(message *Message) {
	message.From = l.self.State
	message.Digest = l.view.value
	message.ReplicaSetDigest = l.replicaSetDigest
}

func (l *List) emit(action Action) { l.actions = append(l.actions, action) }
