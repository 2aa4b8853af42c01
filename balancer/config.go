package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Effect is how often a request of a class may be executed.
type Effect uint8

// The kinds of effect.
const (
	Safe   Effect = iota // may be repeated at will
	Keyed                // carries an idempotency key: the endpoints of one group drop repeats for a time
	Unsafe               // must never be executed twice
)

// Group is which endpoints drop each other's repeats of a keyed request.
type Group uint8

// The extents of a group.
const (
	GroupAll  Group = iota // all endpoints
	GroupZone              // the endpoints of one zone
	GroupCell              // the endpoints of one cell
)

// holdsBoth reports whether two endpoints are in one group.
func (g Group) holdsBoth(x, y *Endpoint) bool {
	return g == GroupAll || g == GroupZone && x.Zone == y.Zone || g == GroupCell && x.Cell == y.Cell
}

// Class describes one class of requests.
type Class struct {
	Name              string
	LatencyObjective  time.Duration // an answer within this time has the full value
	ObjectivePerWork  float64       // the objective grows by this multiple of a request's own work
	Deadline          time.Duration // the longest time that a client waits, over all its retries
	PriorityWeight    float64       // value of an answer within the objective
	LateWeight        float64       // fraction of the value that is left after the objective
	Effect            Effect
	Group             Group         // for Keyed
	IdempotencyWindow time.Duration // for Keyed: how long repeats are dropped
	Streaming         bool
	OrderedByKey      bool // requests with one key run one at a time, in the order of their arrival
}

// Tenant describes one customer.
type Tenant struct {
	Name  string
	Quota float64 // requests a second over all replicas that have their full value; 0 is no quota
	Share float64
}

// Config holds the settings of a Balancer. The zero value of a field means that nothing is known; New makes
// do with defaults.
type Config struct {
	Classes         []Class
	Tenants         []Tenant
	Tier            int     // index of the tier that this balancer sends to; 0 is the front
	Tiers           int     // number of tiers in the chain
	Zone            int     // zone of this balancer
	ReplicaIndex    int     // index among the replicas that send to the tier
	ReplicaCount    int     // number of replicas that send to the tier
	Subscribe       bool    // the host must be asked to watch the endpoint list
	WeightByWork    bool    // values count for each unit of work rather than for each request
	OverQuotaWeight float64 // fraction of the value that is left to a tenant's requests above its quota
	LoadReportNames []string
	Limits          Limits
	Contract        Contract
	Goal            Goal
}

// Goal is how service is valued where that is not by priority weights alone.
type Goal struct {
	// LogLossWeight is the weight of the nines: of how far the unserved fraction of short spans lies below the
	// whole.
	LogLossWeight float64
	TopNines      float64 // nines that give full marks: with 3 one part in 1,000 may be lost
}

// Limits is what a deployment allows its balancers.
type Limits struct {
	MaxAttempts     int           // attempts for each request; 0 is the default, 3
	MaxOpenRequests int           // open requests; 0 is no limit
	MaxRetryAfter   time.Duration // of Action.RetryAfter
	ConnectTimeout  time.Duration
	SendRetryAfter  bool // clients are shown the retry-after of a shed request
	AllowHedging    bool // two attempts of one request may be in flight at once
	AllowCancel     bool // Cancel may be returned
	AllowProbes     bool // Probe may be returned
	AllowPeers      bool // SendToPeer may be returned
}

// Contract holds the figures of the rules that a Balancer must keep.
type Contract struct {
	AnswerSlack      time.Duration // a final answer counts this long after the deadline
	DrainGrace       time.Duration // nothing new goes to a draining endpoint after this
	MaxPollInterval  time.Duration // longest time between two requests for the list, if not subscribed
	InitialCapacity  float64       // fraction of its capacity that an endpoint starts with, at least
	WarmUpPeriod     time.Duration // an endpoint that started is warm after this, at the latest
	OverloadMultiple float64       // an endpoint that warms up and is sent more than this multiple of its capacity
	OverloadPeriod   time.Duration // for this long becomes overloaded

	// OnlyDrainingBinds says that an endpoint may still be sent to when the list names it gone or leaves it out,
	// unless it was named draining before. Otherwise gone binds as draining does.
	OnlyDrainingBinds bool
	// KeyQuarantine is how long a key of a class that is ordered by key is held back after an attempt that may
	// still be running: one that timed out, was cancelled or lost its connection.
	KeyQuarantine time.Duration
}

// capacity is the fraction of its full capacity that an endpoint has at least, some time after its start.
func (c *Contract) capacity(age time.Duration) float64 {
	return c.InitialCapacity + (1-c.InitialCapacity)*float64(age)/float64(c.WarmUpPeriod)
}

// complete replaces what is missing or impossible by defaults.
func (cfg *Config) complete() {
	cfg.Classes = append([]Class(nil), cfg.Classes...)
	if len(cfg.Classes) == 0 {
		cfg.Classes = []Class{{Effect: Unsafe}}
	}
	for i := range cfg.Classes {
		class := &cfg.Classes[i]
		setDefault(&class.Deadline, 2*max(class.LatencyObjective, time.Second))
		setDefault(&class.LatencyObjective, class.Deadline/2)
		setDefault(&class.PriorityWeight, 1)
	}
	setDefault(&cfg.ReplicaCount, 1)
	setDefault(&cfg.Tiers, 1)
	cfg.ReplicaIndex = max(cfg.ReplicaIndex, 0) % cfg.ReplicaCount
	cfg.Tier = min(max(cfg.Tier, 0), cfg.Tiers-1)
	cfg.Limits.complete()
	setDefault(&cfg.Contract.MaxPollInterval, 10*time.Second)
	setDefault(&cfg.Contract.InitialCapacity, 0.1)
	setDefault(&cfg.Contract.WarmUpPeriod, 30*time.Second)
	setDefault(&cfg.Contract.OverloadMultiple, 2)
	setDefault(&cfg.Contract.OverloadPeriod, time.Second)
	setDefault(&cfg.Contract.KeyQuarantine, 0)
}

// complete replaces what is missing or impossible by defaults.
func (l *Limits) complete() {
	setDefault(&l.MaxAttempts, 3)
	setDefault(&l.MaxOpenRequests, math.MaxInt)
}

// setDefault replaces a setting that is not positive, or no number.
func setDefault[T int | float64 | time.Duration](setting *T, value T) {
	if *setting > 0 {
		return
	}
	*setting = value
}

// classIndex is the index of a class, that of the first for one that is unknown.
func (cfg *Config) classIndex(class int) int {
	if class < 0 || class >= len(cfg.Classes) {
		return 0
	}
	return class
}

// maxPriorityWeight is the highest priority weight of a class.
func (cfg *Config) maxPriorityWeight() (weight float64) {
	for i := range cfg.Classes {
		weight = max(weight, cfg.Classes[i].PriorityWeight)
	}
	return weight
}

// maxLateWeight is the highest late weight of a class.
func (cfg *Config) maxLateWeight() float64 {
	latest := slices.MaxFunc(cfg.Classes, func(x, y Class) int { return cmp.Compare(x.LateWeight, y.LateWeight) })
	return latest.LateWeight
}

// shortestObjective is the shortest latency objective of a class.
func (cfg *Config) shortestObjective() time.Duration {
	shortest := cfg.Classes[0].LatencyObjective
	for i := range cfg.Classes {
		shortest = min(shortest, cfg.Classes[i].LatencyObjective)
	}
	return shortest
}
