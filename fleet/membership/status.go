package membership

// Status is what is known about whether a member runs.
type Status uint8

// The statuses, in the order in which later ones override earlier ones at the
// same epoch and incarnation. The zero value means that the member is not known.
const (
	Alive   Status = iota + 1
	Suspect        // probes of it failed; it may still refute
	Dead           // it did not refute in time: it does not run or can't be reached
	Left           // it announced that it leaves: final for its epoch
)

// String returns the name of the status that tables and logs show.
func (s Status) String() string {
	names := [...]string{"unknown", "alive", "suspect", "dead", "left"}
	if int(s) >= len(names) {
		return names[0]
	}
	return names[s]
}

// reachable reports whether a member of this status is probed and gossiped to.
func (s Status) reachable() bool { return s == Alive || s == Suspect }

// Phase is the stage of its lifecycle that a member announces.
type Phase uint8

// The phases of a member.
const (
	Starting Phase = iota
	Serving
	Draining
	Leaving
)

// String returns the name of the phase that tables and logs show.
func (p Phase) String() string {
	names := [...]string{"starting", "serving", "draining", "leaving"}
	if int(p) >= len(names) {
		return "unknown"
	}
	return names[p]
}
