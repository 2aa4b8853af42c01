package membership

import "time"

const (
	reconnectInterval   = time.Second // mean time between attempts to reconnect
	reconnectingMembers = 4.0         // mean number of members in the whole fleet that attempt it per interval
)

// runReconnect contacts dead members and seeds if that is due.
func (l *List) runReconnect() {
	if l.now < l.nextReconnect {
		return
	}
	l.nextReconnect = l.now + reconnectInterval/2 + l.rng.duration(reconnectInterval)
	l.pingUnreachable()
	l.contactSeed()
}

// pingUnreachable pings a dead member with a small probability, so that the sides of a
// healed partition find each other. The probability is such that the number of members
// that ping a dead one does not depend on the size of the fleet.
func (l *List) pingUnreachable() {
	fleet := float64(len(l.members.reachable) + 1)
	lost := l.members.unreachable
	if len(lost) > 0 && l.rng.Float64() < reconnectingMembers*float64(len(lost))/fleet {
		m := lost[l.rng.below(len(lost))]
		ping := newPing(l.prober.nextSequence(), m.Name)
		ping.Updates = []Record{m.withoutTags(), l.self}
		l.sendTo(m.Name, m.Tags.Address, ping)
	}
}

// contactSeed synchronizes with a seed while no member is reachable; otherwise it pings a
// seed with a small probability.
func (l *List) contactSeed() {
	if len(l.cfg.Seeds) == 0 {
		return
	}
	seed := l.cfg.Seeds[l.rng.below(len(l.cfg.Seeds))]
	if len(l.members.reachable) == 0 {
		if l.syncer.current == 0 {
			l.startSync("", seed)
		}
		return
	}
	if l.rng.Float64() < reconnectingMembers/float64(len(l.members.reachable)+1) {
		ping := newPing(l.prober.nextSequence(), "")
		ping.Updates = []Record{l.self}
		l.sendTo("", seed, ping)
	}
}
