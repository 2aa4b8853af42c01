package rollout

import "time"

// Message is a message between replicas about rollouts.
type Message struct {
	Kind         MessageKind `json:"Kind"`
	From         string      `json:"From"`
	FencingToken uint64      `json:"Fence"`
	Target       string      `json:"Target"` // ChangeOrder: the version to change to
	RollBack     bool        `json:"Back"`   // ChangeOrder: change to the previous version
	Plan         string      `json:"Plan"`   // ChangeOrder
	State        *State      `json:"State"`  // StateUpdate; in requests for votes only FencingToken and Version
	Report       *Report     `json:"Report"` // ReportUpdate
	Seq          uint64      `json:"Seq"`    // identifies a request for votes and its answers
}

// MessageKind is the purpose of a message.
type MessageKind uint8

// The kinds of message.
const (
	VoteRequest    MessageKind = iota + 1
	VoteGranted                // also notifies an outdated sender of the highest fencing token, with Seq 0
	PreVoteRequest             // asks whether a vote would be granted; the answer doesn't bind the voter
	PreVoteGranted
	StateUpdate
	ChangeOrder  // from the leader, to one replica
	ReportUpdate // to the leader
)

// Action is an instruction to the host.
type Action struct {
	Kind     ActionKind
	To       string  // Send
	Message  Message // Send
	Target   string  // Apply
	RollBack bool    // Apply
	Plan     string  // Apply
	Settings []byte  // Apply
	Line     string  // LogLine
}

// ActionKind determines which fields of an Action are set.
type ActionKind uint8

// The kinds of action.
const (
	Send    ActionKind = iota + 1
	Apply              // change this replica to the target, or roll it back
	LogLine            // write a line to the log
)

// environment is what the parts of a Participant share: its name, the time, the replicas, and the actions for the host.
type environment struct {
	name     string
	now      time.Duration
	replicas replicas
	actions  []Action
}

func (e *environment) advance(now time.Duration) { e.now = max(e.now, now) }

func (e *environment) add(action Action) { e.actions = append(e.actions, action) }

func (e *environment) send(to string, message Message) {
	message.From = e.name
	e.add(Action{Kind: Send, To: to, Message: message})
}

// sendToPeers sends a message to all other replicas that are alive.
func (e *environment) sendToPeers(message Message) {
	for i := range e.replicas {
		if peer := &e.replicas[i]; peer.Alive && peer.Name != e.name {
			e.send(peer.Name, message)
		}
	}
}

func (e *environment) log(line string) {
	e.add(Action{Kind: LogLine, Line: line})
}

func (e *environment) takeActions() []Action {
	actions := e.actions
	e.actions = nil
	return actions
}
