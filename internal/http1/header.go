// Package http1 holds what both sides of the proxy need to write heads of
// HTTP/1.1: which headers pass, and the names that the protocol gives them.
package http1

import (
	"net/http"
	"strings"
)

// Names of the protocol's headers.
const (
	HeaderID       = "Req-Id"
	HeaderKind     = "Req-Kind"
	HeaderOwner    = "Req-Owner"
	HeaderRetry    = "Req-Retry"
	HeaderKey      = "Idempotency-Key"
	HeaderDeadline = "Req-Deadline-Ms" // how long the sender will wait
	HeaderDeclined = "Srv-Declined"    // the endpoint has not run the request
)

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

// ours reports whether a header is part of the protocol between client and
// endpoint. It always passes: without its id or key a request is another one.
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
