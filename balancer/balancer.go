package balancer

import "time"

// Balancer makes the decisions of one replica for one tier. It is not safe for concurrent use.
type Balancer struct {
	cfg     Config
	random  generator
	now     time.Duration
	actions []Action // actions of the current event

	limiter     limiter
	attempts    attemptTable
	stats       classStats
	endpoints   endpointSet
	division    division
	poll        listPoll
	requests    map[RequestID]*request // requests that are unanswered or have an attempt in flight
	pool        requestPool
	queues      keyQueues // requests of classes that are ordered by key
	timers      timerTable
	quotas      []tenantQuota // indexed by tenant
	maxPriority float64       // highest priority weight of all classes
}

// New returns a Balancer for cfg whose random numbers derive from seed. Missing or invalid settings are
// replaced by defaults.
func New(cfg Config, seed uint64) *Balancer {
	cfg.setDefaults()
	b := &Balancer{
		cfg:         cfg,
		random:      generator{seed},
		limiter:     newLimiter(&cfg),
		attempts:    attemptTable{byClass: make([]attemptList, len(cfg.Classes))},
		division:    division{replicas: cfg.ReplicaCount, processes: 1},
		requests:    map[RequestID]*request{},
		queues:      keyQueues{},
		timers:      timerTable{keys: map[uint32]uint64{}},
		quotas:      make([]tenantQuota, len(cfg.Tenants)),
		maxPriority: cfg.maxPriorityWeight(),
	}
	b.stats = newClassStats(cfg.Classes, b.limiter.lmax)
	b.endpoints = newEndpointSet(&b.cfg, &b.division, b.limiter.objective)
	return b
}

// Handle processes one event and returns actions with the resulting actions appended. now must not decrease
// from call to call.
func (b *Balancer) Handle(now time.Duration, event Event, actions []Action) []Action {
	if !b.endpoints.served.started() {
		b.endpoints.served.start(now)
		b.limiter.windowEnd = now
	}
	b.now = max(now, b.now)
	b.actions = actions
	b.updateLimit()
	switch event.Kind {
	case EndpointListUpdated:
		b.listUpdated(&event)
	case RequestArrived:
		b.requestArrived(&event)
	case AttemptEnded:
		b.attemptEnded(&event)
	case ClientLeft:
		b.clientLeft(&event)
	case TimerFired:
		b.timerFired(event.Token)
	}
	actions = b.actions
	b.actions = nil
	return actions
}

func (b *Balancer) timerFired(token uint32) {
	if key, ok := b.timers.take(token); ok {
		b.advance(key)
	} else if token == pollToken && b.poll.scheduled {
		b.poll.scheduled = false
		b.emit(&Action{Kind: Subscribe, Enabled: true})
	}
}
