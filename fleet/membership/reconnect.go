package membership

import "time"

const (
	reconnectInterval   = time.Second // between attempts to reconnect, on average
	reconnectingMembers = 4.0         // members of the whole fleet, on average, that attempt it each time
)

// runReconnect tries to reconnect if it is due.
func (l *List) runReconnect() {
	if l.now < l.nextReconnect {
		return
	}
	l.nextReconnect = l.now + reconnectInterval/2 + l.rng.duration(reconnectInterval)
	l.pingUnreachable()
	l.contactSeed()
}

// pingUnreachable occasionally pings a dead member: that is how the sides of a
// partition find each other again. Of the whole fleet the same number of members
// does so each time, whatever its size.
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

// contactSeed synchronizes with a seed while no member is reachable, and pings one
// occasionally otherwise.
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
