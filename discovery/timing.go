package discovery

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"ryerill/internal/socket"
)

const (
	// Wait of a watch call for a newer list: short, so that a silent service is noticed soon.
	watchWait = 2 * time.Second
	// An answer has to begin within this time after the wait of its call, and must not pause for longer later.
	answerTimeout = 1200 * time.Millisecond
	// Number of times that answerTimeout is doubled after calls for a full list whose answer did not begin in time: a
	// service may need long to build the list, and a repeated call makes it start again.
	answerDoublings = 1
	// A service forgets a watch if no call follows within 200 ms after its last answer. A broken connection is
	// replaced only if the next call still arrives within that time.
	maxContinuationDelay = 150 * time.Millisecond
	// Bounds of the pause before the full list is requested from a service that is watched without it. The watch
	// reports changes, so this is not urgent, and a service that all clients move to may be crowded by those that have
	// no watch yet.
	listPause    = 10 * time.Second
	maxListPause = time.Minute

	// An agent on this machine answers at once and at no cost, and any change that it knows counts as received by the
	// proxy. So its watch makes short calls, and after a failure the next call follows well within the time in which a
	// drain must take effect.
	agentWatchWait       = time.Second
	agentAnswerTimeout   = 300 * time.Millisecond
	agentAnswerDoublings = 2
	agentStallTimeout    = time.Second
	agentMinPause        = 25 * time.Millisecond // after a failed call; doubled with each further one
	agentMaxPause        = 200 * time.Millisecond

	// An answer that has begun may take answerGrace, and longer in proportion to the bytes received: a list of
	// thousands of endpoints may take seconds, and a call that is given up starts again from the first byte.
	answerGrace             = 4 * time.Second
	minAnswerBytesPerSecond = 16 << 10

	// Reads are restarted after these times, even if the answer may take longer: a read that the system rejected as
	// not ready, although bytes were waiting, waits for an event that may never follow. A list takes many reads, its
	// first byte one.
	maxFirstReadWait = 50 * time.Millisecond
	maxNextReadWait  = 10 * time.Millisecond

	// A failed read is repeated after this time at the latest: a list takes many reads, and growing pauses would add
	// up if most reads fail.
	maxReadPause = 2 * time.Millisecond
)

// callTiming bounds the stages of a call to a kind of service.
type callTiming struct {
	watchWait       time.Duration // how long a call of the watch waits for a newer list
	answer          time.Duration // until the first byte, after the wait
	answerDoublings int           // of answer, after calls for a full list that got no answer
	stall           time.Duration // between two bytes
	listPause       time.Duration // before the first request for the full list of a service that is watched without it
	maxListPause    time.Duration // upper bound of the growing pause
}

var (
	serviceTiming = callTiming{
		watchWait:       watchWait,
		answer:          answerTimeout,
		answerDoublings: answerDoublings,
		stall:           answerTimeout,
		listPause:       listPause,
		maxListPause:    maxListPause,
	}
	agentTiming = callTiming{
		watchWait:       agentWatchWait,
		answer:          agentAnswerTimeout,
		answerDoublings: agentAnswerDoublings,
		stall:           agentStallTimeout,
	}
)

// firstByte returns how long the first byte of an answer may take after overdue consecutive calls whose answer did not
// begin in time.
func (t callTiming) firstByte(overdue int) time.Duration {
	return t.answer << min(overdue, t.answerDoublings)
}

// pacedReader reads answers from a connection, each for as long as it arrives at the required pace. Time lost to
// faults of this machine is added to its deadline.
type pacedReader struct {
	conn     net.Conn
	timing   callTiming
	observer socket.Observer

	// State of the current answer:
	ctx        context.Context // of the call
	began      time.Time       // time of its first byte; zero before
	lastReadAt time.Time       // time of its last bytes so far
	received   int             // bytes
	deadline   time.Time       // for its next bytes
	readUntil  time.Time       // read deadline of the connection, no later than deadline
	broken     bool            // the peer has closed or reset the connection
	failed     bool            // no more is read: the deadline has passed, or a read has failed
}

// begin starts another answer, whose first byte must arrive by firstByteBy.
func (r *pacedReader) begin(ctx context.Context, firstByteBy time.Time) {
	r.ctx = ctx
	r.began = time.Time{}
	r.received = 0
	r.failed = false
	r.setDeadline(firstByteBy)
}

// Read implements [io.Reader]. A read that fails for a transient fault of this machine is repeated.
func (r *pacedReader) Read(b []byte) (int, error) {
	retry := socket.Retry{Call: "read", Observer: r.observer, Backoff: socket.Backoff{Max: maxReadPause}}
	for {
		n, err := r.readOnce(b)
		if n > 0 {
			r.advance(n)
			return n, nil
		}
		failedAt := time.Now()
		switch {
		case err == nil:
			return 0, nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			if r.hasExpired() {
				r.failed = true
				return 0, err
			}
		case r.ctx.Err() == nil && retry.Again(err):
			r.deadline = r.deadline.Add(time.Since(failedAt))
		default:
			r.failed = true
			r.broken = !socket.MayPass(err)
			return 0, err
		}
	}
}

// readOnce reads available bytes, or waits for some for a part of the remaining time.
func (r *pacedReader) readOnce(b []byte) (int, error) {
	now := time.Now()
	wait := r.maxReadWait()
	if left := r.readUntil.Sub(now); left < wait/2 || left > wait { // set rarely, however few bytes a read returns
		r.readUntil = now.Add(wait)
		if r.deadline.Before(r.readUntil) {
			r.readUntil = r.deadline
		}
		if err := r.conn.SetReadDeadline(r.readUntil); err != nil {
			return 0, err
		}
	}
	if r.ctx.Err() != nil { // checked after the deadline is set: the end of the call sets one too
		return 0, os.ErrDeadlineExceeded
	}
	return r.conn.Read(b)
}

// maxReadWait returns how long a single read may wait for bytes.
func (r *pacedReader) maxReadWait() time.Duration {
	if r.hasBegun() {
		return maxNextReadWait
	}
	return maxFirstReadWait
}

// hasExpired reports whether the deadline has passed or the call has ended.
func (r *pacedReader) hasExpired() bool { return r.ctx.Err() != nil || !time.Now().Before(r.deadline) }

// advance extends the deadline after n more bytes.
func (r *pacedReader) advance(n int) {
	now := time.Now()
	if !r.hasBegun() {
		r.began = now
	}
	r.lastReadAt = now
	r.received += n
	earned := time.Duration(r.received) * time.Second / minAnswerBytesPerSecond
	r.deadline = r.began.Add(answerGrace + earned)
	if next := now.Add(r.timing.stall); next.Before(r.deadline) {
		r.deadline = next
	}
}

// setDeadline sets the deadline of the connection, also for writes, unless the call has ended.
func (r *pacedReader) setDeadline(deadline time.Time) {
	r.deadline = deadline
	r.readUntil = time.Time{}
	r.conn.SetDeadline(deadline)
	if r.ctx.Err() != nil { // checked after the deadline is set: the end of the call sets one too
		r.conn.SetDeadline(socket.PastDeadline)
	}
}

// hasBegun reports whether a byte of the answer has been received.
func (r *pacedReader) hasBegun() bool { return !r.began.IsZero() }
