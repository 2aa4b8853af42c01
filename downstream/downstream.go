// Package downstream serves clients: it accepts their connections, reads requests from them and writes the results.
package downstream

import (
	"net/http"
	"time"

	"ryerill/balancer"
	"ryerill/drain"
	"ryerill/message"
)

// PoolClasses is what the settings of a pool state about requests: classes and tenants, by index.
type PoolClasses struct {
	Classes   []string          // names
	Deadlines []time.Duration   // by class: for requests that state none
	Effects   []balancer.Effect // by class
	Tenants   []string          // names
	AnyPath   bool              // a class need not be the first segment of the path
}

// Service is the pool that a request goes to.
type Service interface {
	message.Handler
	Classes() *PoolClasses

	// ReserveBody reserves memory for a body of so many bytes at most, and returns the function that releases it. It
	// reports false if there is none now.
	ReserveBody(bytes int) (release func(), ok bool)
}

// Route is where a request goes.
type Route struct {
	Service Service
	Class   string // of requests that state none; empty is the first segment of the path
	Target  string // path and query as they are sent on
}

// Router is what a server needs of the proxy. Its methods are safe for concurrent use.
type Router interface {
	// Find returns the route of a request that states a class, or an error of package route.
	Find(req *http.Request, class string) (Route, error)
	// MaxDeadline is the longest deadline of all classes.
	MaxDeadline() time.Duration
	// ShutdownPlan is how a server ends whose process may be killed after so long.
	ShutdownPlan(killedAfter time.Duration) drain.Plan
	// CountRejected records that a request which states a class, perhaps one that does not exist, was shed or failed
	// before it was accepted.
	CountRejected(class string, shed bool)
	// CloseSpareConnections closes idle connections to endpoints beside the last one to each: this machine has no
	// descriptor left for a client.
	CloseSpareConnections()
}
