package upstream

import (
	"net/http"
	"strconv"
	"time"

	"ryerill/internal/http1"
	"ryerill/message"
)

// headCapacity is the initial capacity of a head buffer in bytes, enough for most requests.
const headCapacity = 512

// encodeHead encodes the head of a request and announces remaining as its time left. Method, target and headers are
// copied unchanged.
func encodeHead(r *message.OutgoingRequest, remaining time.Duration) []byte {
	head := make([]byte, 0, headCapacity)
	head = append(head, r.Method...)
	head = append(head, ' ')
	head = append(head, r.Target...)
	head = append(head, " HTTP/1.1\r\nHost: "...)
	head = append(head, r.Host...)
	head = append(head, "\r\n"...)
	head = http1.AppendHeader(head, r.Header)
	head = appendFraming(head, r)
	head = append(head, http1.HeaderDeadline...)
	head = append(head, ": "...)
	head = strconv.AppendInt(head, max(remaining.Milliseconds(), 1), 10)
	return append(head, "\r\n\r\n"...)
}

// appendFraming appends the header field that delimits the body. A GET request without a body needs none.
func appendFraming(head []byte, r *message.OutgoingRequest) []byte {
	length := int64(r.Body.Len())
	if r.Stream != nil {
		length = r.Length
	}
	switch {
	case r.Stream != nil && length == message.UnknownLength:
		return append(head, "Transfer-Encoding: chunked\r\n"...)
	case r.Stream == nil && length == 0 && r.Method == http.MethodGet:
		return head
	}
	head = append(head, "Content-Length: "...)
	head = strconv.AppendInt(head, length, 10)
	return append(head, "\r\n"...)
}
