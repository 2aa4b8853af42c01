package membership

import "time"

// displacedGrace is how long a replaced process may run on before a NameConflict is reported.
const displacedGrace = 10 * time.Second

// conflictAnswerInterval is the minimum time between two answers to replaced processes of one name. An attacker may
// replay recorded frames from any address, and must not receive more traffic than it sends.
const conflictAnswerInterval = time.Second

// receive handles a datagram received from address.
func (l *List) receive(message *Message, address string) {
	if l.displaced || message == nil || message.From.Name == "" {
		return
	}
	if message.From.Name == l.self.Name && message.From.Epoch == l.self.Epoch {
		return
	}
	if !message.From.valid() {
		l.Stats.InvalidRecords++
		return
	}
	for i := range message.Updates {
		l.learn(&message.Updates[i], "")
	}
	sender := l.sender(&message.From, address)
	if sender == nil || l.displaced {
		return
	}
	if message.ReplicaSetDigest != 0 && message.From.Epoch == sender.Epoch {
		sender.replicaSetDigest = message.ReplicaSetDigest
	}
	if message.Kind < Gossip { // views normally differ while gossip is sent
		l.compareDigest(sender, message.Digest)
	}
	switch message.Kind {
	case Ping:
		l.receivePing(sender, message)
	case Ack:
		l.receiveAck(sender, message)
	case PingReq:
		l.relayPing(sender, message.Target, message.Seq)
	case Nack:
		l.prober.nacked(message.Seq)
	}
}

func (l *List) receivePing(sender *member, ping *Message) {
	if ping.Target != "" && ping.Target != l.self.Name {
		return // meant for a member that had this address before
	}
	ack := newAck(ping.Seq, sender.Name)
	if ping.Target == "" || ping.mentions(l.self.Name) {
		ack.Updates = append(ack.Updates, l.self)
	}
	if sender.Status != Alive { // lets the sender refute
		ack.Updates = append(ack.Updates, sender.withoutTags())
	}
	l.sendToMember(sender, ack)
}

func (l *List) receiveAck(sender *member, ack *Message) {
	if relayed, ok := l.relays.take(ack.Seq); ok {
		if requester := l.members.byName[relayed.requester]; requester != nil {
			l.sendToMember(requester, newRelayedAck(relayed.seq, sender.State))
		}
		return
	}
	if ack.Target == l.self.Name {
		l.prober.acknowledgedDirectly(l.now, sender, ack.Seq)
	} else {
		l.prober.acknowledgedIndirectly(ack.Target, ack.Seq)
	}
}

// compareDigest compares the digest of m's view with the digest of this view.
func (l *List) compareDigest(m *member, digest uint64) {
	if !l.view.matches(digest) {
		l.syncer.differs(m)
		return
	}
	l.joined = true // equal views are as good as a synchronization
	l.syncer.agrees(m.Name)
	if l.view.matchesInARow >= matchesToDropQueue {
		l.gossiper.updates.keepSuspicions() // the digest does not cover suspicions
	}
}

// sender records that a member sent a message, and returns the member. It returns nil if
// the sender is unknown, uses this member's name, or is not the known process of its name.
func (l *List) sender(state *State, address string) *member {
	if state.Name == l.self.Name {
		l.learnAboutSelf(&Record{State: *state})
		return nil
	}
	m := l.members.byName[state.Name]
	if m == nil {
		return nil
	}
	if state.Epoch < m.Epoch {
		l.nameConflict(m, address)
		return nil
	}
	m.lastHeard = l.now
	if state.Newer(m.State) && state.Status == Alive {
		l.learn(&Record{State: *state}, "")
	}
	if m.Epoch != state.Epoch {
		return nil
	}
	return m
}

// nameConflict handles a message from a process that m, a later process of its name, has
// replaced. It answers with m's record, so that the sender learns of its replacement.
func (l *List) nameConflict(m *member, address string) {
	l.Stats.NameConflicts++
	if l.now-m.statusSince > displacedGrace && m.Status == Alive {
		l.emit(Action{Kind: NameConflict, Record: m.Record})
	}
	if address == "" || address == m.Tags.Address || l.now < m.conflictAnswerBlockedUntil {
		return
	}
	m.conflictAnswerBlockedUntil = l.now + conflictAnswerInterval
	answer := newGossip(m.withoutTags()) // without queued updates: the sender is not a member
	l.stamp(answer)
	l.emit(Action{Kind: Send, Address: address, Message: answer})
}
