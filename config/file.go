package config

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"ryerill/admin"
	"ryerill/balancer"
	"ryerill/discovery"
	"ryerill/fairshare"
	"ryerill/internal/yamlfile"
	"ryerill/message"
	"ryerill/route"
)

// File is a configuration as people write it, in YAML; JSON is a subset. What
// it leaves out has a default, and [Effective] fills it in.
type File struct {
	Name      string         `yaml:"name,omitempty" json:"name,omitempty" jsonschema_description:"the proxy's name, in its log"`
	Seed      string         `yaml:"seed,omitempty" json:"seed,omitempty" jsonschema_description:"for random numbers, at most 16 hexadecimal digits"`
	Admin     string         `yaml:"mgmt,omitempty" json:"mgmt,omitempty" jsonschema_description:"IP and port of the operators' door, as in 127.0.0.1:9100; default none"`
	Machine   MachineFile    `yaml:"machine,omitempty" json:"machine,omitempty" jsonschema_description:"what the machine allows the program"`
	Listeners []ListenerFile `yaml:"listeners" json:"listeners" jsonschema:"minItems=1"`
	Classes   []ClassFile    `yaml:"classes,omitempty" json:"classes,omitempty" jsonschema_description:"of the pools that state none"`
	Tenants   []TenantFile   `yaml:"tenants,omitempty" json:"tenants,omitempty" jsonschema_description:"of the pools that state none"`
	Routes    []RouteFile    `yaml:"routes" json:"routes" jsonschema:"minItems=1"`
	Pools     []PoolFile     `yaml:"pools" json:"pools" jsonschema:"minItems=1"`
	Fleet     *FleetFile     `yaml:"fleet,omitempty" json:"fleet,omitempty" jsonschema_description:"the proxies that send to the same providers and speak to each other; without it this one speaks to none"`
}

// MachineFile is what the machine allows.
type MachineFile struct {
	Cores    float64 `yaml:"cores,omitempty" json:"cores,omitempty" jsonschema_description:"default 1"`
	MemoryMB float64 `yaml:"memory_mb,omitempty" json:"memory_mb,omitempty" jsonschema_description:"16 or more; default 192"`
	Sockets  int     `yaml:"sockets,omitempty" json:"sockets,omitempty" jsonschema_description:"descriptors, 64 or more; default 1024"`
	WorkPerS int     `yaml:"work_per_s,omitempty" json:"work_per_s,omitempty" jsonschema_description:"requests a second that its CPU can carry, to be divided among pools; a body counts one more for each 16 KiB; 0 divides nothing"`
}

// ListenerFile is an address for consumers.
type ListenerFile struct {
	Name    string `yaml:"name" json:"name"`
	Address string `yaml:"address" json:"address" jsonschema_description:"IP and port, as in 127.0.0.1:7070"`
}

// ClassFile is a class of requests.
type ClassFile struct {
	Name              string        `yaml:"name" json:"name"`
	LatencyObjective  time.Duration `yaml:"aim,omitempty" json:"aim,omitempty" jsonschema_description:"an answer within this time earns the full worth; default half of the deadline"`
	Deadline          time.Duration `yaml:"deadline" json:"deadline" jsonschema_description:"the longest time that a consumer waits"`
	PriorityWeight    float64       `yaml:"worth,omitempty" json:"worth,omitempty" jsonschema_description:"default 1"`
	LateWeight        float64       `yaml:"late_worth,omitempty" json:"late_worth,omitempty" jsonschema_description:"part of the worth left after the aim; 0 to 1"`
	Effect            string        `yaml:"effect,omitempty" json:"effect,omitempty" jsonschema:"enum=safe,enum=keyed,enum=unsafe" jsonschema_description:"whether a request may run again; default unsafe"`
	Group             string        `yaml:"group,omitempty" json:"group,omitempty" jsonschema:"enum=all,enum=zone,enum=cell" jsonschema_description:"for keyed: the providers that drop each other's repeats; default cell"`
	IdempotencyWindow time.Duration `yaml:"memory,omitempty" json:"memory,omitempty" jsonschema_description:"for keyed: how long they drop them"`
}

// TenantFile is a customer.
type TenantFile struct {
	Name  string  `yaml:"name" json:"name"`
	Quota float64 `yaml:"quota,omitempty" json:"quota,omitempty" jsonschema_description:"requests a second over all copies that earn full worth; 0 is no quota"`
	Share float64 `yaml:"share,omitempty" json:"share,omitempty"`
}

// RouteFile sends requests to a pool.
type RouteFile struct {
	Name    string            `yaml:"name" json:"name"`
	Host    string            `yaml:"host,omitempty" json:"host,omitempty" jsonschema_description:"app.svc, or *.svc for all below it; default any"`
	Path    string            `yaml:"path,omitempty" json:"path,omitempty" jsonschema_description:"/a/b, /a/{id}/b, or /a/* for /a and all below it; default any"`
	Methods []string          `yaml:"methods,omitempty" json:"methods,omitempty"`
	Classes []string          `yaml:"classes,omitempty" json:"classes,omitempty" jsonschema_description:"met by requests of these classes"`
	Headers map[string]string `yaml:"headers,omitempty" json:"headers,omitempty" jsonschema_description:"all must be there; an empty value is any"`
	Pool    string            `yaml:"pool" json:"pool"`
	Rewrite string            `yaml:"rewrite,omitempty" json:"rewrite,omitempty" jsonschema_description:"replaces what stands before the * of the path"`
	Class   string            `yaml:"class,omitempty" json:"class,omitempty" jsonschema_description:"the class of its requests, where they state none"`
}

// PoolFile is a pool of providers with all that belongs to it.
type PoolFile struct {
	Name         string         `yaml:"name" json:"name"`
	Zone         string         `yaml:"zone,omitempty" json:"zone,omitempty" jsonschema_description:"of this proxy"`
	Zones        []string       `yaml:"zones,omitempty" json:"zones,omitempty"`
	Tier         int            `yaml:"tier,omitempty" json:"tier,omitempty" jsonschema_description:"its place in a chain of tiers; 0 is the front"`
	Tiers        int            `yaml:"tiers,omitempty" json:"tiers,omitempty" jsonschema_description:"length of the chain; default 1"`
	ReplicaIndex int            `yaml:"copy,omitempty" json:"copy,omitempty" jsonschema_description:"number of this proxy among those that send to the pool, from 0"`
	ReplicaCount int            `yaml:"copies,omitempty" json:"copies,omitempty" jsonschema_description:"how many there are; default 1"`
	Classes      []ClassFile    `yaml:"classes,omitempty" json:"classes,omitempty" jsonschema_description:"default: those of the file"`
	Tenants      []TenantFile   `yaml:"tenants,omitempty" json:"tenants,omitempty" jsonschema_description:"default: those of the file"`
	OverQuota    float64        `yaml:"over_quota_worth,omitempty" json:"over_quota_worth,omitempty" jsonschema_description:"part of the worth of what goes beyond a quota"`
	Limits       LimitsFile     `yaml:"limits,omitempty" json:"limits,omitempty"`
	Rules        RulesFile      `yaml:"rules,omitempty" json:"rules,omitempty"`
	Discovery    string         `yaml:"directory,omitempty" json:"directory,omitempty" jsonschema_description:"IP and port of the directory that lists the providers"`
	Endpoints    []EndpointFile `yaml:"providers,omitempty" json:"providers,omitempty" jsonschema_description:"the providers, or with a directory those known at the start"`
	Guarantee    GuaranteeFile  `yaml:"guarantee,omitempty" json:"guarantee,omitempty" jsonschema_description:"what no other pool can take; default an equal part of half of what there is"`
	Weight       float64        `yaml:"weight,omitempty" json:"weight,omitempty" jsonschema_description:"its part of what is lent, against others'; default 1"`
	Drain        time.Duration  `yaml:"drain,omitempty" json:"drain,omitempty" jsonschema_description:"how long a pool that a reload takes away may finish its calls; default its longest deadline and 1s"`

	classesAt, tenantsAt string // where they stand, if not in the pool
}

// LimitsFile is what a pool allows its invocations and connections.
type LimitsFile struct {
	MaxAttempts     int           `yaml:"attempts,omitempty" json:"attempts,omitempty" jsonschema_description:"for each request, 1 to 20; default 3"`
	MaxOpenRequests int           `yaml:"open,omitempty" json:"open,omitempty" jsonschema_description:"requests open at once; default 20000"`
	RetryAfter      *bool         `yaml:"retry_after,omitempty" json:"retry_after,omitempty" jsonschema_description:"whether refusals say when to come back; default true"`
	MaxRetryAfter   time.Duration `yaml:"max_retry_after,omitempty" json:"max_retry_after,omitempty" jsonschema_description:"default 2s"`
	SecondCopies    *bool         `yaml:"second_copies,omitempty" json:"second_copies,omitempty" jsonschema_description:"default true"`
	Peers           *bool         `yaml:"peers,omitempty" json:"peers,omitempty" jsonschema_description:"false forbids that proxies speak to each other; default: as fleet says"`
	Cancel          *bool         `yaml:"cancel,omitempty" json:"cancel,omitempty" jsonschema_description:"whether calls that nobody waits for are called off; default true"`
	ConnectTimeout  time.Duration `yaml:"connect_timeout,omitempty" json:"connect_timeout,omitempty" jsonschema_description:"default 100ms"`
	IdleClose       time.Duration `yaml:"idle_close,omitempty" json:"idle_close,omitempty" jsonschema_description:"providers close idle connections after this; default 5s"`
}

// RulesFile holds the figures of the rules.
type RulesFile struct {
	AnswerSlack      time.Duration `yaml:"answer_slack,omitempty" json:"answer_slack,omitempty" jsonschema_description:"default 20ms"`
	DrainGrace       time.Duration `yaml:"drain_grace,omitempty" json:"drain_grace,omitempty" jsonschema_description:"nothing new to a draining provider after this; default 1s"`
	AskWithin        time.Duration `yaml:"ask_within,omitempty" json:"ask_within,omitempty" jsonschema_description:"default 10s"`
	InitialCapacity  float64       `yaml:"cold_from,omitempty" json:"cold_from,omitempty" jsonschema_description:"part of its capacity that a provider starts with; default 0.1"`
	WarmUpPeriod     time.Duration `yaml:"warm_up,omitempty" json:"warm_up,omitempty" jsonschema_description:"default 30s"`
	OverloadMultiple float64       `yaml:"fall_multiple,omitempty" json:"fall_multiple,omitempty" jsonschema_description:"default 2"`
	OverloadPeriod   time.Duration `yaml:"overload_for,omitempty" json:"overload_for,omitempty" jsonschema_description:"default 1s"`
}

// EndpointFile is a provider that the file itself lists.
type EndpointFile struct {
	Name    string `yaml:"name" json:"name"`
	Address string `yaml:"address" json:"address"`
	Zone    string `yaml:"zone,omitempty" json:"zone,omitempty"`
	Group   int    `yaml:"group,omitempty" json:"group,omitempty" jsonschema_description:"providers of one group drop each other's repeats of a key"`
}

// GuaranteeFile is what a pool is guaranteed.
type GuaranteeFile struct {
	Sockets  int `yaml:"sockets,omitempty" json:"sockets,omitempty" jsonschema_description:"connections to providers"`
	BodiesKB int `yaml:"bodies_kb,omitempty" json:"bodies_kb,omitempty" jsonschema_description:"memory for the bodies that are held"`
	Open     int `yaml:"open,omitempty" json:"open,omitempty" jsonschema_description:"open invocations, each of which costs goroutines and memory"`
	WorkPerS int `yaml:"work_per_s,omitempty" json:"work_per_s,omitempty" jsonschema_description:"its part of machine.work_per_s"`
}

// Bounds of a file.
const (
	maxPools     = 4096
	maxListeners = 64
	maxProviders = 20_000
	maxAttempts  = 20
	maxSpan      = time.Hour
	defaultOpen  = 20_000
)

// Problem is one thing at fault in a file.
type Problem struct {
	Key   string // as in pools[0].classes[1].aim
	Value any
	Want  string
	Warn  bool // told, but no reason to refuse the file
}

func (p Problem) Error() string {
	return fmt.Sprintf("%s: unexpected value %q, want %s", p.Key, fmt.Sprint(p.Value), p.Want)
}

// ParseFile reads a configuration in YAML. All that is at fault is told at once.
// The warnings are no reason to refuse it.
func ParseFile(name string, text []byte, getenv func(string) string) (cfg Config, warnings []string, err error) {
	f := new(File)
	tree, err := yamlfile.Decode(name, text, f)
	if err != nil {
		return Config{}, nil, err
	}
	overrideFromEnv(f, getenv)
	f.Complete()
	cfg, problems := f.build()
	cfg.Text = text
	cfg.SharedDir = getenv(EnvTempDir)
	var faults []error
	told := map[string]bool{} // what pools share is checked with each
	for _, p := range problems {
		if told[p.Error()] {
			continue
		}
		told[p.Error()] = true
		e := fmt.Errorf("%s%s: %w", name, tree.Position(p.Key), p)
		if p.Warn {
			warnings = append(warnings, e.Error())
		} else {
			faults = append(faults, e)
		}
	}
	return cfg, warnings, errors.Join(faults...)
}

// overrideFromEnv lays what the environment says over a file, as for the platform's
// form: the name, and the address of its only listener and its only directory.
func overrideFromEnv(f *File, getenv func(string) string) (keys []string) {
	set := func(key, variable string, to *string) {
		if v := getenv(variable); v != "" {
			*to = v
			keys = append(keys, key)
		}
	}
	set("name", EnvName, &f.Name)
	set("mgmt", EnvAdmin, &f.Admin)
	if len(f.Listeners) == 1 {
		set("listeners[0].address", EnvListen, &f.Listeners[0].Address)
	}
	if len(f.Pools) == 1 {
		set("pools[0].directory", EnvDiscovery, &f.Pools[0].Discovery)
	}
	return keys
}

func set[T comparable](v *T, other T) {
	var zero T
	if *v == zero {
		*v = other
	}
}

func yes(v **bool) {
	if *v == nil {
		on := true
		*v = &on
	}
}

// Complete fills in what a file leaves out.
func (f *File) Complete() {
	set(&f.Machine.Cores, defaultCores)
	set(&f.Machine.MemoryMB, defaultMemoryMB)
	set(&f.Machine.Sockets, defaultSockets)
	for i := range f.Listeners {
		set(&f.Listeners[i].Name, fmt.Sprintf("listener-%d", i))
	}
	for i := range f.Routes {
		set(&f.Routes[i].Name, fmt.Sprintf("route-%d", i))
	}
	share := Shared(f.Machine.Sockets-spareSockets(f.Admin, f.Fleet != nil), int64(f.Machine.MemoryMB*(1<<20)))
	for i := range f.Pools {
		p := &f.Pools[i]
		if len(p.Classes) == 0 {
			p.Classes, p.classesAt = slices.Clone(f.Classes), "classes"
		}
		if len(p.Tenants) == 0 {
			p.Tenants, p.tenantsAt = slices.Clone(f.Tenants), "tenants"
		}
		for j := range p.Classes {
			c := &p.Classes[j]
			set(&c.LatencyObjective, c.Deadline/2)
			set(&c.PriorityWeight, 1)
			set(&c.Effect, "unsafe")
			set(&c.Group, "cell")
		}
		if len(p.Zones) == 0 {
			if p.Zone != "" {
				p.Zones = []string{p.Zone}
			}
			for _, e := range p.Endpoints {
				if e.Zone != "" && !slices.Contains(p.Zones, e.Zone) {
					p.Zones = append(p.Zones, e.Zone)
				}
			}
		}
		set(&p.Tiers, 1)
		set(&p.ReplicaCount, 1)
		l, r := &p.Limits, &p.Rules
		set(&l.MaxAttempts, 3)
		set(&l.MaxOpenRequests, defaultOpen)
		yes(&l.RetryAfter)
		yes(&l.SecondCopies)
		yes(&l.Cancel)
		set(&l.MaxRetryAfter, 2*time.Second)
		set(&l.ConnectTimeout, defaultConnect)
		set(&l.IdleClose, defaultIdleClose)
		set(&r.AnswerSlack, defaultSlack)
		set(&r.DrainGrace, time.Second)
		set(&r.AskWithin, 10*time.Second)
		set(&r.InitialCapacity, 0.1)
		set(&r.WarmUpPeriod, 30*time.Second)
		set(&r.OverloadMultiple, 2)
		set(&r.OverloadPeriod, time.Second)
		set(&p.Weight, 1)
		// Half of what there is, evenly: the other half goes where it is wanted.
		n := 2 * len(f.Pools)
		least := 1
		if p.Discovery != "" {
			least = 2 // its connection to the directory is one of them
		}
		set(&p.Guarantee.Sockets, max(share.Sockets/n, least))
		set(&p.Guarantee.BodiesKB, max(share.Bodies/n, message.MaxBufferedBody)>>10)
		set(&p.Guarantee.Open, max(share.Open/n, 1))
		set(&p.Guarantee.WorkPerS, f.Machine.WorkPerS/n)
		longest := time.Duration(0)
		for _, c := range p.Classes {
			longest = max(longest, c.Deadline)
		}
		set(&p.Drain, longest+time.Second)
	}
}

// checker collects what is at fault.
type checker struct{ problems []Problem }

func (c *checker) bad(key string, value any, want string) {
	c.problems = append(c.problems, Problem{Key: key, Value: value, Want: want})
}

func (c *checker) number(key string, v, least, most float64) {
	if !(v >= least && v <= most) {
		c.bad(key, v, fmt.Sprintf("a number from %g to %g", least, most))
	}
}

func (c *checker) span(key string, v, least, most time.Duration) {
	if v < least || v > most {
		c.bad(key, v, fmt.Sprintf("a time from %v to %v, as in 250ms or 2s", least, most))
	}
}

func (c *checker) word(key, v string, words ...string) {
	if !slices.Contains(words, v) {
		c.bad(key, v, "one of "+strings.Join(words, ", ")+yamlfile.Suggest(v, words))
	}
}

func (c *checker) address(key, v string) {
	if _, err := netip.ParseAddrPort(v); err != nil {
		c.bad(key, v, "an IP address and a port, as in 127.0.0.1:7070")
	}
}

func (c *checker) name(key, v string, seen map[string]int, i int) {
	if v == "" || strings.ContainsFunc(v, func(r rune) bool { return r <= ' ' || r > '~' }) {
		c.bad(key, v, "a name without spaces")
	} else if first, twice := seen[v]; twice {
		c.bad(key, v, fmt.Sprintf("a name that stands once: number %d has it already", first))
	} else {
		seen[v] = i
	}
}

// build checks a completed file and turns it into what the proxy runs by.
func (f *File) build() (Config, []Problem) {
	c := &checker{}
	cfg := Config{Name: f.Name, Admin: f.Admin, Limits: Limits{Cores: f.Machine.Cores, Memory: int64(f.Machine.MemoryMB * (1 << 20)), Sockets: f.Machine.Sockets, Work: f.Machine.WorkPerS}}
	var err error
	if cfg.Seed, err = parseSeed(f.Seed); err != nil {
		c.bad("seed", f.Seed, "at most 16 hexadecimal digits")
	}
	if f.Admin != "" {
		c.address("mgmt", f.Admin)
	}
	c.number("machine.cores", f.Machine.Cores, 0.01, 1024)
	c.number("machine.memory_mb", f.Machine.MemoryMB, leastMemoryMB, 1<<30)
	c.number("machine.work_per_s", float64(f.Machine.WorkPerS), 0, 1e7)
	c.number("machine.sockets", float64(f.Machine.Sockets), float64(leastSocketsWith(f.Admin, f.Fleet != nil)), 1<<20)
	if n := len(f.Listeners); n == 0 || n > maxListeners {
		c.bad("listeners", n, fmt.Sprintf("1 to %d listeners", maxListeners))
	}
	names, addresses := map[string]int{}, map[string]int{}
	for i, l := range f.Listeners {
		at := fmt.Sprintf("listeners[%d]", i)
		c.name(at+".name", l.Name, names, i)
		c.address(at+".address", l.Address)
		if _, twice := addresses[l.Address]; twice && !strings.HasSuffix(l.Address, ":0") {
			c.bad(at+".address", l.Address, "an address that no other listener has")
		}
		addresses[l.Address] = i
		cfg.Listeners = append(cfg.Listeners, Listener(l))
	}
	if n := len(f.Pools); n == 0 || n > maxPools {
		c.bad("pools", n, fmt.Sprintf("1 to %d pools", maxPools))
	}
	pools := map[string]int{}
	for i := range f.Pools {
		at := fmt.Sprintf("pools[%d]", i)
		c.name(at+".name", f.Pools[i].Name, pools, i)
		cfg.Pools = append(cfg.Pools, f.Pools[i].build(at, c))
	}
	f.fits(cfg, c)
	f.routes(&cfg, pools, c)
	f.fleet(&cfg, c)
	return cfg, c.problems
}

// fits checks that the guarantees can be given at once.
func (f *File) fits(cfg Config, c *checker) {
	total := cfg.Shared()
	var sum Shares
	for i, p := range cfg.Pools {
		at := fmt.Sprintf("pools[%d].guarantee", i)
		for _, g := range []struct {
			key       string
			own, most int
			sum       *int
		}{{"sockets", p.Guarantee.Sockets, total.Sockets, &sum.Sockets}, {"bodies_kb", p.Guarantee.Bodies >> 10, total.Bodies >> 10, &sum.Bodies},
			{"open", p.Guarantee.Open, total.Open, &sum.Open}, {"work_per_s", p.Guarantee.Work, total.Work, &sum.Work}} {
			if g.own < 0 {
				c.bad(at+"."+g.key, g.own, "0 or more")
				continue
			}
			before := *g.sum
			if *g.sum += g.own; before <= g.most && *g.sum > g.most {
				c.bad(at+"."+g.key, g.own, fmt.Sprintf("at most %d here: this machine has %d for all pools; lower guarantees, or raise machine.%s",
					max(g.most-before, 0), g.most, map[string]string{"sockets": "sockets", "bodies_kb": "memory_mb", "open": "memory_mb", "work_per_s": "work_per_s"}[g.key]))
			}
		}
	}
}

// routes builds the table once to find what is at fault in it.
func (f *File) routes(cfg *Config, pools map[string]int, c *checker) {
	if len(f.Routes) == 0 {
		c.bad("routes", 0, "one route or more")
	}
	var poolNames, classes []string
	for _, p := range cfg.Pools {
		poolNames = append(poolNames, p.Name)
		for _, k := range p.Settings.Balancer.Classes {
			if !slices.Contains(classes, k.Name) {
				classes = append(classes, k.Name)
			}
		}
	}
	names, used := map[string]int{}, map[string]bool{}
	for i, r := range f.Routes {
		at := fmt.Sprintf("routes[%d]", i)
		c.name(at+".name", r.Name, names, i)
		rule := route.Rule{Name: r.Name, Host: r.Host, Path: r.Path, Methods: r.Methods, Classes: r.Classes, Pool: r.Pool, Rewrite: r.Rewrite}
		for _, name := range sortedKeys(r.Headers) {
			rule.Headers = append(rule.Headers, route.Header{Name: name, Value: r.Headers[name]})
		}
		cfg.Routes = append(cfg.Routes, Route{Rule: rule, Class: r.Class})
		used[r.Pool] = true
		n, known := pools[r.Pool]
		if !known {
			c.bad(at+".pool", r.Pool, "the name of a pool"+yamlfile.Suggest(r.Pool, poolNames))
			continue
		}
		has := func(class string) bool {
			return slices.ContainsFunc(cfg.Pools[n].Settings.Balancer.Classes, func(k balancer.Class) bool { return k.Name == class })
		}
		for j, class := range r.Classes {
			if !has(class) {
				c.bad(fmt.Sprintf("%s.classes[%d]", at, j), class, fmt.Sprintf("a class of pool %s%s", r.Pool, yamlfile.Suggest(class, classes)))
			}
		}
		if r.Class != "" && !has(r.Class) {
			c.bad(at+".class", r.Class, fmt.Sprintf("a class of pool %s%s", r.Pool, yamlfile.Suggest(r.Class, classes)))
		}
	}
	rules := make([]route.Rule, len(cfg.Routes))
	for i := range rules {
		rules[i] = cfg.Routes[i].Rule
	}
	_, problems := route.New(rules, route.Vocabulary{Methods: Methods, Classes: append(classes, "")})
	for _, p := range problems {
		key := "routes"
		if len(p.Rules) > 0 {
			key = fmt.Sprintf("routes[%d]", p.Rules[0])
			if p.Field != "" && p.Kind != route.Tie && p.Kind != route.Shadowed {
				key += "." + p.Field
			}
		}
		if p.Field == "pool" {
			continue // told above
		}
		c.problems = append(c.problems, Problem{Key: key, Value: p.Kind, Want: "another rule: " + p.Error(), Warn: !p.Fatal()})
	}
	for i, p := range f.Pools {
		if !used[p.Name] {
			c.problems = append(c.problems, Problem{Key: fmt.Sprintf("pools[%d].name", i), Value: p.Name, Want: "a route that leads to it", Warn: true})
		}
	}
}

// Methods are those that a front takes.
var Methods = []string{"GET", "POST", "PUT", "PATCH", "DELETE"}

// build checks a pool and turns it into what it runs by.
func (p *PoolFile) build(at string, c *checker) Pool {
	out := Pool{Name: p.Name, Discovery: p.Discovery, Weight: p.Weight, Drain: p.Drain,
		Guarantee: Shares{Sockets: p.Guarantee.Sockets, Bodies: p.Guarantee.BodiesKB << 10, Open: p.Guarantee.Open, Work: p.Guarantee.WorkPerS},
		Settings:  Settings{Zones: p.Zones, IdleClose: p.Limits.IdleClose, AnyPath: true}, CountsDiscoverySocket: p.Discovery != ""}
	if p.Discovery != "" {
		c.address(at+".directory", p.Discovery)
	} else if len(p.Endpoints) == 0 {
		c.bad(at+".providers", 0, "one provider or more, or a directory")
	}
	if len(p.Endpoints) > maxProviders {
		c.bad(at+".providers", len(p.Endpoints), fmt.Sprintf("at most %d", maxProviders))
	}
	if p.Zone != "" && !slices.Contains(p.Zones, p.Zone) {
		c.bad(at+".zone", p.Zone, "one of the pool's zones: "+strings.Join(p.Zones, ", ")+yamlfile.Suggest(p.Zone, p.Zones))
	}
	seen := map[string]int{}
	out.KnownEndpoints = discovery.EndpointList{Index: 1, Snapshot: true, Endpoints: []discovery.Endpoint{}}
	for i, e := range p.Endpoints {
		here := fmt.Sprintf("%s.providers[%d]", at, i)
		c.name(here+".name", e.Name, seen, i)
		c.address(here+".address", e.Address)
		if e.Zone != "" && !slices.Contains(p.Zones, e.Zone) {
			c.bad(here+".zone", e.Zone, "one of the pool's zones: "+strings.Join(p.Zones, ", ")+yamlfile.Suggest(e.Zone, p.Zones))
		}
		out.KnownEndpoints.Endpoints = append(out.KnownEndpoints.Endpoints, discovery.Endpoint{Name: e.Name, Address: e.Address, Zone: e.Zone, Group: e.Group, Status: discovery.Ready, Weight: 1})
	}
	b := &out.Settings.Balancer
	b.Tier, b.Tiers, b.ReplicaIndex, b.ReplicaCount, b.Zone = p.Tier, p.Tiers, p.ReplicaIndex, p.ReplicaCount, max(slices.Index(p.Zones, p.Zone), 0)
	b.Subscribe, b.OverQuotaWeight = p.Discovery != "", p.OverQuota
	c.number(at+".tiers", float64(p.Tiers), 1, 100)
	c.number(at+".tier", float64(p.Tier), 0, float64(p.Tiers-1))
	c.number(at+".copies", float64(p.ReplicaCount), 1, 1e6)
	c.number(at+".copy", float64(p.ReplicaIndex), 0, float64(p.ReplicaCount-1))
	c.number(at+".over_quota_worth", p.OverQuota, 0, 1)
	c.number(at+".weight", p.Weight, 0, 1e6)
	c.span(at+".drain", p.Drain, 0, maxSpan)
	if len(p.Classes) == 0 {
		c.bad(at+".classes", 0, "one class or more, here or for the whole file")
	}
	classes := map[string]int{}
	for i, k := range p.Classes {
		here := fmt.Sprintf("%s[%d]", orElse(p.classesAt, at+".classes"), i)
		c.name(here+".name", k.Name, classes, i)
		c.span(here+".deadline", k.Deadline, time.Millisecond, maxSpan)
		c.span(here+".aim", k.LatencyObjective, 0, max(k.Deadline, 0))
		c.number(here+".worth", k.PriorityWeight, 1e-9, 1e9)
		c.number(here+".late_worth", k.LateWeight, 0, 1)
		c.word(here+".effect", k.Effect, "safe", "keyed", "unsafe")
		c.word(here+".group", k.Group, "all", "zone", "cell")
		if k.Effect == "keyed" {
			c.span(here+".memory", k.IdempotencyWindow, time.Millisecond, 24*time.Hour)
		}
		b.Classes = append(b.Classes, balancer.Class{Name: k.Name, LatencyObjective: k.LatencyObjective, Deadline: k.Deadline, PriorityWeight: k.PriorityWeight, LateWeight: k.LateWeight,
			Effect: effects[k.Effect], Group: groups[k.Group], IdempotencyWindow: k.IdempotencyWindow})
	}
	tenants := map[string]int{}
	for i, t := range p.Tenants {
		here := fmt.Sprintf("%s[%d]", orElse(p.tenantsAt, at+".tenants"), i)
		c.name(here+".name", t.Name, tenants, i)
		c.number(here+".quota", t.Quota, 0, 1e9)
		c.number(here+".share", t.Share, 0, 1e9)
		b.Tenants = append(b.Tenants, balancer.Tenant{Name: t.Name, Quota: t.Quota, Share: t.Share})
	}
	l, r := &p.Limits, &p.Rules
	c.number(at+".limits.attempts", float64(l.MaxAttempts), 1, maxAttempts)
	c.number(at+".limits.open", float64(l.MaxOpenRequests), 1, 1e6)
	c.span(at+".limits.max_retry_after", l.MaxRetryAfter, 0, maxSpan)
	c.span(at+".limits.connect_timeout", l.ConnectTimeout, time.Millisecond, time.Minute)
	c.span(at+".limits.idle_close", l.IdleClose, time.Millisecond, 24*time.Hour)
	c.span(at+".rules.answer_slack", r.AnswerSlack, 0, time.Minute)
	c.span(at+".rules.drain_grace", r.DrainGrace, 0, maxSpan)
	c.span(at+".rules.ask_within", r.AskWithin, time.Millisecond, maxSpan)
	c.number(at+".rules.cold_from", r.InitialCapacity, 0.001, 1)
	c.span(at+".rules.warm_up", r.WarmUpPeriod, 0, maxSpan)
	c.number(at+".rules.fall_multiple", r.OverloadMultiple, 1, 100)
	c.span(at+".rules.overload_for", r.OverloadPeriod, time.Millisecond, maxSpan)
	b.Limits = balancer.Limits{MaxAttempts: l.MaxAttempts, MaxOpenRequests: l.MaxOpenRequests, MaxRetryAfter: l.MaxRetryAfter, ConnectTimeout: l.ConnectTimeout,
		SendRetryAfter: *l.RetryAfter, AllowHedging: *l.SecondCopies, AllowCancel: *l.Cancel}
	b.Contract = balancer.Contract{AnswerSlack: r.AnswerSlack, DrainGrace: r.DrainGrace, MaxPollInterval: r.AskWithin, InitialCapacity: r.InitialCapacity,
		WarmUpPeriod: r.WarmUpPeriod, OverloadMultiple: r.OverloadMultiple, OverloadPeriod: r.OverloadPeriod}
	return out
}

var (
	effects = map[string]balancer.Effect{"safe": balancer.Safe, "keyed": balancer.Keyed, "unsafe": balancer.Unsafe}
	groups  = map[string]balancer.Group{"all": balancer.GroupAll, "zone": balancer.GroupZone, "cell": balancer.GroupCell}
)

func sortedKeys[V any](m map[string]V) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Shares is what pools share of one machine.
type Shares struct {
	Sockets int // connections to providers
	Bodies  int // bytes of requests' bodies
	Open    int // open invocations
	Work    int // units of CPU a second: see [Cost]; 0 divides nothing
}

// costBytes of a body cost as much CPU as a request does.
const costBytes = 16 << 10

// Cost is what a request, or the answer to one, takes of a pool's work a second
// for its body; the request itself takes one more.
func Cost(body int) int { return (body + costBytes/2) / costBytes }

// sparedAlways are kept for listeners, directories, standard streams and the
// runtime's own descriptors.
const sparedAlways = 16

// spareSockets are kept back, for the operators' door and the fleet too if there
// is one.
func spareSockets(mgmt string, fleet bool) int {
	n := sparedAlways
	if mgmt != "" {
		n += admin.Descriptors
	}
	if fleet {
		n += fleetDescriptors
	}
	return n
}

// Connections is how many descriptors consumers and providers may hold together.
func (c *Config) Connections() int {
	return max(c.Limits.Sockets-spareSockets(c.Admin, c.Fleet != nil), 2)
}

// memoryOfOpen is what an open invocation takes beyond its body, at most: its
// goroutines' stacks, timers and heads.
const memoryOfOpen = 48 << 10

// Shared is what a machine has for all pools: half of its connections for providers,
// a quarter of its memory for bodies, and half of it for open invocations.
func Shared(connections int, memory int64) Shares {
	return Shares{Sockets: max(connections/2, 0), Bodies: int(memory / 4), Open: int(memory / 2 / memoryOfOpen)}
}

// Shared is what the pools of a configuration share.
func (c *Config) Shared() Shares {
	s := Shared(c.Connections(), c.Limits.Memory)
	s.Work = c.Limits.Work
	return s
}

// Claims are the pools' claims on one kind of what they share.
func Claims(pools []Pool, pick func(Shares) int) map[string]fairshare.Claim {
	claims := map[string]fairshare.Claim{}
	for _, p := range pools {
		claims[p.Name] = fairshare.Claim{Guarantee: pick(p.Guarantee), Weight: p.Weight}
	}
	return claims
}
