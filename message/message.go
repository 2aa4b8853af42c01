// Package message holds what a request is to the proxy, whatever protocol brought it in and whatever protocol carries
// it on: the downstream side makes a [Request] and receives a [Result], the upstream side sends its [OutgoingRequest]
// and returns a [Response], and neither side knows the other.
package message

import (
	"io"
	"net/http"
	"time"

	"ryerill/internal/buffer"
)

// Bounds of the bodies of requests and responses.
const (
	MaxBufferedBody = 64 << 10 // bytes that are held in memory as a whole; a longer body is streamed
	MaxBody         = 64 << 20 // bytes in all
)

// UnknownLength is the length of a body that does not state it.
const UnknownLength = -1

// Upload is the part of a request's body that has not been received when the request is accepted. It can be read once.
type Upload interface {
	// Read returns io.EOF at the body's end. Another error means that the client broke off, or that the request ended.
	io.Reader
	// Consumed reports whether any of it has been read: then the request can't be sent again.
	Consumed() bool
}

// Client is who waits for a request's result.
type Client interface {
	// Left reports whether the client has closed its connection, as far as that is not noticed at once anyway; then the
	// request has ended, too. It is asked right before the first byte of each attempt, and must not block.
	Left() bool
}

// OutgoingRequest is what each attempt sends to an endpoint; only the time left differs between attempts. The names of
// its header are in canonical form; Body may be nil.
type OutgoingRequest struct {
	Method string
	Target string // path and query
	Host   string
	Header http.Header
	Body   *buffer.Body // the whole body, or its beginning if there is a Stream
	Stream Upload       // what follows Body; nil is nothing
	Length int64        // bytes of Body and Stream together, or UnknownLength; without Stream it means nothing
	Client Client       // nil never leaves

	// OnFree is called once by Free; it may be nil.
	OnFree func()
}

// ClientLeft reports whether nobody waits for the result any more, as Client.Left does.
func (r *OutgoingRequest) ClientLeft() bool { return r.Client != nil && r.Client.Left() }

// Free releases the body once no attempt needs it any more.
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

// Response is a successful answer of an endpoint. A nil Response is empty.
type Response struct {
	Header http.Header
	Body   *buffer.Body  // the whole body, or its beginning if there is a Stream
	Stream io.ReadCloser // what follows Body while the endpoint sends it; nil is nothing
	Length int64         // bytes of Body and Stream together, or UnknownLength; without Stream it means nothing

	// OnFree is called once by Free; it may be nil.
	OnFree func()
}

// Free releases the body and ends what is still to be received.
func (r *Response) Free() {
	if r == nil {
		return
	}
	r.Body.Free()
	if r.Stream != nil {
		_ = r.Stream.Close() // nobody reads it any more
		r.Stream = nil
	}
	if r.OnFree != nil {
		r.OnFree()
		r.OnFree = nil
	}
}

// Request is one request of a client as it was received.
type Request struct {
	Class       int    // index among the classes of its pool
	Tenant      int    // index among the tenants of its pool; -1 is none of them
	Key         uint64 // hash of what the request concerns; 0 is unknown
	ClientRetry bool   // the client marked it as a retry
	Write       bool
	ReceivedAt  time.Time     // when its last byte was received; with a Stream, when it was accepted
	Remaining   time.Duration // from then until the client gives up
	Outgoing    *OutgoingRequest

	// Reply carries the one final result to the client. It must not block.
	Reply func(Result)
}

// ResultKind is how a request ended.
type ResultKind uint8

// The kinds of result.
const (
	Served   ResultKind = iota
	Shed                // rejected to shed load: a retry is harmless
	Failed              // nothing is known of its execution
	TimedOut            // failed, since no response came in time
)

// Result is the final result of a request.
type Result struct {
	Kind       ResultKind
	Response   *Response     // if served; the receiver frees it
	RetryAfter time.Duration // advice for the client; 0 is none
}

// Handler accepts requests of the downstream side and ensures that each receives its result. Its methods are safe for
// concurrent use.
type Handler interface {
	// Accept takes ownership of a request. The ticket identifies it in later calls.
	Accept(*Request) (ticket uint64)
	// ClientLeft ends a request whose client has disconnected. It reports whether a result was still owed.
	ClientLeft(ticket uint64) (owed bool)
	// Expire has the request answered now, unless it has been.
	Expire(ticket uint64)
}
