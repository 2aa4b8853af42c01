package balancer

import (
	"slices"
	"time"
)

// Concurrency tells the limit on calls in flight and how many are: for those who
// watch a Balancer. It changes nothing and decides nothing.
func (b *Balancer) Concurrency() (limit float64, inFlight int) { return b.maxIFR, b.ifr }

// SetLimits replaces what the deployment allows, from the next event on. What the
// Balancer has learnt stays. Figures that are missing get New's defaults.
func (b *Balancer) SetLimits(limits Limits) {
	b.cfg.Limits = New(Config{Limits: limits}, 0).cfg.Limits
}

// Avoids tells whether a server is not sent to now: it is not ready by the list,
// or calls to it have failed so often that others come first.
func (b *Balancer) Avoids(id EndpointID) bool {
	s := b.byID[id]
	if s == nil {
		return true
	}
	held, _ := b.standing(s)
	return !b.usable(s) || held >= mostHeld/2
}

// SetSiblings tells that other Balancers stand at this one's place, as two processes of
// one proxy do at an upgrade, and how many calls they have in flight: the limit
// is for all of them together, and so are quotas and budgets of cold servers.
func (b *Balancer) SetSiblings(others, inFlight int) {
	b.sharers, b.beside = 1+max(others, 0), max(inFlight, 0)
}

// noPart is the divisor of a copy that has no part of what all copies share.
const noPart = 1 << 30

// SetReplicas tells anew which of how many copies this one is, and among how many that
// may be there quotas and cold budgets are divided; 0 is that it has no part of
// them yet. What it has learnt stays.
func (b *Balancer) SetReplicas(self, of, among int) {
	if of = max(of, 1); among <= 0 {
		among = noPart
	}
	b.parts = among
	if self = min(max(self, 0), of-1); self != b.cfg.ReplicaIndex || of != b.cfg.ReplicaCount {
		b.cfg.ReplicaIndex, b.cfg.ReplicaCount = self, of
		b.settle()
	}
}

// SetQuota tells the part of a tenant's quota that this copy may use for a time, and the
// part that it may use from then on if nothing else is told: what was borrowed ends
// by itself.
func (b *Balancer) SetQuota(tenant int, part, after float64, lasts time.Duration) {
	if tenant >= 0 && tenant < len(b.quota) {
		c := &b.quota[tenant]
		c.part, c.after, c.until, c.shared = part, after, b.now+lasts, true
	}
}

// quotaRate is how much of a tenant's quota this copy may use a second.
func (b *Balancer) quotaRate(tenant int) float64 {
	c, whole := &b.quota[tenant], b.cfg.Tenants[tenant].Quota/float64(b.sharers)
	switch {
	case !c.shared:
		return whole / float64(b.parts)
	case b.now < c.until:
		return whole * c.part
	}
	return whole * c.after
}

// Penalize says that several copies found a server bad: it comes after its peers for a
// while, as if calls of this copy had failed. It never makes one that is not usable.
func (b *Balancer) Penalize(id EndpointID) {
	if s := b.byID[id]; s != nil && b.usable(s) {
		_, slow := b.standing(s)
		s.held, s.slow, s.touch = mostHeld, slow, b.now
		b.place(s)
	}
}

// RelativeLatency is a server's latency against its peers', by this copy's own calls.
func (b *Balancer) RelativeLatency(id EndpointID) float64 {
	if s := b.byID[id]; s != nil {
		_, slow := b.standing(s)
		return slow
	}
	return 1
}

// Snapshot is what a Balancer has found out of its tier that the next one at its
// place need not find out again. Slices are by class.
type Snapshot struct {
	Limit          float64   `json:"Limit"` // on calls in flight
	Rate           float64   `json:"Rate"`  // calls served a second
	TypicalLatency []float64 `json:"Usual"` // usual latency, seconds
	ErrorRate      []float64 `json:"Fails"` // part of the calls that failed of late
}

// Snapshot tells what has been found out.
func (b *Balancer) Snapshot() Snapshot {
	return Snapshot{b.maxIFR, b.served(0), slices.Clone(b.usual), slices.Clone(b.fails)}
}

// Restore takes over what another Balancer for the same classes has found out. What
// is impossible in it is passed over.
func (b *Balancer) Restore(l Snapshot) {
	span := b.cfg.Contract.WarmUpPeriod
	if l.Limit > 0 && b.ceiling > 0 {
		b.maxIFR = min(max(l.Limit, b.floor), b.ceiling)
	}
	if l.Rate > 0 && l.Rate < 1e9 {
		b.began, b.rate, b.rateAt = min(b.began, b.now-100*span), l.Rate*span.Seconds(), b.now
	}
	for i := range b.usual {
		if i < len(l.TypicalLatency) && l.TypicalLatency[i] > 0 && l.TypicalLatency[i] < 1e6 {
			b.usual[i] = l.TypicalLatency[i]
		}
		if i < len(l.ErrorRate) && l.ErrorRate[i] >= 0 && l.ErrorRate[i] < 1 {
			b.fails[i] = l.ErrorRate[i]
		}
	}
}
