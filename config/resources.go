package config

import (
	"ryerill/admin"
	"ryerill/fairshare"
)

// Shares is what pools share of one machine, or the part of it that one of them is guaranteed.
type Shares struct {
	Sockets int // connections to endpoints
	Bodies  int // bytes of the bodies that are held in memory
	Open    int // open requests
	Work    int // units of CPU a second, see [Cost]; 0 divides nothing
}

const (
	// A body costs as much CPU as a request for each so many bytes.
	bytesPerWorkUnit = 16 << 10

	// Descriptors kept back for listeners, discovery, standard streams and the runtime's own use.
	reservedAlways = 16

	// Memory that an open request takes beyond its body, at most: stacks of goroutines, timers, heads.
	bytesPerOpenRequest = 48 << 10

	minSockets  = 64
	minMemoryMB = 16
)

// Cost is how many units of work a body, of a request or of the answer to one, takes. The request itself takes one
// more.
func Cost(bodyBytes int) int { return (bodyBytes + bytesPerWorkUnit/2) / bytesPerWorkUnit }

// reservedSockets are the descriptors kept back from clients and endpoints, for the management endpoint and the fleet
// too where there is one.
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

// requiredSockets is the least number of descriptors with which a proxy can serve.
func requiredSockets(adminAddress string, fleet bool) int {
	return minSockets - reservedAlways + reservedSockets(adminAddress, fleet)
}

// LimitSockets lowers the number of descriptors to what the process may hold. It returns how many the proxy requires
// if these are too few, else 0.
func (c *Config) LimitSockets(descriptors int) (required int) {
	c.Limits.Sockets = min(c.Limits.Sockets, descriptors)
	required = requiredSockets(c.Admin, c.Fleet != nil)
	if c.Limits.Sockets < required {
		return required
	}
	return 0
}

// Connections is how many descriptors connections to clients and endpoints may hold together.
func (c *Config) Connections() int {
	return max(c.Limits.Sockets-reservedSockets(c.Admin, c.Fleet != nil), 2)
}

// ResourcesOf is what a machine has for all pools: half of its connections for endpoints, a quarter of its memory
// (bytes) for bodies, and half of it for open requests.
func ResourcesOf(connections int, memory int64) Shares {
	return Shares{
		Sockets: max(connections/2, 0),
		Bodies:  int(memory / 4),
		Open:    int(memory / 2 / bytesPerOpenRequest),
	}
}

// Shared is what the pools of a configuration share.
func (c *Config) Shared() Shares {
	shares := ResourcesOf(c.Connections(), c.Limits.Memory)
	shares.Work = c.Limits.Work
	return shares
}

// Claims are the pools' claims, by name, on the kind of resource that pick selects.
func Claims(pools []Pool, pick func(Shares) int) map[string]fairshare.Claim {
	claims := make(map[string]fairshare.Claim, len(pools))
	for _, pool := range pools {
		claims[pool.Name] = fairshare.Claim{Guarantee: pick(pool.Guarantee), Weight: pool.Weight}
	}
	return claims
}
