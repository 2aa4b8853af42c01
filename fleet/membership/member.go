package membership

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"ryerill/internal/seedrand"
)

// What follows from a period, and bounds.
const (
	maxHealth   = 8                       // Lifeguard's local health: a copy in trouble itself waits up to nine times as long
	mostAnswer  = 1500 * time.Millisecond // an answer is waited for so long at most before others are asked
	perAnswer   = 2.5                     // a period holds so many waits for an answer: one direct, one by others
	needed      = 2                       // confirmations that shorten a suspicion to its least
	leastDoubt  = 6.0                     // a suspicion lasts so many periods at the least: news of it goes out and a refutation comes back
	mostDoubt   = 6.0                     // and so many times the least where nobody confirms it
	lastWords   = 300.0                   // members of the whole that ping a suspect once more before it is held for dead
	witnesses   = 4.0                     // members of the whole that look at once when they hear of a suspicion
	gossipEvery = 100 * time.Millisecond  // while there is news
	fanout      = 3                       // members that are told at a time
	retransmit  = 4.0                     // times that news is sent, for each power of ten of members
	newsBytes   = 1000                    // of news in a datagram, which is under 1,200 bytes
	burstLeast  = 16 << 10                // bytes of news that may go out at once,
	burstPer    = 64.0                    // or so many for each member
	agreed      = 4                       // members in a row whose views are the same: what is in the queue is known
	mostNews    = 1024                    // records in the queue of news; beyond it what was sent most goes
	mostDispute = 512                     // members that are told that others hold them for dead
	disputeStep = 32                      // of them at a time
	seekEvery   = time.Second             // between looks for those who are lost, on average
	seekers     = 4.0                     // of the whole that look for one that is lost, each time
	quiet       = 600 * time.Millisecond  // a view that has not changed for so long and differs from another's is exchanged
	restless    = 1500 * time.Millisecond // and one that changes on and on after so long
	backlog     = 64                      // records in the queue of news: gossip takes seconds for them
	exchangeGap = 500 * time.Millisecond  // between exchanges that one member begins, and more in large fleets,
	exchangePer = 1000.0                  // by so many members
	exchangeFor = 5 * time.Second         // an exchange that has not ended by then is given up
	leftFor     = 10 * time.Minute        // one that left is remembered: older news of it may still be about
	lateLeast   = 100 * time.Millisecond  // a tick this late is no time in which a suspect could refute,
	stallLeast  = 500 * time.Millisecond  // and one this late says that this copy stood still
	excuseFirst = time.Second             // one who refuted our own accusation is not accused again for so long, doubled each time,
	excuseMost  = 6                       // so often
	mostAsked   = 256                     // probes for others that are out
)

// EventKind tells which fields of an Event are set.
type EventKind uint8

// The kinds of event.
const (
	Restore EventKind = iota + 1 // Records: who was there before this member's restart; it comes before Begin
	Start
	Tick            // Due has come
	MessageReceived // Message: a datagram
	SyncRequested   // Message, Exchange: somebody began an exchange
	SyncAnswered    // Message, Exchange: the answer in one that was begun here
	SyncFinished    // Message: the end of one that somebody began
	SyncFailed      // Exchange: one that was begun here failed
	SetTags         // Tags: what this member says of itself has changed
	Leave           // this member goes for good
	Forget          // Name: a person says that it is gone for good
)

// Event is something that happened.
type Event struct {
	Kind     EventKind
	Message  *Message
	From     string // address that a datagram came from
	Exchange uint64
	Tags     Tags
	Name     string
	Records  []Record
}

// ActionKind tells which fields of an Action are set.
type ActionKind uint8

// The kinds of action.
const (
	Send          ActionKind = iota + 1 // Name, Address, Message: a datagram
	StartSync                           // Name, Address, Message, Exchange: begin an exchange
	Reply                               // Message, Exchange: go on with one
	MemberChanged                       // Record, Was, Why
	Displaced                           // Record: another process of this name started later; this one is not in the fleet any more
	NameConflict                        // Record: a process of this name that was replaced still speaks
	TableFull                           // Record: no room for it
	Stalled                             // Wait: this copy stood still for so long
)

// Action is something that the host is to do.
type Action struct {
	Kind           ActionKind
	Name           string // empty where only the address is known
	Address        string
	Message        *Message
	Exchange       uint64
	Record         Record
	PreviousStatus Status // 0 if it was not known
	Reason         string
	Wait           time.Duration
}

// Stats count what happened since the start.
type Stats struct {
	Probes         uint64 `json:"Probes"`
	Failed         uint64 `json:"Failed"`
	Suspected      uint64 `json:"Suspected"`
	Refuted        uint64 `json:"Refuted"`
	Stalls         uint64 `json:"Stalls"`
	Exchanges      uint64 `json:"Exchanges"`
	InvalidRecords uint64 `json:"BadRecords"`
	TableFull      uint64 `json:"NoRoom"`
	Stale          uint64 `json:"Stale"`
	NameConflicts  uint64 `json:"Twins"`
}

// List is one copy's knowledge of the fleet. It is not safe for concurrent use.
type List struct {
	cfg       Config
	rng       seedrand.Source
	now       time.Duration
	begun     bool
	joined    bool
	displaced bool
	out       []Action

	self    Record
	others  map[string]*peer
	ring    []*peer // alive or suspect, in the order of probes
	cursor  int
	lost    []*peer // dead
	digest  uint64
	turned  time.Duration // when the digest changed last
	counted uint64
	alike   int // members in a row whose view was the same
	health  int
	healed  time.Duration // when health was last lowered for a refutation

	probe      *probe
	recent     [8]sent
	seq        uint32
	asked      map[uint32]relay
	srtt, dev  time.Duration
	suspects   []*peer
	doubtEnd   time.Duration // the earliest end of a suspicion
	first      []*peer       // to be probed before others
	disputes   []dispute
	queue      []news
	credit     float64
	creditAt   time.Duration
	nextProbe  time.Duration
	nextGossip time.Duration
	nextSeek   time.Duration
	nextSwap   time.Duration
	lastSwap   time.Duration
	swapWith   string // whose view differs
	swap       uint64 // the exchange that is out; 0 is none
	swapEnd    time.Duration
	swaps      uint64
	forgetAt   time.Duration

	Stats Stats
}

type peer struct {
	Record
	doubt    *doubt
	since    time.Duration // of its status
	heard    time.Duration // its latest own message; -1 is none
	counted  uint64        // as it told last, in its present epoch
	place    int           // in the ring or among the lost
	disputed bool
	mine     bool // the suspicion began here
	wrong    int
	excused  time.Duration // until when a failed probe is no accusation
}

// doubt is a suspicion under way.
type doubt struct {
	began, least, most time.Duration
	need               int
	by                 []string      // who accused and confirmed
	word               time.Duration // until when it has a last word; 0 while its time is not over
}

// end is when a suspicion that nobody refutes is over: the sooner, the more
// members found the same by themselves.
func (d *doubt) end() time.Duration {
	c := min(len(d.by)-1, d.need)
	if d.need <= 0 { // nobody else could find the same
		return d.began + 2*d.least
	}
	part := math.Log(float64(c)+1) / math.Log(float64(d.need)+1)
	return d.began + d.most - time.Duration(part*float64(d.most-d.least))
}

type probe struct {
	p                 *peer
	seq               uint32
	epoch             uint64
	sent, second, end time.Duration
	again             bool
	lookers, nacks    int
}

type sent struct {
	seq uint32
	at  time.Duration
	p   *peer
}

// relay is a probe for another.
type relay struct {
	from   string
	seq    uint32
	until  time.Duration
	nacked bool
	nackAt time.Duration
}

type dispute struct {
	p    *peer
	said Record
}

type news struct {
	Record
	times int
}

// New returns a member that has not begun.
func New(cfg Config) *List {
	cfg.complete()
	m := &List{cfg: cfg, rng: seedrand.Source(cfg.Seed ^ seedrand.HashName(cfg.Name)), others: map[string]*peer{}, asked: map[uint32]relay{}, doubtEnd: never}
	tags := cfg.Tags
	m.self = Record{State: State{Name: cfg.Name, Epoch: max(cfg.Epoch, 1), Status: Alive}, Tags: &tags}
	m.digest = m.self.hash()
	return m
}

const never = time.Duration(math.MaxInt64)

// Handle takes one event and appends what is to be done to out. Times must not
// go back; one that comes much later than Due says that this copy stood still.
func (m *List) Handle(now time.Duration, ev Event, out []Action) []Action {
	now = max(now, m.now)
	m.out = out
	if m.begun && !m.displaced {
		switch late := now - m.NextTick(); {
		case late > max(2*m.cfg.ProbeInterval, stallLeast):
			m.stalled(now, late)
		case late > lateLeast:
			m.wait(late)
		}
	}
	m.now = now
	switch ev.Kind {
	case Restore:
		m.recall(ev.Records)
	case Start:
		m.begin()
	case MessageReceived:
		m.heard(ev.Message, ev.From)
	case SyncRequested:
		m.takeHeads(ev.Message, ev.Exchange)
	case SyncAnswered:
		m.takeDelta(ev.Message, ev.Exchange)
	case SyncFinished:
		m.takeRest(ev.Message)
	case SyncFailed:
		if ev.Exchange == m.swap {
			m.swap = 0
		}
	case SetTags:
		tags := ev.Tags
		tags.Bound()
		m.restate(m.self.Incarnation+1, &tags)
	case Leave:
		m.depart()
	case Forget:
		if p := m.others[ev.Name]; p != nil && p.Status == Dead {
			r := p.Record
			r.Status, r.ReportedBy = Left, m.self.Name
			m.learn(&r, "told by a person")
		}
	}
	if m.begun && !m.displaced {
		m.work()
	}
	out, m.out = m.out, nil
	return out
}

// NextTick is when Tick is due next.
func (m *List) NextTick() time.Duration {
	if !m.begun || m.displaced {
		return never
	}
	due := min(m.nextProbe, m.nextSeek, m.doubtEnd)
	if m.probe != nil {
		if due = min(due, m.probe.end); !m.probe.again {
			due = min(due, m.probe.second)
		}
	}
	if len(m.queue) > 0 || len(m.disputes) > 0 {
		due = min(due, m.nextGossip)
	}
	if m.swap != 0 {
		due = min(due, m.swapEnd)
	} else if m.swapWith != "" {
		due = min(due, m.swapDue())
	}
	for _, r := range m.asked {
		if !r.nacked {
			due = min(due, r.nackAt)
		}
	}
	return due
}

// swapDue is when an exchange with one whose view differs is due: once this view
// is quiet, or has been restless for long, or at once where more has changed than
// gossip carries, as after a cut.
func (m *List) swapDue() time.Duration {
	if len(m.queue) >= backlog {
		return m.nextSwap
	}
	return max(m.nextSwap, min(m.turned+quiet, m.lastSwap+restless))
}

func (m *List) begin() {
	m.begun = true
	m.creditAt, m.turned = m.now, m.now
	m.nextProbe = m.now + m.spread(m.cfg.ProbeInterval)
	m.nextSeek = m.now
	m.nextSwap = m.now + m.spread(exchangeGap)
	m.forgetAt = m.now + leftFor
	m.say(m.self)
}

// recall takes in who was there before a restart. They count until they are found
// to be gone, and are probed like others; nobody is told what all may know.
func (m *List) recall(records []Record) {
	for i := range records {
		r := records[i]
		if r.Status != Left {
			r.Status, r.ReportedBy = Alive, ""
			m.learn(&r, "remembered")
		}
	}
}

// stalled: this copy stood still. What it waited for meanwhile says nothing of the
// others; they go on having the time that they had.
func (m *List) stalled(now, late time.Duration) {
	m.Stats.Stalls++
	m.probe, m.swap = nil, 0
	m.health = maxHealth / 2
	m.wait(late)
	for seq := range m.asked {
		delete(m.asked, seq)
	}
	m.nextProbe, m.nextGossip, m.nextSeek = now+m.period(), now, now+m.spread(seekEvery)
	m.act(Action{Kind: Stalled, Wait: late})
}

// wait gives those who are suspected the time back in which this copy heard nobody: their
// refutation may lie in what it reads next.
func (m *List) wait(late time.Duration) {
	for _, p := range m.suspects {
		if p.doubt.began += late; p.doubt.word > 0 {
			p.doubt.word += late
		}
	}
	if m.doubtEnd != never {
		m.doubtEnd += late
	}
}

// work does all that is due.
func (m *List) work() {
	if m.probe != nil && !m.probe.again && m.now >= m.probe.second {
		m.askOthers()
	}
	if m.probe != nil && m.now >= m.probe.end {
		m.failed()
	}
	for m.doubtEnd <= m.now {
		m.judge()
	}
	if m.now >= m.nextProbe && m.probe == nil {
		m.startProbe()
	} else if m.now >= m.nextProbe {
		m.nextProbe = m.probe.end
	}
	for _, seq := range slices.Sorted(maps.Keys(m.asked)) { // in one order, so that chance draws alike
		r := m.asked[seq]
		if !r.nacked && m.now >= r.nackAt {
			r.nacked = true
			m.asked[seq] = r
			m.sendTo(m.others[r.from], &Message{Kind: Nack, Seq: r.seq})
		}
		if m.now >= r.until {
			delete(m.asked, seq)
		}
	}
	if m.now >= m.nextGossip && (len(m.queue) > 0 || len(m.disputes) > 0) {
		m.nextGossip = m.now + gossipEvery
		m.gossip()
	}
	if m.now >= m.nextSeek {
		m.nextSeek = m.now + seekEvery/2 + m.spread(seekEvery)
		m.seek()
	}
	if m.swap != 0 && m.now >= m.swapEnd {
		m.swap = 0
	}
	if m.swap == 0 && m.swapWith != "" && m.now >= m.swapDue() {
		if p := m.others[m.swapWith]; p != nil {
			m.exchange(p.Name, p.Tags.Address)
		}
		m.swapWith = ""
	}
	if m.now >= m.forgetAt {
		m.forgetAt = m.now + leftFor
		for name, p := range m.others {
			if p.Status == Left && m.now-p.since >= leftFor {
				delete(m.others, name)
			}
		}
	}
}

// --- Probes

// scale is how much longer than in good health this copy waits.
func (m *List) scale() time.Duration { return time.Duration(1 + m.health) }

// answer is how long an answer is waited for before others are asked: what
// answers took of late, with room.
func (m *List) answer() time.Duration {
	return min(max(m.cfg.ProbeTimeout, m.srtt+4*m.dev), mostAnswer) * m.scale()
}

func (m *List) period() time.Duration {
	return max(m.cfg.ProbeInterval*m.scale(), time.Duration(perAnswer*float64(m.answer())))
}

func (m *List) startProbe() {
	m.nextProbe = m.now + m.period()
	p := m.next()
	if p == nil {
		return
	}
	m.Stats.Probes++
	m.probe = &probe{p: p, seq: m.number(), epoch: p.Epoch, sent: m.now, second: m.now + m.answer(), end: m.now + m.period()}
	m.recent[m.probe.seq%uint32(len(m.recent))] = sent{m.probe.seq, m.now, p}
	m.ping(p, m.probe.seq)
}

// next is whom to probe: each member once in a round, in an order of its own, so
// that each is probed within a round by everybody.
func (m *List) next() *peer {
	for len(m.first) > 0 {
		p := m.first[0]
		m.first = m.first[1:]
		if p.Status == Alive || p.Status == Suspect {
			return p
		}
	}
	if len(m.ring) == 0 {
		return nil
	}
	if m.cursor >= len(m.ring) {
		m.cursor = 0
		for i := len(m.ring) - 1; i > 0; i-- {
			m.exchangePlaces(i, m.below(i+1))
		}
	}
	m.cursor++
	return m.ring[m.cursor-1]
}

func (m *List) exchangePlaces(i, j int) {
	m.ring[i], m.ring[j] = m.ring[j], m.ring[i]
	m.ring[i].place, m.ring[j].place = i, j
}

// ping sends a ping that tells its target what is said of it, so that it can refute.
func (m *List) ping(p *peer, seq uint32) {
	msg := &Message{Kind: Ping, Seq: seq, Target: p.Name}
	if p.disputed || p.Status != Alive {
		said := p.Record
		if said.Tags = nil; p.disputed {
			said.Status = Dead
		}
		msg.Updates = append(msg.Updates, said)
	}
	if p.heard < 0 { // it may not know us yet, and answers those it knows
		msg.Updates = append(msg.Updates, m.self)
	}
	m.sendTo(p, msg)
}

// askOthers sends a second ping and asks some others for theirs.
func (m *List) askOthers() {
	m.probe.again = true
	p := m.probe.p
	m.ping(p, m.probe.seq)
	for _, other := range m.some(m.cfg.IndirectProbes, p) {
		m.probe.lookers++
		m.sendTo(other, &Message{Kind: PingReq, Seq: m.probe.seq, Target: p.Name})
	}
}

// failed books a probe that nobody could answer.
func (m *List) failed() {
	pr := m.probe
	m.probe = nil
	m.Stats.Failed++
	p := pr.p
	// Those who were asked say at least that they could not either. If none of them is heard, it is this
	// copy that hears nothing.
	if pr.lookers > 0 && pr.nacks == 0 || pr.lookers == 0 && len(m.ring) > 1 {
		m.worse()
	}
	if p.Epoch != pr.epoch || p.Status != Alive && p.Status != Suspect {
		return
	}
	if p.Status == Alive && m.now < p.excused {
		return // it has just refuted us: others may accuse it
	}
	r := p.Record
	r.Status, r.Tags, r.ReportedBy = Suspect, nil, m.self.Name
	if p.Status == Alive {
		p.mine = true
	}
	m.learn(&r, "")
}

func (m *List) worse()  { m.health = min(m.health+1, maxHealth) }
func (m *List) better() { m.health = max(m.health-1, 0) }

// answered books an answer of p, perhaps to a probe that had ended.
func (m *List) answered(p *peer, seq uint32, direct bool) {
	if s := m.recent[seq%uint32(len(m.recent))]; direct && s.seq == seq && s.p == p && p != nil {
		took := m.now - s.at
		if m.srtt == 0 {
			m.srtt, m.dev = took, took/2
		}
		m.dev += (max(took-m.srtt, m.srtt-took) - m.dev) / 4
		m.srtt += (took - m.srtt) / 8
	}
	if m.probe != nil && m.probe.seq == seq && m.probe.p == p {
		m.probe = nil
		m.better()
	}
}

// --- Messages

func (m *List) heard(msg *Message, from string) {
	if m.displaced || msg == nil || msg.From.Name == "" || msg.From.Name == m.self.Name && msg.From.Epoch == m.self.Epoch {
		return
	}
	for i := range msg.Updates {
		m.learn(&msg.Updates[i], "")
	}
	p := m.speaker(&msg.From, from)
	if p == nil || m.displaced {
		return
	}
	if msg.ReplicaSetDigest != 0 && msg.From.Epoch == p.Epoch {
		p.counted = msg.ReplicaSetDigest
	}
	if msg.Kind != Gossip && msg.Kind < SyncRequest {
		m.compare(p, msg.Digest)
	}
	switch msg.Kind {
	case Ping:
		if msg.Target != "" && msg.Target != m.self.Name {
			return // somebody else had this address
		}
		ack := &Message{Kind: Ack, Seq: msg.Seq, Target: p.Name}
		if slices.ContainsFunc(msg.Updates, func(r Record) bool { return r.Name == m.self.Name }) || msg.Target == "" {
			ack.Updates = append(ack.Updates, m.self)
		}
		if p.Status != Alive { // it speaks, and may refute
			ack.Updates = append(ack.Updates, Record{State: p.State, ReportedBy: p.ReportedBy})
		}
		m.sendTo(p, ack)
	case Ack:
		if r, ok := m.asked[msg.Seq]; ok {
			delete(m.asked, msg.Seq)
			if from := m.others[r.from]; from != nil {
				m.sendTo(from, &Message{Kind: Ack, Seq: r.seq, Target: p.Name, Updates: []Record{{State: p.State}}})
			}
			return
		}
		if msg.Target != m.self.Name { // of another, for whom we asked
			if m.probe != nil && m.probe.seq == msg.Seq && m.probe.p.Name == msg.Target {
				m.answered(m.probe.p, msg.Seq, false)
			}
			return
		}
		m.answered(p, msg.Seq, true)
	case PingReq:
		target := m.others[msg.Target]
		if target == nil || len(m.asked) >= mostAsked {
			return
		}
		seq := m.number()
		m.asked[seq] = relay{from: p.Name, seq: msg.Seq, until: m.now + 4*m.answer(), nackAt: m.now + m.answer()}
		m.ping(target, seq)
	case Nack:
		if m.probe != nil && m.probe.seq == msg.Seq {
			m.probe.nacks++
		}
	}
}

// compare looks at whether another's view is the same as this one.
func (m *List) compare(p *peer, digest uint64) {
	if digest != m.digest {
		if m.alike = 0; p.Status == Alive {
			m.swapWith = p.Name
		}
		return
	}
	m.joined = true // as after an exchange
	if m.swapWith == p.Name {
		m.swapWith = ""
	}
	if m.alike++; m.alike >= agreed && len(m.queue) > 0 { // suspicions are not in the digest
		m.queue = slices.DeleteFunc(m.queue, func(n news) bool { return n.Status != Suspect })
	}
}

// speaker books that somebody speaks, and returns who: nil if it is not known, or
// is a process that another of its name has replaced.
func (m *List) speaker(h *State, from string) *peer {
	if h.Name == m.self.Name {
		m.ownName(&Record{State: *h})
		return nil
	}
	p := m.others[h.Name]
	if p == nil {
		return nil
	}
	if h.Epoch < p.Epoch {
		m.Stats.NameConflicts++
		if m.now-p.since > leastTwin && p.Status == Alive {
			m.act(Action{Kind: NameConflict, Record: p.Record})
		}
		if from != "" && from != p.Tags.Address {
			m.post("", from, &Message{Kind: Gossip, Updates: []Record{p.Record}})
		}
		return nil
	}
	p.heard = m.now
	if h.Newer(p.State) && h.Status == Alive {
		m.learn(&Record{State: *h}, "")
	}
	if p.Epoch != h.Epoch {
		return nil
	}
	return p
}

// leastTwin is how long a process may go on beside the one that follows it.
const leastTwin = 10 * time.Second

// sendTo sends a message with as much news as fits.
func (m *List) sendTo(p *peer, msg *Message) {
	if p != nil && p.Tags != nil {
		m.post(p.Name, p.Tags.Address, msg)
	}
}

func (m *List) post(name, address string, msg *Message) {
	msg.From, msg.Digest, msg.ReplicaSetDigest = m.self.State, m.digest, m.counted
	m.pack(msg)
	m.act(Action{Kind: Send, Name: name, Address: address, Message: msg})
}

func (m *List) act(a Action) { m.out = append(m.out, a) }

// --- News

// say puts a record into the queue of news, in the place of older ones of its member.
func (m *List) say(r Record) {
	if !m.begun { // remembered: nobody is told what all may know
		return
	}
	m.queue = slices.DeleteFunc(m.queue, func(n news) bool { return n.Name == r.Name })
	if len(m.queue) >= mostNews {
		m.queue = m.queue[:mostNews-1]
	}
	m.queue = slices.Insert(m.queue, 0, news{r, 0})
	if m.nextGossip < m.now {
		m.nextGossip = m.now
	}
}

// Size is how many bytes a record takes in a datagram at most.
func (r *Record) Size() int {
	n := 40 + len(r.Name) + len(r.ReportedBy)
	if t := r.Tags; t != nil {
		n += 40 + len(t.Address) + len(t.Zone) + len(t.ProgramVersion) + len(t.SettingsHash) + len(t.Unknown)
		for _, p := range t.Pools {
			n += 2 + len(p)
		}
	}
	return n
}

// pack adds news to a datagram: what was sent least first, one record at least,
// and as many as the budget of bytes has room for.
func (m *List) pack(msg *Message) {
	m.credit = min(m.credit+float64(m.cfg.GossipBytesPerSecond)*(m.now-m.creditAt).Seconds(), max(burstLeast, burstPer*float64(len(m.ring))))
	m.creditAt = m.now
	if len(m.queue) == 0 {
		return
	}
	room, taken := newsBytes, 0
	for i := range msg.Updates {
		room -= msg.Updates[i].Size()
	}
	burst := max(burstLeast, burstPer*float64(len(m.ring)))
	for i := range m.queue {
		n := &m.queue[i]
		size := n.Size()
		if size > room {
			break
		}
		// Whole records wait for the budget, an exchange brings them too; who is accused, refutes or is dead
		// goes out on credit.
		if left := m.credit - float64(size); taken > 0 && (left < -burst || left < 0 && n.Tags != nil) {
			continue
		}
		room -= size
		m.credit -= float64(size)
		msg.Updates = append(msg.Updates, n.Record)
		n.times++
		taken++
	}
	most := int(retransmit * math.Ceil(math.Log10(float64(len(m.ring)+2))))
	m.queue = slices.DeleteFunc(m.queue, func(n news) bool { return n.times >= most })
	slices.SortStableFunc(m.queue, func(a, b news) int { return cmp.Compare(a.times, b.times) })
}

func (m *List) gossip() {
	for i := 0; i < disputeStep && len(m.disputes) > 0; i++ {
		d := m.disputes[0]
		m.disputes = m.disputes[1:]
		if d.p.disputed && d.p.Epoch == d.said.Epoch && d.p.Incarnation == d.said.Incarnation {
			m.sendTo(d.p, &Message{Kind: Gossip, Updates: []Record{d.said}})
		}
	}
	for _, p := range m.some(fanout, nil) {
		if len(m.queue) == 0 || m.credit < 0 && !slices.ContainsFunc(m.queue, func(n news) bool { return n.Tags == nil }) {
			return
		}
		m.sendTo(p, &Message{Kind: Gossip})
	}
}

// learn takes in what is said of a member. why goes before the reason that follows
// from the record.
func (m *List) learn(r *Record, why string) {
	if !r.sound() {
		m.Stats.InvalidRecords++
		return
	}
	if r.Name == m.self.Name {
		m.ownName(r)
		return
	}
	p := m.others[r.Name]
	switch {
	case p == nil:
		if r.Tags == nil || r.Status == Left {
			return // an exchange tells the rest
		}
		if len(m.others) >= m.cfg.MaxMembers {
			m.Stats.TableFull++
			m.act(Action{Kind: TableFull, Record: *r})
			return
		}
		p = &peer{heard: -1, place: -1}
		m.others[r.Name] = p
		m.take(p, r, 0, why)
	case !r.Newer(p.State):
		m.Stats.Stale++
		if r.Epoch != p.Epoch {
			return
		}
		if r.Tags != nil && r.TagsIncarnation == p.TagsIncarnation && p.Tags == nil {
			p.Tags = r.Tags
		}
		if r.Status == Suspect && p.Status == Suspect && r.Incarnation == p.Incarnation {
			m.confirm(p, r.ReportedBy)
		}
	case r.Tags == nil && (r.Epoch != p.Epoch || r.TagsIncarnation != p.TagsIncarnation):
		return // its tags are not known: the digests differ, and an exchange tells them
	default:
		m.take(p, r, p.Status, why)
	}
}

// take books a newer record of p.
func (m *List) take(p *peer, r *Record, was Status, why string) {
	before := p.Record
	if was != 0 {
		m.turn(before.State)
	}
	tags := r.Tags
	if tags == nil {
		tags = p.Tags
	}
	if r.Epoch != p.Epoch {
		p.counted, p.wrong, p.excused, p.heard = 0, 0, 0, -1
	}
	if r.Epoch == p.Epoch && r.Incarnation > p.Incarnation && was == Suspect && r.Status == Alive && p.mine { // our accusation was wrong
		p.wrong = min(p.wrong+1, excuseMost)
		p.excused = m.now + excuseFirst<<(p.wrong-1)
		m.worse()
	}
	p.Record, p.disputed = *r, false
	p.Tags = tags
	m.turn(p.State)
	if was != r.Status {
		p.since = m.now
	}
	if p.doubt != nil {
		m.undoubt(p)
	}
	if r.Status != Suspect {
		p.mine = false
	}
	m.file(p, was)
	said := p.Record
	if before.Epoch == r.Epoch && before.TagsIncarnation == r.TagsIncarnation && was != 0 {
		said.Tags = nil // known already where the member is
	}
	m.say(said)
	if r.Status == Suspect {
		m.Stats.Suspected++
		m.suspect(p, r.ReportedBy)
	}
	if why == "" {
		switch r.Status {
		case Suspect:
			why = "no answer to " + r.ReportedBy
		case Dead:
			why = "did not refute, by " + r.ReportedBy
		case Left:
			why = "said so"
		case Alive:
			if why = "heard of"; was == Suspect || was == Dead {
				why = "refuted"
			}
			if was != 0 && r.Epoch != before.Epoch {
				why = "started anew"
			}
		}
	}
	m.act(Action{Kind: MemberChanged, Record: p.Record, PreviousStatus: was, Reason: why})
}

// turn takes a record's part out of the digest, or puts it in.
func (m *List) turn(h State) {
	if part := h.hash(); part != 0 {
		m.digest ^= part
		m.turned, m.alike = m.now, 0
	}
}

// file puts p on the list that its status asks for.
func (m *List) file(p *peer, was Status) {
	list := func(s Status) *[]*peer {
		switch s {
		case Alive, Suspect:
			return &m.ring
		case Dead:
			return &m.lost
		}
		return nil
	}
	from, to := list(was), list(p.Status)
	if from == to {
		return
	}
	if from != nil {
		end := len(*from) - 1
		(*from)[p.place] = (*from)[end]
		(*from)[p.place].place = p.place
		*from = (*from)[:end]
	}
	p.place = -1
	if to == nil {
		return
	}
	// At a random place of those still to come in this round.
	p.place = len(*to)
	if *to = append(*to, p); to == &m.ring && m.cursor < p.place {
		m.exchangePlaces(p.place, m.cursor+m.below(p.place-m.cursor+1))
	}
}

// suspect begins a suspicion.
func (m *List) suspect(p *peer, by string) {
	least := time.Duration(leastDoubt * float64(m.cfg.ProbeInterval))
	p.doubt = &doubt{began: m.now, least: least, most: mostDoubt * least, need: min(needed, len(m.ring)-1), by: []string{by}}
	m.suspects = append(m.suspects, p)
	m.doubtEnd = min(m.doubtEnd, p.doubt.end())
	if by != m.self.Name && m.rng.Float64() < witnesses/float64(len(m.ring)+1) {
		m.first = append(m.first, p) // a second look, independent of the first
	}
}

func (m *List) undoubt(p *peer) {
	p.doubt = nil
	m.suspects = slices.DeleteFunc(m.suspects, func(o *peer) bool { return o == p })
}

// confirm books that another found the same.
func (m *List) confirm(p *peer, by string) {
	d := p.doubt
	if d == nil || len(d.by) > d.need || slices.Contains(d.by, by) {
		return
	}
	d.by = append(d.by, by)
	m.doubtEnd = min(m.doubtEnd, d.end())
	r := p.Record
	r.Tags, r.ReportedBy = nil, by
	m.say(r)
}

// judge ends the suspicions whose time is over. A suspect has a last word: it is pinged once
// more with what is said of it, since its refutation may have missed this copy, and what has
// come meanwhile to one that stood still is read before it decides.
func (m *List) judge() {
	m.doubtEnd = never
	for _, p := range slices.Clone(m.suspects) {
		d := p.doubt
		end := d.end()
		if p.heard >= d.began && len(d.by) <= d.need { // it speaks: what is known is that it does not hear
			end = d.began + d.most
		}
		if end > m.now {
			m.doubtEnd = min(m.doubtEnd, end)
			continue
		}
		if d.word == 0 {
			d.word = m.now + m.answer()
			if m.rng.Float64() < lastWords/float64(len(m.ring)) {
				m.ping(p, m.number())
			}
		}
		if m.now < d.word {
			m.doubtEnd = min(m.doubtEnd, d.word)
			continue
		}
		r := p.Record
		r.Status, r.Tags, r.ReportedBy = Dead, nil, m.self.Name
		m.learn(&r, "accused by "+strings.Join(d.by, ", ")+", did not refute")
	}
}

// ownName takes in what others say of this member.
func (m *List) ownName(r *Record) {
	switch {
	case m.displaced || r.Epoch < m.self.Epoch || m.self.Status == Left:
	case r.Epoch > m.self.Epoch && m.joined:
		if m.displaced = true; r.Status == Left || r.Status == Dead { // that process is gone too
			m.displaced = false
			m.restart(r.Epoch + 1)
			return
		}
		m.act(Action{Kind: Displaced, Record: *r})
	case r.Epoch > m.self.Epoch || r.Status == Left: // this name's earlier process, by a clock that ran ahead; or a person's word
		m.restart(r.Epoch + 1)
	case r.Status != Alive && r.Incarnation >= m.self.Incarnation:
		m.Stats.Refuted++
		if m.now-m.healed > seekEvery {
			m.healed = m.now
			m.worse()
		}
		m.restate(r.Incarnation+1, nil)
	case r.Incarnation > m.self.Incarnation: // alive, of a higher count: said by this process before something was lost
		m.restate(r.Incarnation+1, nil)
	}
}

// restart begins another life of this member.
func (m *List) restart(epoch uint64) {
	m.turn(m.self.State)
	m.self.Epoch, m.self.Incarnation, m.self.TagsIncarnation = epoch, 0, 0
	m.turn(m.self.State)
	m.say(m.self)
}

// restate raises the incarnation, with other tags if any are given.
func (m *List) restate(inc uint32, tags *Tags) {
	if inc >= maxInc { // a forged count: another life is beyond it
		m.restart(m.self.Epoch + 1)
		return
	}
	m.turn(m.self.State)
	if m.self.Incarnation = inc; tags != nil {
		m.self.Tags, m.self.TagsIncarnation = tags, inc
	}
	m.turn(m.self.State)
	said := m.self
	if tags == nil && m.joined {
		said.Tags = nil
	}
	m.say(said)
}

// depart tells the others that this member goes.
func (m *List) depart() {
	m.turn(m.self.State)
	m.self.Status, m.self.Incarnation = Left, m.self.Incarnation+1
	m.say(m.self)
	for _, p := range m.some(2*fanout, nil) {
		m.sendTo(p, &Message{Kind: Gossip, Updates: []Record{m.self}})
	}
}

// --- Those who are lost, and whole views

// seek looks for somebody who is lost, or for a seed: halves of a fleet find each
// other again. Of all members so many look each time, whatever the fleet's size.
func (m *List) seek() {
	n := float64(len(m.ring) + 1)
	if len(m.lost) > 0 && m.rng.Float64() < seekers*float64(len(m.lost))/n {
		p := m.lost[m.below(len(m.lost))]
		said := p.Record
		said.Tags = nil
		m.post(p.Name, p.Tags.Address, &Message{Kind: Ping, Seq: m.number(), Target: p.Name, Updates: []Record{said, m.self}})
	}
	if len(m.cfg.Seeds) == 0 {
		return
	}
	seed := m.cfg.Seeds[m.below(len(m.cfg.Seeds))]
	if len(m.ring) == 0 {
		if m.swap == 0 {
			m.exchange("", seed)
		}
	} else if m.rng.Float64() < seekers/n {
		m.post("", seed, &Message{Kind: Ping, Seq: m.number(), Updates: []Record{m.self}})
	}
}

// exchange begins an exchange of views.
func (m *List) exchange(name, address string) {
	m.Stats.Exchanges++
	m.swaps++
	m.swap, m.swapEnd, m.lastSwap = m.swaps, m.now+exchangeFor, m.now
	gap := time.Duration(max(1, float64(len(m.ring))/exchangePer) * float64(exchangeGap))
	m.nextSwap = m.now + gap + m.spread(gap)
	msg := &Message{Kind: SyncRequest, Target: name, Updates: m.heads()}
	msg.From, msg.Digest, msg.ReplicaSetDigest = m.self.State, m.digest, m.counted
	m.act(Action{Kind: StartSync, Name: name, Address: address, Message: msg, Exchange: m.swap})
}

// heads are all that is known, without tags, save this member's own.
func (m *List) heads() []Record {
	all := make([]Record, 0, len(m.others)+1)
	all = append(all, m.self)
	for _, p := range m.others {
		all = append(all, Record{State: p.State, ReportedBy: p.ReportedBy})
	}
	slices.SortFunc(all, func(a, b Record) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// takeHeads answers an exchange: with what is newer here, and whose records are
// wanted.
func (m *List) takeHeads(msg *Message, exchange uint64) {
	if m.displaced || msg == nil {
		return
	}
	reply := &Message{Kind: SyncResponse, Target: msg.From.Name, From: m.self.State, Digest: m.digest, ReplicaSetDigest: m.counted}
	named := make(map[string]bool, len(msg.Updates))
	for i := range msg.Updates {
		r := &msg.Updates[i]
		named[r.Name] = true
		if r.Name == m.self.Name {
			if r.State != m.self.State {
				m.ownName(r)
				reply.Updates = append(reply.Updates, m.self)
			}
			continue
		}
		p := m.others[r.Name]
		switch {
		case p == nil || r.Newer(p.State) && (r.Epoch != p.Epoch || r.TagsIncarnation != p.TagsIncarnation):
			if r.Tags != nil {
				m.hear(r)
			} else if r.Status != Left {
				reply.Requested = append(reply.Requested, r.Name)
			}
		case r.Newer(p.State):
			m.hear(r)
		case p.Newer(r.State):
			said := p.Record
			if p.Epoch == r.Epoch && p.TagsIncarnation == r.TagsIncarnation {
				said.Tags = nil
			}
			reply.Updates = append(reply.Updates, said)
		}
	}
	if !named[m.self.Name] {
		reply.Updates = append(reply.Updates, m.self)
	}
	for name, p := range m.others {
		if !named[name] && p.Status != Left {
			reply.Updates = append(reply.Updates, p.Record)
		}
	}
	slices.SortFunc(reply.Updates, func(a, b Record) int { return strings.Compare(a.Name, b.Name) })
	m.joined = m.joined || msg.From.Name != m.self.Name // a seed may be this very member
	m.act(Action{Kind: Reply, Message: reply, Exchange: exchange})
}

// takeDelta ends an exchange that was begun here.
func (m *List) takeDelta(msg *Message, exchange uint64) {
	if m.displaced || msg == nil || exchange != m.swap {
		return
	}
	m.swap = 0
	for i := range msg.Updates {
		m.hear(&msg.Updates[i])
	}
	m.joined = m.joined || msg.From.Name != m.self.Name
	if m.displaced {
		return
	}
	rest := &Message{Kind: SyncFinal, Target: msg.From.Name, From: m.self.State, Digest: m.digest, ReplicaSetDigest: m.counted}
	for _, name := range msg.Requested {
		if p := m.others[name]; p != nil && p.Tags != nil {
			rest.Updates = append(rest.Updates, p.Record)
		} else if name == m.self.Name {
			rest.Updates = append(rest.Updates, m.self)
		}
	}
	m.act(Action{Kind: Reply, Message: rest, Exchange: exchange})
}

func (m *List) takeRest(msg *Message) {
	if m.displaced || msg == nil {
		return
	}
	for i := range msg.Updates {
		m.hear(&msg.Updates[i])
	}
}

// hear takes in a record of another's whole view. One whom that other holds for
// dead and this member does not is told so and can refute: after a cut each half
// holds the other for dead, and neither is believed.
func (m *List) hear(r *Record) {
	p := m.others[r.Name]
	if p == nil || r.Status != Dead || p.Status == Dead || p.Status == Left || r.Epoch != p.Epoch || r.Incarnation < p.Incarnation || !r.sound() {
		m.learn(r, "")
		return
	}
	if !p.disputed && len(m.disputes) < mostDispute {
		p.disputed = true
		said := *r
		said.Tags = nil
		m.disputes = append(m.disputes, dispute{p, said})
		m.first = append(m.first, p)
	}
}

// --- Chance

func (m *List) number() uint32 { m.seq++; return m.seq }

// below is a number from 0 to n-1.
func (m *List) below(n int) int { return int(m.rng.Uint64() % uint64(max(n, 1))) }

// spread is a time below d.
func (m *List) spread(d time.Duration) time.Duration {
	return time.Duration(m.rng.Float64() * float64(d))
}

// some are up to n members that are alive or suspect, but not the one named.
func (m *List) some(n int, but *peer) []*peer {
	var out []*peer
	for tries := 0; len(out) < n && tries < 4*n && len(m.ring) > 0; tries++ {
		if p := m.ring[m.below(len(m.ring))]; p != but && !slices.Contains(out, p) {
			out = append(out, p)
		}
	}
	return out
}
