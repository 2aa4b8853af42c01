package config

import "time"

// File is a configuration in the form written by operators: YAML, of which JSON is a subset. [File.Complete] fills in
// the defaults. The yaml tags are the keys of the settings; their descriptions are part of the JSON Schema.
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

// MachineFile states the resources of the machine that the process may use.
type MachineFile struct {
	Cores    float64 `yaml:"cores,omitempty" json:"cores,omitempty" jsonschema_description:"default 1"`
	MemoryMB float64 `yaml:"memory_mb,omitempty" json:"memory_mb,omitempty" jsonschema_description:"16 or more; default 192"`
	Sockets  int     `yaml:"sockets,omitempty" json:"sockets,omitempty" jsonschema_description:"descriptors, 64 or more; default 1024"`
	WorkPerS int     `yaml:"work_per_s,omitempty" json:"work_per_s,omitempty" jsonschema_description:"requests a second that its CPU can carry, to be divided among pools; a body counts one more for each 16 KiB; 0 divides nothing"`
}

// ListenerFile is an address at which the proxy serves clients.
type ListenerFile struct {
	Name    string `yaml:"name" json:"name"`
	Address string `yaml:"address" json:"address" jsonschema_description:"IP and port, as in 127.0.0.1:7070"`
}

// ClassFile is a class of requests with its objectives.
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

// TenantFile is a tenant with its quota of requests.
type TenantFile struct {
	Name  string  `yaml:"name" json:"name"`
	Quota float64 `yaml:"quota,omitempty" json:"quota,omitempty" jsonschema_description:"requests a second over all copies that earn full worth; 0 is no quota"`
	Share float64 `yaml:"share,omitempty" json:"share,omitempty"`
}

// RouteFile selects the pool of the requests that match it.
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

// PoolFile is a set of endpoints with its limits, classes and tenants.
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

	// Keys of Classes and Tenants in the file if the pool inherits those of the file; empty if they are its own.
	classesKey string
	tenantsKey string
}

// LimitsFile holds the limits of a pool's requests and connections.
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

// RulesFile holds the parameters of the contract between the balancer and clients and endpoints.
type RulesFile struct {
	AnswerSlack      time.Duration `yaml:"answer_slack,omitempty" json:"answer_slack,omitempty" jsonschema_description:"default 20ms"`
	DrainGrace       time.Duration `yaml:"drain_grace,omitempty" json:"drain_grace,omitempty" jsonschema_description:"nothing new to a draining provider after this; default 1s"`
	AskWithin        time.Duration `yaml:"ask_within,omitempty" json:"ask_within,omitempty" jsonschema_description:"default 10s"`
	InitialCapacity  float64       `yaml:"cold_from,omitempty" json:"cold_from,omitempty" jsonschema_description:"part of its capacity that a provider starts with; default 0.1"`
	WarmUpPeriod     time.Duration `yaml:"warm_up,omitempty" json:"warm_up,omitempty" jsonschema_description:"default 30s"`
	OverloadMultiple float64       `yaml:"fall_multiple,omitempty" json:"fall_multiple,omitempty" jsonschema_description:"default 2"`
	OverloadPeriod   time.Duration `yaml:"overload_for,omitempty" json:"overload_for,omitempty" jsonschema_description:"default 1s"`
}

// EndpointFile is an endpoint listed in the file itself.
type EndpointFile struct {
	Name    string `yaml:"name" json:"name"`
	Address string `yaml:"address" json:"address"`
	Zone    string `yaml:"zone,omitempty" json:"zone,omitempty"`
	Group   int    `yaml:"group,omitempty" json:"group,omitempty" jsonschema_description:"providers of one group drop each other's repeats of a key"`
}

// GuaranteeFile is the part of the machine that is reserved for a pool.
type GuaranteeFile struct {
	Sockets  int `yaml:"sockets,omitempty" json:"sockets,omitempty" jsonschema_description:"connections to providers"`
	BodiesKB int `yaml:"bodies_kb,omitempty" json:"bodies_kb,omitempty" jsonschema_description:"memory for the bodies that are held"`
	Open     int `yaml:"open,omitempty" json:"open,omitempty" jsonschema_description:"open invocations, each of which costs goroutines and memory"`
	WorkPerS int `yaml:"work_per_s,omitempty" json:"work_per_s,omitempty" jsonschema_description:"its part of machine.work_per_s"`
}
