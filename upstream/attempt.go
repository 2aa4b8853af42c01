package upstream

import (
	"context"
	"sync"
	"time"

	"ryerill/internal/socket"
	"ryerill/message"
)

// Attempt is one attempt to have a request executed by one endpoint. It is used once.
type Attempt struct {
	Request  *message.OutgoingRequest
	Endpoint uint64 // identity of the endpoint: its address may pass to another
	// EndpointName names the endpoint for operators.
	EndpointName string
	Address      string
	Deadline     time.Time // the proxy stops waiting
	// WriteDeadline is when the last byte of the request has to be written; zero is no bound. A request part of whose
	// body is still to be received may take longer.
	WriteDeadline time.Time
	// StreamTimeout is how long the client waits from the last byte on of a request that streams. Its deadline includes
	// the time of the upload, which the endpoint must not be told.
	StreamTimeout time.Duration
	// NeedsProof is whether the request may go elsewhere only if it is proven that it was not executed.
	NeedsProof bool
	MaySend    func() bool // called right before the first byte is written; false prevents that

	// OnSent is called once the first bytes are written, with the time at which they were. It may be nil.
	OnSent func(time.Time)

	// OnWritten is called once the last byte is written, and returns the new deadline; zero keeps the present one. It
	// may be nil.
	OnWritten func() time.Time

	use ConnectionUse // set by Do

	// mu guards what follows.
	mu         sync.Mutex
	conn       *conn // nil unless the attempt holds one
	cancelled  bool
	withdrawn  bool               // it must not begin to be written any more
	writing    bool               // its first byte may be written
	allowedAt  time.Time          // when its first byte was allowed last
	cancelDial context.CancelFunc // nil unless a connection is being opened for it
}

// Cancel ends the attempt by closing its connection, or ends the wait for one. It does not block.
func (a *Attempt) Cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelLocked()
}

func (a *Attempt) cancelLocked() {
	a.cancelled = true
	if a.cancelDial != nil {
		a.cancelDial()
	}
	if a.conn != nil {
		a.conn.SetDeadline(socket.PastDeadline) // ends what is under way; Do closes
	}
}

// Withdraw cancels the attempt if nothing of it has been written yet. It does not block, and other than Cancel it never
// ends what may be executing.
func (a *Attempt) Withdraw() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.withdrawn = true
	if !a.writing {
		a.cancelLocked()
	}
}

// Connection returns the use of a connection that the attempt has made, once Do has returned. Its number is 0 if there
// was none.
func (a *Attempt) Connection() ConnectionUse { return a.use }

// lastWrite is the time by which the last byte of the request must be written.
func (a *Attempt) lastWrite() time.Time {
	if !a.WriteDeadline.IsZero() && a.WriteDeadline.Before(a.Deadline) {
		return a.WriteDeadline
	}
	return a.Deadline
}

// tooLate reports whether the request can't be written in time any more.
func (a *Attempt) tooLate() bool {
	return !a.WriteDeadline.IsZero() && !time.Now().Before(a.WriteDeadline)
}

// beginWrite reports whether the request may be written, and from then on it counts as being written.
func (a *Attempt) beginWrite() bool {
	if !a.maySend() {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writing = !a.cancelled
	a.allowedAt = time.Now()
	return a.writing
}

// StillWants implements [socket.Caller]: it reports whether a request of which nothing could be written yet may still
// be written.
func (a *Attempt) StillWants() bool {
	if !a.maySend() {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allowedAt = time.Now()
	return !a.cancelled && !a.withdrawn
}

// sent reports that the first bytes are written: now, unless they came with so many that writing those may have taken
// long.
func (a *Attempt) sent(bytes int) {
	if a.OnSent == nil {
		return
	}
	at := time.Now()
	if bytes > maxBytesAtOnce {
		a.mu.Lock()
		at = a.allowedAt
		a.mu.Unlock()
	}
	a.OnSent(at)
}

// maySend reports whether the endpoint and the client are there, and time is left to write the request.
func (a *Attempt) maySend() bool {
	return a.MaySend() && !a.tooLate() && !a.Request.ClientLeft()
}

// setDeadline sets the deadline of the connection, unless the attempt is cancelled.
func (a *Attempt) setDeadline(conn *conn, deadline time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.cancelled {
		conn.SetDeadline(deadline)
	}
}

// dial opens a connection, unless the attempt is cancelled or its time is over.
func (a *Attempt) dial(dial dialFunc, timeout time.Duration) (transport, error) {
	ctx, cancel := context.WithDeadline(context.Background(), a.lastWrite())
	defer cancel()
	a.mu.Lock()
	a.cancelDial = cancel
	if a.cancelled {
		cancel()
	}
	a.mu.Unlock()
	opened, err := dial(ctx, timeout, a.Address)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelDial = nil
	return opened, err
}

// hold takes a connection, so that Cancel ends what is under way on it. It reports false if the attempt is cancelled or
// the connection broken.
func (a *Attempt) hold(conn *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = conn
	return !a.cancelled && conn.SetDeadline(a.lastWrite()) == nil
}

// release detaches the attempt from its connection, which may soon be another attempt's: Cancel must not end that. It
// reports whether the attempt was cancelled.
func (a *Attempt) release() (cancelled bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
	return a.cancelled
}

// timeLeft is how long the endpoint is told that the proxy waits.
func (a *Attempt) timeLeft() time.Duration {
	left := time.Until(a.Deadline)
	if a.Request.Stream != nil {
		return min(left, a.StreamTimeout)
	}
	return left
}
