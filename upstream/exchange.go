package upstream

import (
	"bytes"
	"errors"
	"net/http"
	"os"
	"time"

	"ryerill/balancer"
	"ryerill/internal/framing"
	"ryerill/internal/http1"
	"ryerill/internal/socket"
	"ryerill/message"
)

const (
	maxHeadBytes        = 32 << 10 // of a response
	maxInterimResponses = 5        // of status 1xx before the final one

	// Bytes of an error's body that are read, with their framing, so that the connection can be used again.
	maxErrorBodyBytes = 3 * message.MaxBufferedBody
)

// Do makes the attempt and returns how it ended, with the response if it succeeded. It sends the request at most once.
func (p *Pool) Do(a *Attempt) (balancer.Outcome, *message.Response) {
	conn, err := p.get(a)
	if err != nil {
		cancelled := a.release()
		if cancelled || isOwnFault(err) || a.tooLate() { // or the attempt had less time than a connection may take
			return balancer.NotSent, nil
		}
		return balancer.ConnectFailed, nil
	}
	// A dial takes time. The rule on drains counts from a request's first byte, so beginWrite checks MaySend only now,
	// and whether the attempt was cancelled or is too late.
	if !a.hold(conn) || !a.beginWrite() {
		cancelled := a.release()
		if cancelled {
			p.drop(conn) // its deadline is over
		} else {
			p.put(conn)
		}
		return balancer.NotSent, nil // nothing of it was written
	}
	conn.beginUse(a.Request.Header.Get(http1.HeaderID))
	a.use = conn.use
	outcome, response, reusable := p.exchange(conn, a)
	if a.release() {
		reusable = false
		if outcome != balancer.OK {
			outcome = balancer.Cancelled
		}
	}
	if response != nil {
		if outcome == balancer.OK && response.Stream != nil {
			return outcome, response // which holds the connection
		}
		if outcome != balancer.OK {
			response.Free()
			response = nil
		}
	}
	if reusable {
		p.put(conn)
	} else {
		p.drop(conn)
	}
	return outcome, response
}

// exchange writes the request and reads the response, whole unless it is long. It reports whether the connection may be
// used again.
func (p *Pool) exchange(
	conn *conn, a *Attempt,
) (outcome balancer.Outcome, response *message.Response, reusable bool) {
	if a.Request.Stream != nil && a.Request.Stream.Consumed() {
		return balancer.NotSent, nil, false // part of it is gone
	}
	written := p.writeRequest(conn, a)
	switch written {
	case connectionBroke:
		return balancer.ConnectFailed, nil, false // its last byte was never written: it cannot have been executed
	case machineFailed, uploadBroke:
		return balancer.NotSent, nil, false
	case answeredEarly:
		// The deadline was for an answer to the whole request, which is never written now.
		if limit := time.Now().Add(progressTimeout); limit.Before(a.Deadline) {
			a.Deadline = limit
		}
	case writtenWhole:
		if a.OnWritten != nil {
			if deadline := a.OnWritten(); !deadline.IsZero() {
				a.Deadline = deadline
			}
		}
	}
	a.setDeadline(conn, a.Deadline)
	return p.readResponse(conn, a, written == writtenWhole)
}

// readResponse reads the final response, after any interim ones. requestWhole is whether the whole request was written:
// otherwise the connection can't be used again.
func (p *Pool) readResponse(
	conn *conn, a *Attempt, requestWhole bool,
) (outcome balancer.Outcome, response *message.Response, reusable bool) {
	for range maxInterimResponses + 1 {
		conn.limit.N = maxHeadBytes
		head, err := framing.ReadHead(conn.reader, maxHeadBytes)
		if err != nil {
			return outcomeOf(err), nil, false
		}
		parsed, err := p.parseHead(head, a.Request.Method)
		if err != nil {
			return balancer.Reset, nil, false
		}
		if parsed.StatusCode < http.StatusOK {
			continue
		}
		body, err := framing.ParseLength(head)
		if err != nil || body.Length > message.MaxBody {
			return balancer.Reset, nil, false
		}
		persistent := requestWhole && !parsed.Close && parsed.ProtoAtLeast(1, 1)
		if parsed.StatusCode == http.StatusOK {
			return p.readBody(conn, a, &responseHead{head, parsed.Header}, body, persistent && body.HasLength)
		}
		outcome := errorOutcome(parsed)
		if outcome == balancer.Rejected {
			p.recordDecline()
		}
		if conn.use.Uses > 1 {
			return inDoubt(outcome), nil, false // its own response may be yet to come
		}
		return outcome, nil, p.skipErrorBody(conn, head, parsed.StatusCode, body, persistent)
	}
	return balancer.Reset, nil, false
}

// parseHead parses the head of a response to a request of a method.
func (p *Pool) parseHead(head []byte, method string) (*http.Response, error) {
	reader := p.buffers.Reader(bytes.NewReader(head))
	defer p.buffers.PutReader(reader)
	return http.ReadResponse(reader, &http.Request{Method: method})
}

// recordDecline records that an endpoint has declined a request.
func (p *Pool) recordDecline() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.policy.Declined(time.Now())
}

// inDoubt is the outcome of an error on a connection that has brought another response before: it may be one that comes
// late, and so proves nothing of this request.
func inDoubt(outcome balancer.Outcome) balancer.Outcome {
	if outcome == balancer.Rejected {
		return balancer.RejectedInDoubt
	}
	return outcome
}

// errorOutcome is the outcome of a response that is no success.
func errorOutcome(response *http.Response) balancer.Outcome {
	unavailable := response.StatusCode == http.StatusServiceUnavailable ||
		response.StatusCode == http.StatusGatewayTimeout
	if unavailable && response.Header.Get(http1.HeaderDeclined) == "1" {
		return balancer.Rejected
	}
	return balancer.Error
}

// skipErrorBody reads over the body of an error, which does not matter, so that the connection can be used again. It
// reports whether it can be.
func (p *Pool) skipErrorBody(conn *conn, head []byte, status int, body framing.Body, persistent bool) bool {
	hasNoBody := status == http.StatusNoContent || status == http.StatusNotModified
	reusable := persistent && (body.HasLength || hasNoBody)
	if reusable && !hasNoBody {
		conn.limit.N = maxErrorBodyBytes
		skipped, err := p.buffers.ReadBody(body.Reader(conn.reader), message.MaxBufferedBody)
		reusable = err == nil
		if reusable {
			p.recordResponse(conn, digestOfBody(head, skipped))
		}
		skipped.Free()
	}
	return reusable && p.endsHere(conn)
}

// endsHere reports whether nothing has been received behind a response.
func (p *Pool) endsHere(conn *conn) bool {
	if conn.reader.Buffered() == 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unsolicitedLocked(conn)
	return false
}

// isOwnFault reports whether a connection could not be opened, or written to, for a fault of this machine, which is no
// evidence against the endpoint.
func isOwnFault(err error) bool { return errors.Is(err, errNoDescriptor) || socket.MayPass(err) }

// outcomeOf is the outcome of an attempt whose response can't be read.
func outcomeOf(err error) balancer.Outcome {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return balancer.Timeout
	}
	return balancer.Reset
}
