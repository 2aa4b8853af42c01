package proxy

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ryerill/config"
	"ryerill/fairshare"
)

// rebalance is how often what is lent among pools is looked at.
const rebalance = 50 * time.Millisecond

// gauge is what one pool uses of one thing, and may use until the next look.
// It is all that a request's way touches: no lock is shared among pools.
type gauge struct {
	used, allowed, denied atomic.Int64
}

// Take takes n, if the allowance has room for them.
func (g *gauge) Take(n int) bool {
	if g.used.Add(int64(n)) > g.allowed.Load() {
		g.used.Add(-int64(n))
		g.denied.Add(int64(n))
		return false
	}
	return true
}

// Give gives n back.
func (g *gauge) Give(n int) { g.used.Add(-int64(n)) }

// rooms are the gauges of one pool. They outlive a reload that replaces it.
type rooms struct {
	sockets, bodies, open gauge
	work                  gauge                       // of the present span: nothing is given back, it begins anew
	shed                  atomic.Pointer[func(n int)] // closes idle connections to providers
}

// unbounded is the allowance of a pool that shares with nobody.
const unbounded = 1 << 40

// machine lends what pools share. A pool that is alone has all of it.
type machine struct {
	mu      sync.Mutex
	total   config.Shares
	ledgers [3]*fairshare.Ledger
	pools   map[string]*rooms
	claims  []config.Pool          // of the pools that routes lead to
	leaving map[string]config.Pool // that finish what they have
	alone   bool
	parts   int // processes of this proxy that share the machine, this one among them
}

// kinds are what is shared, in the order of the ledgers.
var kinds = [3]struct {
	share func(config.Shares) int
	gauge func(*rooms) *gauge
}{
	{func(s config.Shares) int { return s.Sockets }, func(r *rooms) *gauge { return &r.sockets }},
	{func(s config.Shares) int { return s.Bodies }, func(r *rooms) *gauge { return &r.bodies }},
	{func(s config.Shares) int { return s.Open }, func(r *rooms) *gauge { return &r.open }},
}

func newMachine(total config.Shares) *machine {
	m := &machine{total: total, pools: map[string]*rooms{}, leaving: map[string]config.Pool{}, parts: 1}
	for k := range kinds {
		m.ledgers[k] = fairshare.NewLedger(kinds[k].share(total))
	}
	return m
}

// rooms returns those of a pool that has a claim.
func (m *machine) rooms(name string) *rooms {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pools[name]
}

// claim states what the pools are owed from now on, and reports false if that
// can't be. Pools that had a claim and have none now go on with what is left
// until they are said to have left. Guarantees of new pools come with the next steps.
func (m *machine) claim(pools []config.Pool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(pools) > 1 {
		for k := range kinds {
			if fairshare.Guaranteed(config.Claims(pools, kinds[k].share)) > kinds[k].share(m.total) {
				return false
			}
		}
	}
	for _, p := range m.claims {
		m.leaving[p.Name] = p
	}
	for _, p := range pools { // all are there before anything is divided
		if m.pools[p.Name] == nil {
			m.pools[p.Name] = &rooms{}
		}
		delete(m.leaving, p.Name)
	}
	m.claims = pools
	m.setLocked()
	return true
}

// divide states how many processes of this proxy share the machine. What each
// has more than its part comes back as it is given back, idle connections at once.
func (m *machine) divide(parts int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.parts = parts
	for k := range kinds {
		m.ledgers[k] = fairshare.NewLedger(kinds[k].share(m.total) / parts)
	}
	m.setLocked()
}

// left says that a pool has nothing open any more.
func (m *machine) left(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.leaving, name)
	m.setLocked()
}

func (m *machine) setLocked() {
	m.alone = len(m.claims) == 1 && len(m.leaving) == 0
	for k, ledger := range m.ledgers {
		claims, total := config.Claims(m.claims, kinds[k].share), kinds[k].share(m.total)/m.parts
		for name, c := range claims {
			c.Guarantee /= m.parts
			claims[name] = c
		}
		if len(m.claims) == 1 { // one that is alone may be guaranteed more than there is
			for name, c := range claims {
				c.Guarantee = min(c.Guarantee, total)
				claims[name] = c
			}
		}
		rest := total - fairshare.Guaranteed(claims)
		for _, name := range slices.Sorted(maps.Keys(m.leaving)) {
			p := m.leaving[name]
			own := min(kinds[k].share(p.Guarantee)/m.parts, rest)
			rest -= own
			claims[name] = fairshare.Claim{Guarantee: own, Weight: p.Weight}
		}
		ledger.Set(claims)
	}
	m.stepLocked()
}

// settled tells whether each pool may use what it is guaranteed.
func (m *machine) settled(pools []config.Pool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range pools {
		r := m.pools[p.Name]
		for k := range kinds {
			if r == nil || !m.alone && kinds[k].gauge(r).allowed.Load() < int64(kinds[k].share(p.Guarantee)/m.parts) {
				return false
			}
		}
	}
	return true
}

func (m *machine) step() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stepLocked()
}

func (m *machine) stepLocked() {
	if m.alone {
		for _, r := range m.pools {
			r.sockets.allowed.Store(int64(m.total.Sockets / m.parts))
			r.bodies.allowed.Store(int64(m.total.Bodies / m.parts))
			r.open.allowed.Store(unbounded)
			r.work.allowed.Store(unbounded)
		}
		m.shedLocked()
		return
	}
	m.workLocked()
	gone := map[string]int{}
	for k, ledger := range m.ledgers {
		usage := make(map[string]fairshare.Usage, len(m.pools))
		for name, r := range m.pools {
			g := kinds[k].gauge(r)
			usage[name] = fairshare.Usage{Used: int(g.used.Load()), Wanted: int(min(g.denied.Swap(0), int64(kinds[k].share(m.total))))}
		}
		allowed := ledger.Step(usage)
		for name, r := range m.pools {
			n, owed := allowed[name]
			if kinds[k].gauge(r).allowed.Store(int64(n)); !owed {
				gone[name]++
			}
		}
	}
	for name, n := range gone { // neither owed nor using anything
		if n == len(kinds) {
			delete(m.pools, name)
		}
	}
	m.shedLocked()
}

// shedLocked closes idle connections beyond what a pool may hold.
func (m *machine) shedLocked() {
	for _, r := range m.pools {
		if over := r.sockets.used.Load() - r.sockets.allowed.Load(); over > 0 {
			if shed := r.shed.Load(); shed != nil {
				go (*shed)(int(over))
			}
		}
	}
}

// workLocked begins the next span of work.
func (m *machine) workLocked() {
	span := func(perSecond int) int { return int(float64(perSecond) * rebalance.Seconds()) }
	if m.total.Work == 0 {
		for _, r := range m.pools {
			r.work.allowed.Store(unbounded)
			r.work.used.Store(0)
		}
		return
	}
	claims := config.Claims(m.claims, func(s config.Shares) int { return span(s.Work) })
	for name, p := range m.leaving {
		claims[name] = fairshare.Claim{Weight: p.Weight}
	}
	usage := make(map[string]fairshare.Usage, len(m.pools))
	for name, r := range m.pools {
		usage[name] = fairshare.Usage{Used: int(r.work.used.Swap(0)), Wanted: int(min(r.work.denied.Swap(0), int64(span(m.total.Work))))}
	}
	for name, n := range fairshare.Rates(span(m.total.Work), claims, usage) {
		if r := m.pools[name]; r != nil {
			r.work.allowed.Store(int64(n))
		}
	}
}

// run looks at what is lent until ctx ends.
func (m *machine) run(ctx context.Context) {
	tick := time.NewTicker(rebalance)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			m.step()
		}
	}
}
