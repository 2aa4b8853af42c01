// Package drain defines the phases of a proxy that drains or shuts down. The phase
// depends only on the time since the drain or shutdown began. It does no I/O.
package drain

import "time"

// Never is the start time of a phase that never begins.
const Never = time.Duration(1<<63 - 1)

// Start times of the phases. Load balancers and clients keep sending requests for up to 0.3 s
// after a manual drain and for up to 0.4 s after a shutdown began. 4 s after a drain began, no
// request that arrived in the last 2 s may be open.
const (
	manualCloseAfter  = 500 * time.Millisecond
	manualRejectAfter = 1500 * time.Millisecond
	shutdownLeadAfter = 400 * time.Millisecond // until then a client's next connection may still come here
	shutdownStopAfter = 550 * time.Millisecond
	handoverStopAfter = 50 * time.Millisecond // only a client that was already connecting still arrives
)

// killedCloseAfter is when a process that will be killed closes its idle connections. A request that it gets more than
// 0.7 s after the stop signal must not be found unanswered by the kill, however long its response. The process may be
// held up for 0.15 s.
const killedCloseAfter = 550 * time.Millisecond

// Plan states when each phase begins, relative to the start of the drain or shutdown.
type Plan struct {
	KeepsProcess       bool          // only a listener closes; the process is not killed
	Ready              bool          // the readiness check still succeeds, as another process of this proxy serves
	CloseAfterResponse time.Duration // each response closes its connection
	CloseIdle          time.Duration // idle connections are closed
	Reject             time.Duration // new requests are rejected at once
	StopAccepting      time.Duration // no connection is accepted any more
}

// Manual returns the plan of a drain started by the operators. The proxy keeps listening,
// as the drain may be stopped.
func Manual() Plan {
	return Plan{
		CloseAfterResponse: manualCloseAfter,
		CloseIdle:          manualCloseAfter,
		Reject:             manualRejectAfter,
		StopAccepting:      Never,
	}
}

// Shutdown returns the plan of a process that ends and is killed no earlier than
// killedAfter.
func Shutdown(killedAfter time.Duration) Plan {
	return Plan{
		CloseAfterResponse: min(shutdownLeadAfter, killedAfter/2),
		CloseIdle:          min(killedCloseAfter, killedAfter/2),
		Reject:             Never,
		StopAccepting:      shutdownStopAfter,
	}
}

// ListenerRemoved returns the plan of a listener whose process goes on. It serves its
// open connections for half of the time within which a process would be killed.
func ListenerRemoved(killedAfter time.Duration) Plan {
	return Plan{
		KeepsProcess:       true,
		CloseAfterResponse: killedAfter / 2,
		CloseIdle:          killedAfter / 2,
		Reject:             Never,
		StopAccepting:      shutdownStopAfter,
	}
}

// Handover returns the plan of a process whose successor already serves. Each response
// closes its connection, so that the client's next connection goes to the successor.
func Handover() Plan {
	return Plan{
		Ready:              true,
		CloseAfterResponse: 0,
		CloseIdle:          killedCloseAfter,
		Reject:             Never,
		StopAccepting:      handoverStopAfter,
	}
}

// Phase is the behavior of the proxy at one moment.
type Phase struct {
	Ready               bool // the readiness check succeeds
	ClosesAfterResponse bool // each response closes its connection
	ClosesIdle          bool // idle connections are closed
	Rejects             bool // new requests are rejected
	StopsAccepting      bool // no connection is accepted
}

// At returns the phase at an elapsed time since the start.
func (p Plan) At(elapsed time.Duration) Phase {
	return Phase{
		Ready:               p.Ready,
		ClosesAfterResponse: elapsed >= p.CloseAfterResponse,
		ClosesIdle:          elapsed >= p.CloseIdle,
		Rejects:             elapsed >= p.Reject,
		StopsAccepting:      elapsed >= p.StopAccepting,
	}
}

// Combine returns the phase of a proxy that is in two phases at the same time.
func Combine(a, b Phase) Phase {
	return Phase{
		Ready:               a.Ready && b.Ready,
		ClosesAfterResponse: a.ClosesAfterResponse || b.ClosesAfterResponse,
		ClosesIdle:          a.ClosesIdle || b.ClosesIdle,
		Rejects:             a.Rejects || b.Rejects,
		StopsAccepting:      a.StopsAccepting || b.StopsAccepting,
	}
}
