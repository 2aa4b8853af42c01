package proxy

import (
	"time"

	"ryerill/balancer"
	"ryerill/fleet"
	counts "ryerill/fleet/counter"
	"ryerill/fleet/outlier"
)

// mostBooked bounds the calls' ends that wait for the fleet's next look; of more, the
// rest says nothing that these don't.
const mostBooked = 4096

// booked is what a pool notes for the fleet. It is nil where nothing is shared.
type booked struct {
	wants []float64 // by tenant, since the last look
	came  []uint64  // by class, since the start
	ends  []end
	done  fleet.PoolActivity // for rollouts, since the start
}

type end struct {
	server  balancer.EndpointID
	outcome balancer.Outcome
}

// arrived books an arrival for the fleet. The mutex is held.
func (b *booked) arrived(class, tenant int) {
	if b == nil {
		return
	}
	if tenant >= 0 && tenant < len(b.wants) {
		b.wants[tenant]++
	}
	if class >= 0 && class < len(b.came) {
		b.came[class]++
	}
}

// ended books a call's end for the fleet. The mutex is held.
func (b *booked) ended(server balancer.EndpointID, o balancer.Outcome) {
	if b == nil {
		return
	}
	if b.done.Attempts++; len(b.ends) < mostBooked {
		b.ends = append(b.ends, end{server, o})
	}
}

// answered books an invocation's end for the fleet. The mutex is held.
func (b *booked) answered(k *balancer.Class, served bool, took time.Duration) {
	b.done.OfferedWeight += k.PriorityWeight
	b.done.Requests++
	if !served {
		return
	}
	b.done.Responses++
	b.done.ResponseSeconds += took.Seconds()
	if took <= k.LatencyObjective {
		b.done.ServedWeight += k.PriorityWeight
	} else {
		b.done.ServedWeight += k.PriorityWeight * k.LateWeight
	}
}

// done is what each pool did since its start.
func (p *Proxy) done() (all []fleet.PoolActivity) {
	for _, c := range p.cores() {
		c.mu.Lock()
		if c.booked != nil {
			d := c.booked.done
			d.Pool = c.cfg.Name
			all = append(all, d)
		}
		c.mu.Unlock()
	}
	return all
}

// shares has pools note for the fleet.
func (p *Proxy) shares() bool { return p.cfg.Fleet != nil }

// feed is what a pool tells the fleet.
func (c *core) feed(fed *fleet.Observations) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.booked == nil {
		return
	}
	pool := c.cfg.Name
	for i, t := range c.settings.Balancer.Tenants {
		if name := pool + "/" + t.Name; t.Quota > 0 {
			fed.Quotas[name] = t.Quota
			fed.Demand[name] += c.booked.wants[i]
		}
		c.booked.wants[i] = 0
	}
	for i, t := range c.tallies {
		k := counts.Key{Pool: pool, Class: c.names.Classes[i]}
		n := fed.Counters[k]
		n.Arrivals, n.Served, n.Refused, n.Failed = c.booked.came[i], uint64(t.success.Load()), uint64(t.busy.Load()), uint64(t.failure.Load())
		fed.Counters[k] = n
	}
	open := fed.Counters[counts.Key{Pool: pool}]
	_, inFlight := c.balancer.Concurrency()
	open.InFlight = int64(inFlight)
	fed.Counters[counts.Key{Pool: pool}] = open
	for _, e := range c.booked.ends {
		t := c.providers[e.server]
		if t == nil {
			continue
		}
		one := fleet.AttemptResult{Endpoint: outlier.Endpoint{ID: uint64(e.server), StartedAt: int64(t.told.StartedAt)}, RelativeLatency: c.balancer.RelativeLatency(e.server)}
		switch e.outcome {
		case balancer.OK:
		case balancer.Timeout, balancer.ConnectFailed, balancer.Reset:
			one.Outcome = outlier.TimedOut
		case balancer.Error, balancer.Rejected:
			one.Outcome = outlier.Failed
		default:
			continue // called off, or never sent: it says nothing
		}
		fed.Attempts = append(fed.Attempts, one)
	}
	c.booked.ends = c.booked.ends[:0]
	for id, t := range c.providers {
		if t.ready.Load() {
			fed.Endpoints[pool] = append(fed.Endpoints[pool], outlier.Endpoint{ID: uint64(id), StartedAt: int64(t.told.StartedAt)})
		}
	}
}

// tell has a pool go by what follows from what copies share.
func (c *core) tell(told *fleet.Directives) {
	c.mu.Lock()
	defer c.mu.Unlock()
	pool := c.cfg.Name
	for i, t := range c.settings.Balancer.Tenants {
		if part, there := told.QuotaFractions[pool+"/"+t.Name]; there {
			c.balancer.SetQuota(i, part.Current, part.Fallback, part.ValidFor)
		}
	}
	for _, id := range told.Ejected[pool] {
		if t := c.providers[balancer.EndpointID(id)]; t != nil && t.ready.Load() { // never one that the own list does not name
			c.balancer.Penalize(t.id)
		}
	}
}

// Observe tells the fleet what this proxy saw since the last look.
func (p *Proxy) Observe() fleet.Observations {
	fed := fleet.Observations{Quotas: map[string]float64{}, Demand: map[string]float64{}, Counters: map[counts.Key]counts.Counts{}, Endpoints: map[string][]outlier.Endpoint{}}
	for _, c := range p.cores() {
		c.feed(&fed)
	}
	return fed
}

// Apply has the pools go by what copies share.
func (p *Proxy) Apply(told fleet.Directives) {
	for _, c := range p.cores() {
		c.tell(&told)
	}
}
