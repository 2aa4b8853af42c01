// Package scenario describes a deployment to experiment with: tiers of endpoints, the proxies in front of them,
// clients, the network, the discovery service, and faults. A scenario is a YAML file; two hosts play it, lab/sim in
// virtual time and lab/realtime on sockets.
//
// The package holds data, its checks and its defaults, and decides nothing.
package scenario

import "time"

// Scenario is a whole deployment and what happens to it. A tag states a setting's unit and default.
type Scenario struct {
	Name      string        `yaml:"name" json:"name" jsonschema:"required"`
	About     string        `yaml:"about" json:"about,omitempty" jsonschema_description:"what the world is for, for people"`
	Length    time.Duration `yaml:"length" json:"length" jsonschema_description:"how long consumers ask; 1s to 1h"`
	Warmup    time.Duration `yaml:"warmup" json:"warmup,omitempty" jsonschema_description:"what is asked before this is not counted"`
	Network   Network       `yaml:"network" json:"network,omitempty"`
	Machine   Machine       `yaml:"node" json:"node,omitempty" jsonschema_description:"what the tiers' nodes leave out"`
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

// Network is the network between clients, proxies and endpoints. All delays are one way.
type Network struct {
	Zones  []string      `yaml:"zones" json:"zones,omitempty" jsonschema_description:"default: one zone"`
	Same   time.Duration `yaml:"same" json:"same,omitempty" jsonschema_description:"delay within a zone; default 200us"`
	Cross  time.Duration `yaml:"cross" json:"cross,omitempty" jsonschema_description:"delay between zones; default 7ms"`
	Client time.Duration `yaml:"consumer" json:"consumer,omitempty" jsonschema_description:"delay between consumers and the front; default 1ms"`
	Jitter float64       `yaml:"jitter" json:"jitter,omitempty" jsonschema_description:"a delay grows by up to this part of it; 0 to 2"`
}

// Tier is one kind of endpoint and, for the first tier, the proxies in front of it. Each endpoint of a tier that has a
// next one holds a proxy of its own.
type Tier struct {
	Name      string  `yaml:"name" json:"name"`
	Proxies   int     `yaml:"proxies" json:"proxies,omitempty" jsonschema_description:"first tier only"`
	Endpoints int     `yaml:"providers" json:"providers"`
	Work      float64 `yaml:"work" json:"work" jsonschema_description:"part of a class's work done for each call, above 0"`
	Calls     float64 `yaml:"calls" json:"calls,omitempty" jsonschema_description:"calls to the next tier for each request, on average, one after another"`
	Group     int     `yaml:"group" json:"group,omitempty" jsonschema_description:"providers that drop each other's repeats of a key; default all"`
	Machine   Machine `yaml:"node" json:"node,omitempty"`
}

// Machine is the machine of one endpoint.
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

// Cold is how an endpoint warms up after its start.
type Cold struct {
	From   float64       `yaml:"from" json:"from,omitempty" jsonschema_description:"part of its capacity at the start; default 0.4"`
	For    time.Duration `yaml:"for" json:"for,omitempty" jsonschema_description:"until it is warm; default 6s"`
	Tips   float64       `yaml:"tips" json:"tips,omitempty" jsonschema_description:"sent more than this multiple of its capacity it falls over; default 2.5"`
	Within time.Duration `yaml:"within" json:"within,omitempty" jsonschema_description:"for this long; default 1s"`
}

// Crowd is how an endpoint slows down when too many requests wait for its cores.
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

// Class is one class of request.
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

// Load is the rate of first tries.
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

// Clients is how clients retry.
type Clients struct {
	Retries         int           `yaml:"retries" json:"retries,omitempty" jsonschema_description:"further tries at most"`
	Try             float64       `yaml:"try" json:"try,omitempty" jsonschema_description:"a try is given up after this part of the deadline; default 0.5"`
	Wait            time.Duration `yaml:"wait" json:"wait,omitempty" jsonschema_description:"between tries; 0 is at once"`
	Honour          float64       `yaml:"honour" json:"honour,omitempty" jsonschema_description:"part of consumers that wait as Retry-After says"`
	OverQuotaWeight float64       `yaml:"over_worth" json:"over_worth,omitempty" jsonschema_description:"part of the worth of what goes beyond a quota; default 0.2"`
}

// Discovery is the service that lists endpoints.
type Discovery struct {
	Lag      time.Duration `yaml:"lag" json:"lag,omitempty" jsonschema_description:"until it knows of a drain or an end; default 2s"`
	Add      time.Duration `yaml:"add" json:"add,omitempty" jsonschema_description:"until it knows of a start; default 1s"`
	Silent   time.Duration `yaml:"silent" json:"silent,omitempty" jsonschema_description:"until it knows that a machine went silent; default 10s"`
	Capacity float64       `yaml:"capacity" json:"capacity,omitempty" jsonschema_description:"calls a second for all proxies; default 50"`
	Timeout  time.Duration `yaml:"timeout" json:"timeout,omitempty" jsonschema_description:"a call that waits longer fails; default 1s"`
}

// Rules holds the bounds of the rules that proxies must keep, and what they are allowed.
type Rules struct {
	Slack         time.Duration `yaml:"slack" json:"slack,omitempty" jsonschema_description:"an answer counts this long after the deadline; default 20ms"`
	Drain         time.Duration `yaml:"drain" json:"drain,omitempty" jsonschema_description:"nothing new to a provider this long after word of its drain; default 1s"`
	Attempts      int           `yaml:"attempts" json:"attempts,omitempty" jsonschema_description:"default 6"`
	MaxRetryAfter time.Duration `yaml:"max_retry_after" json:"max_retry_after,omitempty" jsonschema_description:"default 2s"`
	PassDeadline  bool          `yaml:"pass_deadline" json:"pass_deadline,omitempty" jsonschema_description:"a call to the next tier carries the time left"`
}
