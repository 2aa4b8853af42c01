package upstream

import (
	"context"
	"sync"
	"time"

	"ryerill/internal/socket"
	"ryerill/message"
)

// Attempt is one attempt to execute a request at one endpoint. It must not be used more than once.
type Attempt struct {
	Request  *message.OutgoingRequest
	Endpoint uint64 // identity of the endpoint; its address may be reassigned to another endpoint
	// EndpointName is the endpoint's name in logs.
	EndpointName string
	Address      string
	Deadline     time.Time // when the proxy stops waiting for the response
	// WriteDeadline is when the last byte of the request must be written; zero means no limit. A request whose body
	// the proxy is still receiving may take longer.
	WriteDeadline time.Time
	// StreamTimeout is how long the client waits after the last byte of a streamed request. Deadline also includes the
	// upload time, which must not be announced to the endpoint.
	StreamTimeout time.Duration
	// NeedsProof means that the request may be retried only if it is proven that it never ran.
	NeedsProof bool
	MaySend    func() bool // called right before the first byte is written; false prevents the write

	// OnSent is called after the first bytes are written, with the time of that write. It may be nil.
	OnSent func(time.Time)

	// OnWritten is called after the last byte is written and returns the new deadline; zero keeps the present one. It
	// may be nil.
	OnWritten func() time.Time

	use    ConnectionUse // set by Do
	upload UploadEnd     // set by Do

	// mu guards the fields below.
	mu          sync.Mutex
	conn        *conn // nil unless a connection is attached
	cancelled   bool
	withdrawn   bool               // writing must not start any more
	writing     bool               // the first byte may have been written
	permittedAt time.Time          // when the first byte was last permitted
	limit       time.Time          // no deadline of conn is later; zero means no limit
	taken       bool               // the endpoint has taken bytes of the body since the limit was set
	deadline    time.Time          // of conn
	cancelDial  context.CancelFunc // nil unless a dial is in progress
}

// Cancel ends the attempt: it interrupts the dial, or the read or write on the connection. It does not block.
func (a *Attempt) Cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelLocked()
}

// cancelLocked implements Cancel. Callers must hold a.mu.
func (a *Attempt) cancelLocked() {
	a.cancelled = true
	if a.cancelDial != nil {
		a.cancelDial()
	}
	if a.conn != nil {
		a.conn.SetDeadline(socket.PastDeadline) // interrupts reads and writes in progress; Do closes the connection
	}
}

// Withdraw cancels the attempt if none of its bytes has been written yet. It does not block. Unlike Cancel, it never
// ends an attempt that the endpoint may be executing.
func (a *Attempt) Withdraw() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.withdrawn = true
	if !a.writing {
		a.cancelLocked()
	}
}

// Connection returns which connection the attempt used. It is valid after Do has returned. Its Number is 0 if the
// attempt used no connection.
func (a *Attempt) Connection() ConnectionUse { return a.use }

// Upload returns why the upload of the attempt was given up. It is valid after Do has returned.
func (a *Attempt) Upload() UploadEnd { return a.upload }

// lastWrite returns the time by which the last byte of the request must be written.
func (a *Attempt) lastWrite() time.Time {
	if !a.WriteDeadline.IsZero() && a.WriteDeadline.Before(a.Deadline) {
		return a.WriteDeadline
	}
	return a.Deadline
}

// tooLate reports whether WriteDeadline has passed.
func (a *Attempt) tooLate() bool {
	return !a.WriteDeadline.IsZero() && !time.Now().Before(a.WriteDeadline)
}

// beginWrite reports whether the request may be written. If so, Withdraw no longer cancels the attempt.
func (a *Attempt) beginWrite() bool {
	if !a.maySend() {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writing = !a.cancelled
	a.permittedAt = time.Now()
	return a.writing
}

// MayRetry implements [socket.Caller]: it reports whether a request whose first write failed without writing a byte
// may be tried again.
func (a *Attempt) MayRetry() bool {
	if !a.maySend() {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.permittedAt = time.Now()
	return !a.cancelled && !a.withdrawn
}

// reportSent calls OnSent with the time at which the first bytes were written: now, or, if more bytes were written than
// the system accepts at once, the time at which the write was permitted, as the write may have taken long.
func (a *Attempt) reportSent(bytes int) {
	if a.OnSent == nil {
		return
	}
	at := time.Now()
	if bytes > maxBytesAtOnce {
		a.mu.Lock()
		at = a.permittedAt
		a.mu.Unlock()
	}
	a.OnSent(at)
}

// maySend reports whether MaySend permits the write, the client is connected and WriteDeadline is not over.
func (a *Attempt) maySend() bool {
	return a.MaySend() && !a.tooLate() && !a.Request.ClientLeft()
}

// LimitDeadline ends the attempt at the given time if it has no response by then. Unlike Deadline it may be set while
// the attempt is in progress, and it bounds the write of a request whose body the proxy is still receiving.
func (a *Attempt) LimitDeadline(limit time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limit = limit
	a.taken = false
	if a.conn != nil && !a.cancelled && limit.Before(a.deadline) {
		_ = a.setDeadlineLocked(a.conn, limit) // fails only on a closed connection
	}
}

// setDeadline sets the deadline of conn, unless the attempt is cancelled.
func (a *Attempt) setDeadline(conn *conn, deadline time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.cancelled {
		_ = a.setDeadlineLocked(conn, deadline) // fails only on a closed connection
	}
}

// setDeadlineLocked sets the deadline of conn, but none behind the limit. Callers must hold a.mu.
func (a *Attempt) setDeadlineLocked(conn *conn, deadline time.Time) error {
	if !a.limit.IsZero() && a.limit.Before(deadline) {
		deadline = a.limit
	}
	a.deadline = deadline
	return conn.SetDeadline(deadline)
}

// dial opens a connection, unless the attempt is cancelled or its write deadline has passed.
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

// attach binds conn to the attempt, so that Cancel interrupts reads and writes on it. It reports false if the attempt
// is cancelled or the connection is broken.
func (a *Attempt) attach(conn *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = conn
	return !a.cancelled && a.setDeadlineLocked(conn, a.lastWrite()) == nil
}

// detach unbinds the attempt from its connection, so that Cancel does not interrupt the next attempt that uses the
// connection. It reports whether the attempt was cancelled.
func (a *Attempt) detach() (cancelled bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
	return a.cancelled
}

// timeLeft returns the remaining time that is announced to the endpoint.
func (a *Attempt) timeLeft() time.Duration {
	left := time.Until(a.Deadline)
	if a.Request.Stream != nil {
		return min(left, a.StreamTimeout)
	}
	return left
}

// UploadEnd is why the upload of an attempt was given up.
type UploadEnd uint8

// The reasons to give up an upload.
const (
	UploadNotGivenUp UploadEnd = iota
	UploadStalled              // the endpoint took no bytes for progressTimeout, or for the rest of the client's time
	UploadTooSlow              // the endpoint took bytes, but not all of them in the client's time
	UploadEndCount             // number of reasons
)

// bodyTaken records that the endpoint has taken more bytes of the body.
func (a *Attempt) bodyTaken() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.taken = true
}

// uploadTimedOut returns why a write of the body ended at its deadline.
func (a *Attempt) uploadTimedOut() UploadEnd {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.limit.IsZero() && a.taken && !time.Now().Before(a.limit) {
		return UploadTooSlow
	}
	return UploadStalled
}
