package config

import (
	"fmt"
	"slices"
	"time"

	"ryerill/message"
)

// Defaults of optional settings.
const (
	defaultCores            = 1.0
	defaultMemoryMB         = 192
	defaultSockets          = 1024
	defaultIdleClose        = 5 * time.Second
	defaultConnectTimeout   = 100 * time.Millisecond
	defaultAnswerSlack      = 20 * time.Millisecond
	defaultMaxAttempts      = 3
	defaultMaxOpenRequests  = 20_000
	defaultMaxRetryAfter    = 2 * time.Second
	defaultDrainGrace       = time.Second
	defaultMaxPollInterval  = 10 * time.Second
	defaultInitialCapacity  = 0.1
	defaultWarmUpPeriod     = 30 * time.Second
	defaultOverloadMultiple = 2
	defaultOverloadPeriod   = time.Second

	// A pool that a reload removes may finish its requests for its longest deadline plus this margin.
	drainMargin = time.Second
)

// setDefault sets a zero value to its default.
func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// setTrue sets an option that the file does not state to true.
func setTrue(value **bool) {
	if *value == nil {
		on := true
		*value = &on
	}
}

// Complete fills in the defaults of the settings that the file leaves out.
func (f *File) Complete() {
	setDefault(&f.Machine.Cores, defaultCores)
	setDefault(&f.Machine.MemoryMB, defaultMemoryMB)
	setDefault(&f.Machine.Sockets, defaultSockets)
	for i := range f.Listeners {
		setDefault(&f.Listeners[i].Name, fmt.Sprintf("listener-%d", i))
	}
	for i := range f.Routes {
		setDefault(&f.Routes[i].Name, fmt.Sprintf("route-%d", i))
	}
	for i := range f.Pools {
		pool := &f.Pools[i]
		pool.inherit(f)
		pool.completeClasses()
		pool.completeZones()
		setDefault(&pool.Tiers, 1)
		setDefault(&pool.ReplicaCount, 1)
		setDefault(&pool.Weight, 1)
		pool.Limits.complete()
		pool.Rules.complete()
		f.completeGuarantee(pool)
		setDefault(&pool.Drain, pool.longestDeadline()+drainMargin)
	}
}

// inherit copies the classes and tenants of the file to a pool that states none.
func (p *PoolFile) inherit(f *File) {
	if len(p.Classes) == 0 {
		p.Classes = slices.Clone(f.Classes)
		p.classesKey = "classes"
	}
	if len(p.Tenants) == 0 {
		p.Tenants = slices.Clone(f.Tenants)
		p.tenantsKey = "tenants"
	}
}

func (p *PoolFile) completeClasses() {
	for i := range p.Classes {
		class := &p.Classes[i]
		setDefault(&class.LatencyObjective, class.Deadline/2)
		setDefault(&class.PriorityWeight, 1)
		setDefault(&class.Effect, "unsafe")
		setDefault(&class.Group, "cell")
	}
}

// completeZones derives missing zones from the pool's own zone and those of its endpoints.
func (p *PoolFile) completeZones() {
	if len(p.Zones) > 0 {
		return
	}
	if p.Zone != "" {
		p.Zones = []string{p.Zone}
	}
	for _, endpoint := range p.Endpoints {
		if endpoint.Zone != "" && !slices.Contains(p.Zones, endpoint.Zone) {
			p.Zones = append(p.Zones, endpoint.Zone)
		}
	}
}

func (p *PoolFile) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, class := range p.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

func (l *LimitsFile) complete() {
	setDefault(&l.MaxAttempts, defaultMaxAttempts)
	setDefault(&l.MaxOpenRequests, defaultMaxOpenRequests)
	setTrue(&l.RetryAfter)
	setTrue(&l.SecondCopies)
	setTrue(&l.Cancel)
	setDefault(&l.MaxRetryAfter, defaultMaxRetryAfter)
	setDefault(&l.ConnectTimeout, defaultConnectTimeout)
	setDefault(&l.IdleClose, defaultIdleClose)
}

func (r *RulesFile) complete() {
	setDefault(&r.AnswerSlack, defaultAnswerSlack)
	setDefault(&r.DrainGrace, defaultDrainGrace)
	setDefault(&r.AskWithin, defaultMaxPollInterval)
	setDefault(&r.InitialCapacity, defaultInitialCapacity)
	setDefault(&r.WarmUpPeriod, defaultWarmUpPeriod)
	setDefault(&r.OverloadMultiple, defaultOverloadMultiple)
	setDefault(&r.OverloadPeriod, defaultOverloadPeriod)
}

// completeGuarantee guarantees each pool an equal part of half of the machine by default. The other half is lent where
// there is demand.
func (f *File) completeGuarantee(pool *PoolFile) {
	connections := f.Machine.Sockets - reservedSockets(f.Admin, f.Fleet != nil)
	machine := ResourcesOf(connections, int64(f.Machine.MemoryMB*(1<<20)))
	parts := 2 * len(f.Pools)
	minSockets := 1
	if pool.Discovery != "" {
		minSockets = 2 // one is for the connection to the discovery service
	}
	guarantee := &pool.Guarantee
	setDefault(&guarantee.Sockets, max(machine.Sockets/parts, minSockets))
	setDefault(&guarantee.BodiesKB, max(machine.Bodies/parts, message.MaxBufferedBody)>>10)
	setDefault(&guarantee.Open, max(machine.Open/parts, 1))
	setDefault(&guarantee.WorkPerS, f.Machine.WorkPerS/parts)
}
