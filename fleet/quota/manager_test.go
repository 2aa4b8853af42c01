package quota

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	faultnet "ryerill/lab/faultnet"
	"ryerill/lab/modelcheck"
	"ryerill/lab/modelcheck/mutant"
)

// cluster is a number of replicas whose clocks run at different rates, on a network in virtual time.
type cluster struct {
	now      time.Duration
	replicas []*replica
	limits   []Limit
	net      *faultnet.Network
	inFlight []delivery
	spent    float64 // of the amount limit
	demand   []float64
}

type replica struct {
	manager   *Manager
	clockRate float64
	skew      time.Duration
	up        bool
	suspended bool
	epoch     uint64
}

type delivery struct {
	at      time.Duration
	from    int
	to      int
	message Message
}

func replicaName(i int) string { return fmt.Sprintf("c%03d", i) }

func (m *cluster) clock(i int) time.Duration {
	t := m.replicas[i]
	return t.skew + time.Duration(float64(m.now)*t.clockRate)
}

func (m *cluster) start(i int, restarted bool) {
	t := m.replicas[i]
	t.epoch++
	t.up = true
	now := m.clock(i)
	t.manager = New(replicaName(i), t.epoch, uint64(i)*7919+t.epoch, restarted, now)
	t.manager.SetLimits(now, m.limits)
	var others []string
	for j := range m.replicas {
		if j != i {
			others = append(others, replicaName(j))
		}
	}
	t.manager.SetReplicaCount(now, len(m.replicas), others)
}

func newCluster(n int, net *faultnet.Network, total float64) *cluster {
	m := &cluster{net: net, limits: []Limit{{"quota", Rate, total}, {"cold", Amount, total}}, demand: make([]float64, n)}
	for i := range n {
		m.replicas = append(m.replicas, &replica{clockRate: 1 + MaxClockDrift*float64(i%3-1), skew: time.Duration(i%5) * 40 * time.Millisecond})
	}
	for i := range n {
		m.start(i, false)
	}
	return m
}

func (m *cluster) send(i int, actions []Action) {
	for _, act := range actions {
		to := slices.IndexFunc(m.replicas, func(t *replica) bool { return t.manager.name == act.To })
		for _, c := range m.net.Send(m.now, replicaName(i), replicaName(to), 80) {
			m.inFlight = append(m.inFlight, delivery{c.At, i, to, act.Message})
		}
	}
}

// step advances the time by a span in which each replica has its demand.
func (m *cluster) step(d time.Duration) {
	m.now += d
	slices.SortStableFunc(m.inFlight, func(a, b delivery) int { return int(a.at - b.at) })
	for len(m.inFlight) > 0 && m.inFlight[0].at <= m.now {
		p := m.inFlight[0]
		m.inFlight = m.inFlight[1:]
		if t := m.replicas[p.to]; t.up && !t.suspended {
			m.send(p.to, t.manager.Handle(m.clock(p.to), replicaName(p.from), p.message, nil))
		}
	}
	for i, t := range m.replicas {
		if t.up && !t.suspended {
			t.manager.AddDemand(m.clock(i), "quota", m.demand[i]*d.Seconds())
			m.send(i, t.manager.Tick(m.clock(i), nil))
		}
	}
}

// rates adds up what all may spend a second, those that are suspended as they would if they resumed now.
func (m *cluster) rates() (sum float64) {
	for i, t := range m.replicas {
		if t.up {
			sum += t.manager.Rate(m.clock(i), "quota")
		}
	}
	return sum
}

func (m *cluster) check() error {
	if sum := m.rates(); sum > m.limits[0].Total*(1+1e-6) {
		text := ""
		for i, t := range m.replicas {
			text += fmt.Sprintf("\n%s up %v: %+v", replicaName(i), t.up, t.manager.Status(m.clock(i)))
		}
		return fmt.Errorf("at %v all together may spend %v of %v%s", m.now, sum, m.limits[0].Total, text)
	}
	left := m.spent
	for _, t := range m.replicas {
		if t.up {
			left += t.manager.Left("cold")
		}
	}
	if left > m.limits[1].Total*(1+1e-6) {
		return fmt.Errorf("at %v the amount is %v of %v", m.now, left, m.limits[1].Total)
	}
	return nil
}

// Over any schedule of losses, duplicates, delays of an hour, partitions, crashes, restarts, suspensions and clocks that
// drift, all replicas together never may spend more than the total.
func TestReplicasNeverExceedTheTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "replicas")
		m := newCluster(n, faultnet.New(faultnet.Link{Delay: time.Millisecond}, rapid.Uint64().Draw(t, "seed")), 100)
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "whom")
			c := m.replicas[i]
			switch rapid.SampledFrom([]string{"want", "want", "want", "spend", "kill", "restart", "stop", "continue", "cut", "one way", "split", "heal", "bad", "old", "good"}).Draw(t, "what") {
			case "want":
				m.demand[i] = rapid.SampledFrom([]float64{0, 1, 20, 300}).Draw(t, "units")
			case "spend":
				if c.up && !c.suspended {
					c.manager.AddDemand(m.clock(i), "cold", 30)
					if c.manager.Spend(m.clock(i), "cold", 5) {
						m.spent += 5
					}
				}
			case "kill":
				c.up = false
			case "restart":
				if !c.up {
					m.start(i, true)
					c.suspended = false
				}
			case "stop":
				c.suspended = true
			case "continue":
				c.suspended = false
			case "cut":
				m.net.CutOff(replicaName(i), false)
			case "one way":
				m.net.CutOff(replicaName(i), true)
			case "split":
				m.net.Split([]string{replicaName(0), replicaName(i)})
			case "heal":
				m.net.Heal()
			case "bad":
				m.net.Usual(faultnet.Link{Drop: 0.3, Duplicate: 0.3, Reorder: 0.5, Delay: 200 * time.Millisecond, Jitter: time.Second})
			case "old": // what was sent arrives again much later
				for _, p := range slices.Clone(m.inFlight) {
					p.at += time.Hour
					m.inFlight = append(m.inFlight, p)
				}
				m.net.Usual(faultnet.Link{Duplicate: 0.5, Delay: 3 * time.Second, Jitter: 5 * time.Second})
			case "good":
				m.net.Usual(faultnet.Link{Delay: time.Millisecond})
			}
			for range rapid.IntRange(1, 40).Draw(t, "tenths") {
				m.step(100 * time.Millisecond)
				if err := m.check(); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}

// A connected fleet with uneven demand grants nearly what one central limit would.
func TestUnevenDemandIsMet(t *testing.T) {
	for _, n := range []int{3, 12, 100} {
		for _, tc := range []struct {
			name string
			want func(i int, second int) float64
		}{
			{"one demands ten times as much as the others", func(i, _ int) float64 {
				if i == 0 {
					return 700 * 10 / float64(n+9)
				}
				return 700 / float64(n+9)
			}},
			{"one demands all", func(i, _ int) float64 {
				if i == 1 {
					return 1000
				}
				return 0
			}},
			{"it moves from replica to replica every 30 s", func(i, second int) float64 {
				if i == second/30%n {
					return 800
				}
				return 5 / float64(n)
			}},
		} {
			m := newCluster(n, faultnet.New(faultnet.Link{Delay: time.Millisecond, Jitter: time.Millisecond}, 1), 1000)
			granted, central := 0.0, 0.0
			for step := range 1200 {
				all := 0.0
				for i := range m.replicas {
					m.demand[i] = tc.want(i, step/10)
					all += m.demand[i]
				}
				m.step(100 * time.Millisecond)
				if step < 100 { // until demand is measured
					continue
				}
				for i, c := range m.replicas {
					granted += min(m.demand[i], c.manager.Rate(m.clock(i), "quota")) / 10
				}
				central += min(all, 1000) / 10
			}
			minimum := 0.95
			if strings.HasPrefix(tc.name, "it moves") {
				minimum = 0.9 // a move takes a second or two, once in 30 s
			}
			if got := granted / central; got < minimum {
				t.Errorf("%d replicas, %s: %.3f of what one limit would grant", n, tc.name, got)
			} else {
				t.Logf("%d replicas, %s: %.3f", n, tc.name, got)
			}
		}
	}
}

// lendingModel is two or three replicas under exploration: each message arrives, arrives twice or is lost, each replica
// crashes and restarts, time passes.
type lendingModel struct {
	replicas   []*Manager
	epochs     []uint64
	up         []bool
	now        time.Duration
	inFlight   []delivery
	restarts   int
	duplicates int
	n          int
}

const total = 12.0

func newLendingModel(n int) func() modelcheck.System {
	return func() modelcheck.System {
		s := &lendingModel{n: n, epochs: make([]uint64, n), up: make([]bool, n)}
		s.replicas = make([]*Manager, n)
		for i := range n {
			s.start(i, false)
		}
		return s
	}
}

func (s *lendingModel) clock(i int) time.Duration {
	return time.Duration(float64(s.now) * (1 + MaxClockDrift*float64(i%3-1)))
}

func (s *lendingModel) start(i int, restarted bool) {
	s.epochs[i]++
	s.up[i] = true
	a := New(replicaName(i), s.epochs[i], uint64(i), restarted, s.clock(i))
	a.SetLimits(s.clock(i), []Limit{{"r", Rate, total}, {"s", Amount, total}})
	var others []string
	for j := range s.n {
		if j != i {
			others = append(others, replicaName(j))
		}
	}
	a.SetReplicaCount(s.clock(i), s.n, others)
	s.replicas[i] = a
}

func (s *lendingModel) Clone() modelcheck.System {
	c := *s
	c.replicas = slices.Clone(s.replicas)
	for i, a := range c.replicas {
		b := *a
		b.accounts = map[string]*account{}
		for name, p := range a.accounts {
			q := *p
			q.lent, q.borrowed, q.pending = slices.Clone(p.lent), slices.Clone(p.borrowed), slices.Clone(p.pending)
			for k := range q.lent {
				q.lent[k].previous = slices.Clone(q.lent[k].previous)
			}
			q.retryAt = maps.Clone(p.retryAt)
			b.accounts[name] = &q
		}
		b.answers.entries, b.order = slices.Clone(a.answers.entries), slices.Clone(a.order)
		c.replicas[i] = &b
	}
	c.epochs, c.up, c.inFlight = slices.Clone(s.epochs), slices.Clone(s.up), slices.Clone(s.inFlight)
	return &c
}

func (s *lendingModel) Moves() (out []string) {
	for i, p := range s.inFlight {
		out = append(out, fmt.Sprintf("%d arrives: %+v", i, p.message), fmt.Sprintf("%d is lost", i), fmt.Sprintf("%d arrives, and arrives again later", i))
	}
	for i := range s.n {
		if s.up[i] {
			out = append(out, replicaName(i)+" has demand", replicaName(i)+" crashes")
		} else {
			out = append(out, replicaName(i)+" restarts", replicaName(i)+" stays down")
		}
	}
	return append(out, "half a lease passes")
}

func (s *lendingModel) post(from int, actions []Action) {
	for _, a := range actions {
		to := slices.IndexFunc(s.replicas, func(c *Manager) bool { return c.name == a.To })
		if s.inFlight = append(s.inFlight, delivery{0, from, to, a.Message}); len(s.inFlight) > 3 {
			s.inFlight = s.inFlight[1:]
		}
	}
}

func (s *lendingModel) Do(move int) error {
	switch {
	case move < 3*len(s.inFlight):
		i := move / 3
		p := s.inFlight[i]
		if move%3 != 2 {
			s.inFlight = slices.Delete(slices.Clone(s.inFlight), i, i+1)
		} else if s.duplicates++; s.duplicates > 2 {
			s.inFlight = slices.Delete(slices.Clone(s.inFlight), i, i+1)
		}
		if move%3 != 1 && s.up[p.to] {
			s.post(p.to, s.replicas[p.to].Handle(s.clock(p.to), replicaName(p.from), p.message, nil))
		}
	case move < 3*len(s.inFlight)+2*s.n:
		i, which := (move-3*len(s.inFlight))/2, (move-3*len(s.inFlight))%2
		switch {
		case !s.up[i] && which == 0:
			s.start(i, true)
		case !s.up[i]:
		case which == 0:
			a := s.replicas[i]
			a.AddDemand(s.clock(i), "r", 30)
			a.AddDemand(s.clock(i), "s", 30)
			s.post(i, a.Tick(s.clock(i), nil))
		default:
			if s.restarts < 2 {
				s.up[i] = false
				s.restarts++
			}
		}
	default:
		s.now += Lease / 2
		for i, a := range s.replicas {
			if s.up[i] {
				s.post(i, a.Tick(s.clock(i), nil))
			}
		}
	}
	rate, sum := 0.0, 0.0
	for i, a := range s.replicas {
		if s.up[i] {
			// The borrower's credit must have ended right before the lease ends by the lender's clock.
			rate += a.Rate(s.clock(i), "r")
			sum += a.Left("s")
		}
	}
	if rate > total+1e-6 {
		return fmt.Errorf("all together may spend %v of %v a second", rate, total)
	}
	if sum > total+1e-6 {
		return fmt.Errorf("all together may spend %v of %v in all", sum, total)
	}
	return nil
}

func (s *lendingModel) Key() string {
	var b strings.Builder
	for i, a := range s.replicas {
		now := s.clock(i)
		fmt.Fprint(&b, s.up[i], a.epoch, a.restarted && now-a.startedAt < withMaxDrift(Lease), a.lastSeq, a.random)
		for _, name := range a.order {
			p := a.accounts[name]
			fmt.Fprintf(&b, "%.2f %v %.1f", p.balance, p.assigned, p.demand.rate(a.now))
			for _, l := range p.lent {
				fmt.Fprintf(&b, "%s %.2f %v %d", l.borrower(), l.amount, l.expiresAt-now, len(l.previous))
			}
			for _, l := range p.borrowed {
				fmt.Fprintf(&b, "%s %.2f %v", l.lender, l.amount, l.expiresAt-now)
			}
			for _, k := range p.pending {
				fmt.Fprint(&b, k.seq, k.lender, now-k.sentAt)
			}
		}
		for _, r := range a.answers.entries {
			fmt.Fprint(&b, r.message.Request)
		}
	}
	for _, p := range s.inFlight {
		fmt.Fprint(&b, p.from, p.to, p.message)
	}
	fmt.Fprint(&b, s.duplicates, s.restarts)
	return b.String()
}

func TestExploreLending(t *testing.T) {
	for n, depth := range map[int]int{2: 7, 3: 5} {
		if testing.Short() {
			depth--
		}
		res := modelcheck.Explore(newLendingModel(n), modelcheck.Bounds{Depth: depth, States: 400_000})
		if t.Logf("%d replicas: %v", n, res); res.Err != nil || !res.Complete {
			t.Errorf("%d replicas: %v", n, res)
		}
		if res = modelcheck.Walk(newLendingModel(n), 1, 400, 60); res.Err != nil {
			t.Errorf("%d replicas, walks: %v", n, res)
		}
	}
}

// newLenderAndBorrower returns two replicas that share a rate and an amount limit of 10.
func newLenderAndBorrower(epoch uint64) (lender, borrower *Manager) {
	make := func(name, other string, epoch uint64) *Manager {
		a := New(name, epoch, 1, false, 0)
		a.SetLimits(0, []Limit{{"r", Rate, 10}, {"s", Amount, 10}})
		a.SetReplicaCount(0, 2, []string{other})
		return a
	}
	return make("l", "b", 1), make("b", "l", epoch)
}

// However long the messages take and clocks drift, a credit ends before its debit does.
func TestCreditEndsBeforeDebit(t *testing.T) {
	for _, pace := range []float64{1 - MaxClockDrift, 1, 1 + MaxClockDrift} {
		for _, late := range []time.Duration{0, 100 * time.Millisecond, 490 * time.Millisecond} {
			l, b := newLenderAndBorrower(1)
			own := func(now time.Duration) time.Duration { return time.Duration(float64(now) * pace) }
			drifted := func(now time.Duration) time.Duration { return time.Duration(float64(now) * (2 - pace)) }
			b.AddDemand(own(0), "r", 100)
			asks := b.Tick(own(0), nil)
			grants := l.Handle(drifted(0), "b", asks[0].Message, nil)
			b.Handle(own(late), "l", grants[0].Message, nil)
			lent := false
			for now := late; now < 2*Lease; now += time.Millisecond {
				if sum := b.Rate(own(now), "r") + l.Rate(drifted(now), "r"); sum > 10.0001 {
					t.Fatalf("pace %v, answer after %v: at %v both may spend %v of 10", pace, late, now, sum)
				}
				lent = lent || b.Rate(own(now), "r") > 5
			}
			if !lent {
				t.Errorf("pace %v, answer after %v: nothing was lent", pace, late)
			}
		}
	}
}

func TestDuplicatedAndOldMessages(t *testing.T) {
	l, b := newLenderAndBorrower(1)
	b.AddDemand(0, "r", 100)
	b.AddDemand(0, "s", 100)
	var asks, grants []Action
	for _, a := range b.Tick(0, nil) {
		asks = append(asks, a)
		grants = l.Handle(0, "b", a.Message, grants)
	}
	rate, left := l.Rate(0, "r"), l.Left("s")
	for _, a := range asks { // arrive again: the same answer, and no other debit
		again := l.Handle(time.Second, "b", a.Message, nil)
		if !slices.ContainsFunc(grants, func(g Action) bool { return g == again[0] }) {
			t.Errorf("%+v gets another answer: %+v", a.Message, again[0].Message)
		}
	}
	if l.Rate(time.Second, "r") != rate || l.Left("s") != left {
		t.Errorf("a request that arrived twice is debited twice: %v, %v", l.Rate(time.Second, "r"), l.Left("s"))
	}
	// The borrower crashes. Its next process requests with the same numbers; the old grants arrive.
	_, next := newLenderAndBorrower(2)
	next.AddDemand(2*time.Second, "r", 100)
	next.AddDemand(2*time.Second, "s", 100)
	next.Tick(2*time.Second, nil)
	for _, g := range grants {
		next.Handle(2*time.Second, "l", g.Message, nil)
	}
	if next.Rate(2*time.Second, "r") > 5.001 || next.Left("s") > 5.001 {
		t.Errorf("a grant to a previous process counts: %v, %v", next.Rate(2*time.Second, "r"), next.Left("s"))
	}
	for _, g := range append(grants, grants...) { // the first process counts each once
		b.Handle(100*time.Millisecond, "l", g.Message, nil)
	}
	if sum := b.Rate(100*time.Millisecond, "r") + l.Rate(100*time.Millisecond, "r"); sum > 10.001 || b.Left("s")+l.Left("s") > 10.001 {
		t.Errorf("both may spend %v and %v of 10", sum, b.Left("s")+l.Left("s"))
	}
	for _, bad := range []Message{{Request: RequestID{"b", 1, 99}, Quota: "r", Amount: -5}, {Request: RequestID{"x", 1, 99}, Quota: "r", Amount: 1},
		{Request: RequestID{"b", 1, 99}, Quota: "nothing", Amount: 1}, {Grant: true, From: "y", Request: RequestID{"l", 1, 1}, Quota: "r", Amount: 1}} {
		if out := l.Handle(time.Second, "b", bad, nil); len(out) > 0 {
			t.Errorf("%+v is answered", bad)
		}
	}
}

func TestAnUnconfirmedReplicaHasNoShare(t *testing.T) {
	a := New("a", 1, 1, false, 0)
	a.SetLimits(0, []Limit{{"r", Rate, 10}, {"s", Amount, 10}})
	a.SetReplicaCount(0, 0, []string{"b"})
	if a.Rate(0, "r") != 0 || a.Left("s") != 0 {
		t.Error(a.Rate(0, "r"), a.Left("s"))
	}
}

func TestMutantsAreFound(t *testing.T) {
	mutant.Find(t, "ExploreLending|NeverExceed|Uneven|Credit|Duplicated|Unconfirmed", []mutant.Mutant{
		{Name: "no debit", File: "manager.go", From: "	return m.spendableRate(account)\n", To: "	return m.guaranteed(account) + account.credit(m.now)\n"},
		{Name: "the debit ends as early as the credit", File: "lease.go", From: "time.Duration(float64(span) * (1 + 2*MaxClockDrift))", To: "time.Duration(float64(span) * (1 - 3*MaxClockDrift))"},
		{Name: "credit counted from when the answer arrives", File: "borrower.go", From: "	expiresAt := creditEnd(request.sentAt)\n", To: "	expiresAt := creditEnd(m.now)\n"},
		{Name: "a request that arrives again is granted again", File: "message.go", From: "		if l.entries[i].message.Request == request {", To: "		if false {"},
		{Name: "a grant counts however often it arrives", File: "account.go", From: "	a.pending = slices.Delete(a.pending, index, index+1)\n", To: ""},
		{Name: "a grant to a previous process counts", File: "borrower.go", From: "grant.Request.Replica != m.name || grant.Request.Epoch != m.epoch {", To: "grant.Request.Replica != m.name {"},
		{Name: "a restarted lender forgets what it lent", File: "manager.go", From: "		sum = max(sum, MaxLentFraction*m.guaranteed(account))\n", To: ""},
		{Name: "a restarted replica has its amount again", File: "manager.go", From: "		case m.restarted:\n", To: "		case m.restarted && replicaCount <= 0:\n"},
		{Name: "more is lent than the share", File: "lender.go", From: "	return min(MaxLentFraction*guaranteed-lent, guaranteed-lent-account.demand.rate(m.now)*demandHeadroom)", To: "	return 2 * guaranteed"},
		{Name: "an amount is lent and kept", File: "lender.go", From: "		account.balance -= amount\n", To: ""},
		{Name: "a renewed loan counts for its new amount alone", File: "lease.go", From: "debit{amount: l.amount, expiresAt: l.expiresAt})\n", To: "debit{amount: 0, expiresAt: l.expiresAt})\n"},
		{Name: "a renewed loan counts twice", File: "borrower.go", From: "return request.renews != noRenewal && l.lender == request.lender && l.seq == request.renews\n", To: "return false\n"},
		{Name: "an unconfirmed replica has a share", File: "manager.go", From: "	if m.replicaCount <= 0 {\n		return 0\n	}\n	return account.Total", To: "	return account.Total"},
		{Name: "returned and kept", File: "borrower.go", From: "		account.borrowed = slices.Delete(account.borrowed, i, i+1)\n", To: ""},
		{Name: "no peer is asked", File: "borrower.go", From: "		m.request(account, lender, shortfall+existing.amount, existing.seq)\n", To: "_ = existing\n"},
	})
}
