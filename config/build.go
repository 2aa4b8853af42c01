package config

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"ryerill/balancer"
	"ryerill/discovery"
	"ryerill/internal/yamlfile"
)

// Bounds of the values of a file.
const (
	maxPools         = 4096
	maxListeners     = 64
	maxEndpoints     = 20_000
	maxAttempts      = 20
	maxOpenRequests  = 1e6
	maxReplicas      = 1e6
	maxTiers         = 100
	maxWeight        = 1e9
	maxPoolWeight    = 1e6
	maxWorkPerSecond = 1e7
	maxCores         = 1024
	maxMemoryMB      = 1 << 30
	maxSockets       = 1 << 20
	maxDuration      = time.Hour
	maxLongDuration  = 24 * time.Hour // for idle connections and idempotency windows
)

// Enumerated values of the settings and the balancer's constants for them.
var (
	effects = map[string]balancer.Effect{"safe": balancer.Safe, "keyed": balancer.Keyed, "unsafe": balancer.Unsafe}
	groups  = map[string]balancer.Group{
		"all": balancer.GroupAll, "zone": balancer.GroupZone, "cell": balancer.GroupCell,
	}
)

// ParseFile reads a configuration in YAML. The error joins all faults of the file, each with its line and column.
// Warnings report likely mistakes in a file that is accepted.
func ParseFile(name string, text []byte, getenv func(string) string) (cfg Config, warnings []string, err error) {
	file := new(File)
	tree, err := yamlfile.Decode(name, text, file)
	if err != nil {
		return Config{}, nil, err
	}
	file.applyEnvironment(getenv)
	file.Complete()
	cfg, problems := file.build()
	cfg.Text = text
	cfg.SharedDir = getenv(EnvTempDir)
	var faults []error
	reported := map[string]bool{} // inherited classes are checked once per pool
	for _, problem := range problems {
		if reported[problem.Error()] {
			continue
		}
		reported[problem.Error()] = true
		located := fmt.Errorf("%s%s: %w", name, tree.Position(problem.Key), problem)
		if problem.Warn {
			warnings = append(warnings, located.Error())
		} else {
			faults = append(faults, located)
		}
	}
	return cfg, warnings, errors.Join(faults...)
}

// build checks a file whose defaults are filled in and converts it to a configuration.
func (f *File) build() (Config, []yamlfile.Problem) {
	c := &checker{}
	cfg := Config{Name: f.Name, Admin: f.Admin}
	seed, err := parseSeed(f.Seed)
	if err != nil {
		c.Bad("seed", f.Seed, "at most 16 hexadecimal digits")
	}
	cfg.Seed = seed
	if f.Admin != "" {
		c.address("mgmt", f.Admin)
	}
	cfg.Limits = f.Machine.build(f, c)
	cfg.Listeners = f.buildListeners(c)
	if n := len(f.Pools); n == 0 || n > maxPools {
		c.Bad("pools", n, fmt.Sprintf("1 to %d pools", maxPools))
	}
	poolIndexes := map[string]int{}
	for i := range f.Pools {
		key := fmt.Sprintf("pools[%d]", i)
		c.uniqueName(key+".name", f.Pools[i].Name, poolIndexes, i)
		cfg.Pools = append(cfg.Pools, f.Pools[i].build(key, c))
	}
	checkGuarantees(&cfg, c)
	f.buildRoutes(&cfg, poolIndexes, c)
	f.buildFleet(&cfg, c)
	return cfg, c.Problems
}

func (m *MachineFile) build(f *File, c *checker) Limits {
	c.Number("machine.cores", m.Cores, 0.01, maxCores)
	c.Number("machine.memory_mb", m.MemoryMB, minMemoryMB, maxMemoryMB)
	c.Number("machine.work_per_s", float64(m.WorkPerS), 0, maxWorkPerSecond)
	c.Number("machine.sockets", float64(m.Sockets), float64(requiredSockets(f.Admin, f.Fleet != nil)), maxSockets)
	return Limits{Cores: m.Cores, Memory: int64(m.MemoryMB * (1 << 20)), Sockets: m.Sockets, Work: m.WorkPerS}
}

func (f *File) buildListeners(c *checker) (listeners []Listener) {
	if n := len(f.Listeners); n == 0 || n > maxListeners {
		c.Bad("listeners", n, fmt.Sprintf("1 to %d listeners", maxListeners))
	}
	names := map[string]int{}
	addresses := map[string]bool{}
	for i, listener := range f.Listeners {
		key := fmt.Sprintf("listeners[%d]", i)
		c.uniqueName(key+".name", listener.Name, names, i)
		c.address(key+".address", listener.Address)
		anyPort := strings.HasSuffix(listener.Address, ":0")
		if addresses[listener.Address] && !anyPort {
			c.Bad(key+".address", listener.Address, "an address that no other listener has")
		}
		addresses[listener.Address] = true
		listeners = append(listeners, Listener(listener))
	}
	return listeners
}

// resourceKey describes a resource that pools are guaranteed, by its keys in a file.
type resourceKey struct {
	guarantee string // key below pools[i].guarantee
	machine   string // key below machine that has to be raised for more of it
	amount    func(Resources) int
}

var resourceKeys = []resourceKey{
	{"sockets", "sockets", func(s Resources) int { return s.Sockets }},
	{"bodies_kb", "memory_mb", func(s Resources) int { return s.Bodies >> 10 }},
	{"open", "memory_mb", func(s Resources) int { return s.Open }},
	{"work_per_s", "work_per_s", func(s Resources) int { return s.Work }},
}

// checkGuarantees requires that the guarantees of all pools fit the machine together. It reports the first pool that
// exceeds a resource.
func checkGuarantees(cfg *Config, c *checker) {
	machine := cfg.SharedResources()
	sums := make([]int, len(resourceKeys))
	for i, pool := range cfg.Pools {
		for k, resource := range resourceKeys {
			key := fmt.Sprintf("pools[%d].guarantee.%s", i, resource.guarantee)
			amount := resource.amount(pool.Guarantee)
			if amount < 0 {
				c.Bad(key, amount, "0 or more")
				continue
			}
			total := resource.amount(machine)
			before := sums[k]
			sums[k] += amount
			if before <= total && sums[k] > total {
				c.Bad(key, amount, fmt.Sprintf(
					"at most %d here: this machine has %d for all pools; lower guarantees, or raise machine.%s",
					max(total-before, 0), total, resource.machine))
			}
		}
	}
}

// build checks a pool and converts it. key is the key of the pool in the file.
func (p *PoolFile) build(key string, c *checker) Pool {
	pool := Pool{
		Name:      p.Name,
		Discovery: p.Discovery,
		Weight:    p.Weight,
		Drain:     p.Drain,
		Guarantee: Resources{
			Sockets: p.Guarantee.Sockets,
			Bodies:  p.Guarantee.BodiesKB << 10,
			Open:    p.Guarantee.Open,
			Work:    p.Guarantee.WorkPerS,
		},
		Settings:              Settings{Zones: p.Zones, IdleClose: p.Limits.IdleClose, AnyPath: true},
		CountsDiscoverySocket: p.Discovery != "",
	}
	pool.KnownEndpoints = p.buildEndpoints(key, c)
	c.Number(key+".tiers", float64(p.Tiers), 1, maxTiers)
	c.Number(key+".tier", float64(p.Tier), 0, float64(p.Tiers-1))
	c.Number(key+".copies", float64(p.ReplicaCount), 1, maxReplicas)
	c.Number(key+".copy", float64(p.ReplicaIndex), 0, float64(p.ReplicaCount-1))
	c.Number(key+".over_quota_worth", p.OverQuota, 0, 1)
	c.Number(key+".weight", p.Weight, 0, maxPoolWeight)
	c.Duration(key+".drain", p.Drain, 0, maxDuration)
	pool.Settings.Balancer = balancer.Config{
		Tier:            p.Tier,
		Tiers:           p.Tiers,
		ReplicaIndex:    p.ReplicaIndex,
		ReplicaCount:    p.ReplicaCount,
		Zone:            max(slices.Index(p.Zones, p.Zone), 0),
		Subscribe:       p.Discovery != "",
		OverQuotaWeight: p.OverQuota,
		Classes:         p.buildClasses(key, c),
		Tenants:         p.buildTenants(key, c),
		Limits:          p.Limits.build(key+".limits", c),
		Contract:        p.Rules.build(key+".rules", c),
	}
	return pool
}

// buildEndpoints checks the source of the pool's endpoints and returns the endpoints that the file lists.
func (p *PoolFile) buildEndpoints(key string, c *checker) discovery.EndpointList {
	if p.Discovery != "" {
		c.address(key+".directory", p.Discovery)
	} else if len(p.Endpoints) == 0 {
		c.Bad(key+".providers", 0, "one provider or more, or a directory")
	}
	if len(p.Endpoints) > maxEndpoints {
		c.Bad(key+".providers", len(p.Endpoints), fmt.Sprintf("at most %d", maxEndpoints))
	}
	p.checkZone(key+".zone", p.Zone, c)
	list := discovery.EndpointList{Index: 1, Snapshot: true, Endpoints: []discovery.Endpoint{}}
	names := map[string]int{}
	for i, endpoint := range p.Endpoints {
		endpointKey := fmt.Sprintf("%s.providers[%d]", key, i)
		c.uniqueName(endpointKey+".name", endpoint.Name, names, i)
		c.address(endpointKey+".address", endpoint.Address)
		p.checkZone(endpointKey+".zone", endpoint.Zone, c)
		list.Endpoints = append(list.Endpoints, discovery.Endpoint{
			Name:    endpoint.Name,
			Address: endpoint.Address,
			Zone:    endpoint.Zone,
			Group:   endpoint.Group,
			Status:  discovery.Ready,
			Weight:  1,
		})
	}
	return list
}

// checkZone requires that a zone, if it is stated, is one of the pool's.
func (p *PoolFile) checkZone(key, zone string, c *checker) {
	if zone != "" && !slices.Contains(p.Zones, zone) {
		c.Bad(key, zone, "one of the pool's zones: "+strings.Join(p.Zones, ", ")+yamlfile.Suggest(zone, p.Zones))
	}
}

func (p *PoolFile) buildClasses(key string, c *checker) (classes []balancer.Class) {
	if len(p.Classes) == 0 {
		c.Bad(key+".classes", 0, "one class or more, here or for the whole file")
	}
	names := map[string]int{}
	for i, class := range p.Classes {
		classKey := fmt.Sprintf("%s[%d]", firstNonEmpty(p.classesKey, key+".classes"), i)
		c.uniqueName(classKey+".name", class.Name, names, i)
		c.Duration(classKey+".deadline", class.Deadline, time.Millisecond, maxDuration)
		c.Duration(classKey+".aim", class.LatencyObjective, 0, max(class.Deadline, 0))
		c.Number(classKey+".worth", class.PriorityWeight, 1/maxWeight, maxWeight)
		c.Number(classKey+".late_worth", class.LateWeight, 0, 1)
		c.OneOf(classKey+".effect", class.Effect, "safe", "keyed", "unsafe")
		c.OneOf(classKey+".group", class.Group, "all", "zone", "cell")
		if class.Effect == "keyed" {
			c.Duration(classKey+".memory", class.IdempotencyWindow, time.Millisecond, maxLongDuration)
		}
		classes = append(classes, balancer.Class{
			Name:              class.Name,
			LatencyObjective:  class.LatencyObjective,
			Deadline:          class.Deadline,
			PriorityWeight:    class.PriorityWeight,
			LateWeight:        class.LateWeight,
			Effect:            effects[class.Effect],
			Group:             groups[class.Group],
			IdempotencyWindow: class.IdempotencyWindow,
		})
	}
	return classes
}

func (p *PoolFile) buildTenants(key string, c *checker) (tenants []balancer.Tenant) {
	names := map[string]int{}
	for i, tenant := range p.Tenants {
		tenantKey := fmt.Sprintf("%s[%d]", firstNonEmpty(p.tenantsKey, key+".tenants"), i)
		c.uniqueName(tenantKey+".name", tenant.Name, names, i)
		c.Number(tenantKey+".quota", tenant.Quota, 0, maxWeight)
		c.Number(tenantKey+".share", tenant.Share, 0, maxWeight)
		tenants = append(tenants, balancer.Tenant{Name: tenant.Name, Quota: tenant.Quota, Share: tenant.Share})
	}
	return tenants
}

func (l *LimitsFile) build(key string, c *checker) balancer.Limits {
	c.Number(key+".attempts", float64(l.MaxAttempts), 1, maxAttempts)
	c.Number(key+".open", float64(l.MaxOpenRequests), 1, maxOpenRequests)
	c.Duration(key+".max_retry_after", l.MaxRetryAfter, 0, maxDuration)
	c.Duration(key+".connect_timeout", l.ConnectTimeout, time.Millisecond, time.Minute)
	c.Duration(key+".idle_close", l.IdleClose, time.Millisecond, maxLongDuration)
	return balancer.Limits{
		MaxAttempts:     l.MaxAttempts,
		MaxOpenRequests: l.MaxOpenRequests,
		MaxRetryAfter:   l.MaxRetryAfter,
		ConnectTimeout:  l.ConnectTimeout,
		SendRetryAfter:  *l.RetryAfter,
		AllowHedging:    *l.SecondCopies,
		AllowCancel:     *l.Cancel,
	}
}

func (r *RulesFile) build(key string, c *checker) balancer.Contract {
	c.Duration(key+".answer_slack", r.AnswerSlack, 0, time.Minute)
	c.Duration(key+".drain_grace", r.DrainGrace, 0, maxDuration)
	c.Duration(key+".ask_within", r.AskWithin, time.Millisecond, maxDuration)
	c.Number(key+".cold_from", r.InitialCapacity, 0.001, 1)
	c.Duration(key+".warm_up", r.WarmUpPeriod, 0, maxDuration)
	c.Number(key+".fall_multiple", r.OverloadMultiple, 1, 100)
	c.Duration(key+".overload_for", r.OverloadPeriod, time.Millisecond, maxDuration)
	return balancer.Contract{
		AnswerSlack:      r.AnswerSlack,
		DrainGrace:       r.DrainGrace,
		MaxPollInterval:  r.AskWithin,
		InitialCapacity:  r.InitialCapacity,
		WarmUpPeriod:     r.WarmUpPeriod,
		OverloadMultiple: r.OverloadMultiple,
		OverloadPeriod:   r.OverloadPeriod,
	}
}
