// Package scenario describes a deployment to try things in: tiers of providers,
// the proxies before them, consumers, the network, the directory and what goes
// wrong. A world is a YAML file; two hosts play it, lab/sim in virtual time and
// lab/live on sockets.
//
// The package holds data, its checks and its defaults, and decides nothing.
package scenario

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ryerill/balancer"
	badnet "ryerill/lab/faultnet"
)

// Scenario is a whole deployment and what happens to it.
type Scenario struct {
	Name      string        `yaml:"name" json:"name" jsonschema:"required"`
	About     string        `yaml:"about" json:"about,omitempty" jsonschema_description:"what the world is for, for people"`
	Length    time.Duration `yaml:"length" json:"length" jsonschema_description:"how long consumers ask; 1s to 1h"`
	Warmup    time.Duration `yaml:"warmup" json:"warmup,omitempty" jsonschema_description:"what is asked before this is not counted"`
	Network   Network       `yaml:"network" json:"network,omitempty"`
	Node      Machine       `yaml:"node" json:"node,omitempty" jsonschema_description:"what the tiers' nodes leave out"`
	Parallel  bool          `yaml:"parallel" json:"parallel,omitempty" jsonschema_description:"the tiers stand side by side, each a pool of the same front proxies, and no chain; sockets only"`
	Tiers     []Tier        `yaml:"tiers" json:"tiers" jsonschema:"minItems=1,maxItems=4"`
	Classes   []Class       `yaml:"classes" json:"classes" jsonschema:"minItems=1"`
	Tenants   []Tenant      `yaml:"tenants" json:"tenants,omitempty"`
	Load      Load          `yaml:"load" json:"load"`
	Clients   Clients       `yaml:"consumers" json:"consumers,omitempty"`
	Discovery Discovery     `yaml:"directory" json:"directory,omitempty"`
	Rules     Rules         `yaml:"rules" json:"rules,omitempty"`
	Faults    []Fault       `yaml:"troubles" json:"troubles,omitempty"`
}

// Network is what lies between the parties. All delays are one way.
type Network struct {
	Zones  []string      `yaml:"zones" json:"zones,omitempty" jsonschema_description:"default: one zone"`
	Same   time.Duration `yaml:"same" json:"same,omitempty" jsonschema_description:"delay within a zone; default 200us"`
	Cross  time.Duration `yaml:"cross" json:"cross,omitempty" jsonschema_description:"delay between zones; default 7ms"`
	Client time.Duration `yaml:"consumer" json:"consumer,omitempty" jsonschema_description:"delay between consumers and the front; default 1ms"`
	Jitter float64       `yaml:"jitter" json:"jitter,omitempty" jsonschema_description:"a delay grows by up to this part of it; 0 to 2"`
}

// Tier is one kind of provider and, for the first tier, the proxies before it.
// Each provider of a tier that has a next one holds a proxy of its own.
type Tier struct {
	Name      string  `yaml:"name" json:"name"`
	Proxies   int     `yaml:"proxies" json:"proxies,omitempty" jsonschema_description:"first tier only"`
	Endpoints int     `yaml:"providers" json:"providers"`
	Work      float64 `yaml:"work" json:"work" jsonschema_description:"part of a class's work done for each call, above 0"`
	Calls     float64 `yaml:"calls" json:"calls,omitempty" jsonschema_description:"calls to the next tier for each request, on average, one after another"`
	Group     int     `yaml:"group" json:"group,omitempty" jsonschema_description:"providers that drop each other's repeats of a key; default all"`
	Node      Machine `yaml:"node" json:"node,omitempty"`
}

// Machine is the machine of one provider.
type Machine struct {
	Cores      float64 `yaml:"cores" json:"cores,omitempty" jsonschema_description:"default 2"`
	Slots      int     `yaml:"slots" json:"slots,omitempty" jsonschema_description:"requests in work at once; default 40"`
	QueueLimit int     `yaml:"room" json:"room,omitempty" jsonschema_description:"requests that may wait; beyond it they are turned away unseen; default 40"`
	Speed      float64 `yaml:"speed" json:"speed,omitempty" jsonschema_description:"work done in a second by one core; default 1"`
	Spread     float64 `yaml:"spread" json:"spread,omitempty" jsonschema_description:"how far speeds differ between machines, as a coefficient of variation"`
	Errors     float64 `yaml:"errors" json:"errors,omitempty" jsonschema_description:"part of requests answered with an error"`
	Cancel     string  `yaml:"cancel" json:"cancel,omitempty" jsonschema:"enum=queued,enum=all" jsonschema_description:"what a cancel stops: what waits, or running work too; default queued"`
	Cold       Cold    `yaml:"cold" json:"cold,omitempty"`
	Crowd      Crowd   `yaml:"crowd" json:"crowd,omitempty"`
	Connect    Connect `yaml:"connect" json:"connect,omitempty"`
}

// Cold is how a provider behaves after its start.
type Cold struct {
	From   float64       `yaml:"from" json:"from,omitempty" jsonschema_description:"part of its capacity at the start; default 0.4"`
	For    time.Duration `yaml:"for" json:"for,omitempty" jsonschema_description:"until it is warm; default 6s"`
	Tips   float64       `yaml:"tips" json:"tips,omitempty" jsonschema_description:"sent more than this multiple of its capacity it falls over; default 2.5"`
	Within time.Duration `yaml:"within" json:"within,omitempty" jsonschema_description:"for this long; default 1s"`
}

// Crowd is how a provider slows down when too much waits for its cores.
type Crowd struct {
	At     float64       `yaml:"at" json:"at,omitempty" jsonschema_description:"requests for each core that crowd it; 0 is never"`
	After  time.Duration `yaml:"after" json:"after,omitempty" jsonschema_description:"for this long; default 2s"`
	Factor float64       `yaml:"factor" json:"factor,omitempty" jsonschema_description:"how much slower it is then; default 2.5"`
	Below  float64       `yaml:"below" json:"below,omitempty" jsonschema_description:"requests for each core at which it rests; default 0.3"`
	Rest   time.Duration `yaml:"rest" json:"rest,omitempty" jsonschema_description:"rest after which it has recovered; default 4s"`
	Most   time.Duration `yaml:"most" json:"most,omitempty" jsonschema_description:"it recovers after this in any case; default 25s"`
}

// Connect is what connections cost and how many there may be.
type Connect struct {
	Work    time.Duration `yaml:"work" json:"work,omitempty" jsonschema_description:"work of one core for a new connection; default 4ms"`
	Trips   float64       `yaml:"trips" json:"trips,omitempty" jsonschema_description:"round trips for a new connection; default 2"`
	Most    int           `yaml:"most" json:"most,omitempty" jsonschema_description:"connections held at most; default 1500"`
	Idle    time.Duration `yaml:"idle" json:"idle,omitempty" jsonschema_description:"an idle one is closed after this; default 5s"`
	Timeout time.Duration `yaml:"timeout" json:"timeout,omitempty" jsonschema_description:"a proxy waits this long for one; default 100ms"`
}

// Class is one kind of request.
type Class struct {
	Name              string        `yaml:"name" json:"name"`
	Tier              string        `yaml:"tier" json:"tier,omitempty" jsonschema_description:"where tiers are parallel: the one that serves it"`
	Share             float64       `yaml:"share" json:"share" jsonschema_description:"part of the requests"`
	Work              time.Duration `yaml:"work" json:"work" jsonschema_description:"mean work over all tiers, before the tier's part"`
	Spread            float64       `yaml:"spread" json:"spread,omitempty" jsonschema_description:"coefficient of variation of the work; log-normal; default 1"`
	LatencyObjective  time.Duration `yaml:"aim" json:"aim"`
	Deadline          time.Duration `yaml:"deadline" json:"deadline"`
	PriorityWeight    float64       `yaml:"worth" json:"worth,omitempty" jsonschema_description:"default 1"`
	LateWeight        float64       `yaml:"late" json:"late,omitempty" jsonschema_description:"part of the worth left after the aim"`
	Effect            string        `yaml:"effect" json:"effect,omitempty" jsonschema:"enum=safe,enum=keyed,enum=unsafe" jsonschema_description:"default safe"`
	Group             string        `yaml:"group" json:"group,omitempty" jsonschema:"enum=all,enum=zone,enum=group" jsonschema_description:"for keyed: who drops repeats; default group"`
	IdempotencyWindow time.Duration `yaml:"memory" json:"memory,omitempty" jsonschema_description:"for keyed: how long; default 10s"`
}

// Tenant is one customer.
type Tenant struct {
	Name  string  `yaml:"name" json:"name"`
	Share float64 `yaml:"share" json:"share" jsonschema_description:"part of the requests"`
	Quota float64 `yaml:"quota" json:"quota,omitempty" jsonschema_description:"requests a second that earn full worth; 0 is no quota"`

	Roams time.Duration `yaml:"roams" json:"roams,omitempty" jsonschema_description:"all its requests come to one proxy, and after this time to the next one; 0 is all proxies; virtual time only"`
}

// Load is how much is asked for, first tries only.
type Load struct {
	Rate   float64       `yaml:"rate" json:"rate" jsonschema_description:"first tries a second, on average"`
	Shape  string        `yaml:"shape" json:"shape,omitempty" jsonschema:"enum=steady,enum=wave,enum=bursty" jsonschema_description:"default steady"`
	Swing  float64       `yaml:"swing" json:"swing,omitempty" jsonschema_description:"how far a wave or bursts move the rate; 0 to 1"`
	Period time.Duration `yaml:"period" json:"period,omitempty" jsonschema_description:"of a wave; mean length of a burst; default 20s"`
	Steps  []Step        `yaml:"steps" json:"steps,omitempty"`
	Uneven float64       `yaml:"uneven" json:"uneven,omitempty" jsonschema_description:"the first proxy is asked so many times what each other one is; default 1; virtual time only"`
}

// Step changes the rate from a time on.
type Step struct {
	At     time.Duration `yaml:"at" json:"at"`
	Factor float64       `yaml:"factor" json:"factor"`
}

// Clients is how those who ask behave.
type Clients struct {
	Retries         int           `yaml:"retries" json:"retries,omitempty" jsonschema_description:"further tries at most"`
	Try             float64       `yaml:"try" json:"try,omitempty" jsonschema_description:"a try is given up after this part of the deadline; default 0.5"`
	Wait            time.Duration `yaml:"wait" json:"wait,omitempty" jsonschema_description:"between tries; 0 is at once"`
	Honour          float64       `yaml:"honour" json:"honour,omitempty" jsonschema_description:"part of consumers that wait as Retry-After says"`
	OverQuotaWeight float64       `yaml:"over_worth" json:"over_worth,omitempty" jsonschema_description:"part of the worth of what goes beyond a quota; default 0.2"`
}

// Discovery is the service that lists providers.
type Discovery struct {
	Lag      time.Duration `yaml:"lag" json:"lag,omitempty" jsonschema_description:"until it knows of a drain or an end; default 2s"`
	Add      time.Duration `yaml:"add" json:"add,omitempty" jsonschema_description:"until it knows of a start; default 1s"`
	Silent   time.Duration `yaml:"silent" json:"silent,omitempty" jsonschema_description:"until it knows that a machine went silent; default 10s"`
	Capacity float64       `yaml:"capacity" json:"capacity,omitempty" jsonschema_description:"calls a second for all proxies; default 50"`
	Timeout  time.Duration `yaml:"timeout" json:"timeout,omitempty" jsonschema_description:"a call that waits longer fails; default 1s"`
}

// Rules holds the figures of the rules and what is allowed.
type Rules struct {
	Slack         time.Duration `yaml:"slack" json:"slack,omitempty" jsonschema_description:"an answer counts this long after the deadline; default 20ms"`
	Drain         time.Duration `yaml:"drain" json:"drain,omitempty" jsonschema_description:"nothing new to a provider this long after word of its drain; default 1s"`
	Attempts      int           `yaml:"attempts" json:"attempts,omitempty" jsonschema_description:"default 6"`
	MaxRetryAfter time.Duration `yaml:"max_retry_after" json:"max_retry_after,omitempty" jsonschema_description:"default 2s"`
	PassDeadline  bool          `yaml:"pass_deadline" json:"pass_deadline,omitempty" jsonschema_description:"a call to the next tier carries the time left"`
}

// The kinds of trouble.
const (
	Slow            = "slow"      // providers run Factor times slower
	Silent          = "silent"    // machines go silent and come back cold
	Hang            = "hang"      // providers take work and answer nothing
	Burst           = "burst"     // the rate is multiplied by Factor
	Release         = "release"   // providers are replaced one after another, with drains
	Replace         = "replace"   // providers end and others start at their addresses under new names
	Restart         = "restart"   // proxies of the first tier restart
	Spoil           = "spoil"     // Factor is the part of a provider's answers that are spoilt
	DiscoverySilent = "directory" // the directory answers nothing
	ZoneLoss        = "zone-loss" // a zone's machines go silent
	Reload          = "reload"    // proxies are given Count new configurations; sockets only
	Err             = "err"       // Factor is the part of requests that providers answer with an error at once
	Heavy           = "heavy"     // requests of Tenant are Factor times as much work

	// Between proxies that share: virtual time only. Part is of the proxies, those of the lowest numbers.
	Cut    = "cut"     // they hear no other and are heard by none
	OneWay = "one-way" // no other hears them
	Split  = "split"   // they hear each other alone
	Lossy  = "lossy"   // every way between proxies behaves as Link says
)

// Kinds lists the kinds of trouble.
var Kinds = []string{Slow, Silent, Hang, Burst, Release, Replace, Restart, Spoil, DiscoverySilent, ZoneLoss, Reload, Err, Heavy, Cut, OneWay, Split, Lossy}

// Fault is something that goes wrong for a time.
type Fault struct {
	Kind     string        `yaml:"kind" json:"kind" jsonschema:"enum=slow,enum=silent,enum=hang,enum=burst,enum=release,enum=replace,enum=restart,enum=spoil,enum=directory,enum=zone-loss,enum=reload,enum=err,enum=heavy,enum=cut,enum=one-way,enum=split,enum=lossy"`
	At       time.Duration `yaml:"at" json:"at"`
	For      time.Duration `yaml:"for" json:"for,omitempty"`
	Tier     string        `yaml:"tier" json:"tier,omitempty" jsonschema_description:"default: the first; for slow with part 1 'all' is every tier"`
	Fraction float64       `yaml:"part" json:"part,omitempty" jsonschema_description:"part of the tier's machines, one at least; default 0.1"`
	Factor   float64       `yaml:"factor" json:"factor,omitempty"`
	Zone     string        `yaml:"zone" json:"zone,omitempty"`
	Tenant   string        `yaml:"tenant" json:"tenant,omitempty" jsonschema_description:"heavy: whose requests"`
	Count    int           `yaml:"count" json:"count,omitempty" jsonschema_description:"reload: how many, evenly over the time"`
	Drain    time.Duration `yaml:"drain" json:"drain,omitempty" jsonschema_description:"release: how long each drains; default 4s"`
	Link     badnet.Link   `yaml:"link" json:"link,omitempty" jsonschema_description:"lossy: drop, duplicate, corrupt, reorder, delay, jitter, bytes_per_s"`
	Pause    time.Duration `yaml:"pause" json:"pause,omitempty" jsonschema_description:"release, restart: until the next process runs; default 500ms"`
}

// BetweenProxies tells whether a trouble is one of the network between proxies.
func (t *Fault) BetweenProxies() bool {
	return t.Kind == Cut || t.Kind == OneWay || t.Kind == Split || t.Kind == Lossy
}

// VirtualOnly tells whether the world has something that sockets can't play.
func (w *Scenario) VirtualOnly() bool {
	return w.Load.Uneven > 1 || slices.ContainsFunc(w.Tenants, func(t Tenant) bool { return t.Roams > 0 }) ||
		slices.ContainsFunc(w.Faults, func(t Fault) bool { return t.BetweenProxies() })
}

// TierIndex returns the index of the tier of a name, or -1.
func (w *Scenario) TierIndex(name string) int {
	for i := range w.Tiers {
		if w.Tiers[i].Name == name {
			return i
		}
	}
	return -1
}

// NextTier is the tier that providers of a tier call, or -1.
func (w *Scenario) NextTier(tier int) int {
	if w.Parallel || tier+1 >= len(w.Tiers) {
		return -1
	}
	return tier + 1
}

// ProxyCount is how many proxies send to a tier.
func (w *Scenario) ProxyCount(tier int) int {
	if tier == 0 || w.Parallel {
		return w.Tiers[0].Proxies
	}
	return w.Tiers[tier-1].Endpoints
}

// Balancer returns what a proxy that sends to a tier is told.
func (w *Scenario) Balancer(tier, self, zone int) balancer.Config {
	cfg := balancer.Config{Tier: tier, Tiers: len(w.Tiers), Zone: zone, ReplicaIndex: self, ReplicaCount: w.ProxyCount(tier),
		Subscribe: true, OverQuotaWeight: w.Clients.OverQuotaWeight,
		Limits: balancer.Limits{MaxAttempts: w.Rules.Attempts, MaxOpenRequests: 20000, MaxRetryAfter: w.Rules.MaxRetryAfter,
			ConnectTimeout: w.Tiers[tier].Node.Connect.Timeout, SendRetryAfter: true, AllowHedging: true, AllowCancel: true},
		Contract: balancer.Contract{AnswerSlack: w.Rules.Slack, DrainGrace: w.Rules.Drain, MaxPollInterval: 10 * time.Second,
			InitialCapacity: w.Tiers[tier].Node.Cold.From, WarmUpPeriod: w.Tiers[tier].Node.Cold.For,
			OverloadMultiple: w.Tiers[tier].Node.Cold.Tips, OverloadPeriod: w.Tiers[tier].Node.Cold.Within}}
	for _, c := range w.Classes {
		cfg.Classes = append(cfg.Classes, balancer.Class{Name: c.Name, LatencyObjective: c.LatencyObjective, Deadline: c.Deadline, PriorityWeight: c.PriorityWeight,
			LateWeight: c.LateWeight, Effect: c.EffectKind(), Group: c.GroupKind(), IdempotencyWindow: c.IdempotencyWindow})
	}
	for _, t := range w.Tenants {
		cfg.Tenants = append(cfg.Tenants, balancer.Tenant{Name: t.Name, Quota: t.Quota, Share: t.Share})
	}
	return cfg
}

// EffectKind is the class's effect as the Balancer names it.
func (c *Class) EffectKind() balancer.Effect {
	switch c.Effect {
	case "safe":
		return balancer.Safe
	case "keyed":
		return balancer.Keyed
	}
	return balancer.Unsafe
}

// GroupKind is the extent of the group that drops repeats of the class.
func (c *Class) GroupKind() balancer.Group {
	switch c.Group {
	case "all":
		return balancer.GroupAll
	case "zone":
		return balancer.GroupZone
	}
	return balancer.GroupCell
}

// EndpointID is a stable id of a provider's name, equal at all proxies.
func EndpointID(name string) balancer.EndpointID {
	return balancer.EndpointID(xxhash.Sum64String(name))
}
