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
	maxHeadBytes        = 32 << 10 // per response head
	maxInterimResponses = 5        // with status 1xx, before the final response

	// maxErrorBodyBytes limits the bytes of an error response's body, with its framing, that are read so that the
	// connection can be reused.
	maxErrorBodyBytes = 3 * message.MaxBufferedBody
)

// Do makes the attempt and returns its outcome, and the response if the outcome is OK. It sends the request at most
// once.
func (p *Pool) Do(a *Attempt) (balancer.Outcome, *message.Response) {
	conn, err := p.get(a)
	if err != nil {
		cancelled := a.detach()
		if cancelled || isLocalFault(err) || a.tooLate() { // tooLate: less time was left than the connect timeout
			return balancer.NotSent, nil
		}
		return balancer.ConnectFailed, nil
	}
	// A dial takes time, and an endpoint that drains must not receive the first byte of a request. So beginWrite checks
	// MaySend, cancellation and the write deadline only now.
	if !a.attach(conn) || !a.beginWrite() {
		cancelled := a.detach()
		if cancelled {
			p.drop(conn) // cancelling has set its deadline to the past
		} else {
			p.put(conn)
		}
		return balancer.NotSent, nil // no byte of the request was written
	}
	conn.beginUse(a.Request.Header.Get(http1.HeaderID))
	a.use = conn.use
	outcome, response, reusable := p.exchange(conn, a)
	if a.detach() {
		reusable = false
		if outcome != balancer.OK {
			outcome = balancer.Cancelled
		}
	}
	if response != nil {
		if outcome == balancer.OK && response.Stream != nil {
			return outcome, response // the stream owns the connection
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

// exchange writes the request and reads the response: completely, or the beginning of a long one. It reports whether
// the connection may be reused.
func (p *Pool) exchange(
	conn *conn, a *Attempt,
) (outcome balancer.Outcome, response *message.Response, reusable bool) {
	if a.Request.Stream != nil && a.Request.Stream.Consumed() {
		return balancer.NotSent, nil, false // an earlier attempt has consumed part of the body
	}
	written := p.writeRequest(conn, a)
	switch written {
	case connectionFailed:
		return balancer.ConnectFailed, nil, false // the last byte was not written, so the request never ran
	case localFault, uploadFailed, uploadTooSlow:
		return balancer.NotSent, nil, false
	case respondedEarly:
		// The deadline applied to the response to a complete request, and this request stays incomplete.
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

// readResponse reads the final response and skips interim ones. requestWhole states whether the whole request was
// written; if not, the connection can't be reused.
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
			return inDoubt(outcome), nil, false // the response to this request may still follow
		}
		return outcome, nil, p.skipErrorBody(conn, head, parsed.StatusCode, body, persistent)
	}
	return balancer.Reset, nil, false
}

// parseHead parses the head of a response to a request with the given method.
func (p *Pool) parseHead(head []byte, method string) (*http.Response, error) {
	reader := p.buffers.Reader(bytes.NewReader(head))
	defer p.buffers.PutReader(reader)
	return http.ReadResponse(reader, &http.Request{Method: method})
}

// recordDecline records in the reuse policy that an endpoint has declined a request.
func (p *Pool) recordDecline() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.policy.RecordDecline(time.Now())
}

// inDoubt returns the outcome of an error response on a reused connection. The response may be a late one to an earlier
// request, so a rejection does not prove that this request never ran.
func inDoubt(outcome balancer.Outcome) balancer.Outcome {
	if outcome == balancer.Rejected {
		return balancer.RejectedInDoubt
	}
	return outcome
}

// errorOutcome returns the outcome of a response whose status is not 200.
func errorOutcome(response *http.Response) balancer.Outcome {
	unavailable := response.StatusCode == http.StatusServiceUnavailable ||
		response.StatusCode == http.StatusGatewayTimeout
	if unavailable && response.Header.Get(http1.HeaderDeclined) == "1" {
		return balancer.Rejected
	}
	return balancer.Error
}

// skipErrorBody reads and discards the body of an error response so that the connection can be reused. It reports
// whether the connection can be reused.
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
	return reusable && p.noTrailingBytes(conn)
}

// noTrailingBytes reports whether the endpoint has sent no bytes after the end of the response. It reports trailing
// bytes to the observer.
func (p *Pool) noTrailingBytes(conn *conn) bool {
	if conn.reader.Buffered() == 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handleUnsolicitedLocked(conn)
	return false
}

// isLocalFault reports whether opening a connection or writing to it failed because this machine lacked a resource.
// Such an error is no evidence against the endpoint.
func isLocalFault(err error) bool { return errors.Is(err, errNoDescriptor) || socket.MayPass(err) }

// outcomeOf returns the outcome of an attempt for which reading the response failed with err.
func outcomeOf(err error) balancer.Outcome {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return balancer.Timeout
	}
	return balancer.Reset
}
