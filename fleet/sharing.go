package fleet

import (
	"context"
	"math"
	"time"

	"ryerill/fleet/counter"
	"ryerill/fleet/membership"
	"ryerill/fleet/outlier"
	"ryerill/fleet/quota"
	"ryerill/fleet/statesync"
)

// Share says what copies share.
type Share struct {
	Quotas, Counts, Verdicts bool
	Budget                   int // bytes a second; 0 is the default
}

// Seen is how a call of this copy ended.
type Seen struct {
	Server  outlier.Server
	Outcome outlier.Outcome
	Slow    float64
}

// Fed is what the proxy tells of itself between two looks.
type Fed struct {
	Budgets map[string]float64             // wholes, a second
	Wants   map[string]float64             // units wanted of them since the last look
	Counts  map[counter.Key]counter.Counts // since the start
	Seen    []Seen
	Servers map[string][]outlier.Server // by pool
}

// Told is what follows for the proxy.
type Told struct {
	Parts     map[string]Part
	Condemned map[string][]uint64 // by pool: those that this copy is not to try now
}

// Part is the part of a budget that this copy may spend for a time, and the part that
// it may spend after that.
type Part struct {
	Now, After float64
	Lasts      time.Duration
}

// Feed is the proxy, as the fleet's host asks it. Its methods must not block for long.
type Feed interface {
	Feed() Fed
	Tell(Told)
}

// partLasts bounds how long a part holds without another word.
const partLasts = time.Second

// Feed says who is asked and told. It must be called before Run.
func (f *Fleet) Feed(feed Feed) { f.feed = feed }

func (f *Fleet) startShare(known memory) (err error) {
	if f.cfg.Share == nil {
		return nil
	}
	c := f.cfg.Share
	// Only a copy that said that it leaves has nothing lent for certain: one that remembers nothing may start
	// for the first time, or have lost its disk.
	f.share, err = statesync.New(statesync.Config{Name: f.cfg.Name, Zone: f.cfg.Zone, Epoch: f.member.Self().Epoch, Seed: f.cfg.Seed ^ f.member.Self().Epoch,
		Fresh: !known.Left, Quotas: c.Quotas, Counts: c.Counts, Verdicts: c.Verdicts, Budget: c.Budget}, f.now())
	return err
}

// among tells the budgets among how many they are divided. The mutex is held.
func (f *Fleet) among() {
	if f.share == nil {
		return
	}
	among, sure := 0, true
	for _, name := range f.view.Pools() {
		p := f.view.Pool(name)
		among, sure = max(among, p.Among), sure && p.Sure
	}
	if !sure || f.tags.Phase == membership.Leaving { // who leaves lends nothing more
		among = 0
	}
	var others []string
	for _, s := range f.member.Members() {
		if !s.Self && s.Status == membership.Alive {
			others = append(others, s.Name)
		}
	}
	f.share.Allot.Among(f.now(), among, others)
}

// giveBack waits until what this copy has lent is back: once it says that it leaves,
// others divide without it.
func (f *Fleet) giveBack() {
	if f.share == nil {
		return
	}
	for end := time.Now().Add(quota.Lease * 11 / 10); time.Now().Before(end); time.Sleep(statesync.Every / 2) {
		f.mu.Lock()
		f.tags.Phase = membership.Leaving
		f.among()
		back := f.abandoned || f.share.Allot.Fits(f.now(), math.MaxInt)
		f.mu.Unlock()
		if back {
			return
		}
	}
}

// fits tells whether what is lent leaves room for the division that holds now.
func (f *Fleet) fits() bool {
	if f.share == nil {
		return true
	}
	among := 1
	for _, name := range f.view.Pools() {
		among = max(among, f.view.Pool(name).Among)
	}
	return f.share.Allot.Fits(f.now(), among)
}

// sharing looks at what is shared until ctx ends.
func (f *Fleet) sharing(ctx context.Context) {
	defer f.all.Done()
	tick := time.NewTicker(statesync.Every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if f.feed == nil {
			continue
		}
		fed := f.feed.Feed()
		f.feed.Tell(f.weigh(fed))
	}
}

// weigh takes in what the proxy tells, speaks to others, and finds what follows.
func (f *Fleet) weigh(fed Fed) (told Told) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, s := f.now(), f.share
	if f.ended || f.phases {
		return told
	}
	var budgets []quota.Budget
	for name, whole := range fed.Budgets {
		budgets = append(budgets, quota.Budget{Name: name, Kind: quota.Rate, Whole: whole})
	}
	s.Allot.Set(now, budgets)
	f.among()
	for name, units := range fed.Wants {
		s.Allot.Want(now, name, units)
	}
	for k, c := range fed.Counts {
		s.Tally.Count(now, k, c)
	}
	for _, one := range fed.Seen {
		s.Verdict.Saw(now, one.Server, one.Outcome, one.Slow)
	}
	var peers []statesync.Peer
	zones := map[string]bool{f.cfg.Zone: true}
	for _, m := range f.member.Members() {
		if !m.Self && m.Status != membership.Left && m.Tags != nil {
			zones[m.Tags.Zone] = true
			if m.Status != membership.Dead {
				peers = append(peers, statesync.Peer{Name: m.Name, Zone: m.Tags.Zone})
			}
		}
	}
	f.zones = len(zones)
	f.sendShared(s.Tick(now, peers))
	if f.cfg.Share.Quotas {
		told.Parts = map[string]Part{}
		for _, st := range s.Allot.Standings(now) {
			p := Part{Now: st.Rate / st.Whole, After: max(st.Guaranteed-st.Lent, 0) / st.Whole, Lasts: partLasts}
			for _, l := range st.Loans {
				if !l.Given && l.Ends > 0 {
					p.Lasts = min(p.Lasts, l.Ends)
				}
			}
			told.Parts[st.Name] = p
		}
	}
	if f.cfg.Share.Verdicts {
		told.Condemned = map[string][]uint64{}
		for pool, servers := range fed.Servers {
			at := f.view.Pool(pool)
			for _, j := range s.Verdict.Judge(now, servers, f.zones) {
				if !outlier.Probes(j.Server, time.Duration(time.Now().UnixNano()), at.Self, at.Of) {
					told.Condemned[pool] = append(told.Condemned[pool], j.Server)
				}
			}
		}
	}
	return told
}

// sendShared sends packets. The mutex is held.
func (f *Fleet) sendShared(out []statesync.Out) {
	for _, o := range out {
		if r, known := f.member.Find(o.To); known && r.Tags != nil {
			self := f.member.Self()
			f.send(o.To, r.Tags.Address, &membership.Message{Kind: membership.Shared, From: self.Head, Target: o.To, Digest: f.member.Digest(), Counted: f.view.Counted(), Share: o.Text})
		}
	}
}

// hearShared takes a packet in, if it is from the present process of a member that
// is known. The mutex is held.
func (f *Fleet) hearShared(m *membership.Message) {
	if f.share == nil || m.Target != f.cfg.Name || f.ended {
		return
	}
	if r, known := f.member.Find(m.From.Name); known && r.Epoch == m.From.Epoch && m.From.Name != f.cfg.Name {
		f.sendShared(f.share.Hear(f.now(), m.From.Name, m.Share))
	}
}

// Shared tells what is shared, for people; nil where nothing is.
func (f *Fleet) Shared() *SharedStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.share == nil {
		return nil
	}
	now := f.now()
	s := &SharedStatus{Quotas: f.cfg.Share.Quotas, Counts: f.cfg.Share.Counts, Verdicts: f.cfg.Share.Verdicts, Packets: f.share.Figures, Lending: f.share.Allot.Figures}
	for _, st := range f.share.Allot.Standings(now) {
		b := BudgetStatus{Name: st.Name, Whole: st.Whole, Guaranteed: st.Guaranteed, Lent: st.Lent, Borrowed: st.Borrowed, Rate: st.Rate, Wanted: st.Wanted}
		for _, l := range st.Loans {
			b.Loans = append(b.Loans, LoanStatus{With: l.With, Given: l.Given, Amount: l.Amount, EndsMS: l.Ends.Milliseconds()})
		}
		s.Budgets = append(s.Budgets, b)
	}
	value := func(pick func(counter.Counts) float64) CountStatus {
		v := f.share.Tally.Sum(now, nil, pick)
		return CountStatus{v.N, v.Least, v.Most, v.Age.Milliseconds(), v.Parts, v.Stale}
	}
	s.Sums = map[string]CountStatus{"arrivals": value(func(c counter.Counts) float64 { return float64(c.Arrivals) }), "served": value(func(c counter.Counts) float64 { return float64(c.Served) }),
		"refused": value(func(c counter.Counts) float64 { return float64(c.Refused) }), "failed": value(func(c counter.Counts) float64 { return float64(c.Failed) }),
		"in_flight": value(func(c counter.Counts) float64 { return float64(c.InFlight) })}
	for _, l := range f.share.Tally.Lines(now) {
		s.Speakers = append(s.Speakers, SpeakerStatus{Name: l.Name, Zone: l.Zone, Members: max(l.Members, 1), AgeMS: l.Age.Milliseconds()})
	}
	s.Evidence = f.share.Verdict.All()
	return s
}

// SharedStatus is what the door tells of what copies share.
type SharedStatus struct {
	Quotas   bool                   `json:"quotas"`
	Counts   bool                   `json:"counts"`
	Verdicts bool                   `json:"verdicts"`
	Budgets  []BudgetStatus         `json:"budgets"`
	Sums     map[string]CountStatus `json:"sums"`
	Speakers []SpeakerStatus        `json:"speakers"`
	Evidence []outlier.Evidence     `json:"evidence"`
	Packets  statesync.Figures      `json:"packets"`
	Lending  quota.Figures          `json:"lending"`
}

// BudgetStatus is one budget here, in units a second.
type BudgetStatus struct {
	Name       string       `json:"name"`
	Whole      float64      `json:"whole"`
	Guaranteed float64      `json:"guaranteed"`
	Lent       float64      `json:"lent"`
	Borrowed   float64      `json:"borrowed"`
	Rate       float64      `json:"rate"`
	Wanted     float64      `json:"wanted"`
	Loans      []LoanStatus `json:"loans"`
}

// LoanStatus is one loan.
type LoanStatus struct {
	With   string  `json:"with"`
	Given  bool    `json:"given"`
	Amount float64 `json:"amount"`
	EndsMS int64   `json:"ends_ms"`
}

// CountStatus is a figure over all copies with what it is worth.
type CountStatus struct {
	N     float64 `json:"n"`
	Least float64 `json:"least"`
	Most  float64 `json:"most"`
	AgeMS int64   `json:"age_ms"`
	Parts int     `json:"copies"`
	Stale bool    `json:"stale"`
}

// SpeakerStatus is whose counts are known.
type SpeakerStatus struct {
	Name    string `json:"name"`
	Zone    string `json:"zone,omitempty"`
	Members int    `json:"members"`
	AgeMS   int64  `json:"age_ms"`
}
