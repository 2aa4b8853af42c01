// Package downstream stands at the consumers' side: it listens, reads
// invocations from connections and writes their answers.
package downstream

import (
	"net/http"
	"time"

	"ryerill/balancer"
	"ryerill/drain"
	"ryerill/message"
)

// PoolClasses are the words of the settings that headers carry, by index.
type PoolClasses struct {
	Classes   []string
	Deadlines []time.Duration // by class: where an invocation states none
	Effects   []balancer.Effect
	Tenants   []string
	AnyPath   bool // a class need not be the first part of the path
}

// Service is what a request goes to.
type Service interface {
	message.Handler
	Classes() *PoolClasses

	// ReserveBody takes room for a body of so many bytes at most, and returns what gives
	// it back. It reports false if there is no room now.
	ReserveBody(bytes int) (give func(), ok bool)
}

// Route is where a request goes.
type Route struct {
	Service Service
	Class   string // of requests that state none; empty is the first part of the path
	Target  string // path and query as they go on
}

// Router stand behind a front.
type Router interface {
	// Find returns the way of a request of a class as it states it, or an error of
	// package route.
	Find(req *http.Request, class string) (Route, error)
	// MaxDeadline is the longest deadline of all classes.
	MaxDeadline() time.Duration
	// ShutdownPlan is the plan by which a front ends that will be killed after so long.
	ShutdownPlan(killed time.Duration) drain.Plan
	// CountRejected records that a request of a class, which may be none of ours, was refused
	// or failed before it became an invocation.
	CountRejected(class string, refused bool)
}
