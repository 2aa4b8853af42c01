// Package downstream serves clients over HTTP/1.1: it accepts their connections, reads their requests, passes these to
// the service of their route and writes the results.
package downstream

import (
	"net/http"
	"time"

	"ryerill/balancer"
	"ryerill/drain"
	"ryerill/message"
)

// PoolClasses holds the request classes and tenants of a pool's configuration, by index.
type PoolClasses struct {
	Classes   []string          // names
	Deadlines []time.Duration   // by class: for requests that state no deadline
	Effects   []balancer.Effect // by class
	Tenants   []string          // names
	AnyPath   bool              // the class of a request need not be the first segment of its path
}

// Service handles the requests of a pool.
type Service interface {
	message.Handler
	Classes() *PoolClasses

	// ReserveBody reserves memory for a body of up to the given number of bytes and returns the function that releases
	// it. It reports false if no memory is available.
	ReserveBody(bytes int) (release func(), ok bool)
}

// Route is the destination of a request.
type Route struct {
	Service Service
	Class   string // class of requests that state none; if empty, the first segment of the path
	Target  string // path and query sent to the endpoint
}

// Router finds the routes of requests and provides the proxy-wide state that a [Server] needs. Its methods are safe for
// concurrent use.
type Router interface {
	// Find returns the route of a request with the class that it states, or an error of package route.
	Find(req *http.Request, class string) (Route, error)
	// MaxDeadline returns the longest deadline of all classes.
	MaxDeadline() time.Duration
	// ShutdownPlan returns the shutdown plan of a server whose process may be killed after the given time; 0 is never.
	ShutdownPlan(killedAfter time.Duration) drain.Plan
	// CountRejected records that a request was shed or failed before it was accepted. class is the class that the
	// request states, which need not exist.
	CountRejected(class string, shed bool)
	// CloseSpareConnections closes idle connections to endpoints, except the last one to each. It is called when this
	// machine has no descriptor left for a client.
	CloseSpareConnections()
}
