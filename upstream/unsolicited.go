package upstream

import (
	"bytes"
	"hash/maphash"
	"time"

	"ryerill/internal/buffer"
	"ryerill/internal/framing"
	"ryerill/internal/socket"
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
	// UnknownBytes are part of a response, or no response.
	UnknownBytes UnsolicitedKind = "part of a response, or none"
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

// maxInspected are the bytes of unsolicited input that are looked at.
const maxInspected = 4 << 10

// reportUnsolicited tells the observer what has been received on a connection that is not to be used any more.
func (p *Pool) reportUnsolicited(c *conn) {
	if p.observer == nil {
		return
	}
	input, late := c.takeInput()
	p.observer.UnsolicitedBytes(Unsolicited{
		Endpoint:    c.endpointName,
		Connection:  c.use,
		LastRequest: c.lastRequest,
		Kind:        c.judge(input),
		Late:        late,
	})
}

// takeInput takes the beginning of what has been received, and returns how long after the last response it came;
// negative is unknown.
func (c *conn) takeInput() (input []byte, late time.Duration) {
	late = -1
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

// judge says what was received although nobody has asked for it.
func (c *conn) judge(input []byte) UnsolicitedKind {
	end := bytes.Index(input, []byte("\r\n\r\n"))
	if end < 0 || !bytes.HasPrefix(input, []byte("HTTP/")) {
		return UnknownBytes
	}
	head := input[:end+len("\r\n\r\n")]
	body := input[len(head):]
	framed, err := framing.ParseLength(head)
	if err != nil || !framed.HasLength || framed.Chunked || int64(len(body)) < framed.Length {
		return UnknownBytes
	}
	if c.history.holds(digestOf(head, body[:framed.Length])) {
		return RepeatedResponse
	}
	return OtherResponse
}

// responseDigest stands for the bytes of a response: its head, and its body without framing.
type responseDigest uint64

var digestSeed = maphash.MakeSeed()

func digestOf(head, body []byte) responseDigest {
	var hash maphash.Hash
	hash.SetSeed(digestSeed)
	hash.Write(head)
	hash.Write(body)
	return responseDigest(hash.Sum64())
}

func digestOfBody(head []byte, body *buffer.Body) responseDigest {
	var hash maphash.Hash
	hash.SetSeed(digestSeed)
	hash.Write(head)
	body.Hash(&hash)
	return responseDigest(hash.Sum64())
}

// maxRemembered is how many responses of a connection are remembered.
const maxRemembered = 4

// responseHistory is the last responses that a connection has brought.
type responseHistory struct {
	digests [maxRemembered]responseDigest
	count   int // of all responses so far
}

func (h *responseHistory) add(digest responseDigest) {
	h.digests[h.count%maxRemembered] = digest
	h.count++
}

// holds reports whether a response is among those remembered.
func (h *responseHistory) holds(digest responseDigest) bool {
	for _, known := range h.digests[:min(h.count, maxRemembered)] {
		if known == digest {
			return true
		}
	}
	return false
}
