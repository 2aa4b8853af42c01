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

// rebalanceInterval is how often what is lent among pools is divided anew. It is
// also the span for which work is granted.
const rebalanceInterval = 50 * time.Millisecond

// resources divides what the machine has among the pools. A pool that is alone has all of it.
type resources struct {
	mu sync.Mutex
	// The fields below are guarded by mu.
	total     config.Shares // constant
	ledgers   [len(resourceKinds)]*fairshare.Ledger
	pools     map[string]*poolResources
	claims    []config.Pool          // of the pools that routes lead to
	leaving   map[string]config.Pool // that finish what they have
	alone     bool                   // one pool has all
	processes int                    // of this proxy that share the machine, this one among them
}

// resourceKind is a resource that is held and given back.
type resourceKind struct {
	share  func(config.Shares) int
	budget func(*poolResources) *budget
}

// resourceKinds are the resources that ledgers divide, in the ledgers' order. Work is not held,
// but used up, and divided apart.
var resourceKinds = [...]resourceKind{
	{
		share:  func(s config.Shares) int { return s.Sockets },
		budget: func(r *poolResources) *budget { return &r.sockets },
	},
	{
		share:  func(s config.Shares) int { return s.Bodies },
		budget: func(r *poolResources) *budget { return &r.bodies },
	},
	{
		share:  func(s config.Shares) int { return s.Open },
		budget: func(r *poolResources) *budget { return &r.openRequests },
	},
}

func newResources(total config.Shares) *resources {
	r := &resources{
		total:     total,
		pools:     map[string]*poolResources{},
		leaving:   map[string]config.Pool{},
		processes: 1,
	}
	for k, kind := range resourceKinds {
		r.ledgers[k] = fairshare.NewLedger(kind.share(total))
	}
	return r
}

// pool returns the resources of a pool that has a claim.
func (r *resources) pool(name string) *poolResources {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pools[name]
}

// claim replaces the claims of the pools, and reports false if their guarantees exceed the
// machine's resources. Pools that had a claim and have none now keep what others leave
// until [resources.release]. Guarantees of new pools take effect with the next rebalancings.
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
		r.leaving[pool.Name] = pool
	}
	for _, pool := range pools { // all are there before anything is divided
		if r.pools[pool.Name] == nil {
			r.pools[pool.Name] = &poolResources{}
		}
		delete(r.leaving, pool.Name)
	}
	r.claims = pools
	r.setClaimsLocked()
	return true
}

// setProcesses states how many processes of this proxy share the machine. What this one
// has beyond its part it may keep until it is given back; idle connections are closed at once.
func (r *resources) setProcesses(processes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.processes = processes
	for k, kind := range resourceKinds {
		r.ledgers[k] = fairshare.NewLedger(kind.share(r.total) / processes)
	}
	r.setClaimsLocked()
}

// release removes a pool that has left and has nothing open any more.
func (r *resources) release(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.leaving, name)
	r.setClaimsLocked()
}

func (r *resources) setClaimsLocked() {
	r.alone = len(r.claims) == 1 && len(r.leaving) == 0
	for k, ledger := range r.ledgers {
		ledger.Set(r.claimsLocked(resourceKinds[k]))
	}
	r.rebalanceLocked()
}

// claimsLocked returns what this process's pools are owed of a resource, those that leave
// among them as far as anything is left.
func (r *resources) claimsLocked(kind resourceKind) map[string]fairshare.Claim {
	claims := config.Claims(r.claims, kind.share)
	total := kind.share(r.total) / r.processes
	for name, claim := range claims {
		claim.Guarantee /= r.processes
		if len(r.claims) == 1 { // one that is alone may be guaranteed more than there is
			claim.Guarantee = min(claim.Guarantee, total)
		}
		claims[name] = claim
	}
	rest := total - fairshare.Guaranteed(claims)
	for _, name := range slices.Sorted(maps.Keys(r.leaving)) {
		pool := r.leaving[name]
		guarantee := min(kind.share(pool.Guarantee)/r.processes, rest)
		rest -= guarantee
		claims[name] = fairshare.Claim{Guarantee: guarantee, Weight: pool.Weight}
	}
	return claims
}

// guaranteed reports whether each pool may use what it is guaranteed.
func (r *resources) guaranteed(pools []config.Pool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, pool := range pools {
		budgets := r.pools[pool.Name]
		if budgets == nil {
			return false
		}
		if r.alone {
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

// run divides anew until ctx ends.
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

// rebalance divides anew by what pools use and want now, and begins the next span of work.
func (r *resources) rebalance() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rebalanceLocked()
}

func (r *resources) rebalanceLocked() {
	if r.alone {
		r.allowAllLocked()
	} else {
		r.grantWorkLocked()
		r.stepLedgersLocked()
	}
	r.trimIdleLocked()
}

// allowAllLocked gives the pool that is alone all that this process has.
func (r *resources) allowAllLocked() {
	for _, budgets := range r.pools {
		budgets.sockets.allowed.Store(int64(r.total.Sockets / r.processes))
		budgets.bodies.allowed.Store(int64(r.total.Bodies / r.processes))
		budgets.openRequests.allowed.Store(unbounded)
		budgets.work.allowed.Store(unbounded)
	}
}

// stepLedgersLocked divides what is held, and removes pools that neither are owed nor use anything.
func (r *resources) stepLedgersLocked() {
	unclaimed := map[string]int{} // by pool: of how many resources
	for k, ledger := range r.ledgers {
		kind := resourceKinds[k]
		usage := make(map[string]fairshare.Usage, len(r.pools))
		for name, budgets := range r.pools {
			usage[name] = usageOf(kind.budget(budgets), kind.share(r.total))
		}
		allowed := ledger.Step(usage)
		for name, budgets := range r.pools {
			n, owed := allowed[name]
			kind.budget(budgets).allowed.Store(int64(n))
			if !owed {
				unclaimed[name]++
			}
		}
	}
	for name, n := range unclaimed {
		if n == len(resourceKinds) {
			delete(r.pools, name)
		}
	}
}

// usageOf returns what a pool uses and, up to a limit, was denied since the last call.
func usageOf(b *budget, limit int) fairshare.Usage {
	return fairshare.Usage{
		Used:   int(b.used.Load()),
		Wanted: int(min(b.denied.Swap(0), int64(limit))),
	}
}

// trimIdleLocked closes idle connections beyond what a pool may hold.
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

// grantWorkLocked begins the next span of work.
func (r *resources) grantWorkLocked() {
	if r.total.Work == 0 { // not bounded
		for _, budgets := range r.pools {
			budgets.work.allowed.Store(unbounded)
			budgets.work.used.Store(0)
		}
		return
	}
	claims := config.Claims(r.claims, func(s config.Shares) int { return workInSpan(s.Work) })
	for name, pool := range r.leaving {
		claims[name] = fairshare.Claim{Weight: pool.Weight}
	}
	total := workInSpan(r.total.Work)
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

// workInSpan is the work of one span at a rate a second.
func workInSpan(perSecond int) int {
	return int(float64(perSecond) * rebalanceInterval.Seconds())
}
