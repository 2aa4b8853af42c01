package scenario

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"ryerill/balancer"
)

// VirtualOnly reports whether the scenario has something that can't be played on sockets.
func (s *Scenario) VirtualOnly() bool {
	return s.Load.Uneven > 1 || slices.ContainsFunc(s.Tenants, func(t Tenant) bool { return t.Roams > 0 }) ||
		slices.ContainsFunc(s.Faults, func(f Fault) bool { return f.BetweenProxies() })
}

// TierIndex returns the index of the tier of a name, or -1.
func (s *Scenario) TierIndex(name string) int {
	return slices.IndexFunc(s.Tiers, func(t Tier) bool { return t.Name == name })
}

// NextTier returns the index of the tier that endpoints of a tier call, or -1.
func (s *Scenario) NextTier(tier int) int {
	if s.Parallel || tier+1 >= len(s.Tiers) {
		return -1
	}
	return tier + 1
}

// ProxyCount returns how many proxies send to a tier.
func (s *Scenario) ProxyCount(tier int) int {
	if tier == 0 || s.Parallel {
		return s.Tiers[0].Proxies
	}
	return s.Tiers[tier-1].Endpoints
}

// EndpointID returns a stable id of an endpoint's name, equal at all proxies.
func EndpointID(name string) balancer.EndpointID {
	return balancer.EndpointID(xxhash.Sum64String(name))
}
