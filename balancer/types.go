// Package balancer makes the decisions of a load balancer for services
// that call services. This file is the interface: what a Balancer is told and
// what it answers. Every decision is in balancer.go.
//
// A Balancer is a deterministic state machine. It owns no clock, goroutine or
// socket: the host hands it one [Event] at a time together with the time, and
// carries out the [Action] values it returns.
package balancer

import (
	"math"
	"time"
)

// RequestID names a request at one balancer. It is never used twice.
type RequestID uint64

// EndpointID names a server. It is an opaque value: equal ids mean the same
// server, and nothing else can be read from it.
type EndpointID uint64

// Effect says how often a request of a class may be executed.
type Effect uint8

// The kinds of effect.
const (
	Safe   Effect = iota // may be repeated at will
	Keyed                // carries a key: servers of one group drop repeats for a time
	Unsafe               // must never run twice
)

// Group says which servers drop each other's repeats of a keyed request.
type Group uint8

// The extents of a group.
const (
	GroupAll  Group = iota // all servers
	GroupZone              // the servers of one zone
	GroupCell              // the servers of one cell
)

// Class describes one class of requests.
type Class struct {
	Name              string
	LatencyObjective  time.Duration // an answer within this time earns the full worth
	ObjectivePerWork  float64       // the aim grows by this multiple of a request's own work
	Deadline          time.Duration // the longest time a client waits over all its tries
	PriorityWeight    float64       // worth of an answer within the aim
	LateWeight        float64       // share of the worth left after the aim
	Effect            Effect
	Group             Group         // for Keyed
	IdempotencyWindow time.Duration // for Keyed: how long repeats are dropped
	Streaming         bool
	OrderedByKey      bool // requests with one key run one at a time, as they arrived at this balancer
}

// Tenant describes one customer.
type Tenant struct {
	Name  string
	Quota float64 // requests a second over all nodes that earn full worth; 0 is no quota
	Share float64
}

// Config holds what a Balancer is told at its start. The zero value of a field
// means that nothing is known; New makes do with defaults.
type Config struct {
	Classes         []Class
	Tenants         []Tenant
	Tier            int     // index of the tier that this balancer sends to; 0 is the front
	Tiers           int     // number of tiers in the chain
	Zone            int     // zone of this balancer
	ReplicaIndex    int     // index among the balancers of the tier
	ReplicaCount    int     // number of balancers sending to the tier
	Subscribe       bool    // the server list must be asked for
	WeightByWork    bool    // worth counts for each unit of work rather than each request
	OverQuotaWeight float64 // share of the worth left to a tenant's traffic above its quota
	LoadReportNames []string
	Limits          Limits
	Contract        Contract
	Goal            Goal
}

// complete replaces what is missing or impossible by defaults.
func (cfg *Config) complete() {
	cfg.Classes = append([]Class(nil), cfg.Classes...)
	if len(cfg.Classes) == 0 {
		cfg.Classes = []Class{{Effect: Unsafe}}
	}
	for i := range cfg.Classes {
		c := &cfg.Classes[i]
		orElse(&c.Deadline, 2*max(c.LatencyObjective, time.Second))
		orElse(&c.LatencyObjective, c.Deadline/2)
		orElse(&c.PriorityWeight, 1)
	}
	orElse(&cfg.ReplicaCount, 1)
	orElse(&cfg.Tiers, 1)
	cfg.ReplicaIndex = max(cfg.ReplicaIndex, 0) % cfg.ReplicaCount
	cfg.Tier = min(max(cfg.Tier, 0), cfg.Tiers-1)
	orElse(&cfg.Limits.MaxAttempts, 3)
	orElse(&cfg.Limits.MaxOpenRequests, math.MaxInt)
	orElse(&cfg.Contract.MaxPollInterval, 10*time.Second)
	orElse(&cfg.Contract.InitialCapacity, 0.1)
	orElse(&cfg.Contract.WarmUpPeriod, 30*time.Second)
	orElse(&cfg.Contract.OverloadMultiple, 2)
	orElse(&cfg.Contract.OverloadPeriod, time.Second)
	orElse(&cfg.Contract.KeyQuarantine, 0)
}

func orElse[T int | float64 | time.Duration](v *T, other T) {
	if !(*v > 0) {
		*v = other
	}
}

// Goal says how service is valued where that is not the worth alone.
type Goal struct {
	LogLossWeight float64 // weight of the nines: of how far the unserved share of short spans lies below the whole
	TopNines      float64 // nines that give full marks: with 3 one part in 1,000 may be lost
}

// Limits is what a deployment allows its balancers.
type Limits struct {
	MaxAttempts     int // attempts for each request; 0 is no limit
	MaxOpenRequests int // open requests; 0 is no limit
	MaxRetryAfter   time.Duration
	ConnectTimeout  time.Duration
	SendRetryAfter  bool // clients are shown the retry-after of a refusal
	AllowHedging    bool // two attempts of one request may be out at once
	AllowCancel     bool
	AllowProbes     bool
	AllowPeers      bool
}

// Contract holds the figures of the rules that a Balancer must keep.
type Contract struct {
	AnswerSlack      time.Duration // a final answer counts this long after the deadline
	DrainGrace       time.Duration // nothing new goes to a draining server after this
	MaxPollInterval  time.Duration // longest time between two calls for the list, if not subscribed
	InitialCapacity  float64       // share of its capacity a server starts with, at least
	WarmUpPeriod     time.Duration // a started server is warm after this, at the latest
	OverloadMultiple float64       // a cold server sent more than this multiple of its capacity
	OverloadPeriod   time.Duration // for this long falls over

	// DrainBindsAlone says that a server may still be sent to when the list calls it gone or leaves it
	// out, unless it was called draining before. Otherwise gone binds as draining does.
	OnlyDrainingBinds bool
	// KeyRest is how long the key of a class that keeps order rests after an attempt that may still be
	// running: one that timed out, was cancelled or lost its connection.
	KeyQuarantine time.Duration
}

// EndpointState is the state of a listed server.
type EndpointState uint8

// The states of a server.
const (
	Gone EndpointState = iota
	Ready
	Draining
)

// Endpoint is one entry of a server list.
type Endpoint struct {
	ID        EndpointID
	State     EndpointState
	Zone      int
	Cell      int
	Kind      int
	Weight    float64
	StartedAt time.Duration // clock time of its latest start; 0 is long ago
}

// ListKind says how the Servers of a list event are to be read.
type ListKind uint8

// The kinds of list.
const (
	ListFull    ListKind = iota // the complete list
	ListCached                  // the complete list as last held, perhaps stale
	ListFailed                  // a call for the list failed; no entries
	ListChanges                 // changed entries only
)

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	OK            Outcome = iota // served
	Error                        // error answer; it may have run
	Rejected                     // turned away unseen; it never ran
	Timeout                      // no answer in time; it may have run or be running
	ConnectFailed                // no connection; it never ran
	Reset                        // connection broke; it may have run
	Cancelled                    // cancelled; it may have run
	NotSent                      // not sent; it never ran
)

// String names the outcome as log lines and on-call do.
func (o Outcome) String() string {
	names := [...]string{"ok", "error", "full", "time-out", "no connection", "connection broken", "cancelled", "not sent"}
	if int(o) >= len(names) {
		return "unknown"
	}
	return names[o]
}

// NeverRan reports whether the outcome proves that the attempt was not executed.
func (o Outcome) NeverRan() bool { return o == Rejected || o == ConnectFailed || o == NotSent }

// EventKind tells which fields of an Event are set.
type EventKind uint8

// The kinds of event, each with the fields it sets.
const (
	EndpointListUpdated EventKind = iota + 1 // List, Version, Servers
	RequestArrived                           // Request, Class, Tenant, Key, Remaining, Work, Repeat, Write
	StreamStarted                            // Request, Attempt, Server, Elapsed
	AttemptEnded                             // Request, Attempt, Server, Outcome, Closed, Spent, Elapsed, Load
	ClientLeft                               // Request: the client left; no answer is owed
	TimerFired                               // Token
	ProbeEnded                               // Server, Outcome, Elapsed, Load
	PeerMessageReceived                      // Peer, Payload
)

// Event is something that happened. Slices are read during Handle only.
type Event struct {
	Kind          EventKind
	Outcome       Outcome
	ListKind      ListKind
	RequestClosed bool // the request is finished, by this outcome or earlier
	BodyConsumed  bool // part of the request is gone: it can't be sent again
	ClientRetry   bool // marked by the client as a retry
	Write         bool
	Class         int
	Tenant        int
	Attempt       int
	Token         uint32
	Peer          uint32
	Request       RequestID
	Key           uint64
	Version       uint64
	Endpoint      EndpointID
	Remaining     time.Duration // time until the client gives this try up
	ExpectedWork  time.Duration // expected work; 0 is unknown
	Elapsed       time.Duration // since the attempt was sent
	LoadReport    []float32     // load report in the order of Config.LoadNames
	Endpoints     []Endpoint
	Payload       []byte
}

// ActionKind tells which fields of an Action are set.
type ActionKind uint8

// The kinds of action, each with the fields it sets.
const (
	Send           ActionKind = iota + 1 // Request, Endpoint, Timeout, WriteTimeout
	Shed                                 // Request, RetryAfter. Tells that a retry is harmless
	Fail                                 // Request: final, with no promise
	Cancel                               // Request, Attempt
	SetTimer                             // Delay, Token
	Probe                                // Endpoint
	CloseIdle                            // Endpoint
	SendToPeer                           // Peer, Payload; Peer 0xffff is every peer
	Subscribe                            // Enabled
	FetchEndpoints                       // none
	Log                                  // Text
)

// Action is something that the host is to do.
type Action struct {
	Kind         ActionKind
	Enabled      bool
	Attempt      int
	Token        uint32
	Peer         uint16
	Request      RequestID
	Endpoint     EndpointID
	Timeout      time.Duration // Send: the attempt ends after this
	RetryAfter   time.Duration // Shed: how long the client is asked to wait; 0 if it is told nothing
	Delay        time.Duration // SetTimer: when it fires, from now
	WriteTimeout time.Duration // Send: its last byte has to be out in this time
	Payload      []byte
	Text         string
}
