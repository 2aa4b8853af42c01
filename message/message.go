// Package message defines requests and responses independently of the protocols on either side of the proxy. The
// downstream side creates a [Request] and receives a [Result]; the upstream side sends the [OutgoingRequest] and
// returns a [Response]. Neither side depends on the other.
package message

import (
	"io"
	"net/http"
	"time"

	"ryerill/internal/buffer"
)

// Limits of request and response bodies, in bytes.
const (
	MaxBufferedBody = 64 << 10 // longest body that is buffered completely; a longer body is streamed
	MaxBody         = 64 << 20 // longest body
)

// UnknownLength is the length of a body whose length is not stated.
const UnknownLength = -1

// Upload is the part of a request's body that is still to be received when the request is accepted. It can be read only
// once.
type Upload interface {
	// Read returns io.EOF at the end of the body. Any other error means that the client aborted the upload or that the
	// request has ended.
	io.Reader
	// Consumed reports whether any byte has been read; if so, the request can't be sent again.
	Consumed() bool
}

// Client is the client that waits for the result of a request.
type Client interface {
	// Left reports whether the client has closed its connection, in cases where the close is not detected at once. If
	// it has, the request has ended as well. It is called right before the first byte of each attempt and must not
	// block.
	Left() bool
}

// OutgoingRequest is the request that each attempt sends to an endpoint; only the announced time left differs between
// attempts. Header names are in canonical form. Body may be nil.
type OutgoingRequest struct {
	Method string
	Target string // path and query
	Host   string
	Header http.Header
	Body   *buffer.Body // the whole body, or its beginning if there is a Stream
	Stream Upload       // the rest of the body after Body; nil if Body is complete
	Length int64        // bytes of Body and Stream together, or UnknownLength; unused without Stream
	Client Client       // nil for a client that never leaves

	// OnFree is called once by Free; it may be nil.
	OnFree func()
}

// ClientLeft reports whether the client has left, as described at Client.Left.
func (r *OutgoingRequest) ClientLeft() bool { return r.Client != nil && r.Client.Left() }

// Free releases the body. It must be called when no attempt needs the body any more.
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

// Response is a successful response of an endpoint. Free accepts a nil Response.
type Response struct {
	Header http.Header
	Body   *buffer.Body  // the whole body, or its beginning if there is a Stream
	Stream io.ReadCloser // the rest of the body, while the endpoint sends it; nil if Body is complete
	Length int64         // bytes of Body and Stream together, or UnknownLength; unused without Stream

	// OnFree is called once by Free; it may be nil.
	OnFree func()
}

// Free releases the body and closes the stream of the rest.
func (r *Response) Free() {
	if r == nil {
		return
	}
	r.Body.Free()
	if r.Stream != nil {
		_ = r.Stream.Close() // the stream has no reader any more
		r.Stream = nil
	}
	if r.OnFree != nil {
		r.OnFree()
		r.OnFree = nil
	}
}

// Request is a request as received from a client.
type Request struct {
	Class       int    // index of its class in the pool
	Tenant      int    // index of its tenant in the pool; -1 for none
	Key         uint64 // hash of the key that the request concerns; 0 if unknown
	ClientRetry bool   // the client marked it as a retry
	Write       bool
	ReceivedAt  time.Time // when its last byte was received, or when it was accepted if it is streamed
	// Remaining is the time until the client gives up: from ReceivedAt or, if the request is streamed, from its last
	// byte.
	Remaining time.Duration
	Outgoing  *OutgoingRequest

	// Reply sends the final result to the client. It is called once and must not block.
	Reply func(Result)
}

// ResultKind is the kind of a Result.
type ResultKind uint8

// The kinds of results.
const (
	Served   ResultKind = iota
	Shed                // rejected to shed load; a retry is safe
	Failed              // it is unknown whether the request was executed
	TimedOut            // failed because no response arrived in time
)

// Result is the final result of a request.
type Result struct {
	Kind       ResultKind
	Response   *Response     // set if Kind is Served; the receiver must free it
	RetryAfter time.Duration // advice for the client; 0 for none
}

// Handler accepts requests from the downstream side and ensures that each gets a result. Its methods are safe for
// concurrent use.
type Handler interface {
	// Accept takes ownership of a request. The returned ticket identifies the request in later calls.
	Accept(*Request) (ticket uint64)
	// ClientLeft ends a request whose client has disconnected. It reports whether the result was still outstanding.
	ClientLeft(ticket uint64) (owed bool)
	// BodyReceived records that the last byte of a request's Stream reached this machine at the given time, whether or
	// not it has been read yet. From then on the client's time counts. Further calls for a request have no effect.
	BodyReceived(ticket uint64, at time.Time)
	// Expire ends a request now with a result, unless it already has one.
	Expire(ticket uint64)
}
