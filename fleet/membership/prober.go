package membership

import "time"

const (
	maxProbeTimeout   = 1500 * time.Millisecond // before it is scaled by the local health
	timeoutsPerPeriod = 2.5                     // a period leaves time for a direct ack and then an indirect one
	recentPings       = 8                       // latest pings of probes, whose late acks still yield a round-trip time
)

// never is the due time of a task that is not scheduled.
const never = time.Duration(1<<63 - 1)

// prober holds the probe in progress, at most one, and computes its timeouts.
type prober struct {
	interval   time.Duration
	minTimeout time.Duration
	health     localHealth
	rtt        rttEstimator
	sequence   uint32 // of the latest ping, own or relayed
	current    *probe // nil if no probe is in progress
	recent     [recentPings]sentPing
	urgent     []*member // members to probe ahead of the round
	nextAt     time.Duration
}

// probe is one probe of a member.
type probe struct {
	target           *member
	epoch            uint64 // of the target at the start
	seq              uint32
	indirectAt       time.Duration // when indirect probes are requested
	endsAt           time.Duration // when the probe fails
	indirect         bool          // indirect probes were requested
	indirectRequests int
	nacks            int
}

// sentPing is a direct ping whose round-trip time can be measured.
type sentPing struct {
	seq    uint32
	sentAt time.Duration
	target *member
}

// nextSequence returns the sequence number of a new ping.
func (p *prober) nextSequence() uint32 {
	p.sequence++
	return p.sequence
}

// ackTimeout returns how long to wait for an ack before requesting indirect probes.
func (p *prober) ackTimeout() time.Duration {
	return min(max(p.minTimeout, p.rtt.timeout()), maxProbeTimeout) * p.health.multiplier()
}

// period returns the time between the starts of two probes.
func (p *prober) period() time.Duration {
	scaled := p.interval * p.health.multiplier()
	return max(scaled, time.Duration(timeoutsPerPeriod*float64(p.ackTimeout())))
}

// dueAt returns when the next step is due.
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

// nextUrgent removes and returns the next reachable member to probe ahead of the round,
// or nil if there is none.
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

// acknowledgedDirectly handles an ack from m itself, possibly of a probe that has ended.
func (p *prober) acknowledgedDirectly(now time.Duration, m *member, seq uint32) {
	sent := p.recent[seq%recentPings]
	if sent.seq == seq && sent.target == m {
		p.rtt.observe(now - sent.sentAt)
	}
	if p.current != nil && p.current.seq == seq && p.current.target == m {
		p.succeeded()
	}
}

// acknowledgedIndirectly handles an ack of target that another member relayed.
func (p *prober) acknowledgedIndirectly(target string, seq uint32) {
	if p.current != nil && p.current.seq == seq && p.current.target.Name == target {
		p.succeeded()
	}
}

// nacked records that a member running an indirect probe has no ack yet.
func (p *prober) nacked(seq uint32) {
	if p.current != nil && p.current.seq == seq {
		p.current.nacks++
	}
}

func (p *prober) succeeded() {
	p.current = nil
	p.health.improve()
}

// runProbe runs the due steps of the current probe: requesting indirect probes, and failing it.
func (l *List) runProbe() {
	current := l.prober.current
	if current != nil && !current.indirect && l.now >= current.indirectAt {
		l.probeIndirectly(current)
	}
	if current != nil && l.now >= current.endsAt {
		l.probeFailed()
	}
}

// runNextProbe starts a probe if one is due, or postpones it to the end of the current one.
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

// ping sends a ping. A ping to a suspected or disputed member carries the record to refute.
// It also carries this member's own record if m may not know it: only known members get
// an ack.
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

// probeIndirectly pings the target again and requests indirect probes from other members.
func (l *List) probeIndirectly(p *probe) {
	p.indirect = true
	l.ping(p.target, p.seq)
	for _, helper := range l.members.sample(l.cfg.IndirectProbes, p.target, &l.rng) {
		p.indirectRequests++
		l.sendToMember(helper, newPingRequest(p.seq, p.target.Name))
	}
}

// probeFailed ends a probe that got no ack, and suspects its target unless that is blocked.
func (l *List) probeFailed() {
	p := l.prober.current
	l.prober.current = nil
	l.Stats.Failed++
	// Members that run an indirect probe send at least a nack. If none arrives, this member itself is likely
	// not receiving.
	noNacks := p.indirectRequests > 0 && p.nacks == 0
	noHelpers := p.indirectRequests == 0 && len(l.members.reachable) > 1
	if noNacks || noHelpers {
		l.prober.health.worsen()
	}
	target := p.target
	if target.Epoch != p.epoch || !target.Status.reachable() {
		return
	}
	if target.Status == Alive && l.now < target.localSuspicionBlockedUntil {
		return // it refuted this member's suspicion recently; other members may still suspect it
	}
	record := target.withoutTags()
	record.Status = Suspect
	record.ReportedBy = l.self.Name
	if target.Status == Alive {
		target.suspectedLocally = true
	}
	l.learn(&record, "")
}
