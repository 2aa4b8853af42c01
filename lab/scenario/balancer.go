package scenario

import (
	"time"

	"ryerill/balancer"
)

const (
	maxOpenRequests = 20_000
	maxPollInterval = 10 * time.Second
)

// Balancer returns the configuration of the balancer of a proxy that sends to a tier: the proxy of an index, in a zone.
func (s *Scenario) Balancer(tier, index, zone int) balancer.Config {
	machine := &s.Tiers[tier].Machine
	config := balancer.Config{
		Tier:            tier,
		Tiers:           len(s.Tiers),
		Zone:            zone,
		ReplicaIndex:    index,
		ReplicaCount:    s.ProxyCount(tier),
		Subscribe:       true,
		OverQuotaWeight: s.Clients.OverQuotaWeight,
		Limits: balancer.Limits{
			MaxAttempts:     s.Rules.Attempts,
			MaxOpenRequests: maxOpenRequests,
			MaxRetryAfter:   s.Rules.MaxRetryAfter,
			ConnectTimeout:  machine.Connect.Timeout,
			SendRetryAfter:  true,
			AllowHedging:    true,
			AllowCancel:     true,
		},
		Contract: balancer.Contract{
			AnswerSlack:      s.Rules.Slack,
			DrainGrace:       s.Rules.Drain,
			MaxPollInterval:  maxPollInterval,
			InitialCapacity:  machine.Cold.From,
			WarmUpPeriod:     machine.Cold.For,
			OverloadMultiple: machine.Cold.Tips,
			OverloadPeriod:   machine.Cold.Within,
		},
	}
	for i := range s.Classes {
		config.Classes = append(config.Classes, s.Classes[i].balancerClass())
	}
	for _, tenant := range s.Tenants {
		config.Tenants = append(config.Tenants, balancer.Tenant{
			Name:  tenant.Name,
			Quota: tenant.Quota,
			Share: tenant.Share,
		})
	}
	return config
}

func (c *Class) balancerClass() balancer.Class {
	return balancer.Class{
		Name:              c.Name,
		LatencyObjective:  c.LatencyObjective,
		Deadline:          c.Deadline,
		PriorityWeight:    c.PriorityWeight,
		LateWeight:        c.LateWeight,
		Effect:            c.EffectKind(),
		Group:             c.GroupKind(),
		IdempotencyWindow: c.IdempotencyWindow,
	}
}

// Values of a class's effect and group.
const (
	effectSafe   = "safe"
	effectKeyed  = "keyed"
	effectUnsafe = "unsafe"
	groupAll     = "all"
	groupZone    = "zone"
	groupCell    = "group"
)

// EffectKind returns the class's effect as the balancer names it.
func (c *Class) EffectKind() balancer.Effect {
	switch c.Effect {
	case effectSafe:
		return balancer.Safe
	case effectKeyed:
		return balancer.Keyed
	}
	return balancer.Unsafe
}

// GroupKind returns which endpoints drop repeats of the class, as the balancer names it.
func (c *Class) GroupKind() balancer.Group {
	switch c.Group {
	case groupAll:
		return balancer.GroupAll
	case groupZone:
		return balancer.GroupZone
	}
	return balancer.GroupCell
}
