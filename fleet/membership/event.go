package membership

import "time"

// EventKind determines which fields of an Event are set.
type EventKind uint8

// The kinds of event.
const (
	// Restore passes Records, the members known before a restart. It must precede Start.
	Restore EventKind = iota + 1
	// Start begins probing and gossip.
	Start
	// Tick signals that the time returned by List.NextTick has been reached.
	Tick
	// MessageReceived passes Message, a datagram received from the address From.
	MessageReceived
	// SyncRequested passes Message, the request of the synchronization Exchange that another member started.
	// Handle returns the response as a Reply action.
	SyncRequested
	// SyncAnswered passes Message, the response in the synchronization Exchange that this member started.
	SyncAnswered
	// SyncFinished passes Message, the final message of a synchronization that another member started.
	SyncFinished
	// SyncFailed reports that the synchronization Exchange that this member started failed.
	SyncFailed
	// SetTags replaces the tags that this member announces with Tags.
	SetTags
	// Leave announces that this member leaves the fleet permanently.
	Leave
	// Forget marks the dead member Name as left, at an operator's request.
	Forget
)

// Event is an input of a List.
type Event struct {
	Kind     EventKind
	Message  *Message
	From     string // source address of a datagram
	Exchange uint64 // ID that the starting member gave the synchronization
	Tags     Tags
	Name     string
	Records  []Record
}

// ActionKind determines which fields of an Action are set.
type ActionKind uint8

// The kinds of action.
const (
	// Send sends the datagram Message to the member Name at Address.
	Send ActionKind = iota + 1
	// StartSync connects to the member Name at Address and sends Message, as the synchronization Exchange.
	StartSync
	// Reply sends Message over the connection of the synchronization that the event belongs to.
	Reply
	// MemberChanged reports a member's new Record, its PreviousStatus and the Reason of the change.
	MemberChanged
	// Displaced reports that a later process uses this member's name, with Record: this process is no longer
	// part of the fleet.
	Displaced
	// NameConflict reports that a process still sends messages although a later process of its name, with
	// Record, has replaced it.
	NameConflict
	// TableFull reports that the new member of Record was dropped because MaxMembers are already known.
	TableFull
	// Stalled reports that this process was suspended or got no CPU time for the duration Wait.
	Stalled
)

// Action is an output of a List: an operation for the host to carry out, or a report.
type Action struct {
	Kind           ActionKind
	Name           string // empty if only the address is known
	Address        string
	Message        *Message
	Exchange       uint64
	Record         Record
	PreviousStatus Status // 0 if the member was not known
	Reason         string // for logs; callers may only compare it with ReasonRestarted
	Wait           time.Duration
}

// ReasonRestarted is the Reason of a MemberChanged action if a new process has replaced
// the known process of the member.
const ReasonRestarted = "restarted"

// The other fixed reasons.
const (
	reasonDiscovered = "discovered"
	reasonForgotten  = "forgotten by an operator"
	reasonLeft       = "announced that it leaves"
	reasonRefuted    = "refuted"
	reasonRestored   = "restored"
)

// Stats count events since the start.
type Stats struct {
	Probes         uint64 `json:"Probes"`
	Failed         uint64 `json:"Failed"`    // probes without an ack, direct or indirect
	Suspected      uint64 `json:"Suspected"` // suspicions of other members
	Refuted        uint64 `json:"Refuted"`   // refutations by this member
	Stalls         uint64 `json:"Stalls"`
	Exchanges      uint64 `json:"Exchanges"`  // synchronizations that this member started
	InvalidRecords uint64 `json:"BadRecords"` // records that failed validation
	TableFull      uint64 `json:"NoRoom"`     // new members dropped because MaxMembers were known
	Stale          uint64 `json:"Stale"`      // records not newer than the known record
	NameConflicts  uint64 `json:"Twins"`      // messages from processes that a later process of their name had replaced
}
