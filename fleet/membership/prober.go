package membership

import "time"

const (
	maxProbeTimeout   = 1500 * time.Millisecond // before it is scaled by the local health
	timeoutsPerPeriod = 2.5                     // a period has time for a direct ack, then for an indirect one
	recentPings       = 8                       // direct pings whose late acks still give a round-trip time
)

// never is the time of what is not scheduled.
const never = time.Duration(1<<63 - 1)

// prober keeps the probe under way, and how long its steps may take. At most one
// probe is under way.
type prober struct {
	interval   time.Duration
	minTimeout time.Duration
	health     localHealth
	rtt        rttEstimator
	sequence   uint32 // of the latest ping, whether sent for this member or for another
	current    *probe // nil if none is under way
	recent     [recentPings]sentPing
	urgent     []*member // to be probed before those of the round
	nextAt     time.Duration
}

// probe is one probe of a member.
type probe struct {
	target           *member
	epoch            uint64 // of the target at the start
	seq              uint32
	indirectAt       time.Duration // when indirect probes are asked for
	endsAt           time.Duration // when it has failed
	indirect         bool          // whether they were asked for
	indirectRequests int
	nacks            int
}

// sentPing is a direct ping whose round-trip time can be measured.
type sentPing struct {
	seq    uint32
	sentAt time.Duration
	target *member
}

// nextSequence numbers a ping.
func (p *prober) nextSequence() uint32 {
	p.sequence++
	return p.sequence
}

// ackTimeout is how long an ack is waited for before indirect probes are asked for.
func (p *prober) ackTimeout() time.Duration {
	return min(max(p.minTimeout, p.rtt.timeout()), maxProbeTimeout) * p.health.multiplier()
}

// period is the time from the start of a probe to that of the next one.
func (p *prober) period() time.Duration {
	scaled := p.interval * p.health.multiplier()
	return max(scaled, time.Duration(timeoutsPerPeriod*float64(p.ackTimeout())))
}

// dueAt is when the next step is due.
func (p *prober) dueAt() time.Duration {
	due := p.nextAt
	if p.current != nil {
		due = min(due, p.current.endsAt)
		if !p.current.indirect {
			due = min(due, p.current.indirectAt)
		}
	}
	return due
}

// nextUrgent takes the next member that is to be probed before those of the round;
// nil if there is none.
func (p *prober) nextUrgent() *member {
	for len(p.urgent) > 0 {
		m := p.urgent[0]
		p.urgent = p.urgent[1:]
		if m.Status.reachable() {
			return m
		}
	}
	return nil
}

// start begins a probe.
func (p *prober) start(now time.Duration, target *member) {
	p.current = &probe{
		target:     target,
		epoch:      target.Epoch,
		seq:        p.nextSequence(),
		indirectAt: now + p.ackTimeout(),
		endsAt:     now + p.period(),
	}
	p.recent[p.current.seq%recentPings] = sentPing{seq: p.current.seq, sentAt: now, target: target}
}

// acknowledgedDirectly handles the ack of a member, which may belong to a probe that ended.
func (p *prober) acknowledgedDirectly(now time.Duration, m *member, seq uint32) {
	sent := p.recent[seq%recentPings]
	if sent.seq == seq && sent.target == m {
		p.rtt.observe(now - sent.sentAt)
	}
	if p.current != nil && p.current.seq == seq && p.current.target == m {
		p.succeeded()
	}
}

// acknowledgedIndirectly records that another member got an ack of target.
func (p *prober) acknowledgedIndirectly(target string, seq uint32) {
	if p.current != nil && p.current.seq == seq && p.current.target.Name == target {
		p.succeeded()
	}
}

// nacked records that a member that was asked for an indirect probe has no ack yet.
func (p *prober) nacked(seq uint32) {
	if p.current != nil && p.current.seq == seq {
		p.current.nacks++
	}
}

func (p *prober) succeeded() {
	p.current = nil
	p.health.improve()
}

// runProbe takes the steps of probing that are due, up to the end of a probe.
func (l *List) runProbe() {
	current := l.prober.current
	if current != nil && !current.indirect && l.now >= current.indirectAt {
		l.probeIndirectly(current)
	}
	if current != nil && l.now >= current.endsAt {
		l.probeFailed()
	}
}

// runNextProbe begins a probe if it is due.
func (l *List) runNextProbe() {
	switch {
	case l.now < l.prober.nextAt:
	case l.prober.current != nil:
		l.prober.nextAt = l.prober.current.endsAt
	default:
		l.startProbe()
	}
}

func (l *List) startProbe() {
	l.prober.nextAt = l.now + l.prober.period()
	target := l.prober.nextUrgent()
	if target == nil {
		target = l.members.next(&l.rng)
	}
	if target == nil {
		return
	}
	l.Stats.Probes++
	l.prober.start(l.now, target)
	l.ping(target, l.prober.current.seq)
}

// ping sends a ping. It carries what makes its target refute, and this member's own
// record if the target may not know it: only known members get an ack.
func (l *List) ping(m *member, seq uint32) {
	message := newPing(seq, m.Name)
	if m.deathDisputed || m.Status != Alive {
		record := m.withoutTags()
		if m.deathDisputed {
			record.Status = Dead
		}
		message.Updates = append(message.Updates, record)
	}
	if m.lastHeard < 0 {
		message.Updates = append(message.Updates, l.self)
	}
	l.sendToMember(m, message)
}

// probeIndirectly sends a second ping and asks other members for theirs.
func (l *List) probeIndirectly(p *probe) {
	p.indirect = true
	l.ping(p.target, p.seq)
	for _, helper := range l.members.sample(l.cfg.IndirectProbes, p.target, &l.rng) {
		p.indirectRequests++
		l.sendToMember(helper, newPingRequest(p.seq, p.target.Name))
	}
}

// probeFailed ends a probe that got no ack, and suspects its target.
func (l *List) probeFailed() {
	p := l.prober.current
	l.prober.current = nil
	l.Stats.Failed++
	// The members that were asked for an indirect probe send a nack at least. If none arrives it is this
	// member that does not receive.
	unheard := p.indirectRequests > 0 && p.nacks == 0
	nobodyAsked := p.indirectRequests == 0 && len(l.members.reachable) > 1
	if unheard || nobodyAsked {
		l.prober.health.worsen()
	}
	target := p.target
	if target.Epoch != p.epoch || !target.Status.reachable() {
		return
	}
	if target.Status == Alive && l.now < target.localSuspicionBlockedUntil {
		return // it has just refuted this member's suspicion: others may suspect it
	}
	record := target.withoutTags()
	record.Status = Suspect
	record.ReportedBy = l.self.Name
	if target.Status == Alive {
		target.suspectedLocally = true
	}
	l.learn(&record, "")
}
