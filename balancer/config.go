package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Effect states whether a request of a class may be executed more than once.
type Effect uint8

// The kinds of effect.
const (
	Safe   Effect = iota // may be executed any number of times
	Keyed                // has an idempotency key, by which the endpoints of one group drop repeats
	Unsafe               // must not be executed twice
)

// Group is the set of endpoints that drop each other's repeats of a keyed request.
type Group uint8

// The extents of a group.
const (
	GroupAll  Group = iota // all endpoints
	GroupZone              // the endpoints of one zone
	GroupCell              // the endpoints of one cell
)

// sameGroup reports whether two endpoints are in the same group.
func (g Group) sameGroup(x, y *Endpoint) bool {
	return g == GroupAll || g == GroupZone && x.Zone == y.Zone || g == GroupCell && x.Cell == y.Cell
}

// Class describes one class of requests.
type Class struct {
	Name              string
	LatencyObjective  time.Duration // an answer within this time has its full value
	ObjectivePerWork  float64       // this multiple of a request's expected work is added to its objective
	Deadline          time.Duration // longest time that a client waits, over all its retries
	PriorityWeight    float64       // value of an answer within the objective
	LateWeight        float64       // fraction of the value that remains after the objective
	Effect            Effect
	Group             Group         // Keyed only
	IdempotencyWindow time.Duration // Keyed only: how long endpoints drop repeats
	Streaming         bool
	OrderedByKey      bool // requests with the same key run one at a time, in order of arrival
}

// Tenant describes one customer.
type Tenant struct {
	Name  string
	Quota float64 // requests per second over all replicas that have their full value; 0 means no quota
	Share float64
}

// Config holds the settings of a Balancer. A zero field means unknown; New sets defaults where
// needed.
type Config struct {
	Classes         []Class
	Tenants         []Tenant
	Tier            int     // index of the tier that this balancer sends to; it is at the front if 0
	Tiers           int     // number of tiers in the chain
	Zone            int     // zone of this balancer
	ReplicaIndex    int     // index among the replicas that send to the tier
	ReplicaCount    int     // number of replicas that send to the tier
	Subscribe       bool    // the Balancer must emit Subscribe to receive endpoint lists
	WeightByWork    bool    // values count per unit of work instead of per request
	OverQuotaWeight float64 // fraction of the value that a tenant's requests above its quota keep
	LoadReportNames []string
	Limits          Limits
	Contract        Contract
	Goal            Goal
}

// Goal states how service is valued beyond the priority weights.
type Goal struct {
	// LogLossWeight is the weight of availability counted in nines: the orders of magnitude by which the
	// unserved fraction of short spans lies below 1.
	LogLossWeight float64
	TopNines      float64 // nines that score in full; with 3, 1 of 1,000 may be unserved
}

// Limits holds the bounds and permissions that a deployment sets for its balancers.
type Limits struct {
	MaxAttempts     int           // attempts per request; 0 means the default, 3
	MaxOpenRequests int           // open requests; 0 means no limit
	MaxRetryAfter   time.Duration // upper bound of Action.RetryAfter
	ConnectTimeout  time.Duration
	SendRetryAfter  bool // Shed actions carry a retry-after
	AllowHedging    bool // two attempts of one request may be in flight at once
	AllowCancel     bool // Cancel may be emitted
	AllowProbes     bool // Probe may be emitted
	AllowPeers      bool // SendToPeer may be emitted
}

// Contract holds the parameters of the rules that a Balancer must keep.
type Contract struct {
	AnswerSlack      time.Duration // a final answer still counts this long after the deadline
	DrainGrace       time.Duration // time after which a draining endpoint must get no new attempt
	MaxPollInterval  time.Duration // longest time between two requests for the list, if not subscribed
	InitialCapacity  float64       // minimum fraction of its full capacity that an endpoint starts with
	WarmUpPeriod     time.Duration // maximum time from an endpoint's start until it is warm
	OverloadMultiple float64       // multiple of its capacity at which a warming endpoint becomes overloaded
	OverloadPeriod   time.Duration // time above OverloadMultiple after which it becomes overloaded

	// OnlyDrainingBinds permits attempts to an endpoint that the list names gone or omits, unless the
	// endpoint was listed as draining before. If false, gone endpoints get no attempts either.
	OnlyDrainingBinds bool
	// KeyQuarantine is how long the queue of a key pauses after an attempt that may still be running, because
	// it timed out, was cancelled or lost its connection.
	KeyQuarantine time.Duration
}

// capacity returns the minimum fraction of its full capacity that an endpoint has at an age.
func (c *Contract) capacity(age time.Duration) float64 {
	return c.InitialCapacity + (1-c.InitialCapacity)*float64(age)/float64(c.WarmUpPeriod)
}

// setDefaults replaces missing and invalid settings by defaults.
func (cfg *Config) setDefaults() {
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
	cfg.Limits.setDefaults()
	setDefault(&cfg.Contract.MaxPollInterval, 10*time.Second)
	setDefault(&cfg.Contract.InitialCapacity, 0.1)
	setDefault(&cfg.Contract.WarmUpPeriod, 30*time.Second)
	setDefault(&cfg.Contract.OverloadMultiple, 2)
	setDefault(&cfg.Contract.OverloadPeriod, time.Second)
	setDefault(&cfg.Contract.KeyQuarantine, 0)
}

// setDefaults replaces missing and invalid limits by defaults.
func (l *Limits) setDefaults() {
	setDefault(&l.MaxAttempts, 3)
	setDefault(&l.MaxOpenRequests, math.MaxInt)
}

// setDefault sets *setting to value unless it is positive. NaN counts as not positive.
func setDefault[T int | float64 | time.Duration](setting *T, value T) {
	if *setting > 0 {
		return
	}
	*setting = value
}

// classIndex returns class, or 0 if class is out of range.
func (cfg *Config) classIndex(class int) int {
	if class < 0 || class >= len(cfg.Classes) {
		return 0
	}
	return class
}

// maxPriorityWeight returns the highest priority weight of all classes.
func (cfg *Config) maxPriorityWeight() (weight float64) {
	for i := range cfg.Classes {
		weight = max(weight, cfg.Classes[i].PriorityWeight)
	}
	return weight
}

// maxLateWeight returns the highest late weight of all classes.
func (cfg *Config) maxLateWeight() float64 {
	latest := slices.MaxFunc(cfg.Classes, func(x, y Class) int { return cmp.Compare(x.LateWeight, y.LateWeight) })
	return latest.LateWeight
}

// shortestObjective returns the shortest latency objective of all classes.
func (cfg *Config) shortestObjective() time.Duration {
	shortest := cfg.Classes[0].LatencyObjective
	for i := range cfg.Classes {
		shortest = min(shortest, cfg.Classes[i].LatencyObjective)
	}
	return shortest
}
