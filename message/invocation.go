// Package message holds what a request is to the proxy, whatever protocol
// brought it in and whatever protocol carries it on: a front makes Invocations
// and is given Answers, a back sends Requests and returns Responses, and neither
// knows the other.
package message

import (
	"io"
	"net/http"
	"time"

	"ryerill/internal/buffer"
)

// Bounds of bodies, of a request or an answer.
const (
	MaxBufferedBody = 64 << 10 // bytes that are held whole; what is longer passes through
	MaxBody         = 64 << 20 // bytes in all
)

// UnknownLength is the length of a body that does not state it.
const UnknownLength = -1

// Upload is what has not come in of a request's body when it is taken in. It can
// be read once.
type Upload interface {
	// Read returns io.EOF at the body's end. An error that is not io.EOF says that
	// the consumer broke off, or the invocation ended.
	io.Reader
	// Spent tells whether any of it has been read: it can't be sent again.
	Consumed() bool
}

// OutgoingRequest is what is asked for, the same at each invoker call but for the time
// left. Names of its header are in canonical form; the body may be nil.
type OutgoingRequest struct {
	Method string
	Target string // path and query as they came
	Host   string
	Header http.Header
	Body   *buffer.Body // the whole body, or what is held of it if there is a Rest
	Stream Upload       // nil is none
	Length int64        // of Body and Rest together, or Unknown; without Rest it says nothing

	// Done is called once by Free; it may be nil.
	OnFree func()
}

// Free gives the body back once no invoker call needs it any more.
func (r *OutgoingRequest) Free() {
	if r == nil {
		return
	}
	r.Body.Free()
	if r.OnFree != nil {
		r.OnFree()
		r.OnFree = nil
	}
}

// Response is a provider's answer that served. A nil Response is empty.
type Response struct {
	Header http.Header
	Body   *buffer.Body  // the whole body, or how it begins if there is a Rest
	Stream io.ReadCloser // what follows while the provider gives it; nil is nothing
	Length int64         // of Body and Rest together, or Unknown; without Rest it says nothing

	// Done is called once by Free; it may be nil.
	OnFree func()
}

// Free gives the body back, and ends what is still to come.
func (r *Response) Free() {
	if r == nil {
		return
	}
	r.Body.Free()
	if r.Stream != nil {
		r.Stream.Close()
		r.Stream = nil
	}
	if r.OnFree != nil {
		r.OnFree()
		r.OnFree = nil
	}
}

// Request is one request as it was taken in.
type Request struct {
	Class       int // index in the settings of its pool
	Tenant      int // index in the settings of its pool; -1 is none of them
	Key         uint64
	ClientRetry bool // marked as a retry
	Write       bool
	ReceivedAt  time.Time     // when its last byte was in; with a Rest, when it was taken in
	Remaining   time.Duration // from then until the consumer gives up
	Outgoing    *OutgoingRequest

	// Reply carries the one final answer to the consumer. It must not block.
	Reply func(Result)
}

// ResultKind is what a final answer says.
type ResultKind uint8

// The final answers.
const (
	Served   ResultKind = iota
	Shed                // trying again is harmless
	Failed              // nothing is promised
	TimedOut            // failed, as no answer came in time
)

// Result is the final answer to an invocation.
type Result struct {
	Kind       ResultKind
	Response   *Response     // if served; the receiver frees it
	RetryAfter time.Duration // 0 is no advice
}

// Handler is what stands behind a front: it takes invocations in and sees to it
// that each gets its answer.
type Handler interface {
	Accept(*Request) (ticket uint64)
	ClientLeft(ticket uint64) (owed bool) // the consumer has gone away; whether it was owed an answer
	Expire(ticket uint64)                 // its time is over: it is answered now, unless it has been
}
