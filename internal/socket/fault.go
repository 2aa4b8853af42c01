package socket

import (
	"errors"
	"io"
	"net"
	"slices"
	"syscall"
	"time"
)

const (
	// How long a call that fails because of a local fault is retried, unless its deadline ends it before.
	maxFaultPeriod = 5 * time.Second
	// How often a call is retried that reports the end of a connection while a poll does not. For calls that don't
	// wait, it is the number of attempts in all.
	maxImmediateRetries = 4
)

// connectionErrors are the errors by which the system reports that a connection has ended, can't be established, or
// that the descriptor is not a connection. It reports most of them once: the next call gets an orderly end.
var connectionErrors = []syscall.Errno{
	syscall.ECONNRESET, syscall.EPIPE, syscall.ECONNABORTED, syscall.ETIMEDOUT, syscall.ECONNREFUSED, syscall.ENOTCONN,
	syscall.ESHUTDOWN, syscall.EHOSTUNREACH, syscall.EHOSTDOWN, syscall.ENETUNREACH, syscall.ENETDOWN,
	syscall.ENETRESET, syscall.EPROTO, syscall.EBADF, syscall.ENOTSOCK, syscall.EINVAL, syscall.EACCES, syscall.EPERM,
	syscall.EADDRINUSE,
}

// MayPass reports whether err is a local fault that may pass by itself, such as a lack of buffers. Such an error does
// not concern the peer and leaves the connection open, so the call can be retried. MayPass is false for a deadline, an
// orderly end, and errors by which the system reports the end of the connection.
func MayPass(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && !slices.Contains(connectionErrors, number)
}

// Verdict is the consequence of a failed call.
type Verdict string

// The verdicts on failed calls.
const (
	Retried   Verdict = "retried"    // the call is retried
	GivenUp   Verdict = "given up"   // a local fault has lasted for too long
	PeerEnded Verdict = "peer ended" // the peer or the network has ended the connection
)

// Observer receives each failed call with the verdict on it.
type Observer interface {
	CallFailed(call string, err error, verdict Verdict)
}

// Caller decides whether a call that has made no progress is still needed.
type Caller interface {
	// MayRetry reports whether the call may be retried. The conditions under which it was first made may have
	// changed.
	MayRetry() bool
}

// Retry decides for all parts of the proxy whether a failed call is retried or the connection has ended. A Retry is
// used for one call and its repetitions.
type Retry struct {
	Call     string
	Observer Observer // may be nil
	// Peer is the connection to poll before an error that reports its end is accepted. It is nil where an orderly end
	// means something else than a reset: the system reports a reset once and an orderly end afterwards, so a retry
	// would hide the reset.
	Peer syscall.Conn
	// Caller is consulted before a call that has made no progress is retried. If it is nil, all are retried.
	Caller Caller
	// Backoff computes the pause before the next call.
	Backoff Backoff

	faultsSince     time.Time // start of the current series of faults; zero if there is none
	unconfirmedEnds int       // errors reporting the end of the connection that a poll did not confirm
	lastFault       error     // last error that was retried; nil after progress
	partial         bool      // the call has made progress
}

// Again reports whether a call that failed with err may be retried. If the verdict is Retried, it first sleeps for the
// backoff. The connection's deadline still applies: a call made after it fails with a final error.
func (r *Retry) Again(err error) bool {
	var number syscall.Errno
	if !errors.As(err, &number) {
		return false // an orderly end, a deadline, or closed by this process
	}
	verdict := r.judge(err)
	if r.Observer != nil {
		r.Observer.CallFailed(r.Call, err, verdict)
	}
	if verdict != Retried {
		return false
	}
	r.lastFault = err
	time.Sleep(r.Backoff.Next())
	return r.partial || r.Caller == nil || r.Caller.MayRetry()
}

func (r *Retry) judge(err error) Verdict {
	if !MayPass(err) {
		if r.Peer == nil || r.unconfirmedEnds >= maxImmediateRetries || PeerClosed(r.Peer) {
			return PeerEnded
		}
		r.unconfirmedEnds++
		return Retried
	}
	if r.faultsSince.IsZero() {
		r.faultsSince = time.Now()
	}
	if time.Since(r.faultsSince) > maxFaultPeriod {
		return GivenUp
	}
	return Retried
}

// progress records that the call has done part of its work, which ends the current series of faults.
func (r *Retry) progress() {
	r.faultsSince = time.Time{}
	r.lastFault = nil
	r.partial = true
	r.Backoff.Reset()
}

// Write writes all of buffers. After a local fault it resumes at the first unwritten byte, until the connection's write
// deadline. It removes written bytes from buffers.
func Write(conn io.Writer, buffers *net.Buffers, retry *Retry) error {
	for {
		n, err := buffers.WriteTo(conn)
		if err == nil {
			return nil
		}
		if n > 0 {
			retry.progress()
		}
		if !retry.Again(err) {
			return err
		}
	}
}

// PendingFault returns the last fault since the call last made progress, or nil. If a deadline then ends the call, the
// local fault is the cause and not the peer.
func (r *Retry) PendingFault() error { return r.lastFault }

// Read makes one read. It retries local faults until the connection's read deadline.
func Read(conn io.Reader, p []byte, retry Retry) (int, error) {
	for {
		n, err := conn.Read(p)
		if n > 0 || err == nil || !retry.Again(err) {
			return n, err
		}
	}
}

// RetryingConn is a connection whose Read and Write retry local faults.
type RetryingConn struct {
	net.Conn
	Observer Observer // nil is none
}

// Read implements [io.Reader].
func (s RetryingConn) Read(p []byte) (int, error) {
	return Read(s.Conn, p, Retry{Call: "read", Observer: s.Observer})
}

// Write implements [io.Writer]. It reports 0 bytes on any error.
func (s RetryingConn) Write(p []byte) (int, error) {
	retry := Retry{Call: "write", Observer: s.Observer}
	if err := Write(s.Conn, &net.Buffers{p}, &retry); err != nil {
		return 0, err
	}
	return len(p), nil
}

// retryImmediately makes a call that does not wait, retries it without a pause while it fails because of a local fault,
// and returns its last error.
func retryImmediately(call func() error) (err error) {
	for range maxImmediateRetries {
		if err = call(); !MayPass(err) || errors.Is(err, syscall.EAGAIN) {
			break
		}
	}
	return err
}

// CloseWrite shuts down the sending side of a connection. It succeeds on a connection that has already ended. An error
// is a local fault: the peer has not been notified.
func CloseWrite(conn interface{ CloseWrite() error }) error {
	err := retryImmediately(conn.CloseWrite)
	if !MayPass(err) {
		return nil
	}
	return err
}

// RetryFaults makes a call and retries it for up to maxFaultPeriod while it fails because of a local fault, such as a
// lack of descriptors. It returns any other error at once.
func RetryFaults[T any](call func() (T, error)) (T, error) {
	var retry Retry
	for {
		result, err := call()
		if err == nil || !retry.Again(err) {
			return result, err
		}
	}
}
