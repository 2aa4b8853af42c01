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

// ConnectionUse is one use of a connection to an endpoint by an attempt.
type ConnectionUse struct {
	Number uint64        // of the connection, among those of its pool
	Uses   int           // requests written to it, this one included
	Rest   time.Duration // since its last response; 0 at its first use
}

// UnsolicitedKind is what an endpoint has sent without being asked.
type UnsolicitedKind string

// The kinds.
const (
	// RepeatedResponse is the whole of a response that the connection has already brought.
	RepeatedResponse UnsolicitedKind = "a repeated response"
	// OtherResponse is the whole of another response. The one before it may have been another request's.
	OtherResponse UnsolicitedKind = "another response"
	// PartialResponse is the beginning of a response.
	PartialResponse UnsolicitedKind = "the beginning of a response"
	// UnknownBytes can't be taken for the final response to a request.
	UnknownBytes UnsolicitedKind = "no response"
)

// Unsolicited is what has been found on a connection on which no request was out, or behind a response.
type Unsolicited struct {
	Endpoint    string // its name
	Connection  ConnectionUse
	LastRequest string // id of the request that the connection carried last
	Kind        UnsolicitedKind
	// Late is how long after the last response it came; negative is unknown.
	Late time.Duration
}

// Observer is told what endpoints send unasked. Its method is called with locks held: it must neither block nor call
// the pool.
type Observer interface {
	UnsolicitedBytes(Unsolicited)
}

// ObserveUnsolicited has the pool tell an observer what endpoints send unasked. It must be called before the first
// attempt.
func (p *Pool) ObserveUnsolicited(observer Observer) { p.observer = observer }

// unknownLateness is the lateness of bytes of which it is not known when they came.
const unknownLateness = time.Duration(-1)

// maxInspected are the bytes of unsolicited input that are looked at.
const maxInspected = 4 << 10

// unsolicitedLocked judges what has been received on a connection that is not to be used any more. The
// connections of who sends what could be taken for a response rest longer.
func (p *Pool) unsolicitedLocked(c *conn) {
	input, late := c.takeInput()
	kind := c.judge(input)
	p.tellObserver(c, kind, late)
	if kind != UnknownBytes && late != 0 {
		p.policy.CameLate(c.destination.endpoint, time.Now())
	}
}

func (p *Pool) tellObserver(c *conn, kind UnsolicitedKind, late time.Duration) {
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

// isOwn reports whether a success is the response to the request that is out on a connection, not a copy of one that
// the connection has brought before.
func (p *Pool) isOwn(c *conn, digest reuse.Digest) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.history.Holds(digest) && p.policy.Responses.ToldApart(digest) {
		p.tellObserver(c, RepeatedResponse, unknownLateness)
		p.distrustLocked(c.destination)
		return false
	}
	p.recordLocked(c, digest)
	return true
}

// recordResponse records a response that a connection has brought.
func (p *Pool) recordResponse(c *conn, digest reuse.Digest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordLocked(c, digest)
}

func (p *Pool) recordLocked(c *conn, digest reuse.Digest) {
	c.history.Add(digest)
	p.policy.Responses.Record(digest, c.use.Number)
}

// takeInput takes the beginning of what has been received, and returns how long after the last response it came;
// negative is unknown.
func (c *conn) takeInput() (input []byte, late time.Duration) {
	late = unknownLateness
	if c.reader.Buffered() > 0 {
		input, _ = c.reader.Peek(min(c.reader.Buffered(), maxInspected)) // it is there: no error
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

// interimHead matches the head of a response of status 1xx.
var interimHead = regexp.MustCompile(`^HTTP/1\.[01] 1`)

// judge says what was received although nobody has asked for it.
func (c *conn) judge(input []byte) UnsolicitedKind {
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
	if c.history.Holds(digestOf(head, body[:framed.Length])) {
		return RepeatedResponse
	}
	return OtherResponse
}

var digestSeed = maphash.MakeSeed()

// digestOf returns the digest of a response of a head and a body in one piece.
func digestOf(head, body []byte) reuse.Digest {
	return digest(head, func(hash *maphash.Hash) { hash.Write(body) })
}

// digestOfBody returns the digest of a response of a head and a body in blocks: that which digestOf has of its bytes.
func digestOfBody(head []byte, body *buffer.Body) reuse.Digest { return digest(head, body.Hash) }

func digest(head []byte, addBody func(*maphash.Hash)) reuse.Digest {
	var hash maphash.Hash
	hash.SetSeed(digestSeed)
	hash.Write(head)
	addBody(&hash)
	return reuse.Digest(hash.Sum64())
}
