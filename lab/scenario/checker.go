package scenario

import (
	"fmt"
	"math"
	"strings"
	"time"

	"ryerill/internal/yamlfile"
)

// The most that a scenario may have: a run's memory grows with them.
const (
	maxEndpoints = 20_000
	maxProxies   = 2_000
	maxRate      = 200_000 // first tries a second

	maxLength        = time.Hour
	maxChainedTiers  = 4
	maxParallelTiers = 64
	maxReloads       = 10_000
)

// allTiers is what a fault of every tier names as its tier.
const allTiers = "all"

// Values of settings that are one of a few words.
const (
	cancelQueued = "queued"
	cancelAll    = "all"
	shapeSteady  = "steady"
	shapeWave    = "wave"
	shapeBursty  = "bursty"
)

// Check returns all problems of a completed scenario.
func (s *Scenario) Check() []yamlfile.Problem {
	c := checker{
		scenario: s,
		zones:    map[string]bool{},
		tiers:    map[string]bool{allTiers: true},
		classes:  map[string]bool{},
		tenants:  map[string]bool{},
	}
	c.name("name", s.Name, map[string]bool{})
	c.Duration("length", s.Length, time.Second, maxLength)
	c.Duration("warmup", s.Warmup, 0, s.Length)
	c.checkNetwork()
	c.checkTiers()
	c.checkClasses()
	c.checkTenants()
	c.checkLoad()
	c.Number("consumers.retries", float64(s.Clients.Retries), 0, 20)
	c.Number("consumers.try", s.Clients.Try, 0.01, 1)
	c.Number("consumers.honour", s.Clients.Honour, 0, 1)
	c.Number("directory.capacity", s.Discovery.Capacity, 0.1, 1e9)
	c.Number("rules.attempts", float64(s.Rules.Attempts), 1, 20)
	for i := range s.Faults {
		c.checkFault(fmt.Sprintf("troubles[%d].", i), &s.Faults[i])
	}
	return c.Problems
}

// checker collects the problems of a scenario, and the names that it defines.
type checker struct {
	yamlfile.Checker
	scenario *Scenario
	zones    map[string]bool
	tiers    map[string]bool
	classes  map[string]bool
	tenants  map[string]bool
}

// name requires a well-formed name that is not among those seen, and adds it to them.
func (c *checker) name(key, value string, seen map[string]bool) {
	switch {
	case value == "" || strings.ContainsFunc(value, isForbidden):
		c.Bad(key, value, "small letters, digits and dashes")
	case seen[value]:
		c.Bad(key, value, "a name that stands once")
	}
	seen[value] = true
}

// isForbidden reports whether a name may not have a character.
func isForbidden(r rune) bool {
	isLetter := r >= 'a' && r <= 'z'
	isDigit := r >= '0' && r <= '9'
	return !isLetter && !isDigit && r != '-'
}

func (c *checker) checkNetwork() {
	network := &c.scenario.Network
	for i, zone := range network.Zones {
		c.name(fmt.Sprintf("network.zones[%d]", i), zone, c.zones)
	}
	c.Duration("network.same", network.Same, 0, time.Second)
	c.Duration("network.cross", network.Cross, 0, time.Second)
	c.Duration("network.consumer", network.Client, 0, time.Second)
	c.Number("network.jitter", network.Jitter, 0, 2)
}

func (c *checker) checkTiers() {
	count := len(c.scenario.Tiers)
	highest := maxChainedTiers
	if c.scenario.Parallel {
		highest = maxParallelTiers
	}
	if count == 0 || count > highest {
		c.Bad("tiers", count, fmt.Sprintf("1 to %d tiers", highest))
	}
	for i := range c.scenario.Tiers {
		c.checkTier(fmt.Sprintf("tiers[%d].", i), i)
	}
}

func (c *checker) checkTier(key string, index int) {
	tier := &c.scenario.Tiers[index]
	c.name(key+"name", tier.Name, c.tiers)
	c.Number(key+"providers", float64(tier.Endpoints), 1, maxEndpoints)
	if index == 0 {
		c.Number(key+"proxies", float64(tier.Proxies), 1, maxProxies)
	} else if tier.Proxies != 0 {
		c.Bad(key+"proxies", tier.Proxies, "no value: each provider of the tier before holds one")
	}
	if c.scenario.NextTier(index) >= 0 {
		c.Number(key+"calls", tier.Calls, 0, 20)
		if tier.Endpoints > maxProxies {
			c.Bad(key+"providers", tier.Endpoints,
				fmt.Sprintf("at most %d, as each holds a proxy for the next tier", maxProxies))
		}
	} else if tier.Calls != 0 {
		c.Bad(key+"calls", tier.Calls, "no value: there is no next tier")
	}
	c.Number(key+"work", tier.Work, 1e-6, 100)
	c.Number(key+"group", float64(tier.Group), 1, maxEndpoints)
	c.checkMachine(key+"node.", &tier.Machine)
}

func (c *checker) checkMachine(key string, machine *Machine) {
	c.Number(key+"cores", machine.Cores, 0.01, 1024)
	c.Number(key+"slots", float64(machine.Slots), 1, 1e6)
	c.Number(key+"room", float64(machine.QueueLimit), 0, 1e6)
	c.Number(key+"speed", machine.Speed, 0.001, 1000)
	c.Number(key+"spread", machine.Spread, 0, 2)
	c.Number(key+"errors", machine.Errors, 0, 1)
	c.OneOf(key+"cancel", machine.Cancel, cancelQueued, cancelAll)
	c.Number(key+"cold.from", machine.Cold.From, 0.01, 1)
	c.Duration(key+"cold.for", machine.Cold.For, 0, time.Hour)
	c.Number(key+"cold.tips", machine.Cold.Tips, 1, 100)
	c.Duration(key+"cold.within", machine.Cold.Within, time.Millisecond, time.Minute)
	c.Number(key+"crowd.at", machine.Crowd.At, 0, 1000)
	c.Duration(key+"crowd.after", machine.Crowd.After, 0, maxLength)
	c.Number(key+"crowd.factor", machine.Crowd.Factor, 1, 100)
	c.Duration(key+"crowd.rest", machine.Crowd.Rest, 0, maxLength)
	c.Duration(key+"crowd.most", machine.Crowd.Most, 0, maxLength)
	c.Number(key+"connect.trips", machine.Connect.Trips, 0, 10)
	c.Number(key+"connect.most", float64(machine.Connect.Most), 1, 1e6)
	c.Duration(key+"connect.idle", machine.Connect.Idle, time.Millisecond, time.Hour)
	c.Duration(key+"connect.timeout", machine.Connect.Timeout, time.Millisecond, time.Minute)
}

func (c *checker) checkClasses() {
	if len(c.scenario.Classes) == 0 {
		c.Bad("classes", 0, "one class or more")
	}
	for i := range c.scenario.Classes {
		c.checkClass(fmt.Sprintf("classes[%d].", i), &c.scenario.Classes[i])
	}
}

func (c *checker) checkClass(key string, class *Class) {
	c.name(key+"name", class.Name, c.classes)
	c.Number(key+"share", class.Share, 0, 1e6)
	c.Duration(key+"work", class.Work, time.Microsecond, time.Minute)
	c.Number(key+"spread", class.Spread, 0, 10)
	c.Duration(key+"aim", class.LatencyObjective, time.Millisecond, time.Hour)
	c.Duration(key+"deadline", class.Deadline, class.LatencyObjective, time.Hour)
	c.Number(key+"worth", class.PriorityWeight, 0, math.MaxFloat32)
	c.Number(key+"late", class.LateWeight, 0, 1)
	c.OneOf(key+"effect", class.Effect, effectSafe, effectKeyed, effectUnsafe)
	c.OneOf(key+"group", class.Group, groupAll, groupZone, groupCell)
	switch {
	case c.scenario.Parallel && c.scenario.TierIndex(class.Tier) < 0:
		c.Bad(key+"tier", class.Tier, "the name of a tier: they are parallel")
	case !c.scenario.Parallel && class.Tier != "":
		c.Bad(key+"tier", class.Tier, "no value: the tiers are a chain")
	}
}

func (c *checker) checkTenants() {
	for i := range c.scenario.Tenants {
		tenant := &c.scenario.Tenants[i]
		key := fmt.Sprintf("tenants[%d].", i)
		c.name(key+"name", tenant.Name, c.tenants)
		c.Number(key+"share", tenant.Share, 0, 1e6)
		c.Number(key+"quota", tenant.Quota, 0, 1e9)
		if tenant.Roams != 0 {
			c.Duration(key+"roams", tenant.Roams, time.Millisecond, maxLength)
		}
	}
}

func (c *checker) checkLoad() {
	load := &c.scenario.Load
	c.Number("load.rate", load.Rate, 0.01, maxRate)
	c.OneOf("load.shape", load.Shape, shapeSteady, shapeWave, shapeBursty)
	c.Number("load.swing", load.Swing, 0, 1)
	if load.Uneven != 0 {
		c.Number("load.uneven", load.Uneven, 1, 1e6)
	}
	for i, step := range load.Steps {
		c.Number(fmt.Sprintf("load.steps[%d].factor", i), step.Factor, 0, 100)
	}
}

// checkFault checks a fault. The names of tiers, tenants and zones must be known.
func (c *checker) checkFault(key string, fault *Fault) {
	c.OneOf(key+"kind", fault.Kind, Kinds...)
	c.Duration(key+"at", fault.At, 0, c.scenario.Length)
	if fault.hasLength() {
		c.Duration(key+"for", fault.For, time.Millisecond, maxLength)
	}
	if !c.tiers[fault.Tier] {
		c.Bad(key+"tier", fault.Tier, "the name of a tier")
	}
	c.Number(key+"part", fault.Fraction, 0, 1)
	c.Number(key+"factor", fault.Factor, 0, 100)
	if err := fault.Link.Check(); err != nil {
		c.Bad(key+"link", fault.Link, err.Error())
	}
	c.checkFaultOfKind(key, fault)
}

// checkFaultOfKind checks what only one kind of fault requires.
func (c *checker) checkFaultOfKind(key string, fault *Fault) {
	switch fault.Kind {
	case Burst:
		if fault.Factor < 1 {
			c.Bad(key+"factor", fault.Factor, "1 or more: steps of the load make it fall")
		}
	case Heavy:
		if !c.tenants[fault.Tenant] {
			c.Bad(key+"tenant", fault.Tenant, "the name of a tenant")
		}
	case Corrupt, Err:
		c.Number(key+"factor", fault.Factor, 0, 1)
	case Reload:
		c.Number(key+"count", float64(fault.Count), 1, maxReloads)
	case ZoneLoss:
		if !c.zones[fault.Zone] {
			c.Bad(key+"zone", fault.Zone, "the name of a zone")
		}
	}
}
