package config

import (
	"ryerill/admin"
	"ryerill/fairshare"
)

// Resources are the resources that pools share on one machine, or the part that one pool is guaranteed.
type Resources struct {
	Sockets int // connections to endpoints
	Bodies  int // bytes of bodies held in memory
	Open    int // open requests
	Work    int // units of work a second, see [Cost]; 0 divides none
}

const (
	// A body costs as much CPU as one request for each of these many bytes.
	bytesPerWorkUnit = 16 << 10

	// Descriptors reserved for listeners, discovery, standard streams and the runtime.
	reservedAlways = 16

	// Maximum memory of an open request without its body: stacks of goroutines, timers, heads.
	bytesPerOpenRequest = 48 << 10

	minSockets  = 64
	minMemoryMB = 16
)

// WorkUnits returns the units of work of a body, in a request or in its response. The request itself costs one more
// unit.
func WorkUnits(bodyBytes int) int { return (bodyBytes + bytesPerWorkUnit/2) / bytesPerWorkUnit }

// reservedSockets returns the number of descriptors not available to clients and endpoints, including those of the
// management endpoint and the fleet if they are configured.
func reservedSockets(adminAddress string, fleet bool) int {
	n := reservedAlways
	if adminAddress != "" {
		n += admin.Descriptors
	}
	if fleet {
		n += fleetDescriptors
	}
	return n
}

// requiredSockets returns the minimum number of descriptors with which a proxy can serve.
func requiredSockets(adminAddress string, fleet bool) int {
	return minSockets - reservedAlways + reservedSockets(adminAddress, fleet)
}

// LimitSockets lowers the number of descriptors to those that the process may hold. If these are too few it returns
// the number that the proxy requires, else 0.
func (c *Config) LimitSockets(descriptors int) (required int) {
	c.Limits.Sockets = min(c.Limits.Sockets, descriptors)
	required = requiredSockets(c.Admin, c.Fleet != nil)
	if c.Limits.Sockets < required {
		return required
	}
	return 0
}

// Connections returns how many descriptors the connections to clients and endpoints may hold together.
func (c *Config) Connections() int {
	return max(c.Limits.Sockets-reservedSockets(c.Admin, c.Fleet != nil), 2)
}

// ResourcesOf returns the resources of a machine for all pools: half of its connections for endpoints, a quarter of
// its memory (bytes) for bodies, and half of its memory for open requests.
func ResourcesOf(connections int, memory int64) Resources {
	return Resources{
		Sockets: max(connections/2, 0),
		Bodies:  int(memory / 4),
		Open:    int(memory / 2 / bytesPerOpenRequest),
	}
}

// SharedResources returns the resources that the pools of a configuration share.
func (c *Config) SharedResources() Resources {
	shares := ResourcesOf(c.Connections(), c.Limits.Memory)
	shares.Work = c.Limits.Work
	return shares
}

// Claims returns the claims of the pools on a resource, by pool name. pick selects the resource.
func Claims(pools []Pool, pick func(Resources) int) map[string]fairshare.Claim {
	claims := make(map[string]fairshare.Claim, len(pools))
	for _, pool := range pools {
		claims[pool.Name] = fairshare.Claim{Guarantee: pick(pool.Guarantee), Weight: pool.Weight}
	}
	return claims
}
