// Package consumer stands at the consumers' side: it listens, reads
// invocations from connections and writes their answers.
package consumer

import (
	"time"

	"ryerill"
	"ryerill/provider"
)

// Invocation is one request as it was taken in, in terms that no protocol owns.
type Invocation struct {
	Class   int // index in the settings
	Tenant  int // index in the settings; -1 is none of them
	Key     uint64
	Repeat  bool // marked as a retry
	Write   bool
	Taken   time.Time     // when its last byte was in
	Left    time.Duration // from then until the consumer gives up
	Request *provider.Request

	// Reply carries the one final answer to the consumer. It must not block.
	Reply func(Answer)
}

// Verdict is what a final answer says.
type Verdict uint8

// The final answers.
const (
	Served  Verdict = iota
	Refused         // trying again is harmless
	Failed          // nothing is promised
	Overdue         // failed, as no answer came in time
)

// Answer is the final answer to an invocation.
type Answer struct {
	Verdict    Verdict
	Response   *provider.Response // if served; the receiver frees it
	RetryAfter time.Duration      // 0 is no advice
}

// Intake is what stands behind a protocol: it takes invocations in and sees to
// it that each gets its answer.
type Intake interface {
	Take(*Invocation) (ticket uint64)
	Leave(ticket uint64) // the consumer has gone away
}

// Names are the words of the settings that headers carry, by index.
type Names struct {
	Classes   []string
	Deadlines []time.Duration // by class: where an invocation states none
	Effects   []ryerill.Effect
	Tenants   []string
}
