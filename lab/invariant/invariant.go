// Package invariant observes the requests that proxies accept, send and answer, and reports each violation of the rules
// that every proxy must keep. It is an oracle for both hosts of the laboratory, knows neither of them, and is pure:
// times come in as arguments.
package invariant

import (
	"fmt"
	"time"

	"ryerill/balancer"
)

// The rules by name.
const (
	OneAnswer  = "one-answer"     // one final answer for each request, before its client gives up
	NoRepeat   = "no-repeat"      // no attempt, and no answer that allows a retry, against the request's class
	Drained    = "drained"        // nothing new to an endpoint some time after its drain is known
	Overloaded = "pushed-over"    // no endpoint is overloaded while it warms up
	Foreign    = "foreign-answer" // an answer is one that an endpoint made for that request
)

// All lists the rules.
var All = []string{OneAnswer, NoRepeat, Drained, Overloaded, Foreign}

// Violation is one violation of a rule with its evidence.
type Violation struct {
	Rule     string        `json:"rule"`
	At       time.Duration `json:"at"`
	Evidence string        `json:"evidence"`
}

// Result is what a final answer says.
type Result uint8

// The results.
const (
	Served Result = iota
	Shed          // the client may retry, as nothing ran
	Failed
)

// String returns the name that evidence has for a result.
func (r Result) String() string { return [...]string{"served", "refused", "failed"}[r] }

// Endpoint is what the rules need to know of one.
type Endpoint struct {
	ID    uint64
	Name  string
	Zone  int
	Group int // of those that drop each other's repeats
}

// Config holds the bounds of the rules.
type Config struct {
	Slack   time.Duration // an answer counts this long after the deadline
	Grace   time.Duration // a drain must be obeyed this long after it is known
	Classes []balancer.Class
	Name    func(proxy int) string // names a proxy in evidence; nil numbers them
}

func numberedProxy(proxy int) string { return fmt.Sprintf("proxy %d", proxy) }
