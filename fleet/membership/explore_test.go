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

// trio is three members, each with a clock of its own, and the messages that are on
// their way. Whatever order messages come in, whoever's time passes first, one
// restart, one departure: all of it is a move.
type trio struct {
	members  []*List
	now      []time.Duration
	way      []letter
	restarts int
	departs  int
	forgot   bool
	torn     bool // cut is cut off from the others
	cut      int
	broken   error
}

type letter struct {
	from, to int
	what     EventKind
	msg      *Message
	exchange uint64
}

const (
	mostLetters = 3 // on their way; of more the oldest are lost
	mostEpochs  = 1 // restarts
)

func name(i int) string { return string(rune('a' + i)) }

func newTrio() modelcheck.System {
	s := &trio{now: make([]time.Duration, 3)}
	for i := range 3 {
		s.members = append(s.members, s.member(i, 1))
	}
	for i := range s.members { // they know each other already
		for j := range s.members {
			if i != j {
				r := s.members[j].self
				s.members[i].learn(&r, "")
				s.members[i].others[name(j)].heard = 0
			}
		}
		s.members[i].queue, s.members[i].joined = nil, true
		s.members[i].out = nil
		s.handle(i, Event{Kind: Start})
		s.members[i].queue = nil
	}
	s.way = nil
	return s
}

func (s *trio) member(i int, epoch uint64) *List {
	c := Config{Name: name(i), Epoch: epoch, Seed: 7, Tags: Tags{Address: name(i), Phase: Serving}}
	if i == 0 || epoch > 1 { // the others know each other, and must find each other again by that
		c.Seeds = []string{name((i + 1) % 3)}
	}
	return New(c)
}

// handle hands an event over and checks what must hold at every step.
func (s *trio) handle(i int, ev Event) {
	m := s.members[i]
	before := map[string]Record{}
	doubts := map[string]doubt{}
	for n, p := range m.others {
		before[n] = p.Record
		if p.doubt != nil {
			doubts[n] = *p.doubt
		}
	}
	self := m.self
	accused := ev.Kind == MessageReceived && slices.ContainsFunc(ev.Message.Updates, func(r Record) bool {
		return r.Name == m.self.Name && r.Epoch == m.self.Epoch && r.Status != Alive && r.Status != Left && r.Incarnation >= m.self.Incarnation
	})
	for _, a := range m.Handle(s.now[i], ev, nil) {
		to := slices.IndexFunc(s.members, func(o *List) bool { return o.self.Tags.Address == a.Address })
		switch a.Kind {
		case Send:
			s.post(letter{from: i, to: to, what: MessageReceived, msg: a.Message})
		case StartSync:
			s.post(letter{from: i, to: to, what: SyncRequested, msg: a.Message, exchange: a.Exchange})
		case Reply:
			if ev.Kind == SyncRequested {
				to = slices.IndexFunc(s.members, func(o *List) bool { return o.self.Name == ev.Message.From.Name })
				s.post(letter{from: i, to: to, what: SyncAnswered, msg: a.Message, exchange: ev.Exchange})
			} else {
				to = slices.IndexFunc(s.members, func(o *List) bool { return o.self.Name == ev.Message.From.Name })
				s.post(letter{from: i, to: to, what: SyncFinished, msg: a.Message})
			}
		}
	}
	fail := func(format string, args ...any) {
		if s.broken == nil {
			s.broken = fmt.Errorf(format, args...)
		}
	}
	if m.self.Epoch == self.Epoch && m.self.Incarnation < self.Incarnation || m.self.Epoch < self.Epoch {
		fail("%s: its own count went back", m.self.Name)
	}
	if accused && m.self.Incarnation <= self.Incarnation && m.self.Epoch == self.Epoch && !m.displaced && self.Status != Left {
		fail("%s was accused and did not refute", m.self.Name)
	}
	for n, p := range m.others {
		b, known := before[n]
		if known && b.Newer(p.State) {
			fail("%s: what it holds of %s went back from %v to %v", m.self.Name, n, b.State, p.State)
		}
		of := s.members[n[0]-'a'].self
		if p.Epoch > of.Epoch || p.Epoch == of.Epoch && p.Incarnation > of.Incarnation {
			fail("%s holds %s for %v, which it never said: it is %v", m.self.Name, n, p.State, of.State)
		}
		if known && b.Status == Left && p.Status != Left && p.Epoch == b.Epoch {
			fail("%s: %s is back in the life that it had left", m.self.Name, n)
		}
		if p.Status == Left && p.Epoch == of.Epoch && of.Status != Left && !s.forgot {
			fail("%s holds %s for gone, which it never said", m.self.Name, n)
		}
		if known && p.Status == Dead && b.Status != Dead && p.ReportedBy == m.self.Name && ev.Kind == Tick {
			d, doubted := doubts[n]
			if !doubted || s.now[i]-d.began < d.least {
				fail("%s buried %s without a doubt that lasted long enough", m.self.Name, n)
			}
		}
		if (p.doubt != nil) != (p.Status == Suspect) {
			fail("%s: %s is %v, and doubted: %v", m.self.Name, n, p.Status, p.doubt != nil)
		}
		at := slices.Index(m.ring, p)
		if (at >= 0) != (p.Status == Alive || p.Status == Suspect) || at >= 0 && p.place != at {
			fail("%s: %s is %v, and at %d of the ring", m.self.Name, n, p.Status, at)
		}
	}
	digest := m.self.hash()
	for _, p := range m.others {
		digest ^= p.hash()
	}
	if digest != m.digest {
		fail("%s: its digest is not that of what it holds", m.self.Name)
	}
}

func (s *trio) post(l letter) {
	if l.to < 0 || l.to == l.from || s.torn && (l.from == s.cut) != (l.to == s.cut) {
		return
	}
	if s.way = append(s.way, l); len(s.way) > mostLetters {
		s.way = s.way[1:]
	}
}

// Moves: each letter comes or is lost, each member's time passes until it is due,
// one is started anew, one departs.
func (s *trio) Moves() (out []string) {
	for i, l := range s.way {
		out = append(out, fmt.Sprintf("%d comes: %s to %s %v", i, name(l.from), name(l.to), l.msg.Kind), fmt.Sprintf("%d is lost", i))
	}
	for i := range s.members {
		out = append(out, "time passes at "+name(i))
	}
	if s.restarts < mostEpochs {
		out = append(out, "c starts anew")
	}
	if s.departs == 0 {
		out = append(out, "b departs")
	}
	if s.forgettable() {
		out = append(out, "a is told that c is gone")
	}
	return out
}

// forgettable tells whether a person may say at a that c is gone.
func (s *trio) forgettable() bool { return !s.forgot && s.members[0].others["c"].Status == Dead }

func (s *trio) Do(move int) error {
	if s.forgettable() && move == len(s.Moves())-1 {
		s.forgot = true
		s.handle(0, Event{Kind: Forget, Name: "c"})
		return s.broken
	}
	if move < 2*len(s.way) {
		l := s.way[move/2]
		s.way = slices.Delete(slices.Clone(s.way), move/2, move/2+1)
		if move%2 == 0 {
			s.handle(l.to, Event{Kind: l.what, Message: l.msg, Exchange: l.exchange})
		}
		return s.broken
	}
	switch move -= 2 * len(s.way); {
	case move < 3:
		if due := s.members[move].NextTick(); due < never {
			s.now[move] = max(s.now[move]+time.Millisecond, due)
		}
		s.handle(move, Event{Kind: Tick})
	case s.restarts < mostEpochs && move == 3:
		s.restarts++
		s.members[2] = s.member(2, 2)
		s.handle(2, Event{Kind: Start})
	default:
		s.departs++
		s.handle(1, Event{Kind: Leave})
	}
	return s.broken
}

// Key is what may matter later: what each holds, doubts and waits, and the letters,
// with times as far as they lie ahead.
func (s *trio) Key() string {
	var b strings.Builder
	for i, m := range s.members {
		fmt.Fprint(&b, m.self.State, m.health, m.displaced, m.swapWith, len(m.disputes), m.cursor)
		left := func(at time.Duration) time.Duration { return max(at-s.now[i], -1) / (10 * time.Millisecond) }
		if m.probe != nil {
			fmt.Fprint(&b, "p", m.probe.p.Name, left(m.probe.end), left(m.probe.second), m.probe.nacks)
		}
		for j := range 3 {
			if p := m.others[name(j)]; p != nil {
				fmt.Fprint(&b, p.State, p.ReportedBy, p.disputed, p.wrong)
				if p.doubt != nil {
					fmt.Fprint(&b, "d", p.doubt.by, left(p.doubt.end()))
				}
			}
		}
		for _, n := range m.queue {
			fmt.Fprint(&b, n.State, n.times)
		}
	}
	for _, l := range s.way {
		fmt.Fprint(&b, l.from, l.to, l.what, l.msg.Kind, l.msg.Target)
		for _, r := range l.msg.Updates {
			fmt.Fprint(&b, r.State)
		}
	}
	fmt.Fprint(&b, s.restarts, s.departs, s.forgot)
	return b.String()
}

// step lets all letters come, and then time pass for all alike until somebody is due.
func (s *trio) step() {
	for len(s.way) > 0 {
		l := s.way[0]
		if s.way = s.way[1:]; s.members[l.to].self.Status != Left {
			s.handle(l.to, Event{Kind: l.what, Message: l.msg, Exchange: l.exchange})
		}
	}
	first, at := never, 0
	for i, m := range s.members {
		if ahead := m.NextTick() - s.now[i]; m.NextTick() < never && m.self.Status != Left && ahead < first {
			first, at = ahead, i
		}
	}
	for i := range s.now {
		s.now[i] += max(first, time.Millisecond)
	}
	s.handle(at, Event{Kind: Tick})
}

// settle lets everything come and time pass for all alike, and tells whether all
// that are there then hold the same.
func (s *trio) settle() error {
	for range 4000 {
		s.step()
	}
	if s.broken != nil {
		return s.broken
	}
	digest := uint64(0)
	for _, m := range s.members {
		if m.self.Status == Left || m.displaced {
			continue
		}
		if digest != 0 && m.digest != digest {
			return errors.New("the views stay different")
		}
		digest = m.digest
		for _, o := range s.members {
			if p := m.others[o.self.Name]; o != m && o.self.Status != Left && (p == nil || p.Status != Alive) {
				return fmt.Errorf("%s holds %s for %v in the end", m.self.Name, o.self.Name, p)
			}
		}
	}
	return nil
}

// Of three members, whatever is lost, late or out of order: what one holds never
// goes back, nobody holds of another what it never said, who is accused refutes,
// nobody is buried without a doubt that lasted.
func TestExploreTrio(t *testing.T) {
	b := modelcheck.Bounds{Depth: 6, States: 200_000}
	if testing.Short() {
		b.Depth = 4
	}
	res := modelcheck.Explore(newTrio, b)
	t.Log(res)
	if res.Err != nil || !res.Complete {
		t.Error(res)
	}
	if res = modelcheck.Walk(newTrio, 1, 300, 120); res.Err != nil {
		t.Error(res)
	}
	t.Log("walks:", res)
}

// From wherever a walk leads, once messages come again all hold the same, and each
// that is there for alive.
func TestTrioSettles(t *testing.T) {
	for seed := range uint64(40) {
		var last *trio
		modelcheck.Walk(func() modelcheck.System { last = newTrio().(*trio); return last }, seed, 1, 60)
		if err := last.settle(); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// Cut off until each side holds the other for dead, the three find each other again.
func TestTornTrioSettles(t *testing.T) {
	for cut := range 3 {
		s := newTrio().(*trio)
		s.torn, s.cut, s.way = true, cut, nil
		for s.now[0] < 30*time.Second {
			s.step()
		}
		s.torn = false
		if _, _, dead := s.members[cut].Count(); dead != 2 {
			t.Errorf("%s holds %d for dead", name(cut), dead)
		}
		if err := s.settle(); err != nil {
			t.Errorf("%s cut off: %v", name(cut), err)
		}
	}
}

func TestMutantsAreFound(t *testing.T) {
	mutant.Find(t, "Trio", []mutant.Mutant{
		{Name: "refutation left out", File: "member.go", From: "	case r.Status != Alive && r.Incarnation >= m.self.Incarnation:", To: "	case false:"},
		{Name: "incarnation not raised", File: "member.go", From: "		m.restate(r.Incarnation+1, nil)\n	case r.Incarnation", To: "		m.restate(r.Incarnation, nil)\n	case r.Incarnation"},
		{Name: "old news taken", File: "member.go", From: "	case !r.Newer(p.State):\n", To: "	case !r.Newer(p.State) && r.Incarnation == p.Incarnation:\n"},
		{Name: "suspicion of an older count overrides", File: "record.go", From: "	case h.Incarnation != o.Incarnation:\n		return h.Incarnation > o.Incarnation\n", To: ""},
		{Name: "epochs not compared", File: "record.go", From: "	case h.Epoch != o.Epoch:\n		return h.Epoch > o.Epoch\n", To: ""},
		{Name: "leaving is not final", File: "record.go", From: "	case (h.Status == Left) != (o.Status == Left):\n		return h.Status == Left\n", To: ""},
		{Name: "buried at once", File: "member.go", From: "		if end > m.now {\n", To: "		if end > m.now+d.most {\n"},
		{Name: "doubt kept after a refutation", File: "member.go", From: "	if p.doubt != nil {\n		m.undoubt(p)\n	}\n", To: ""},
		{Name: "digest forgets the old record", File: "member.go", From: "	if was != 0 {\n		m.turn(before.State)\n	}\n", To: ""},
		{Name: "the dead stay in the ring", File: "member.go", From: "	if from == to {\n		return\n	}", To: "	if from == to || p.Status == Dead {\n		return\n	}"},
		{Name: "another's count is raised for it", File: "member.go", From: "	r.Status, r.Tags, r.ReportedBy = Suspect, nil, m.self.Name\n", To: "	r.Status, r.Tags, r.ReportedBy, r.Incarnation = Suspect, nil, m.self.Name, r.Incarnation+1\n"},
		{Name: "the lost are never sought", File: "member.go", From: "len(m.lost) > 0 && m.rng.Float64() <", To: "len(m.lost) > 0 && 2*m.rng.Float64() < 0*"},
	})
}
