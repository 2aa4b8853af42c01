// Package membership keeps track of who is in the fleet: a failure detector and
// membership by gossip after SWIM (Das, Gupta, Motivala: "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol", 2002)
// with the amendments of Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: Local
// Health Awareness for More Accurate Failure Detection", 2018).
//
// It decides and does nothing: one event and its time go in, actions come out.
// It has no clock, socket, goroutine or global, and chance comes from a seed.
package membership

import (
	"time"

	"ryerill/internal/seedrand"
)

// Status is what is known of whether a member runs.
type Status uint8

// The statuses, in the order in which later ones override earlier ones at the
// same epoch and incarnation.
const (
	Alive   Status = iota + 1
	Suspect        // calls to it failed; it may refute
	Dead           // it did not refute in time: it does not run or can't be reached
	Left           // it said that it goes: final for its epoch
)

// String names a status as tables and logs do.
func (s Status) String() string {
	names := [...]string{"unknown", "alive", "suspect", "dead", "left"}
	if int(s) >= len(names) {
		return names[0]
	}
	return names[s]
}

// Phase is what a member says of itself.
type Phase uint8

// The phases of a member.
const (
	Starting Phase = iota
	Serving
	Draining
	Leaving
)

// String names a phase as tables and logs do.
func (p Phase) String() string {
	names := [...]string{"starting", "serving", "draining", "leaving"}
	if int(p) >= len(names) {
		return "unknown"
	}
	return names[p]
}

// Bounds of what a member may say of itself. What is longer is cut by [Tags.Bound].
const (
	MaxName      = 64  // bytes of a name, an address or a tag
	MaxPools     = 16  // pools that are named,
	MaxPoolBytes = 256 // and bytes of their names
	MaxUnknown   = 128 // bytes that a later program says beyond what this one knows
)

// Tags is what a member says of itself, beyond that it is there.
type Tags struct {
	Address        string   `json:"Address"` // for datagrams and exchanges, as the member itself names it
	Zone           string   `json:"Zone"`
	Tier           int      `json:"Tier"`
	Pools          []string `json:"Pools"`
	ProgramVersion string   `json:"Program"`  // version of the program
	SettingsHash   string   `json:"Settings"` // hash of the settings
	Phase          Phase    `json:"Phase"`
	MinLevel       uint8    `json:"Least"` // the levels of what copies say to each other that it speaks: see package frame
	MaxLevel       uint8    `json:"Most"`
	Unknown        string   `json:"Later"` // what it says that this program does not know, as it came; handed on
}

// Bound cuts what is longer than others would take, and tells whether it did.
func (t *Tags) Bound() (cut bool) {
	for _, s := range []*string{&t.Address, &t.Zone, &t.ProgramVersion, &t.SettingsHash} {
		if len(*s) > MaxName {
			*s, cut = (*s)[:MaxName], true
		}
	}
	if len(t.Unknown) > MaxUnknown {
		t.Unknown, cut = "", true
	}
	for !PoolsFit(t.Pools) {
		t.Pools, cut = t.Pools[:len(t.Pools)-1], true
	}
	return cut
}

// PoolsFit tells whether the names of pools keep the bounds.
func PoolsFit(names []string) bool {
	n := 0
	for _, name := range names {
		n += len(name)
	}
	return len(names) <= MaxPools && n <= MaxPoolBytes
}

// sound tells whether tags keep the bounds.
func (t *Tags) sound() bool {
	return len(t.Address) <= MaxName && len(t.Zone) <= MaxName && len(t.ProgramVersion) <= MaxName && len(t.SettingsHash) <= MaxName &&
		PoolsFit(t.Pools) && len(t.Unknown) <= MaxUnknown
}

// State orders what is said of a member. Of two, the newer holds wherever both
// have come, in whatever order: that is why views become equal.
type State struct {
	Name            string `json:"Name"`
	Epoch           uint64 `json:"Epoch"` // of the member's start: a restart is another one
	Incarnation     uint32 `json:"Inc"`   // raised by the member alone, to refute or to change its tags
	Status          Status `json:"Status"`
	TagsIncarnation uint32 `json:"Tagged"` // the incarnation at which its tags last changed
}

// Newer tells whether h overrides o, which is of the same name.
func (h State) Newer(o State) bool {
	switch {
	case h.Epoch != o.Epoch:
		return h.Epoch > o.Epoch
	case (h.Status == Left) != (o.Status == Left):
		return h.Status == Left
	case h.Incarnation != o.Incarnation:
		return h.Incarnation > o.Incarnation
	}
	return h.Status > o.Status
}

// Record is what is said of a member. Tags may be missing: then those hold that
// are known, if they are of the incarnation Tagged.
type Record struct {
	State
	Tags       *Tags  `json:"Tags"` // never changed once told
	ReportedBy string `json:"By"`
}

// sound tells whether a record can be true at all.
func (r *Record) sound() bool {
	return r.Name != "" && len(r.Name) <= MaxName && len(r.ReportedBy) <= MaxName && r.Status >= Alive && r.Status <= Left && r.TagsIncarnation <= r.Incarnation &&
		r.Incarnation < maxInc && (r.Tags == nil || r.Tags.sound())
}

// maxInc bounds incarnations: a member raises its own by one at a time and never
// comes near, so what claims more is forged or broken.
const maxInc = 1 << 30

// hash is the record's part of the digest of a view: those who have heard the
// same of all have the same digest. Whether a member is suspected changes
// quickly and is not part of it; nor are those that left.
func (h State) hash() uint64 {
	if h.Status == Left {
		return 0
	}
	status := h.Status
	if status == Suspect {
		status = Alive
	}
	z := seedrand.HashName(h.Name) ^ seedrand.Mix(h.Epoch)
	return seedrand.Mix(z ^ seedrand.Mix(uint64(h.Incarnation)<<32|uint64(h.TagsIncarnation)<<2|uint64(status&3)))
}

// MessageKind tells what a message is for.
type MessageKind uint8

// The kinds of message. The first five are datagrams; the others pass over a
// connection, in this order.
const (
	Ping         MessageKind = iota + 1
	Ack                      // of a ping, of the same Seq
	PingReq                  // asks for a ping of Target
	Nack                     // Target has not answered the one that was asked to ping it, yet
	Gossip                   // news alone
	SyncRequest              // the whole view of who asks, without tags
	SyncResponse             // what the other side knows better, and whose records it wants
	SyncFinal                // those records
	StateSync                // a datagram of what copies share: not for this package, but it says that its sender speaks
	Rollout                  // one of a rollout: likewise
	RolloutFetch             // over a connection: asks for a rollout's state
	RolloutState             // and answers
)

// Message is what members say to each other.
type Message struct {
	Kind             MessageKind
	Seq              uint32
	From             State  // of the sender
	Target           string // name of whom it is for, or about; empty in a ping to a seed
	Digest           uint64 // of the sender's view
	ReplicaSetDigest uint64 // digest of those among whom the sender divides: see package view
	Updates          []Record
	Requested        []string
	Payload          []byte // with Shared, Rolling and Fetched: see packages share and rollout
}

// Config is what a member is told at its start.
type Config struct {
	Name  string
	Epoch uint64 // greater than that of any start before; 0 is not allowed
	Seed  uint64
	Tags  Tags
	Seeds []string // addresses where somebody may be

	ProbeInterval        time.Duration // between probes, while all is well
	ProbeTimeout         time.Duration // an answer is waited for at least so long before others are asked
	MaxMembers           int           // members that are known at most
	GossipBytesPerSecond int           // bytes a second that news may take beside probes
	IndirectProbes       int           // members that are asked to probe one that does not answer
}

// Defaults, and what they rest on: with 1,000 members one that dies is pinged
// within 4.6 periods in 99 of 100 cases, and the whole is to know of it in 3 s.
const (
	DefaultPeriod  = 200 * time.Millisecond
	DefaultAnswer  = 60 * time.Millisecond
	DefaultMost    = 8192
	DefaultBudget  = 1200
	DefaultLookers = 4
)

func (c *Config) complete() {
	orElse(&c.ProbeInterval, DefaultPeriod)
	orElse(&c.ProbeTimeout, DefaultAnswer)
	orElse(&c.MaxMembers, DefaultMost)
	orElse(&c.GossipBytesPerSecond, DefaultBudget)
	orElse(&c.IndirectProbes, DefaultLookers)
	c.Tags.Bound()
}

func orElse[T int | time.Duration](v *T, other T) {
	if *v <= 0 {
		*v = other
	}
}
