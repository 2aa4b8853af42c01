package quota

import (
	"math"
	"slices"
	"time"
)

// RequestID identifies a request for a loan. It is never reused, so that duplicates get the same answer.
type RequestID struct {
	Replica string `json:"Name"` // the borrower
	Epoch   uint64 `json:"Epoch"`
	Seq     uint64 `json:"Seq"`
}

// Message is a request for a loan, a grant, or the return of a loan. A grant of 0 is a denial.
type Message struct {
	Grant   bool      `json:"Grant"`
	Return  bool      `json:"Back"` // returns the loan granted for Request
	Request RequestID `json:"Key"`
	From    string    `json:"From"`  // the lender, in a grant
	Epoch   uint64    `json:"Epoch"` // of the lender, in a grant
	Quota   string    `json:"Budget"`
	Amount  float64   `json:"Amount"`
	Renews  uint64    `json:"Renews"` // Seq of the request whose loan this one renews, or noRenewal
}

// noRenewal in a request asks for a new loan: sequence numbers start at 1.
const noRenewal = 0

// valid reports whether a message is well-formed and its sender requests or grants in its own name.
func (m *Message) valid(sender string) bool {
	if !(m.Amount >= 0) || m.Amount > maxUnits || m.Request.Replica == "" {
		return false
	}
	if m.Grant {
		return m.From == sender
	}
	return m.Request.Replica == sender
}

// fixedMessageBytes is the maximum encoded size of a message alone in a list, without its names and numbers.
const fixedMessageBytes = 78

// MaxEncodedBytes returns the maximum size of the message encoded as CBOR.
func (m *Message) MaxEncodedBytes() int {
	size := fixedMessageBytes
	for _, number := range [...]uint64{m.Request.Epoch, m.Request.Seq, m.Epoch, m.Renews} {
		size += encodedHeadBytes(number)
	}
	for _, name := range [...]string{m.Request.Replica, m.From, m.Quota} {
		size += encodedHeadBytes(uint64(len(name))) + len(name)
	}
	return size
}

// encodedHeadBytes returns the size of a number or length in CBOR.
func encodedHeadBytes(number uint64) int {
	switch {
	case number < 24:
		return 1
	case number <= math.MaxUint8:
		return 2
	case number <= math.MaxUint16:
		return 3
	case number <= math.MaxUint32:
		return 5
	default:
		return 9
	}
}

// Action is a message for the host to send.
type Action struct {
	To      string
	Message Message
}

// pendingRequest is a request that this replica has sent and that is not answered yet.
type pendingRequest struct {
	seq    uint64
	renews uint64 // seq of the request whose loan it renews, or noRenewal
	lender string
	sentAt time.Duration
}

// answerLog keeps answers, so that a duplicate request gets the same one.
type answerLog struct {
	entries []answer
}

type answer struct {
	message    Message
	answeredAt time.Duration
}

func (l *answerLog) find(request RequestID) (Message, bool) {
	for i := range l.entries {
		if l.entries[i].message.Request == request {
			return l.entries[i].message, true
		}
	}
	return Message{}, false
}

func (l *answerLog) full() bool { return len(l.entries) >= maxAnswers }

func (l *answerLog) add(now time.Duration, message Message) {
	if !l.full() {
		l.entries = append(l.entries, answer{message: message, answeredAt: now})
	}
}

// expire drops answers to requests that are too old to count if they arrive again.
func (l *answerLog) expire(now time.Duration) {
	retention := 2 * withMaxDrift(Lease)
	l.entries = slices.DeleteFunc(l.entries, func(a answer) bool { return now-a.answeredAt >= retention })
}
