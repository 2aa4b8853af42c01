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

// SharingConfig says what copies share.
type SharingConfig struct {
	Quotas, Counters, Evidence bool
	BytesPerSecond             int // bytes a second; 0 is the default
}

// AttemptResult is how a call of this copy ended.
type AttemptResult struct {
	Endpoint        outlier.Endpoint
	Outcome         outlier.Outcome
	RelativeLatency float64
}

// Observations is what the proxy tells of itself between two looks.
type Observations struct {
	Quotas    map[string]float64             // wholes, a second
	Demand    map[string]float64             // units wanted of them since the last look
	Counters  map[counter.Key]counter.Counts // since the start
	Attempts  []AttemptResult
	Endpoints map[string][]outlier.Endpoint // by pool
}

// Directives is what follows for the proxy.
type Directives struct {
	QuotaFractions map[string]QuotaFraction
	Ejected        map[string][]uint64 // by pool: those that this copy is not to try now
}

// QuotaFraction is the part of a budget that this copy may spend for a time, and the part that
// it may spend after that.
type QuotaFraction struct {
	Current, Fallback float64
	ValidFor          time.Duration
}

// Subject is the proxy, as the fleet's host asks it. Its methods must not block for long.
type Subject interface {
	Observe() Observations
	Apply(Directives)
}

// partLasts bounds how long a part holds without another word.
const partLasts = time.Second

// SetSubject says who is asked and told. It must be called before Run.
func (f *Fleet) SetSubject(feed Subject) { f.feed = feed }

func (f *Fleet) startShare(known memory) (err error) {
	if f.cfg.Sharing == nil {
		return nil
	}
	c := f.cfg.Sharing
	// Only a copy that said that it leaves has nothing lent for certain: one that remembers nothing may start
	// for the first time, or have lost its disk.
	f.share, err = statesync.New(statesync.Config{Name: f.cfg.Name, Zone: f.cfg.Zone, Epoch: f.member.Self().Epoch, Seed: f.cfg.Seed ^ f.member.Self().Epoch,
		LostState: !known.Left, Quotas: c.Quotas, Counters: c.Counters, Evidence: c.Evidence, BytesPerSecond: c.BytesPerSecond}, f.now())
	return err
}

// among tells the budgets among how many they are divided. The mutex is held.
func (f *Fleet) among() {
	if f.share == nil {
		return
	}
	among, sure := 0, true
	for _, name := range f.view.Pools() {
		p := f.view.Position(name)
		among, sure = max(among, p.QuotaReplicas), sure && p.Confirmed
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
	f.share.Quotas.SetReplicaCount(f.now(), among, others)
}

// giveBack waits until what this copy has lent is back: once it says that it leaves,
// others divide without it.
func (f *Fleet) giveBack() {
	if f.share == nil {
		return
	}
	for end := time.Now().Add(quota.Lease * 11 / 10); time.Now().Before(end); time.Sleep(statesync.Interval / 2) {
		f.mu.Lock()
		f.tags.Phase = membership.Leaving
		f.among()
		back := f.abandoned || f.share.Quotas.FitsWithin(f.now(), math.MaxInt)
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
		among = max(among, f.view.Position(name).QuotaReplicas)
	}
	return f.share.Quotas.FitsWithin(f.now(), among)
}

// sharing looks at what is shared until ctx ends.
func (f *Fleet) sharing(ctx context.Context) {
	defer f.all.Done()
	tick := time.NewTicker(statesync.Interval)
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
		fed := f.feed.Observe()
		f.feed.Apply(f.weigh(fed))
	}
}

// weigh takes in what the proxy tells, speaks to others, and finds what follows.
func (f *Fleet) weigh(fed Observations) (told Directives) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, s := f.now(), f.share
	if f.ended || f.phases {
		return told
	}
	var budgets []quota.Limit
	for name, whole := range fed.Quotas {
		budgets = append(budgets, quota.Limit{Name: name, Kind: quota.Rate, Total: whole})
	}
	s.Quotas.SetLimits(now, budgets)
	f.among()
	for name, units := range fed.Demand {
		s.Quotas.AddDemand(now, name, units)
	}
	for k, c := range fed.Counters {
		s.Counters.Record(now, k, c)
	}
	for _, one := range fed.Attempts {
		s.Outliers.RecordOutcome(now, one.Endpoint, one.Outcome, one.RelativeLatency)
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
	if f.cfg.Sharing.Quotas {
		told.QuotaFractions = map[string]QuotaFraction{}
		for _, st := range s.Quotas.Status(now) {
			p := QuotaFraction{Current: st.Rate / st.Total, Fallback: max(st.Guaranteed-st.Lent, 0) / st.Total, ValidFor: partLasts}
			for _, l := range st.Loans {
				if !l.Lent && l.ExpiresIn > 0 {
					p.ValidFor = min(p.ValidFor, l.ExpiresIn)
				}
			}
			told.QuotaFractions[st.Name] = p
		}
	}
	if f.cfg.Sharing.Evidence {
		told.Ejected = map[string][]uint64{}
		for pool, servers := range fed.Endpoints {
			at := f.view.Position(pool)
			for _, j := range s.Outliers.Evaluate(now, servers, f.zones) {
				if !outlier.ShouldProbe(j.Endpoint, time.Duration(time.Now().UnixNano()), at.Index, at.Of) {
					told.Ejected[pool] = append(told.Ejected[pool], j.Endpoint)
				}
			}
		}
	}
	return told
}

// sendShared sends packets. The mutex is held.
func (f *Fleet) sendShared(out []statesync.Outgoing) {
	for _, o := range out {
		if r, known := f.member.Find(o.To); known && r.Tags != nil {
			self := f.member.Self()
			f.send(o.To, r.Tags.Address, &membership.Message{Kind: membership.StateSync, From: self.State, Target: o.To, Digest: f.member.Digest(), ReplicaSetDigest: f.view.ReplicaSetDigest(), Payload: o.Payload})
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
		f.sendShared(f.share.Receive(f.now(), m.From.Name, m.Payload))
	}
}

// SharedStatus tells what is shared, for people; nil where nothing is.
func (f *Fleet) SharedStatus() *SharedStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.share == nil {
		return nil
	}
	now := f.now()
	s := &SharedStatus{SharesQuotas: f.cfg.Sharing.Quotas, SharesCounters: f.cfg.Sharing.Counters, SharesEvidence: f.cfg.Sharing.Evidence, Packets: f.share.Stats, Lending: f.share.Quotas.Stats}
	for _, st := range f.share.Quotas.Status(now) {
		b := QuotaStatus{Name: st.Name, Total: st.Total, Guaranteed: st.Guaranteed, Lent: st.Lent, Borrowed: st.Borrowed, Rate: st.Rate, Demand: st.Demand}
		for _, l := range st.Loans {
			b.Loans = append(b.Loans, LoanStatus{Peer: l.Peer, Lent: l.Lent, Amount: l.Amount, ExpiresInMS: l.ExpiresIn.Milliseconds()})
		}
		s.Quotas = append(s.Quotas, b)
	}
	value := func(pick func(counter.Counts) float64) CounterStatus {
		v := f.share.Counters.Sum(now, nil, pick)
		return CounterStatus{v.Estimate, v.Lower, v.Upper, v.Age.Milliseconds(), v.Replicas, v.Stale}
	}
	s.Sums = map[string]CounterStatus{"arrivals": value(func(c counter.Counts) float64 { return float64(c.Arrivals) }), "served": value(func(c counter.Counts) float64 { return float64(c.Served) }),
		"refused": value(func(c counter.Counts) float64 { return float64(c.Refused) }), "failed": value(func(c counter.Counts) float64 { return float64(c.Failed) }),
		"in_flight": value(func(c counter.Counts) float64 { return float64(c.InFlight) })}
	for _, l := range f.share.Counters.Sources(now) {
		s.Senders = append(s.Senders, SenderStatus{Name: l.Name, Zone: l.Zone, Members: max(l.Members, 1), AgeMS: l.Age.Milliseconds()})
	}
	s.Evidence = f.share.Outliers.AllEvidence()
	return s
}

// SharedStatus is what the door tells of what copies share.
type SharedStatus struct {
	SharesQuotas   bool                     `json:"quotas"`
	SharesCounters bool                     `json:"counts"`
	SharesEvidence bool                     `json:"verdicts"`
	Quotas         []QuotaStatus            `json:"budgets"`
	Sums           map[string]CounterStatus `json:"sums"`
	Senders        []SenderStatus           `json:"speakers"`
	Evidence       []outlier.Evidence       `json:"evidence"`
	Packets        statesync.Stats          `json:"packets"`
	Lending        quota.Stats              `json:"lending"`
}

// QuotaStatus is one budget here, in units a second.
type QuotaStatus struct {
	Name       string       `json:"name"`
	Total      float64      `json:"whole"`
	Guaranteed float64      `json:"guaranteed"`
	Lent       float64      `json:"lent"`
	Borrowed   float64      `json:"borrowed"`
	Rate       float64      `json:"rate"`
	Demand     float64      `json:"wanted"`
	Loans      []LoanStatus `json:"loans"`
}

// LoanStatus is one loan.
type LoanStatus struct {
	Peer        string  `json:"with"`
	Lent        bool    `json:"given"`
	Amount      float64 `json:"amount"`
	ExpiresInMS int64   `json:"ends_ms"`
}

// CounterStatus is a figure over all copies with what it is worth.
type CounterStatus struct {
	Value    float64 `json:"n"`
	Lower    float64 `json:"least"`
	Upper    float64 `json:"most"`
	AgeMS    int64   `json:"age_ms"`
	Replicas int     `json:"copies"`
	Stale    bool    `json:"stale"`
}

// SenderStatus is whose counts are known.
type SenderStatus struct {
	Name    string `json:"name"`
	Zone    string `json:"zone,omitempty"`
	Members int    `json:"members"`
	AgeMS   int64  `json:"age_ms"`
}
