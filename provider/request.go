package provider

import (
	"net/http"
	"strconv"
	"time"

	"ryerill/internal/http1"
	"ryerill/invocation"
)

// encode writes the head of a request that may take up to left. Method, target,
// headers and body are passed on as they are.
func encode(r *invocation.Request, left time.Duration) []byte {
	head := make([]byte, 0, 512)
	head = append(append(append(append(head, r.Method...), ' '), r.Target...), " HTTP/1.1\r\nHost: "...)
	head = append(append(head, r.Host...), "\r\n"...)
	head = http1.AppendHeader(head, r.Header)
	if r.Body.Len() > 0 || r.Method != http.MethodGet {
		head = append(strconv.AppendInt(append(head, "Content-Length: "...), int64(r.Body.Len()), 10), "\r\n"...)
	}
	head = append(append(head, http1.HeaderDeadline...), ": "...)
	return append(strconv.AppendInt(head, max(left.Milliseconds(), 1), 10), "\r\n\r\n"...)
}
