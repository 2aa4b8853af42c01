package membership

import "time"

// EventKind determines which fields of an Event are set.
type EventKind uint8

// The kinds of event.
const (
	// Restore hands over Records, the members that were known before a restart. It comes before Start.
	Restore EventKind = iota + 1
	// Start begins probing and gossip.
	Start
	// Tick signals that the time that List.NextTick returned has come.
	Tick
	// MessageReceived hands over Message, a datagram that came from the address From.
	MessageReceived
	// SyncRequested hands over Message, with which another member began the synchronization Exchange. The
	// reply is among the actions.
	SyncRequested
	// SyncAnswered hands over Message, the response in the synchronization Exchange that was started here.
	SyncAnswered
	// SyncFinished hands over Message, the last one of a synchronization that another member began.
	SyncFinished
	// SyncFailed reports that the synchronization Exchange that was started here failed.
	SyncFailed
	// SetTags replaces what this member announces by Tags.
	SetTags
	// Leave announces that this member leaves for good.
	Leave
	// Forget declares the dead member Name to be gone for good, on behalf of an operator.
	Forget
)

// Event is an input of a List.
type Event struct {
	Kind     EventKind
	Message  *Message
	From     string // address that a datagram came from
	Exchange uint64 // identifies a synchronization to the member that started it
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
	// MemberChanged reports that a member's record is now Record, that its status was PreviousStatus, and the
	// Reason.
	MemberChanged
	// Displaced reports that another process of this member's name started later, with Record: this one is not
	// part of the fleet any more.
	Displaced
	// NameConflict reports that a process still sends that was replaced by a later one of its name, with Record.
	NameConflict
	// TableFull reports that the new member of Record was dropped, since MaxMembers are known.
	TableFull
	// Stalled reports that this process was stopped or starved for the duration Wait.
	Stalled
)

// Action is what the host is to do, or to report.
type Action struct {
	Kind           ActionKind
	Name           string // empty where only the address is known
	Address        string
	Message        *Message
	Exchange       uint64
	Record         Record
	PreviousStatus Status // 0 if the member was not known
	Reason         string // for logs, save ReasonRestarted
	Wait           time.Duration
}

// ReasonRestarted is the Reason of a MemberChanged action if the member is another
// process than the one that was known.
const ReasonRestarted = "restarted"

// The other reasons that don't name a member.
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
	InvalidRecords uint64 `json:"BadRecords"` // that can't be true
	TableFull      uint64 `json:"NoRoom"`     // new members that were dropped
	Stale          uint64 `json:"Stale"`      // records that were not newer than the known one
	NameConflicts  uint64 `json:"Twins"`      // messages of processes that a later one of their name replaced
}
