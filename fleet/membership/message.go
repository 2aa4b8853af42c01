package membership

// MessageKind is the purpose of a message.
type MessageKind uint8

// The kinds of message. Ping to Gossip are datagrams. The three sync messages are sent
// over one connection, in this order. Other packages handle the last four kinds; here
// their datagrams only prove that the sender runs.
const (
	Ping         MessageKind = iota + 1 // requests an Ack with the same Seq
	Ack                                 // answers a Ping
	PingReq                             // requests an indirect probe of Target
	Nack                                // the member running an indirect probe has no Ack from Target yet
	Gossip                              // carries only updates
	SyncRequest                         // the sender's whole view, without the tags of other members
	SyncResponse                        // records that are newer at the sender, and names of the records it requests
	SyncFinal                           // the requested records
	StateSync                           // datagram of package statesync
	Rollout                             // datagram of package rollout
	RolloutFetch                        // over a connection: requests the state of a rollout
	RolloutState                        // over a connection: the state of a rollout
)

// Message is a message between members.
type Message struct {
	Kind             MessageKind
	Seq              uint32   // of Ping, Ack, PingReq and Nack
	From             State    // of the sender
	Target           string   // name of the recipient or of the probed member; empty in a ping to a seed
	Digest           uint64   // of the sender's view
	ReplicaSetDigest uint64   // of the replicas among which the sender divides quotas: see package placement
	Updates          []Record // gossip, or the records of a synchronization
	Requested        []string // names of the members whose records the sender of a SyncResponse lacks
	Payload          []byte   // with StateSync, Rollout and RolloutState
}

// mentions reports whether the message contains an update about a member.
func (m *Message) mentions(name string) bool {
	for i := range m.Updates {
		if m.Updates[i].Name == name {
			return true
		}
	}
	return false
}

func newPing(seq uint32, target string) *Message {
	return &Message{Kind: Ping, Seq: seq, Target: target}
}

// newAck answers a ping; target is the member that sent it.
func newAck(seq uint32, target string) *Message {
	return &Message{Kind: Ack, Seq: seq, Target: target}
}

// newRelayedAck tells the requester of an indirect probe that target has acknowledged it.
func newRelayedAck(seq uint32, target State) *Message {
	return &Message{Kind: Ack, Seq: seq, Target: target.Name, Updates: []Record{{State: target}}}
}

func newPingRequest(seq uint32, target string) *Message {
	return &Message{Kind: PingReq, Seq: seq, Target: target}
}

func newNack(seq uint32) *Message {
	return &Message{Kind: Nack, Seq: seq}
}

func newGossip(updates ...Record) *Message {
	return &Message{Kind: Gossip, Updates: updates}
}
