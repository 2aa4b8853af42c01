// Package drain states what a proxy that stops taking requests does in each phase,
// by the time since its drain or shutdown began and nothing else. It does no I/O.
package drain

import "time"

// Never is a phase that does not come.
const Never = time.Duration(1<<63 - 1)

// When each phase begins. Load balancers and clients still send for a while: up to 0.3 s
// after a drain was ordered, up to 0.4 s after a shutdown began. Nothing may be left of a drain
// after 4 s that arrived in the last 2 s of them.
const (
	manualCloseAfter   = 500 * time.Millisecond
	manualRejectAfter  = 1500 * time.Millisecond
	shutdownStopAfter  = 550 * time.Millisecond
	handoverStopAfter  = 50 * time.Millisecond // only a client that was about to connect still does
	handoverCloseAfter = 1200 * time.Millisecond
)

// Plan is when each phase begins, counted from the start of the drain or shutdown.
type Plan struct {
	KeepsProcess       bool          // one listener closes and the process stays: nobody kills it
	Ready              bool          // the readiness check still succeeds: another process of this proxy serves
	CloseAfterResponse time.Duration // each response closes its connection
	CloseIdle          time.Duration // idle connections are closed
	Reject             time.Duration // new requests are rejected at once
	StopAccepting      time.Duration // no connection is accepted any more
}

// Manual is the plan of a drain that the operators have ordered. The proxy goes on listening,
// as the drain may be stopped.
func Manual() Plan {
	return Plan{
		CloseAfterResponse: manualCloseAfter,
		CloseIdle:          manualCloseAfter,
		Reject:             manualRejectAfter,
		StopAccepting:      Never,
	}
}

// Shutdown is the plan of a process that ends and is killed after a while at the
// earliest. It serves the connections that it has for half of that time, as there may be
// no other process that serves.
func Shutdown(killedAfter time.Duration) Plan {
	return Plan{
		CloseAfterResponse: killedAfter / 2,
		CloseIdle:          killedAfter / 2,
		Reject:             Never,
		StopAccepting:      shutdownStopAfter,
	}
}

// Handover is the plan of a process whose successor serves already: each response
// closes its connection, so that the client's next one leads to the successor.
func Handover() Plan {
	return Plan{
		Ready:              true,
		CloseAfterResponse: 0,
		CloseIdle:          handoverCloseAfter,
		Reject:             Never,
		StopAccepting:      handoverStopAfter,
	}
}

// Phase is what holds at one moment.
type Phase struct {
	Ready               bool // the readiness check succeeds
	ClosesAfterResponse bool // each response closes its connection
	ClosesIdle          bool // idle connections are closed
	Rejects             bool // new requests are rejected
	StopsAccepting      bool // no connection is accepted
}

// At returns what holds so long after the start.
func (p Plan) At(elapsed time.Duration) Phase {
	return Phase{
		Ready:               p.Ready,
		ClosesAfterResponse: elapsed >= p.CloseAfterResponse,
		ClosesIdle:          elapsed >= p.CloseIdle,
		Rejects:             elapsed >= p.Reject,
		StopsAccepting:      elapsed >= p.StopAccepting,
	}
}

// Combine returns what holds where two phases do at once.
func Combine(a, b Phase) Phase {
	return Phase{
		Ready:               a.Ready && b.Ready,
		ClosesAfterResponse: a.ClosesAfterResponse || b.ClosesAfterResponse,
		ClosesIdle:          a.ClosesIdle || b.ClosesIdle,
		Rejects:             a.Rejects || b.Rejects,
		StopsAccepting:      a.StopsAccepting || b.StopsAccepting,
	}
}
