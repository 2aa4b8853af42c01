package upstream

import (
	"bytes"
	"hash/maphash"
	"regexp"
	"time"

	"ryerill/internal/buffer"
	"ryerill/internal/framing"
	"ryerill/internal/socket"
	"ryerill/reuse"
)

// ConnectionUse describes the use of a connection by one attempt.
type ConnectionUse struct {
	Number uint64        // number of the connection within its pool, from 1
	Uses   int           // requests written to the connection, including this one
	Rest   time.Duration // time since the previous response; 0 at the first use
}

// UnsolicitedKind classifies bytes that an endpoint sent without a request in flight.
type UnsolicitedKind string

// The kinds of unsolicited bytes.
const (
	// RepeatedResponse is a complete copy of a response received earlier on the connection.
	RepeatedResponse UnsolicitedKind = "a repeated response"
	// OtherResponse is any other complete response. The response before it may have belonged to another request.
	OtherResponse UnsolicitedKind = "another response"
	// PartialResponse is an incomplete response.
	PartialResponse UnsolicitedKind = "the beginning of a response"
	// UnknownBytes are bytes that can't be mistaken for the final response to a request.
	UnknownBytes UnsolicitedKind = "no response"
)

// Unsolicited describes bytes received on a connection with no request in flight, or after the end of a response.
type Unsolicited struct {
	Endpoint    string // name of the endpoint
	Connection  ConnectionUse
	LastRequest string // id of the latest request on the connection
	Kind        UnsolicitedKind
	// Late is the time between the last response and these bytes; negative if unknown.
	Late time.Duration
}

// Observer receives reports of unsolicited bytes. Its method is called with the pool's lock held, so it must neither
// block nor call the pool.
type Observer interface {
	UnsolicitedBytes(Unsolicited)
}

// ObserveUnsolicited sets the observer of unsolicited bytes. It must be called before the first attempt.
func (p *Pool) ObserveUnsolicited(observer Observer) { p.observer = observer }

// unknownLateness is the lateness of bytes whose arrival time is unknown.
const unknownLateness = time.Duration(-1)

// maxInspected is the number of unsolicited bytes that are inspected.
const maxInspected = 4 << 10

// handleUnsolicitedLocked classifies and reports the bytes received on a connection that will not be reused. If they
// arrived late and could be mistaken for a response, the endpoint's connections rest longer. Callers must hold p.mu.
func (p *Pool) handleUnsolicitedLocked(c *conn) {
	input, late := c.takeInput()
	kind := c.classify(input)
	p.reportUnsolicited(c, kind, late)
	if kind != UnknownBytes && late != 0 {
		p.policy.RecordLateBytes(c.destination.endpoint, time.Now())
	}
}

// reportUnsolicited notifies the observer, if there is one. Callers must hold p.mu.
func (p *Pool) reportUnsolicited(c *conn, kind UnsolicitedKind, late time.Duration) {
	if p.observer == nil {
		return
	}
	p.observer.UnsolicitedBytes(Unsolicited{
		Endpoint:    c.endpointName,
		Connection:  c.use,
		LastRequest: c.lastRequest,
		Kind:        kind,
		Late:        late,
	})
}

// isOwnResponse reports whether a successful response belongs to the request in flight on the connection, and is not a
// copy of an earlier response. It records the response; after a copy it distrusts the endpoint.
func (p *Pool) isOwnResponse(c *conn, digest reuse.Digest) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.history.Contains(digest) && p.policy.Responses.IsDistinctive(digest) {
		p.reportUnsolicited(c, RepeatedResponse, unknownLateness)
		p.distrustLocked(c.destination)
		return false
	}
	p.recordLocked(c, digest)
	return true
}

// recordResponse records a response received on a connection.
func (p *Pool) recordResponse(c *conn, digest reuse.Digest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordLocked(c, digest)
}

// recordLocked implements recordResponse. Callers must hold p.mu.
func (p *Pool) recordLocked(c *conn, digest reuse.Digest) {
	c.history.Add(digest)
	p.policy.Responses.Record(digest, c.use.Number)
}

// takeInput returns up to maxInspected received bytes and the time between the last response and their arrival, which
// is negative if unknown.
func (c *conn) takeInput() (input []byte, late time.Duration) {
	late = unknownLateness
	if c.reader.Buffered() > 0 {
		input, _ = c.reader.Peek(min(c.reader.Buffered(), maxInspected)) // buffered, so Peek returns no error
		return input, 0
	}
	if !c.idleSince.IsZero() {
		if ago, known := socket.SinceLastReceived(c); known {
			late = max(time.Since(c.idleSince)-ago, 0)
		}
	}
	block := make([]byte, maxInspected)
	return block[:socket.Receive(c, block)], late
}

// interimHead matches the beginning of a response with status 1xx.
var interimHead = regexp.MustCompile(`^HTTP/1\.[01] 1`)

// classify returns the kind of the unsolicited bytes in input.
func (c *conn) classify(input []byte) UnsolicitedKind {
	if !bytes.HasPrefix(input, []byte("HTTP/")) || interimHead.Match(input) {
		return UnknownBytes
	}
	end := bytes.Index(input, []byte("\r\n\r\n"))
	if end < 0 {
		return PartialResponse
	}
	head := input[:end+len("\r\n\r\n")]
	body := input[len(head):]
	framed, err := framing.ParseLength(head)
	if err != nil || !framed.HasLength || framed.Chunked || int64(len(body)) < framed.Length {
		return PartialResponse
	}
	if c.history.Contains(digestOf(head, body[:framed.Length])) {
		return RepeatedResponse
	}
	return OtherResponse
}

var digestSeed = maphash.MakeSeed()

// digestOf returns the digest of a response whose body is contiguous.
func digestOf(head, body []byte) reuse.Digest {
	return digest(head, func(hash *maphash.Hash) { hash.Write(body) })
}

// digestOfBody returns the digest of a response whose body is in blocks. It equals that of digestOf for the same bytes.
func digestOfBody(head []byte, body *buffer.Body) reuse.Digest { return digest(head, body.Hash) }

func digest(head []byte, addBody func(*maphash.Hash)) reuse.Digest {
	var hash maphash.Hash
	hash.SetSeed(digestSeed)
	hash.Write(head)
	addBody(&hash)
	return reuse.Digest(hash.Sum64())
}
