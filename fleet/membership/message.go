package membership

// MessageKind is the purpose of a message.
type MessageKind uint8

// The kinds of message. Those up to Gossip are datagrams; the sync messages pass
// over one connection, in this order. The last four are not handled by this package,
// but their datagrams prove that the sender runs.
const (
	Ping         MessageKind = iota + 1 // asks for an Ack of the same Seq
	Ack                                 // answers a Ping
	PingReq                             // asks for an indirect probe of Target
	Nack                                // Target has not yet answered the member that was asked for an indirect probe
	Gossip                              // carries updates alone
	SyncRequest                         // the sender's whole view, without tags
	SyncResponse                        // records that are newer at the sender, and names of those it requests
	SyncFinal                           // the requested records
	StateSync                           // datagram of package statesync
	Rollout                             // datagram of package rollout
	RolloutFetch                        // over a connection: asks for the state of a rollout
	RolloutState                        // over a connection: the state of a rollout
)

// Message is what members send to each other.
type Message struct {
	Kind             MessageKind
	Seq              uint32   // of Ping, Ack, PingReq and Nack
	From             State    // of the sender
	Target           string   // name of the member that it is for or about; empty in a ping to a seed
	Digest           uint64   // of the sender's view
	ReplicaSetDigest uint64   // of the replicas that the sender divides quotas among: see package placement
	Updates          []Record // gossip, or the records of a synchronization
	Requested        []string // names of the members whose records the sender of a SyncResponse lacks
	Payload          []byte   // with StateSync, Rollout and RolloutState
}

// mentions reports whether a message has an update about a member.
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

// newRelayedAck passes on to who asked for an indirect probe that target has answered it.
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
