// Package quota lends parts of budgets among copies so that all together never
// spend more than the whole, whoever hears whom. It is pure: one event and its time
// go in, actions come out.
//
// A rate (a tenant's quota, attempts at repeats) lies in equal guaranteed parts, one
// with each copy that may be there. What a copy does not need it lends under a lease.
// The lender's debit begins when it decides and ends by its own clock, with the
// greatest drift allowed for; the borrower's credit is counted from when it asked, so
// it ends before the debit does, whatever the message took and without clocks that
// agree. A lost, doubled or late message can only make somebody spend less.
//
// A sum (what a server that has just started may be sent in all) moves for good: a
// part given away is spent for the giver whether it arrives or not.
package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ryerill/internal/seedrand"
)

// How lending goes.
const (
	Lease       = 4 * time.Second // a loan lasts so long for the lender
	Drift       = 0.02            // clocks run fast or slow by at most so much
	Lendable    = 0.97            // of the guaranteed part may be lent at most
	renewAt     = 0.5             // of a loan's time is gone when it is asked for again
	askEvery    = 50 * time.Millisecond
	askMost     = 16                     // asks out at once, for one budget
	askPatience = 500 * time.Millisecond // an ask without an answer is given up
	needSpan    = time.Second            // over which what is wanted is measured
	head        = 1.15                   // of what is wanted a copy keeps or asks for: wants move
	mostLoans   = 4096                   // that one copy gives, or has, in all
	mostSeen    = 4096                   // asks whose answers are remembered
	leastLoan   = 0.02                   // of a guaranteed part: less is not worth a message
)

// Kind tells how a budget is spent.
type Kind uint8

// The kinds of budget.
const (
	Rate   Kind = iota // units a second
	Amount             // units in all
)

// Limit is one that copies share.
type Limit struct {
	Name  string
	Kind  Kind
	Total float64
}

// RequestID identifies an ask for good: it is answered once, however often it comes.
type RequestID struct {
	Replica string `json:"Name"` // of the copy that asks
	Epoch   uint64 `json:"Epoch"`
	Seq     uint64 `json:"Seq"`
}

// Message is what copies say to each other about budgets.
type Message struct {
	Grant   bool      `json:"Grant"` // else an ask,
	Return  bool      `json:"Back"`  // or the return of what Key had asked for
	Request RequestID `json:"Key"`
	From    string    `json:"From"` // of the copy that grants, with its epoch
	Epoch   uint64    `json:"Epoch"`
	Quota   string    `json:"Budget"`
	Amount  float64   `json:"Amount"`
	Renews  uint64    `json:"Renews"` // the ask whose loan is to go on; 0 is none
}

// Action is something that the host is to do.
type Action struct {
	To      string
	Message Message
}

// loan is a part that is lent. One that is renewed for less is owed in full until
// its old end: the borrower may not have heard yet.
type loan struct {
	with   string // the other copy
	seq    uint64 // of the ask that it answers,
	epoch  uint64 // and, for the lender, of who asked
	amount float64
	until  time.Duration
	owed   []step        // for the lender: what it was before
	renew  time.Duration // for the borrower: when it asks again
}

type step struct {
	amount float64
	until  time.Duration
}

// debit is what a loan counts for with its lender.
func (l *loan) debit(now time.Duration) (amount float64) {
	if now < l.until {
		amount = l.amount
	}
	for _, o := range l.owed {
		if now < o.until {
			amount = max(amount, o.amount)
		}
	}
	return amount
}

type ask struct {
	seq, renews uint64
	to          string
	sent        time.Duration
}

// purse is this copy's part of one budget.
type purse struct {
	Limit
	given, had []loan
	asks       []ask
	nextAsk    time.Duration
	wanted     float64 // units asked for lately, decaying over needSpan
	wantedAt   time.Duration
	left       float64                  // of a sum
	refused    map[string]time.Duration // who had nothing, and when it may be asked again
}

type answered struct {
	key RequestID
	msg Message
	at  time.Duration
}

// Manager is one copy's side. It is not safe for concurrent use.
type Manager struct {
	name  string
	epoch uint64
	rng   seedrand.Source
	now   time.Duration
	began time.Duration
	fresh bool // it restarted without its memory: what it had lent is not known
	among int  // 0 is that it has no part yet
	seq   uint64

	others []string
	purses map[string]*purse
	order  []string
	seen   []answered
	out    []Action

	Stats Stats
}

// Stats count what happened.
type Stats struct {
	Requests   uint64 `json:"Asks"`
	Grants     uint64 `json:"Grants"`
	Denials    uint64 `json:"Empty"`
	Late       uint64 `json:"Late"`
	Duplicates uint64 `json:"Again"`
	Invalid    uint64 `json:"Bad"`
}

// New returns a copy's side. One that restarts without knowing what it had lent keeps
// back what it may have, until that would be over.
func New(name string, epoch, seed uint64, fresh bool, now time.Duration) *Manager {
	return &Manager{name: name, epoch: epoch, rng: seedrand.Source(seed), fresh: fresh, began: now, now: now, purses: map[string]*purse{}}
}

// SetLimits states which budgets there are.
func (a *Manager) SetLimits(now time.Duration, budgets []Limit) {
	a.now = max(a.now, now)
	keep := map[string]bool{}
	a.order = a.order[:0]
	for _, b := range budgets {
		if !(b.Total > 0) || math.IsInf(b.Total, 0) {
			continue
		}
		keep[b.Name] = true
		a.order = append(a.order, b.Name)
		if p := a.purses[b.Name]; p == nil {
			a.purses[b.Name] = &purse{Limit: b, left: -1, refused: map[string]time.Duration{}, wantedAt: a.now}
		} else {
			p.Total = b.Total
		}
	}
	slices.Sort(a.order)
	for name := range a.purses {
		if !keep[name] {
			delete(a.purses, name)
		}
	}
}

// SetReplicaCount states among how many copies budgets are divided, 0 while this one has no
// part, and who the others are that can be asked.
func (a *Manager) SetReplicaCount(now time.Duration, among int, others []string) {
	a.now = max(a.now, now)
	for _, name := range a.order {
		if p := a.purses[name]; p.Kind == Amount && p.left < 0 && among > 0 && !a.fresh {
			p.left = p.Total / float64(among)
		} else if p.Kind == Amount && p.left < 0 && a.fresh {
			p.left = 0 // forfeited: it may have spent it before its restart
		}
	}
	a.among, a.others = among, others
}

// FitsWithin tells whether what this copy has lent leaves room for a division among so
// many: only then may others count on its part being so much smaller.
func (a *Manager) FitsWithin(now time.Duration, among int) bool {
	a.now = max(a.now, now)
	for _, name := range a.order {
		p := a.purses[name]
		if p.Kind == Rate && a.lent(p) > p.Total/float64(max(among, 1))+1e-9 {
			return false
		}
	}
	return true
}

// guaranteed is this copy's own part of a rate.
func (a *Manager) guaranteed(p *purse) float64 {
	if a.among <= 0 {
		return 0
	}
	return p.Total / float64(a.among)
}

// stretch is a lease by the lender's clock, with all drift allowed for.
func stretch(d time.Duration) time.Duration { return time.Duration(float64(d) * (1 + 2*Drift)) }

// lent is what this copy has lent now, or may have lent before it restarted.
func (a *Manager) lent(p *purse) float64 {
	sum := 0.0
	for i := range p.given {
		sum += p.given[i].debit(a.now)
	}
	if a.fresh && a.now-a.began < stretch(Lease) {
		sum = max(sum, Lendable*a.guaranteed(p))
	}
	return sum
}

func (a *Manager) borrowed(p *purse) float64 {
	sum := 0.0
	for _, l := range p.had {
		if a.now < l.until {
			sum += l.amount
		}
	}
	return sum
}

// Rate is what this copy may spend a second now of a rate: its part, less what it
// has lent, and what it has borrowed.
func (a *Manager) Rate(now time.Duration, name string) float64 {
	a.now = max(a.now, now)
	p := a.purses[name]
	if p == nil || p.Kind != Rate {
		return 0
	}
	return max(a.guaranteed(p)-a.lent(p), 0) + a.borrowed(p)
}

// Part is Rate as a part of the whole.
func (a *Manager) Part(now time.Duration, name string) float64 {
	p := a.purses[name]
	if p == nil {
		return 0
	}
	return a.Rate(now, name) / p.Total
}

// AddDemand tells of units that were wanted, granted or not: by them it is decided who
// lends and who asks.
func (a *Manager) AddDemand(now time.Duration, name string, units float64) {
	a.now = max(a.now, now)
	if p := a.purses[name]; p != nil && units > 0 && units < 1e12 {
		a.wants(p)
		p.wanted += units
	}
}

// wants is how much is wanted a second.
func (a *Manager) wants(p *purse) float64 {
	p.wanted *= math.Exp(-(a.now - p.wantedAt).Seconds() / needSpan.Seconds())
	p.wantedAt = a.now
	return p.wanted / needSpan.Seconds()
}

// Spend takes units of a sum, all or none.
func (a *Manager) Spend(now time.Duration, name string, units float64) bool {
	a.now = max(a.now, now)
	p := a.purses[name]
	if p == nil || p.Kind != Amount || !(units >= 0) || p.left < units {
		return false
	}
	p.left -= units
	return true
}

// Left is what this copy may still spend of a sum.
func (a *Manager) Left(name string) float64 {
	if p := a.purses[name]; p != nil && p.Kind == Amount {
		return max(p.left, 0)
	}
	return 0
}

// Tick asks for what is missing, and for loans that end soon.
func (a *Manager) Tick(now time.Duration, out []Action) []Action {
	a.now, a.out = max(a.now, now), out
	for _, name := range a.order {
		p := a.purses[name]
		over := func(l loan) bool { return l.debit(a.now) == 0 }
		p.given, p.had = slices.DeleteFunc(p.given, over), slices.DeleteFunc(p.had, over)
		p.asks = slices.DeleteFunc(p.asks, func(k ask) bool { return a.now-k.sent >= askPatience })
		if a.among <= 0 || len(a.others) == 0 {
			continue
		}
		need := a.missing(p)
		// Who has lent is asked again before the loan ends; what is not needed any more runs out.
		for i := range p.had {
			if l := &p.had[i]; need+l.amount > 0 && a.now >= l.renew && len(p.asks) < askMost {
				l.renew = l.until
				a.ask(p, l.with, min(l.amount, need+l.amount), l.seq)
			}
		}
		a.giveBack(p, -need)
		if a.now < p.nextAsk {
			continue
		}
		// Some are asked at once, each for what one can be expected to have.
		p.nextAsk = a.now + askEvery
		g := p.Total / float64(a.among)
		for _, k := range p.asks {
			if k.renews == 0 {
				need -= Lendable * g / 2
			}
		}
		for tries := 2 * askMost; tries > 0 && need > leastLoan*g && len(p.asks) < askMost; tries-- {
			to := a.others[a.rng.Uint64()%uint64(len(a.others))]
			if a.now < p.refused[to] || slices.ContainsFunc(p.asks, func(k ask) bool { return k.to == to }) {
				continue
			}
			var l loan
			if i := slices.IndexFunc(p.had, func(l loan) bool { return l.with == to }); i >= 0 {
				l = p.had[i]
			}
			a.ask(p, to, need+l.amount, l.seq)
			need -= Lendable * g / 2
		}
	}
	a.seen = slices.DeleteFunc(a.seen, func(s answered) bool { return a.now-s.at >= 2*stretch(Lease) })
	out, a.out = a.out, nil
	return out
}

// giveBack returns loans of which nothing is needed: the credit ends before the
// lender hears of it.
func (a *Manager) giveBack(p *purse, spare float64) {
	for i := len(p.had) - 1; i >= 0; i-- {
		l := p.had[i]
		if l.amount > spare || slices.ContainsFunc(p.asks, func(k ask) bool { return k.renews == l.seq }) {
			continue
		}
		spare -= l.amount
		p.had = slices.Delete(p.had, i, i+1)
		a.out = append(a.out, Action{To: l.with, Message: Message{Return: true, Request: RequestID{a.name, a.epoch, l.seq}, Quota: p.Name}})
	}
}

// missing is how much more this copy would use.
func (a *Manager) missing(p *purse) float64 {
	if p.Kind == Amount {
		return min(a.wants(p)*head, p.Total) - max(p.left, 0)
	}
	return min(a.wants(p)*head, p.Total) - (max(a.guaranteed(p)-a.lent(p), 0) + a.borrowed(p))
}

func (a *Manager) ask(p *purse, to string, amount float64, renews uint64) {
	if len(p.had) >= mostLoans || !(amount > 0) {
		return
	}
	a.seq++
	a.Stats.Requests++
	p.asks = append(p.asks, ask{a.seq, renews, to, a.now})
	a.out = append(a.out, Action{To: to, Message: Message{Request: RequestID{a.name, a.epoch, a.seq}, Quota: p.Name, Amount: amount, Renews: renews}})
}

// Handle takes one message in.
func (a *Manager) Handle(now time.Duration, from string, m Message, out []Action) []Action {
	a.now, a.out = max(a.now, now), out
	switch {
	case !(m.Amount >= 0) || m.Amount > 1e12 || m.Request.Replica == "" || a.purses[m.Quota] == nil:
		a.Stats.Invalid++
	case !m.Grant && m.Request.Replica != from || m.Grant && m.From != from:
		a.Stats.Invalid++ // nobody asks or grants for another
	case m.Grant:
		a.granted(&m)
	case m.Return:
		p := a.purses[m.Quota]
		p.given = slices.DeleteFunc(p.given, func(l loan) bool { return l.with == from && l.seq == m.Request.Seq && l.epoch == m.Request.Epoch })
	default:
		a.asked(&m)
	}
	out, a.out = a.out, nil
	return out
}

// asked answers an ask: with the same answer if it has come before.
func (a *Manager) asked(m *Message) {
	if m.Request.Replica == a.name {
		return
	}
	for _, s := range a.seen {
		if s.key == m.Request {
			a.Stats.Duplicates++
			a.out = append(a.out, Action{To: m.Request.Replica, Message: s.msg})
			return
		}
	}
	p := a.purses[m.Quota]
	spare, old := 0.0, -1
	switch {
	case a.among <= 0 || len(a.seen) >= mostSeen || len(p.given) >= mostLoans:
	case p.Kind == Amount:
		spare = max(p.left, 0) - a.wants(p)*head
	default:
		g, lent := a.guaranteed(p), a.lent(p)
		if m.Renews != 0 {
			if old = slices.IndexFunc(p.given, func(l loan) bool {
				return l.with == m.Request.Replica && l.seq == m.Renews && l.epoch == m.Request.Epoch
			}); old >= 0 {
				lent -= p.given[old].debit(a.now)
			}
		}
		spare = min(Lendable*g-lent, g-lent-a.wants(p)*head)
	}
	amount := max(min(spare, m.Amount), 0)
	if amount < leastLoan*p.Total/float64(max(a.among, 1)) {
		amount = 0
	}
	if amount > 0 { // the debit comes first: whatever becomes of the answer, it is paid for
		a.Stats.Grants++
		switch {
		case p.Kind == Amount:
			p.left -= amount
		case old >= 0:
			l := &p.given[old]
			l.owed = append(slices.DeleteFunc(l.owed, func(o step) bool { return a.now >= o.until }), step{l.amount, l.until})
			l.seq, l.amount, l.until = m.Request.Seq, amount, a.now+stretch(Lease)
		default:
			p.given = append(p.given, loan{with: m.Request.Replica, seq: m.Request.Seq, epoch: m.Request.Epoch, amount: amount, until: a.now + stretch(Lease)})
		}
	}
	answer := Message{Grant: true, Request: m.Request, From: a.name, Epoch: a.epoch, Quota: m.Quota, Amount: amount}
	if len(a.seen) < mostSeen {
		a.seen = append(a.seen, answered{m.Request, answer, a.now})
	}
	a.out = append(a.out, Action{To: m.Request.Replica, Message: answer})
}

// granted takes a grant in, if it answers an ask that is out.
func (a *Manager) granted(m *Message) {
	p := a.purses[m.Quota]
	if m.Request.Replica != a.name || m.Request.Epoch != a.epoch {
		a.Stats.Late++ // of an earlier life, which is paid for by the lender and forfeited here
		return
	}
	i := slices.IndexFunc(p.asks, func(k ask) bool { return k.seq == m.Request.Seq && k.to == m.From })
	if i < 0 {
		a.Stats.Late++
		return
	}
	k := p.asks[i]
	p.asks = slices.Delete(p.asks, i, i+1)
	if m.Amount == 0 {
		a.Stats.Denials++
		p.refused[m.From] = a.now + Lease/4
		if len(p.refused) > mostLoans {
			clear(p.refused)
		}
		return
	}
	if p.Kind == Amount {
		p.left = max(p.left, 0) + m.Amount
		return
	}
	// Counted from when it was asked for: the lender decided later.
	until := k.sent + time.Duration(float64(Lease)*(1-Drift))
	if a.now >= until {
		a.Stats.Late++
		return
	}
	p.had = slices.DeleteFunc(p.had, func(l loan) bool { return k.renews != 0 && l.with == m.From && l.seq == k.renews })
	p.had = append(p.had, loan{seq: m.Request.Seq, with: m.From, amount: m.Amount, until: until, renew: k.sent + time.Duration(renewAt*float64(Lease))})
}

// Due is when Tick is due next.
func (a *Manager) Due() time.Duration { return a.now + askEvery }

// Status is what one budget is like here.
type Status struct {
	Limit
	Guaranteed, Lent, Borrowed, Rate, Demand, Left float64
	Loans                                          []Loan
}

// Loan is one, as people read it.
type Loan struct {
	Peer      string
	Lent      bool
	Amount    float64
	ExpiresIn time.Duration // from now
}

// Status are all budgets, by name.
func (a *Manager) Status(now time.Duration) (all []Status) {
	a.now = max(a.now, now)
	for _, name := range a.order {
		p := a.purses[name]
		s := Status{Limit: p.Limit, Guaranteed: a.guaranteed(p), Lent: a.lent(p), Borrowed: a.borrowed(p), Rate: a.Rate(now, name), Demand: a.wants(p), Left: a.Left(name)}
		for _, l := range p.given {
			s.Loans = append(s.Loans, Loan{l.with, true, l.debit(a.now), l.until - a.now})
		}
		for _, l := range p.had {
			s.Loans = append(s.Loans, Loan{l.with, false, l.amount, l.until - a.now})
		}
		slices.SortFunc(s.Loans, func(x, y Loan) int { return cmp.Compare(x.Peer, y.Peer) })
		all = append(all, s)
	}
	return all
}
