// Package http1 provides what both sides of the proxy, downstream and upstream, need to write HTTP/1.1 heads: the names
// of the protocol's headers, and the rules by which headers are forwarded.
package http1

import (
	"net/http"
	"strings"
)

// Headers of the protocol between clients, the proxy and endpoints.
const (
	HeaderID       = "Req-Id"
	HeaderKind     = "Req-Kind"
	HeaderOwner    = "Req-Owner"
	HeaderRetry    = "Req-Retry"
	HeaderKey      = "Idempotency-Key"
	HeaderDeadline = "Req-Deadline-Ms" // how long the sender will wait, in milliseconds
	HeaderDeclined = "Srv-Declined"    // the endpoint has not run the request
)

// AppendHeader appends the lines of header to b and returns the result. It omits hop-by-hop headers, headers that the
// proxy writes itself, and values with control characters, which could be parsed as more than one line.
func AppendHeader(b []byte, header http.Header) []byte {
	for name, values := range header {
		if isOmitted(name) || !isProtocolHeader(name) && connectionNames(header["Connection"], name) {
			continue
		}
		for _, value := range values {
			if HasNoControlCharacters(value) {
				b = append(append(append(append(b, name...), ": "...), value...), "\r\n"...)
			}
		}
	}
	return b
}

// isOmitted reports whether a header is never forwarded: it is hop-by-hop, or the proxy writes its own.
func isOmitted(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
		"Content-Length", "Host", "Proxy-Authenticate", "Proxy-Authorization", HeaderDeadline:
		return true
	}
	return false
}

// isProtocolHeader reports whether a header belongs to the protocol between client and endpoint. Such a header is
// forwarded even if a Connection header names it, because the id and the key identify the request.
func isProtocolHeader(name string) bool {
	return strings.HasPrefix(name, "Req-") || name == "Idempotency-Key"
}

// connectionNames reports whether the values of a Connection header list the header with the given name.
func connectionNames(connection []string, name string) bool {
	for _, value := range connection {
		for token := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(token), name) {
				return true
			}
		}
	}
	return false
}

// HasNoControlCharacters reports whether text contains no control characters other than tabs.
func HasNoControlCharacters(text string) bool {
	return !strings.ContainsFunc(text, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f })
}
