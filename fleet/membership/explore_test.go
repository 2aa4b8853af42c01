package membership

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"ryerill/lab/modelcheck"
	"ryerill/lab/modelcheck/mutant"
)

// trio is a model of three members with separate clocks and the messages in transit. Its
// moves deliver or lose messages in any order, advance a clock, restart one member, have
// one leave and have one forgotten.
type trio struct {
	members     []*List
	now         []time.Duration
	transit     []packet
	restarts    int
	departures  int
	forgotten   bool
	partitioned bool // the member at index isolated is cut off
	isolated    int
	violation   error
}

type packet struct {
	from, to int
	event    EventKind // at the receiver
	message  *Message
	exchange uint64
}

const (
	maxInTransit = 3 // packets; beyond it the oldest are lost
	maxRestarts  = 1
)

func name(i int) string { return string(rune('a' + i)) }

func newTrio() modelcheck.System {
	s := &trio{now: make([]time.Duration, 3)}
	for i := range 3 {
		s.members = append(s.members, s.member(i, 1))
	}
	for i, l := range s.members { // all start with full views
		for j := range s.members {
			if i != j {
				record := s.members[j].self
				l.learn(&record, "")
				l.members.byName[name(j)].lastHeard = 0
			}
		}
		l.gossiper.updates.entries = nil
		l.joined = true
		l.actions = nil
		s.handle(i, Event{Kind: Start})
		l.gossiper.updates.entries = nil
	}
	s.transit = nil
	return s
}

func (s *trio) member(i int, epoch uint64) *List {
	cfg := Config{Name: name(i), Epoch: epoch, Seed: 7, Tags: Tags{Address: name(i), Phase: Serving}}
	if i == 0 || epoch > 1 { // the other two must reconnect without seeds
		cfg.Seeds = []string{name((i + 1) % 3)}
	}
	return New(cfg)
}

// handle passes an event to member i and checks the invariants of each step.
func (s *trio) handle(i int, event Event) {
	l := s.members[i]
	before := snapshotOf(l)
	suspectedSelf := event.Kind == MessageReceived && slices.ContainsFunc(event.Message.Updates, func(r Record) bool {
		return r.Name == l.self.Name && r.Epoch == l.self.Epoch && r.Status != Alive && r.Status != Left &&
			r.Incarnation >= l.self.Incarnation
	})
	for _, action := range l.Handle(s.now[i], event, nil) {
		s.carryOut(i, &event, &action)
	}
	s.checkSelf(l, &before, suspectedSelf)
	for name, m := range l.members.byName {
		s.checkMember(l, name, m, &before)
		if event.Kind == Tick {
			s.checkDeclaredDead(l, name, m, &before, s.now[i])
		}
		s.checkTable(l, name, m)
	}
	digest := l.self.hash()
	for _, m := range l.members.byName {
		digest ^= m.hash()
	}
	if digest != l.view.value {
		s.fail("%s: view digest differs from the digest of its records", l.self.Name)
	}
}

// snapshot is a copy of a member's view before an event.
type snapshot struct {
	self       Record
	records    map[string]Record
	suspicions map[string]suspicion
}

func snapshotOf(l *List) snapshot {
	before := snapshot{self: l.self, records: map[string]Record{}, suspicions: map[string]suspicion{}}
	for name, m := range l.members.byName {
		before.records[name] = m.Record
		if m.suspicion != nil {
			before.suspicions[name] = *m.suspicion
		}
	}
	return before
}

func (s *trio) carryOut(from int, event *Event, action *Action) {
	switch action.Kind {
	case Send:
		s.post(packet{from: from, to: s.at(action.Address), event: MessageReceived, message: action.Message})
	case StartSync:
		s.post(packet{from: from, to: s.at(action.Address), event: SyncRequested, message: action.Message, exchange: action.Exchange})
	case Reply:
		to := slices.IndexFunc(s.members, func(l *List) bool { return l.self.Name == event.Message.From.Name })
		if event.Kind == SyncRequested {
			s.post(packet{from: from, to: to, event: SyncAnswered, message: action.Message, exchange: event.Exchange})
		} else {
			s.post(packet{from: from, to: to, event: SyncFinished, message: action.Message})
		}
	}
}

// at returns the index of the member with an address, or -1 if there is none.
func (s *trio) at(address string) int {
	return slices.IndexFunc(s.members, func(l *List) bool { return l.self.Tags.Address == address })
}

// fail records the first violation.
func (s *trio) fail(format string, args ...any) {
	if s.violation == nil {
		s.violation = fmt.Errorf(format, args...)
	}
}

func (s *trio) checkSelf(l *List, before *snapshot, suspected bool) {
	self := &before.self
	if l.self.Epoch == self.Epoch && l.self.Incarnation < self.Incarnation || l.self.Epoch < self.Epoch {
		s.fail("%s: its own epoch or incarnation decreased", l.self.Name)
	}
	refuted := l.self.Incarnation > self.Incarnation || l.self.Epoch != self.Epoch
	if suspected && !refuted && !l.displaced && self.Status != Left {
		s.fail("%s was suspected and did not refute", l.self.Name)
	}
}

func (s *trio) checkMember(l *List, name string, m *member, before *snapshot) {
	old, known := before.records[name]
	if known && old.Newer(m.State) {
		s.fail("%s: its record of %s went back from %v to %v", l.self.Name, name, old.State, m.State)
	}
	actual := s.members[name[0]-'a'].self
	if m.Epoch > actual.Epoch || m.Epoch == actual.Epoch && m.Incarnation > actual.Incarnation {
		s.fail("%s has a record of %s with state %v, newer than its actual state %v", l.self.Name, name, m.State, actual.State)
	}
	if known && old.Status == Left && m.Status != Left && m.Epoch == old.Epoch {
		s.fail("%s: %s is no longer left, in the same epoch", l.self.Name, name)
	}
	if m.Status == Left && m.Epoch == actual.Epoch && actual.Status != Left && !s.forgotten {
		s.fail("%s has a record of %s as left, although it never left", l.self.Name, name)
	}
}

// checkDeclaredDead checks that l declares a member dead at a tick only after the minimum suspicion.
func (s *trio) checkDeclaredDead(l *List, name string, m *member, before *snapshot, now time.Duration) {
	old, known := before.records[name]
	if !known || m.Status != Dead || old.Status == Dead || m.ReportedBy != l.self.Name {
		return
	}
	suspicion, suspected := before.suspicions[name]
	if !suspected || now-suspicion.startedAt < suspicion.min {
		s.fail("%s declared %s dead before the minimum suspicion ended", l.self.Name, name)
	}
}

func (s *trio) checkTable(l *List, name string, m *member) {
	if (m.suspicion != nil) != (m.Status == Suspect) {
		s.fail("%s: %s has status %v and a suspicion: %v", l.self.Name, name, m.Status, m.suspicion != nil)
	}
	index := slices.Index(l.members.reachable, m)
	if (index >= 0) != (m.Status == Alive || m.Status == Suspect) || index >= 0 && m.index != index {
		s.fail("%s: %s has status %v and is at %d in reachable, which contradicts its status or index", l.self.Name, name, m.Status, index)
	}
}

func (s *trio) post(p packet) {
	if p.to < 0 || p.to == p.from || s.partitioned && (p.from == s.isolated) != (p.to == s.isolated) {
		return
	}
	s.transit = append(s.transit, p)
	if len(s.transit) > maxInTransit {
		s.transit = s.transit[1:]
	}
}

// Moves returns the possible moves: each packet arrives or is lost, each clock advances to
// the member's next tick, c restarts, b leaves, a forgets c.
func (s *trio) Moves() (moves []string) {
	for i, p := range s.transit {
		moves = append(moves, fmt.Sprintf("%d arrives: %s to %s %v", i, name(p.from), name(p.to), p.message.Kind),
			fmt.Sprintf("%d is lost", i))
	}
	for i := range s.members {
		moves = append(moves, "time passes at "+name(i))
	}
	if s.restarts < maxRestarts {
		moves = append(moves, "c restarts")
	}
	if s.departures == 0 {
		moves = append(moves, "b leaves")
	}
	if s.forgettable() {
		moves = append(moves, "a forgets c")
	}
	return moves
}

// forgettable reports whether a forgetting c is a possible move.
func (s *trio) forgettable() bool {
	return !s.forgotten && s.members[0].members.byName["c"].Status == Dead
}

// Do makes a move.
func (s *trio) Do(move int) error {
	if s.forgettable() && move == len(s.Moves())-1 {
		s.forgotten = true
		s.handle(0, Event{Kind: Forget, Name: "c"})
		return s.violation
	}
	if move < 2*len(s.transit) {
		p := s.transit[move/2]
		s.transit = slices.Delete(slices.Clone(s.transit), move/2, move/2+1)
		if move%2 == 0 {
			s.deliver(p)
		}
		return s.violation
	}
	switch move -= 2 * len(s.transit); {
	case move < 3:
		if due := s.members[move].NextTick(); due < never {
			s.now[move] = max(s.now[move]+time.Millisecond, due)
		}
		s.handle(move, Event{Kind: Tick})
	case s.restarts < maxRestarts && move == 3:
		s.restarts++
		s.members[2] = s.member(2, 2)
		s.handle(2, Event{Kind: Start})
	default:
		s.departures++
		s.handle(1, Event{Kind: Leave})
	}
	return s.violation
}

func (s *trio) deliver(p packet) {
	s.handle(p.to, Event{Kind: p.event, Message: p.message, Exchange: p.exchange})
}

// Key identifies a state by all that affects later behaviour: each member's view, suspicions
// and timeouts, and the packets. Times are relative to the member's clock.
func (s *trio) Key() string {
	var b strings.Builder
	for i, l := range s.members {
		s.writeKey(&b, i, l)
	}
	for _, p := range s.transit {
		fmt.Fprint(&b, p.from, p.to, p.event, p.message.Kind, p.message.Target)
		for _, r := range p.message.Updates {
			fmt.Fprint(&b, r.State)
		}
	}
	fmt.Fprint(&b, s.restarts, s.departures, s.forgotten)
	return b.String()
}

func (s *trio) writeKey(b *strings.Builder, i int, l *List) {
	fmt.Fprint(b, l.self.State, l.prober.health.score, l.displaced, l.syncer.candidate, len(l.gossiper.disputes), l.members.nextInRound)
	ahead := func(at time.Duration) time.Duration { return max(at-s.now[i], -1) / (10 * time.Millisecond) }
	if p := l.prober.current; p != nil {
		fmt.Fprint(b, "p", p.target.Name, ahead(p.endsAt), ahead(p.indirectAt), p.nacks)
	}
	for j := range 3 {
		if m := l.members.byName[name(j)]; m != nil {
			fmt.Fprint(b, m.State, m.ReportedBy, m.deathDisputed, m.falseSuspicions)
			if m.suspicion != nil {
				fmt.Fprint(b, "d", m.suspicion.reporters, ahead(m.suspicion.timeoutAt()))
			}
		}
	}
	for _, update := range l.gossiper.updates.entries {
		fmt.Fprint(b, update.State, update.transmits)
	}
}

// step delivers all packets, and then advances all clocks equally to the next tick.
func (s *trio) step() {
	for len(s.transit) > 0 {
		p := s.transit[0]
		s.transit = s.transit[1:]
		if s.members[p.to].self.Status != Left {
			s.deliver(p)
		}
	}
	first, next := never, 0
	for i, l := range s.members {
		if ahead := l.NextTick() - s.now[i]; l.NextTick() < never && l.self.Status != Left && ahead < first {
			first, next = ahead, i
		}
	}
	for i := range s.now {
		s.now[i] += max(first, time.Millisecond)
	}
	s.handle(next, Event{Kind: Tick})
}

// settle delivers all packets while all clocks advance equally, and returns an error unless
// the running members end with equal views in which all of them are alive.
func (s *trio) settle() error {
	for range 4000 {
		s.step()
	}
	if s.violation != nil {
		return s.violation
	}
	digest := uint64(0)
	for _, l := range s.members {
		if l.self.Status == Left || l.displaced {
			continue
		}
		if digest != 0 && l.view.value != digest {
			return errors.New("views did not converge")
		}
		digest = l.view.value
		for _, other := range s.members {
			m := l.members.byName[other.self.Name]
			if other != l && other.self.Status != Left && (m == nil || m.Status != Alive) {
				return fmt.Errorf("%s: final record of %s is %v, want alive", l.self.Name, other.self.Name, m)
			}
		}
	}
	return nil
}

// With messages lost, late or out of order: no record is replaced by an older one, no record is
// newer than its member's own state, a suspected member refutes, and no member is declared dead
// before the minimum suspicion has ended.
func TestExploreTrio(t *testing.T) {
	bounds := modelcheck.Bounds{Depth: 6, States: 200_000}
	if testing.Short() {
		bounds.Depth = 4
	}
	explored := modelcheck.Explore(newTrio, bounds)
	t.Log(explored)
	if explored.Err != nil || !explored.Complete {
		t.Error(explored)
	}
	walked := modelcheck.Walk(newTrio, 1, 300, 120)
	if walked.Err != nil {
		t.Error(walked)
	}
	t.Log("walks:", walked)
}

// After any random walk, views converge once messages arrive again, with all running members
// alive.
func TestTrioConvergesAfterRandomWalk(t *testing.T) {
	for seed := range uint64(40) {
		var last *trio
		modelcheck.Walk(func() modelcheck.System { last = newTrio().(*trio); return last }, seed, 1, 60)
		if err := last.settle(); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// After a partition that lasts until each side considers the other dead, the members reconnect.
func TestPartitionedTrioReconnects(t *testing.T) {
	for isolated := range 3 {
		s := newTrio().(*trio)
		s.partitioned = true
		s.isolated = isolated
		s.transit = nil
		for s.now[0] < 30*time.Second {
			s.step()
		}
		s.partitioned = false
		if _, _, dead := s.members[isolated].Count(); dead != 2 {
			t.Errorf("%s: got %d dead members, want 2", name(isolated), dead)
		}
		if err := s.settle(); err != nil {
			t.Errorf("%s isolated: %v", name(isolated), err)
		}
	}
}

func TestMutantsAreFound(t *testing.T) {
	mutant.Find(t, "Trio", []mutant.Mutant{
		{Name: "no refutation", File: "learn.go",
			From: "	case record.Status != Alive && record.Incarnation >= l.self.Incarnation:",
			To:   "	case false:"},
		{Name: "incarnation not raised", File: "learn.go",
			From: "		l.raiseIncarnation(record.Incarnation+1, nil)\n	case record.Incarnation",
			To:   "		l.raiseIncarnation(record.Incarnation, nil)\n	case record.Incarnation"},
		{Name: "stale update accepted", File: "learn.go",
			From: "	case !record.Newer(m.State):\n",
			To:   "	case !record.Newer(m.State) && record.Incarnation == m.Incarnation:\n"},
		{Name: "suspicion of an older incarnation overrides", File: "record.go",
			From: "	case s.Incarnation != other.Incarnation:\n		return s.Incarnation > other.Incarnation\n", To: ""},
		{Name: "epochs not compared", File: "record.go",
			From: "	case s.Epoch != other.Epoch:\n		return s.Epoch > other.Epoch\n", To: ""},
		{Name: "left status is not final", File: "record.go",
			From: "	case (s.Status == Left) != (other.Status == Left):\n		return s.Status == Left\n", To: ""},
		{Name: "declared dead at once", File: "suspicion.go",
			From: "	if end > l.now {\n", To: "	if end > l.now+s.max {\n"},
		{Name: "suspicion kept after a refutation", File: "learn.go",
			From: "	if m.suspicion != nil {\n		l.suspects.remove(m)\n	}\n", To: ""},
		{Name: "digest keeps the previous state", File: "learn.go",
			From: "	if previous != 0 {\n		l.view.toggle(l.now, before.State)\n	}\n", To: ""},
		{Name: "dead member stays reachable", File: "member_table.go",
			From: "	if from == to {\n		return\n	}",
			To:   "	if from == to || m.Status == Dead {\n		return\n	}"},
		{Name: "suspicion raises the incarnation of its target", File: "prober.go",
			From: "	record.Status = Suspect\n",
			To:   "	record.Status = Suspect\n	record.Incarnation++\n"},
		{Name: "dead members are not pinged", File: "reconnect.go",
			From: "len(lost) > 0 && l.rng.Float64() <", To: "len(lost) > 0 && 2*l.rng.Float64() < 0*"},
	})
}
