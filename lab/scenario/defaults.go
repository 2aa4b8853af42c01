package scenario

import (
	"reflect"
	"time"
)

// Defaults of what a scenario may leave out.
const (
	defaultZone         = "zone"
	defaultSameDelay    = 200 * time.Microsecond
	defaultCrossDelay   = 7 * time.Millisecond
	defaultClientDelay  = time.Millisecond
	defaultTierWork     = 1
	defaultCores        = 2
	defaultSlots        = 40
	defaultQueueLimit   = 40
	defaultSpeed        = 1
	defaultCancel       = cancelQueued
	defaultColdFrom     = 0.4
	defaultColdFor      = 6 * time.Second
	defaultColdTips     = 2.5
	defaultColdWithin   = time.Second
	defaultCrowdAfter   = 2 * time.Second
	defaultCrowdFactor  = 2.5
	defaultCrowdBelow   = 0.3
	defaultCrowdRest    = 4 * time.Second
	defaultCrowdMost    = 25 * time.Second
	defaultConnectWork  = 4 * time.Millisecond
	defaultConnectTrips = 2
	defaultMaxConnect   = 1500
	defaultIdle         = 5 * time.Second
	defaultConnectTime  = 100 * time.Millisecond

	defaultClassSpread       = 1
	defaultPriorityWeight    = 1
	defaultEffect            = effectSafe
	defaultGroup             = groupCell
	defaultIdempotencyWindow = 10 * time.Second
	defaultTenant            = "everyone"

	defaultShape           = shapeSteady
	defaultPeriod          = 20 * time.Second
	defaultTry             = 0.5
	defaultOverQuotaWeight = 0.2

	defaultDiscoveryLag      = 2 * time.Second
	defaultDiscoveryAdd      = time.Second
	defaultDiscoverySilent   = 10 * time.Second
	defaultDiscoveryCapacity = 50
	defaultDiscoveryTimeout  = time.Second

	defaultSlack         = 20 * time.Millisecond
	defaultDrainGrace    = time.Second
	defaultMaxAttempts   = 6
	defaultMaxRetryAfter = 2 * time.Second

	defaultFaultFraction = 0.1
	defaultFaultDrain    = 4 * time.Second
	defaultFaultPause    = 500 * time.Millisecond
)

// defaultFaultFactors are the factors of the kinds of fault that have a default.
var defaultFaultFactors = map[string]float64{
	Slow:    5,
	Burst:   2,
	Corrupt: 0.3,
	Err:     0.3,
	Heavy:   5,
}

// setDefault gives a value that is zero its default.
func setDefault[T comparable](value *T, other T) {
	var zero T
	if *value == zero {
		*value = other
	}
}

// Complete fills in the defaults of what a scenario leaves out.
func (s *Scenario) Complete() {
	s.Network.complete()
	for i := range s.Tiers {
		s.Tiers[i].complete(&s.Machine)
	}
	for i := range s.Classes {
		s.Classes[i].complete()
	}
	if len(s.Tenants) == 0 {
		s.Tenants = []Tenant{{Name: defaultTenant, Share: 1}}
	}
	setDefault(&s.Load.Shape, defaultShape)
	setDefault(&s.Load.Period, defaultPeriod)
	setDefault(&s.Clients.Try, defaultTry)
	setDefault(&s.Clients.OverQuotaWeight, defaultOverQuotaWeight)
	s.Discovery.complete()
	s.Rules.complete()
	for i := range s.Faults {
		if len(s.Tiers) > 0 {
			setDefault(&s.Faults[i].Tier, s.Tiers[0].Name)
		}
		s.Faults[i].complete()
	}
}

func (n *Network) complete() {
	if len(n.Zones) == 0 {
		n.Zones = []string{defaultZone}
	}
	setDefault(&n.Same, defaultSameDelay)
	setDefault(&n.Cross, defaultCrossDelay)
	setDefault(&n.Client, defaultClientDelay)
}

// complete fills in what a tier leaves out; common is what the scenario states for the machines of all tiers.
func (t *Tier) complete(common *Machine) {
	setDefault(&t.Work, defaultTierWork)
	setDefault(&t.Group, t.Endpoints)
	inherit(reflect.ValueOf(&t.Machine).Elem(), reflect.ValueOf(common).Elem())
	t.Machine.complete()
}

// inherit fills in the zero fields of a structure from another one of its type.
func inherit(to, from reflect.Value) {
	for i := range to.NumField() {
		field := to.Field(i)
		switch {
		case field.Kind() == reflect.Struct:
			inherit(field, from.Field(i))
		case field.IsZero():
			field.Set(from.Field(i))
		}
	}
}

func (m *Machine) complete() {
	setDefault(&m.Cores, defaultCores)
	setDefault(&m.Slots, defaultSlots)
	setDefault(&m.QueueLimit, defaultQueueLimit)
	setDefault(&m.Speed, defaultSpeed)
	setDefault(&m.Cancel, defaultCancel)
	setDefault(&m.Cold.From, defaultColdFrom)
	setDefault(&m.Cold.For, defaultColdFor)
	setDefault(&m.Cold.Tips, defaultColdTips)
	setDefault(&m.Cold.Within, defaultColdWithin)
	setDefault(&m.Crowd.After, defaultCrowdAfter)
	setDefault(&m.Crowd.Factor, defaultCrowdFactor)
	setDefault(&m.Crowd.Below, defaultCrowdBelow)
	setDefault(&m.Crowd.Rest, defaultCrowdRest)
	setDefault(&m.Crowd.Most, defaultCrowdMost)
	setDefault(&m.Connect.Work, defaultConnectWork)
	setDefault(&m.Connect.Trips, defaultConnectTrips)
	setDefault(&m.Connect.Most, defaultMaxConnect)
	setDefault(&m.Connect.Idle, defaultIdle)
	setDefault(&m.Connect.Timeout, defaultConnectTime)
}

func (c *Class) complete() {
	setDefault(&c.Spread, defaultClassSpread)
	setDefault(&c.PriorityWeight, defaultPriorityWeight)
	setDefault(&c.Effect, defaultEffect)
	setDefault(&c.Group, defaultGroup)
	setDefault(&c.IdempotencyWindow, defaultIdempotencyWindow)
}

func (d *Discovery) complete() {
	setDefault(&d.Lag, defaultDiscoveryLag)
	setDefault(&d.Add, defaultDiscoveryAdd)
	setDefault(&d.Silent, defaultDiscoverySilent)
	setDefault(&d.Capacity, defaultDiscoveryCapacity)
	setDefault(&d.Timeout, defaultDiscoveryTimeout)
}

func (r *Rules) complete() {
	setDefault(&r.Slack, defaultSlack)
	setDefault(&r.Drain, defaultDrainGrace)
	setDefault(&r.Attempts, defaultMaxAttempts)
	setDefault(&r.MaxRetryAfter, defaultMaxRetryAfter)
}

func (f *Fault) complete() {
	setDefault(&f.Fraction, defaultFaultFraction)
	setDefault(&f.Drain, defaultFaultDrain)
	setDefault(&f.Pause, defaultFaultPause)
	if factor, ok := defaultFaultFactors[f.Kind]; ok {
		setDefault(&f.Factor, factor)
	}
}
