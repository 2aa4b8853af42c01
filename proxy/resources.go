package proxy

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"ryerill/config"
	"ryerill/fairshare"
)

// rebalanceInterval is the interval at which resources are redistributed among pools. Work is granted for one interval
// at a time.
const rebalanceInterval = 50 * time.Millisecond

// resources divides the machine's resources among the pools. A single pool has all of them.
type resources struct {
	mu sync.Mutex
	// The fields below are guarded by mu.
	total      config.Resources // constant
	ledgers    [len(resourceKinds)]*fairshare.Ledger
	pools      map[string]*poolResources
	claims     []config.Pool          // active pools
	draining   map[string]config.Pool // draining pools, by name
	singlePool bool                   // there is one pool, which has all resources
	processes  int                    // processes of this proxy on the machine, including this one
}

// resourceKind is a resource that requests hold and give back.
type resourceKind struct {
	share  func(config.Resources) int
	budget func(*poolResources) *budget
}

// resourceKinds are the resources divided by ledgers, in the order of the ledgers. Work is consumed instead of held and
// is divided separately.
var resourceKinds = [...]resourceKind{
	{
		share:  func(s config.Resources) int { return s.Sockets },
		budget: func(r *poolResources) *budget { return &r.sockets },
	},
	{
		share:  func(s config.Resources) int { return s.Bodies },
		budget: func(r *poolResources) *budget { return &r.bodies },
	},
	{
		share:  func(s config.Resources) int { return s.Open },
		budget: func(r *poolResources) *budget { return &r.openRequests },
	},
}

func newResources(total config.Resources) *resources {
	r := &resources{
		total:     total,
		pools:     map[string]*poolResources{},
		draining:  map[string]config.Pool{},
		processes: 1,
	}
	for k, kind := range resourceKinds {
		r.ledgers[k] = fairshare.NewLedger(kind.share(total))
	}
	return r
}

// pool returns the resources of a pool, which must have a claim.
func (r *resources) pool(name string) *poolResources {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pools[name]
}

// claim replaces the claims of the pools. It reports false if their guarantees exceed the machine's resources. Pools
// that lose their claim become draining and share what the others leave until [resources.release]. Guarantees of new
// pools take effect with the next rebalancings.
func (r *resources) claim(pools []config.Pool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(pools) > 1 {
		for _, kind := range resourceKinds {
			if fairshare.Guaranteed(config.Claims(pools, kind.share)) > kind.share(r.total) {
				return false
			}
		}
	}
	for _, pool := range r.claims {
		r.draining[pool.Name] = pool
	}
	for _, pool := range pools { // create all before dividing
		if r.pools[pool.Name] == nil {
			r.pools[pool.Name] = &poolResources{}
		}
		delete(r.draining, pool.Name)
	}
	r.claims = pools
	r.setClaimsLocked()
	return true
}

// setProcesses sets the number of processes of this proxy on the machine. Resources in use beyond this process's share
// are kept until they are given back, except for idle connections, which are closed immediately.
func (r *resources) setProcesses(processes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.processes = processes
	for k, kind := range resourceKinds {
		r.ledgers[k] = fairshare.NewLedger(kind.share(r.total) / processes)
	}
	r.setClaimsLocked()
}

// release removes the claim of a drained pool.
func (r *resources) release(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.draining, name)
	r.setClaimsLocked()
}

func (r *resources) setClaimsLocked() {
	r.singlePool = len(r.claims) == 1 && len(r.draining) == 0
	for k, ledger := range r.ledgers {
		ledger.Set(r.claimsLocked(resourceKinds[k]))
	}
	r.rebalanceLocked()
}

// claimsLocked returns the claims of this process's pools to a resource. Draining pools are guaranteed at most what the
// active pools leave.
func (r *resources) claimsLocked(kind resourceKind) map[string]fairshare.Claim {
	claims := config.Claims(r.claims, kind.share)
	total := kind.share(r.total) / r.processes
	for name, claim := range claims {
		claim.Guarantee /= r.processes
		if len(r.claims) == 1 { // a single pool's guarantee may exceed the total
			claim.Guarantee = min(claim.Guarantee, total)
		}
		claims[name] = claim
	}
	rest := total - fairshare.Guaranteed(claims)
	for _, name := range slices.Sorted(maps.Keys(r.draining)) {
		pool := r.draining[name]
		guarantee := min(kind.share(pool.Guarantee)/r.processes, rest)
		rest -= guarantee
		claims[name] = fairshare.Claim{Guarantee: guarantee, Weight: pool.Weight}
	}
	return claims
}

// guaranteesMet reports whether the allowance of each pool covers its guarantee.
func (r *resources) guaranteesMet(pools []config.Pool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, pool := range pools {
		budgets := r.pools[pool.Name]
		if budgets == nil {
			return false
		}
		if r.singlePool {
			continue
		}
		for _, kind := range resourceKinds {
			if kind.budget(budgets).allowed.Load() < int64(kind.share(pool.Guarantee)/r.processes) {
				return false
			}
		}
	}
	return true
}

// run rebalances every rebalanceInterval until ctx ends.
func (r *resources) run(ctx context.Context) {
	ticker := time.NewTicker(rebalanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.rebalance()
		}
	}
}

// rebalance redistributes the resources by current usage and demand, and starts the next work interval.
func (r *resources) rebalance() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rebalanceLocked()
}

func (r *resources) rebalanceLocked() {
	if r.singlePool {
		r.allowAllLocked()
	} else {
		r.grantWorkLocked()
		r.stepLedgersLocked()
	}
	r.trimIdleLocked()
}

// allowAllLocked gives a single pool all resources of this process.
func (r *resources) allowAllLocked() {
	for _, budgets := range r.pools {
		budgets.sockets.allowed.Store(int64(r.total.Sockets / r.processes))
		budgets.bodies.allowed.Store(int64(r.total.Bodies / r.processes))
		budgets.openRequests.allowed.Store(unbounded)
		budgets.work.allowed.Store(unbounded)
	}
}

// stepLedgersLocked redistributes the resources divided by ledgers, and removes pools without claims and usage.
func (r *resources) stepLedgersLocked() {
	absent := map[string]int{} // by pool: number of ledgers without an entry for it
	for k, ledger := range r.ledgers {
		kind := resourceKinds[k]
		usage := make(map[string]fairshare.Usage, len(r.pools))
		for name, budgets := range r.pools {
			usage[name] = usageOf(kind.budget(budgets), kind.share(r.total))
		}
		allowed := ledger.Step(usage)
		for name, budgets := range r.pools {
			n, inLedger := allowed[name]
			kind.budget(budgets).allowed.Store(int64(n))
			if !inLedger {
				absent[name]++
			}
		}
	}
	for name, n := range absent {
		if n == len(resourceKinds) {
			delete(r.pools, name)
		}
	}
}

// usageOf returns a pool's usage and the amount denied since the last call, which is capped at limit.
func usageOf(b *budget, limit int) fairshare.Usage {
	return fairshare.Usage{
		Used:   int(b.used.Load()),
		Wanted: int(min(b.denied.Swap(0), int64(limit))),
	}
}

// trimIdleLocked closes idle connections of pools that exceed their socket allowance.
func (r *resources) trimIdleLocked() {
	for _, budgets := range r.pools {
		excess := budgets.sockets.used.Load() - budgets.sockets.allowed.Load()
		if excess <= 0 {
			continue
		}
		if trim := budgets.trimIdle.Load(); trim != nil {
			go (*trim)(int(excess))
		}
	}
}

// grantWorkLocked starts the next work interval.
func (r *resources) grantWorkLocked() {
	if r.total.Work == 0 { // unbounded
		for _, budgets := range r.pools {
			budgets.work.allowed.Store(unbounded)
			budgets.work.used.Store(0)
		}
		return
	}
	claims := config.Claims(r.claims, func(s config.Resources) int { return workPerInterval(s.Work) })
	for name, pool := range r.draining {
		claims[name] = fairshare.Claim{Weight: pool.Weight}
	}
	total := workPerInterval(r.total.Work)
	usage := make(map[string]fairshare.Usage, len(r.pools))
	for name, budgets := range r.pools {
		usage[name] = fairshare.Usage{
			Used:   int(budgets.work.used.Swap(0)),
			Wanted: int(min(budgets.work.denied.Swap(0), int64(total))),
		}
	}
	for name, n := range fairshare.Rates(total, claims, usage) {
		if budgets := r.pools[name]; budgets != nil {
			budgets.work.allowed.Store(int64(n))
		}
	}
}

// workPerInterval returns the work of one rebalancing interval at a rate per second.
func workPerInterval(perSecond int) int {
	return int(float64(perSecond) * rebalanceInterval.Seconds())
}
