package upstream

import (
	"net/http"
	"strconv"
	"time"

	"ryerill/internal/http1"
	"ryerill/message"
)

// encode writes the head of a request that may take up to left. Method, target,
// headers and body are passed on as they are.
func encode(r *message.OutgoingRequest, left time.Duration) []byte {
	head := make([]byte, 0, 512)
	head = append(append(append(append(head, r.Method...), ' '), r.Target...), " HTTP/1.1\r\nHost: "...)
	head = append(append(head, r.Host...), "\r\n"...)
	head = http1.AppendHeader(head, r.Header)
	if r.Stream != nil && r.Length == message.UnknownLength {
		head = append(head, "Transfer-Encoding: chunked\r\n"...)
	} else if length := int64(r.Body.Len()); r.Stream != nil || length > 0 || r.Method != http.MethodGet {
		if r.Stream != nil {
			length = r.Length
		}
		head = append(strconv.AppendInt(append(head, "Content-Length: "...), length, 10), "\r\n"...)
	}
	head = append(append(head, http1.HeaderDeadline...), ": "...)
	return append(strconv.AppendInt(head, max(left.Milliseconds(), 1), 10), "\r\n\r\n"...)
}
