package balancer

import "time"

// RequestID names a request at one Balancer. It is never used twice.
type RequestID uint64

// EndpointID names an endpoint. It is an opaque value: equal identifiers mean the same endpoint, and nothing
// else can be read from it.
type EndpointID uint64

// EndpointState is the state of a listed endpoint.
type EndpointState uint8

// The states of an endpoint.
const (
	Gone EndpointState = iota
	Ready
	Draining
)

// Endpoint is one entry of an endpoint list.
type Endpoint struct {
	ID        EndpointID
	State     EndpointState
	Zone      int
	Cell      int
	Kind      int
	Weight    float64
	StartedAt time.Duration // clock time of its latest start; 0 is long ago
}

// ListKind is how the Endpoints of an EndpointListUpdated event are to be read.
type ListKind uint8

// The kinds of endpoint list.
const (
	ListFull      ListKind = iota // the complete list
	ListCached                    // the complete list as last known, perhaps stale
	ListFailed                    // a request for the list failed; no entries
	ListChanges                   // changed entries only
	ListWithdrawn                 // entries of a list that is not known whole: all of them withdraw endpoints
)

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	OK              Outcome = iota // served
	Error                          // error answer; it may have been executed
	Rejected                       // rejected before it was executed
	Timeout                        // no answer in time; it may have been executed or still be running
	ConnectFailed                  // no connection; it was not executed
	Reset                          // the connection broke; it may have been executed
	Cancelled                      // cancelled; it may have been executed
	NotSent                        // not sent; it was not executed
	RejectedInDoubt                // rejected, but perhaps for another request; it may have been executed
	OutcomeCount                   // their number
)

var outcomeNames = [OutcomeCount]string{
	OK:            "ok",
	Error:         "error",
	Rejected:      "full",
	Timeout:       "time-out",
	ConnectFailed: "no connection",
	Reset:         "connection broken",
	Cancelled:     "cancelled",
	NotSent:       "not sent",

	RejectedInDoubt: "full, in doubt",
}

// String names the outcome as log lines do.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o]
}

// NeverRan reports whether the outcome proves that the attempt was not executed.
func (o Outcome) NeverRan() bool { return o == Rejected || o == ConnectFailed || o == NotSent }

// mayBeRunning reports whether the endpoint may still be executing the attempt.
func (o Outcome) mayBeRunning() bool {
	return o == Timeout || o == Reset || o == Cancelled || o == RejectedInDoubt
}

// EventKind determines which fields of an Event are set.
type EventKind uint8

// The kinds of event, each with the fields that it sets.
const (
	// EndpointListUpdated sets ListKind, Version and Endpoints.
	EndpointListUpdated EventKind = iota + 1
	// RequestArrived sets Request, Class, Tenant, Key, Remaining, ExpectedWork, ClientRetry and Write.
	RequestArrived
	// StreamStarted sets Request, Attempt, Endpoint and Elapsed.
	StreamStarted
	// AttemptEnded sets Request, Attempt, Endpoint, Outcome, RequestClosed, BodyConsumed, Elapsed and LoadReport.
	AttemptEnded
	// ClientLeft sets Request. No answer is owed any more.
	ClientLeft
	// TimerFired sets Token.
	TimerFired
	// ProbeEnded sets Endpoint, Outcome, Elapsed and LoadReport.
	ProbeEnded
	// PeerMessageReceived sets Peer and Payload.
	PeerMessageReceived
)

// Event is something that happened. Its slices are read during Handle only.
type Event struct {
	Kind          EventKind
	Outcome       Outcome
	ListKind      ListKind
	RequestClosed bool // the request is finished, by this outcome or earlier
	BodyConsumed  bool // part of the request is consumed: it can't be sent again
	ClientRetry   bool // marked by the client as a retry
	Write         bool
	Class         int
	Tenant        int
	Attempt       int // index among the attempts of the request
	Token         uint32
	Peer          uint32
	Request       RequestID
	Key           uint64 // requests of a class that is ordered by key run in order with each; 0 is none
	Version       uint64 // of the list
	Endpoint      EndpointID
	Remaining     time.Duration // until the client's deadline for this request
	ExpectedWork  time.Duration // expected work; 0 is unknown
	Elapsed       time.Duration // since the attempt was sent
	LoadReport    []float32     // in the order of Config.LoadReportNames
	Endpoints     []Endpoint
	Payload       []byte
}
