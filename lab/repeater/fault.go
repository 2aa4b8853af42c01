// Package repeater stands in for endpoints that send more than they were asked for: second copies of their responses,
// parts of them, noise and interim responses, all on connections that stay open. Each response carries the id of its
// request and each execution is recorded, so that wrong responses and repeated executions are counted exactly.
package repeater

import (
	"math/rand/v2"
	"time"
)

// Form is what is sent after a response although nobody has asked for it.
type Form string

// The forms.
const (
	Whole   Form = "a second copy"
	Pieces  Form = "a second copy in two pieces"
	Half    Form = "the first half of a second copy"
	Tail    Form = "five bytes too many"
	Interim Form = "an interim response"
	Noise   Form = "noise"
)

// AllForms lists every form.
var AllForms = []Form{Whole, Pieces, Half, Tail, Interim, Noise}

const (
	tailText    = "spare"
	interimText = "HTTP/1.1 100 Continue\r\n\r\n"
	noiseBytes  = 40
	pieceDelay  = 2 * time.Millisecond // between the pieces of a copy
)

// Fault is how often an endpoint sends what, and how late.
type Fault struct {
	Share    float64 // of all responses that something follows; 0 is none
	Forms    []Form  // one of which is drawn for each; none is Whole
	MinDelay time.Duration
	MaxDelay time.Duration
	// AtNextRequest is whether the delay counts from the next request on the connection instead of from the response.
	AtNextRequest bool
	// Declines is whether a decline is sent in place of the form drawn, whatever the response was.
	Declines bool
}

// unsolicited is what follows a response.
type unsolicited struct {
	delay  time.Duration
	pieces [][]byte // pieceDelay apart
}

// draw returns what follows a response, or nil.
func (f *Fault) draw(response []byte) *unsolicited {
	if rand.Float64() >= f.Share {
		return nil
	}
	form := Whole
	if len(f.Forms) > 0 {
		form = f.Forms[rand.IntN(len(f.Forms))]
	}
	delay := f.MinDelay + time.Duration(rand.Float64()*float64(f.MaxDelay-f.MinDelay))
	if f.Declines {
		return &unsolicited{delay: delay, pieces: [][]byte{[]byte(declineText)}}
	}
	return &unsolicited{delay: delay, pieces: form.pieces(response)}
}

// sendLater sends the pieces when they are due, each by a call of send with its index. Nil is nothing to send.
func (u *unsolicited) sendLater(send func(index int, piece []byte)) {
	if u == nil {
		return
	}
	for i, piece := range u.pieces {
		time.AfterFunc(u.delay+time.Duration(i)*pieceDelay, func() { send(i, piece) })
	}
}

// pieces returns what is sent after a response.
func (f Form) pieces(response []byte) [][]byte {
	half := len(response) / 2
	switch f {
	case Pieces:
		return [][]byte{response[:half], response[half:]}
	case Half:
		return [][]byte{response[:half]}
	case Tail:
		return [][]byte{[]byte(tailText)}
	case Interim:
		return [][]byte{[]byte(interimText)}
	case Noise:
		noise := make([]byte, noiseBytes)
		for i := range noise {
			noise[i] = byte(rand.Uint32())
		}
		return [][]byte{noise}
	default:
		return [][]byte{response}
	}
}
