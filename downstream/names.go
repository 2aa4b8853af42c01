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

// Names are the words of the settings that headers carry, by index.
type Names struct {
	Classes   []string
	Deadlines []time.Duration // by class: where an invocation states none
	Effects   []balancer.Effect
	Tenants   []string
	AnyPath   bool // a class need not be the first part of the path
}

// Service is what a request goes to.
type Service interface {
	message.Intake
	Names() *Names

	// Hold takes room for a body of so many bytes at most, and returns what gives
	// it back. It reports false if there is no room now.
	Hold(bytes int) (give func(), ok bool)
}

// Way is where a request goes.
type Way struct {
	Service Service
	Class   string // of requests that state none; empty is the first part of the path
	Target  string // path and query as they go on
}

// Services stand behind a front.
type Services interface {
	// Find returns the way of a request of a class as it states it, or an error of
	// package route.
	Find(req *http.Request, class string) (Way, error)
	// Longest is the longest deadline of all classes.
	Longest() time.Duration
	// Ending is the plan by which a front ends that will be killed after so long.
	Ending(killed time.Duration) drain.Plan
	// Turned books that a request of a class, which may be none of ours, was refused
	// or failed before it became an invocation.
	Turned(class string, refused bool)
}
