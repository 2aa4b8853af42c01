package membership

// Status is a member's status in the failure detector.
type Status uint8

// The statuses. At the same epoch and incarnation a later one in this list overrides an
// earlier one. The zero value stands for an unknown member.
const (
	Alive   Status = iota + 1
	Suspect        // a probe of it failed; it may still refute
	Dead           // it did not refute in time: it has stopped or is unreachable
	Left           // it announced that it leaves: final for its epoch
)

// String returns the name of the status for tables and logs.
func (s Status) String() string {
	names := [...]string{"unknown", "alive", "suspect", "dead", "left"}
	if int(s) >= len(names) {
		return names[0]
	}
	return names[s]
}

// reachable reports whether members of this status are probed and receive gossip.
func (s Status) reachable() bool { return s == Alive || s == Suspect }

// Phase is the lifecycle phase that a member announces.
type Phase uint8

// The phases of a member.
const (
	Starting Phase = iota
	Serving
	Draining
	Leaving
)

// String returns the name of the phase for tables and logs.
func (p Phase) String() string {
	names := [...]string{"starting", "serving", "draining", "leaving"}
	if int(p) >= len(names) {
		return "unknown"
	}
	return names[p]
}
