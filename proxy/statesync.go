package proxy

import (
	"ryerill/balancer"
	"ryerill/fleet"
	"ryerill/fleet/counter"
	"ryerill/fleet/outlier"
	"ryerill/fleet/statesync"
)

// Observe implements [fleet.Subject].
func (p *Proxy) Observe() fleet.Observations {
	observed := fleet.Observations{
		Quotas:    map[string]float64{},
		Demand:    map[string]float64{},
		Counters:  map[counter.Key]counter.Counts{},
		Endpoints: map[string][]outlier.Endpoint{},
	}
	for _, c := range p.activePools() {
		c.observe(&observed)
	}
	return observed
}

// Apply implements [fleet.Subject].
func (p *Proxy) Apply(directives fleet.Directives) {
	for _, c := range p.activePools() {
		c.apply(&directives)
	}
}

// poolActivity returns the totals of each pool since its start, as far as recorded.
func (p *Proxy) poolActivity() (all []fleet.PoolActivity) {
	for _, c := range p.activePools() {
		if total, recorded := c.totalActivity(); recorded {
			all = append(all, total)
		}
	}
	return all
}

// totalActivity returns the pool's totals since its start, if activity is recorded.
func (c *core) totalActivity() (total fleet.PoolActivity, recorded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.activity == nil {
		return fleet.PoolActivity{}, false
	}
	total = c.activity.total
	total.Pool = c.name
	return total, true
}

// observe adds the activity recorded since the last observation and resets it.
func (c *core) observe(observed *fleet.Observations) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.activity == nil {
		return
	}
	c.observeDemandLocked(observed)
	c.observeCountersLocked(observed)
	c.observeAttemptsLocked(observed)
	for id, e := range c.endpoints.byID {
		if e.guard.MaySend() {
			observed.Endpoints[c.name] = append(observed.Endpoints[c.name], observedEndpoint(id, e))
		}
	}
}

func (c *core) observeDemandLocked(observed *fleet.Observations) {
	for i, tenant := range c.settings.Balancer.Tenants {
		if tenant.Quota > 0 {
			name := quotaName(c.name, tenant.Name)
			observed.Quotas[name] = tenant.Quota
			observed.Demand[name] += c.activity.demand[i]
		}
		c.activity.demand[i] = 0
	}
}

func (c *core) observeCountersLocked(observed *fleet.Observations) {
	for i, counts := range c.classCounters {
		key := counter.Key{Pool: c.name, Class: c.classes.Classes[i]}
		n := observed.Counters[key]
		n.Arrivals = c.activity.arrivals[i]
		n.Served = uint64(counts.served.Load())
		n.Refused = uint64(counts.shed.Load())
		n.Failed = uint64(counts.failed.Load())
		observed.Counters[key] = n
	}
	key := counter.Key{Pool: c.name}
	n := observed.Counters[key]
	_, inFlight := c.decisions.balancer.Concurrency()
	n.InFlight = int64(inFlight)
	observed.Counters[key] = n
}

func (c *core) observeAttemptsLocked(observed *fleet.Observations) {
	for _, result := range c.activity.results {
		e := c.endpoints.byID[result.endpoint]
		if e == nil {
			continue
		}
		outcome, evidence := statesync.EvidenceOf(result.outcome)
		if !evidence {
			continue
		}
		observed.Attempts = append(observed.Attempts, fleet.AttemptResult{
			Endpoint:        observedEndpoint(result.endpoint, e),
			Outcome:         outcome,
			RelativeLatency: c.decisions.balancer.RelativeLatency(result.endpoint),
		})
	}
	c.activity.results = c.activity.results[:0]
}

func observedEndpoint(id balancer.EndpointID, e *listedEndpoint) outlier.Endpoint {
	return outlier.Endpoint{ID: uint64(id), StartedAt: int64(e.current.StartedAt)}
}

// quotaName returns the name under which replicas share a tenant's quota in a pool.
func quotaName(pool, tenant string) string { return pool + "/" + tenant }

// apply applies quota fractions and ejections derived from the state shared by the replicas.
func (c *core) apply(directives *fleet.Directives) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, tenant := range c.settings.Balancer.Tenants {
		if quota, stated := directives.QuotaFractions[quotaName(c.name, tenant.Name)]; stated {
			c.decisions.balancer.SetQuota(i, quota.Current, quota.Fallback, quota.ValidFor)
		}
	}
	for _, id := range directives.Ejected[c.name] {
		e := c.endpoints.byID[balancer.EndpointID(id)]
		if e != nil && e.guard.MaySend() { // ignore endpoints not ready in this pool's own list
			c.decisions.balancer.Penalize(e.id)
		}
	}
}
