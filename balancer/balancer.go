package balancer

import "time"

// Balancer decides for one replica. It is not safe for concurrent use.
type Balancer struct {
	cfg     Config
	random  generator
	now     time.Duration
	actions []Action // of the event that is being handled

	limiter     limiter
	attempts    attemptTable // in flight
	stats       classStats
	endpoints   endpointSet
	division    division
	poll        listPoll
	requests    map[RequestID]*request // not answered, or with an attempt in flight
	pool        requestPool
	queues      keyQueues // of classes that are ordered by key
	timers      timerTable
	quotas      []tenantQuota // by tenant
	maxPriority float64       // the highest priority weight of a class
}

// New returns a Balancer for cfg that draws its random numbers from seed. Settings that are missing or
// impossible get defaults.
func New(cfg Config, seed uint64) *Balancer {
	cfg.complete()
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

// Handle takes one event and returns actions with what the host is to do appended. Times must not go back.
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
		b.act(&Action{Kind: Subscribe, Enabled: true})
	}
}
