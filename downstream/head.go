package downstream

import (
	"errors"
	"net/http"
	"strings"

	"ryerill/internal/framing"
	"ryerill/internal/http1"
	"ryerill/message"
)

// uniqueHeaders are the headers that a request may contain at most once. Of two values, an endpoint might use a
// different one than this proxy.
var uniqueHeaders = [...]string{
	"Host",
	http1.HeaderID,
	http1.HeaderKind,
	http1.HeaderOwner,
	http1.HeaderRetry,
	http1.HeaderKey,
	http1.HeaderDeadline,
}

// checkHead checks the raw head of a request and returns how its body is delimited. [http.ReadRequest] would accept
// some malformed heads and ignore a Content-Length next to a Transfer-Encoding. An endpoint that interprets the same
// bytes differently would find a second request in the body of the first (request smuggling).
func checkHead(head []byte) (framing.Body, error) {
	lines := strings.Split(strings.TrimSuffix(string(head), "\r\n"), "\r\n")
	lines = lines[:len(lines)-1]
	if err := checkLines(lines); err != nil {
		return framing.Body{}, err
	}
	body, err := framing.ParseLength(head)
	switch {
	case errors.Is(err, framing.ErrCoding):
		return framing.Body{}, &requestError{http.StatusNotImplemented, err.Error()}
	case err != nil:
		return framing.Body{}, badRequest(err.Error())
	case body.Chunked && !strings.HasSuffix(lines[0], " HTTP/1.1"):
		return framing.Body{}, badRequest("Transfer-Encoding before HTTP/1.1")
	case body.Length > message.MaxBody:
		return framing.Body{}, &requestError{http.StatusRequestEntityTooLarge, "the body is too large"}
	}
	return body, nil
}

// checkLines checks the request line and the headers.
func checkLines(lines []string) error {
	notASCII := func(r rune) bool { return r > '~' }
	if len(lines) == 0 || strings.ContainsFunc(lines[0], notASCII) {
		return badRequest("malformed request line")
	}
	seen := make(map[string]bool, len(uniqueHeaders))
	for i, line := range lines {
		if !http1.HasNoControlCharacters(line) { // includes a bare CR or LF
			return badRequest("control character in the head")
		}
		if i == 0 {
			continue
		}
		name, _, hasColon := strings.Cut(line, ":")
		if !hasColon || !isToken(name) { // includes continuation lines and a space before the colon
			return badRequest("malformed header")
		}
		unique := matchUniqueHeader(name)
		if unique == "" {
			continue
		}
		if seen[unique] {
			return badRequest(unique + " is there twice")
		}
		seen[unique] = true
	}
	return nil
}

// matchUniqueHeader returns the entry of uniqueHeaders that equals name, ignoring case, or "".
func matchUniqueHeader(name string) string {
	for _, unique := range uniqueHeaders {
		if strings.EqualFold(name, unique) {
			return unique
		}
	}
	return ""
}

// isToken reports whether text is a valid header name.
func isToken(text string) bool {
	return text != "" && !strings.ContainsFunc(text, func(r rune) bool {
		return r <= ' ' || r > '~' || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, r)
	})
}
