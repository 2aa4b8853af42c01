// Package provider speaks to providers: it keeps connections to them and makes
// invoker calls, one attempt at one provider each, over HTTP/1.1.
package provider

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"ryerill/internal/buffer"
)

// Names of the headers between proxy and provider.
const (
	HeaderDeadline = "Req-Deadline-Ms" // how long the proxy will wait
	headerDeclined = "Srv-Declined"    // the provider has not run the request
)

// MaxBody is the most bytes that a body may hold.
const MaxBody = 64 << 10

// Request is what goes to a provider, the same at each invoker call but for
// the time left.
type Request struct {
	method string
	head   []byte // without the time left and the final empty line
	body   *buffer.Body
}

// AppendHeader appends the lines of a header to b. It leaves out what concerns
// one connection alone, what is written anew, and values that could be read as
// more than one line.
func AppendHeader(b []byte, header http.Header) []byte {
	for name, values := range header {
		if stays(name) || !ours(name) && named(header["Connection"], name) {
			continue
		}
		for _, value := range values {
			if Clean(value) {
				b = append(append(append(append(b, name...), ": "...), value...), "\r\n"...)
			}
		}
	}
	return b
}

func stays(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
		"Content-Length", "Host", "Proxy-Authenticate", "Proxy-Authorization", HeaderDeadline:
		return true
	}
	return false
}

// ours reports whether a header is part of the protocol between consumer and
// provider. It always passes: without its id or key a request is another one.
func ours(name string) bool {
	return strings.HasPrefix(name, "Req-") || name == "Idempotency-Key"
}

// named reports whether the values of a Connection header name another header.
func named(connection []string, name string) bool {
	for _, value := range connection {
		for token := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(token), name) {
				return true
			}
		}
	}
	return false
}

// Clean reports whether text has no control characters.
func Clean(text string) bool {
	return !strings.ContainsFunc(text, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f })
}

// NewRequest prepares a request. Method, target, headers and body are passed
// on as they are.
func NewRequest(method, target, host string, header http.Header, body *buffer.Body) *Request {
	head := make([]byte, 0, 512)
	head = append(append(append(append(head, method...), ' '), target...), " HTTP/1.1\r\nHost: "...)
	head = append(append(head, host...), "\r\n"...)
	head = AppendHeader(head, header)
	if body.Len() > 0 || method != http.MethodGet {
		head = append(strconv.AppendInt(append(head, "Content-Length: "...), int64(body.Len()), 10), "\r\n"...)
	}
	return &Request{method: method, head: head, body: body}
}

// Free gives the body back once no invoker call needs it any more.
func (r *Request) Free() { r.body.Free() }

// withTime returns the head for an invoker call that may take up to left.
func (r *Request) withTime(left time.Duration) []byte {
	head := make([]byte, 0, len(r.head)+32)
	head = append(append(head, r.head...), HeaderDeadline+": "...)
	return append(strconv.AppendInt(head, max(left.Milliseconds(), 1), 10), "\r\n\r\n"...)
}
