// Package drain says what holds while a proxy empties: by the time since its
// word and nothing else. It does no I/O.
package drain

import "time"

// Never is a phase that does not come.
const Never = time.Duration(1<<63 - 1)

// Plan says when each phase of an emptying begins, counted from its word.
type Plan struct {
	KeepsProcess       bool          // only this door closes, the process stays: nobody is killed
	Ready              bool          // "/ready" goes on saying yes: another process of this proxy serves on
	CloseAfterResponse time.Duration // answers close their connections
	CloseIdle          time.Duration // and idle ones go
	Reject             time.Duration // what comes is refused at once
	StopAccepting      time.Duration // no connection is accepted any more
}

// Manual is the plan of a drain that staff have ordered: the front goes on for
// up to 0.3 s, and 4 s after the word nothing may be left that came in the last 2 s.
func Manual() Plan {
	return Plan{CloseAfterResponse: 500 * time.Millisecond, CloseIdle: 500 * time.Millisecond, Reject: 1500 * time.Millisecond, StopAccepting: Never}
}

// Shutdown is the plan of a process that ends and is killed after so long at the
// earliest: connections keep arriving for up to 0.4 s, and those that it has are
// served for half of its time, as there may be nobody else.
func Shutdown(killed time.Duration) Plan {
	return Plan{CloseAfterResponse: killed / 2, CloseIdle: killed / 2, Reject: Never, StopAccepting: 550 * time.Millisecond}
}

// Handover is the plan of a process whose successor serves already: it hears
// only who was about to connect to it, and each answer leads its consumer over.
func Handover() Plan {
	return Plan{Ready: true, StopAccepting: 50 * time.Millisecond, CloseIdle: 1200 * time.Millisecond, Reject: Never}
}

// Phase is what holds at one moment.
type Phase struct{ Ready, ClosesAfterResponse, ClosesIdle, Rejects, StopsAccepting bool }

// At returns what holds so long after the word.
func (p Plan) At(since time.Duration) Phase {
	return Phase{Ready: p.Ready, ClosesAfterResponse: since >= p.CloseAfterResponse, ClosesIdle: since >= p.CloseIdle, Rejects: since >= p.Reject, StopsAccepting: since >= p.StopAccepting}
}

// Combine is what holds while two plans do.
func Combine(a, b Phase) Phase {
	return Phase{Ready: a.Ready && b.Ready, ClosesAfterResponse: a.ClosesAfterResponse || b.ClosesAfterResponse, ClosesIdle: a.ClosesIdle || b.ClosesIdle, Rejects: a.Rejects || b.Rejects, StopsAccepting: a.StopsAccepting || b.StopsAccepting}
}
