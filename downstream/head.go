package downstream

import (
	"errors"
	"net/http"
	"strings"

	"ryerill/internal/framing"
	"ryerill/internal/http1"
	"ryerill/message"
)

// once are the headers that a request may carry once at most: of two, a
// provider might read another one than this proxy.
var once = [...]string{"Host", http1.HeaderID, http1.HeaderKind, http1.HeaderOwner, http1.HeaderRetry, http1.HeaderKey, http1.HeaderDeadline}

// judge checks a request's head by its very bytes and says how its body is
// delimited. [http.ReadRequest] would repair what it can and drop a length
// beside a transfer coding: a provider that reads the same bytes otherwise
// would find a second request in the body of the first.
func judge(head []byte) (framing.Body, error) {
	bad := func(text string) (framing.Body, error) {
		return framing.Body{}, &httpError{http.StatusBadRequest, text}
	}
	lines := strings.Split(strings.TrimSuffix(string(head), "\r\n"), "\r\n")
	lines = lines[:len(lines)-1]
	if len(lines) == 0 || strings.ContainsFunc(lines[0], func(r rune) bool { return r > '~' }) {
		return bad("malformed request line")
	}
	seen := make(map[string]bool, len(once))
	for i, line := range lines {
		if !http1.Clean(line) { // bare CR or LF among others
			return bad("control character in the head")
		}
		if i == 0 {
			continue
		}
		name, _, ok := strings.Cut(line, ":")
		if !ok || !token(name) { // continuation lines too, and space before the colon
			return bad("malformed header")
		}
		for _, key := range once {
			if strings.EqualFold(name, key) {
				if seen[key] {
					return bad(key + " is there twice")
				}
				seen[key] = true
			}
		}
	}
	body, err := framing.ParseLength(head)
	switch {
	case errors.Is(err, framing.ErrCoding):
		return framing.Body{}, &httpError{http.StatusNotImplemented, err.Error()}
	case err != nil:
		return bad(err.Error())
	case body.Chunked && !strings.HasSuffix(lines[0], " HTTP/1.1"):
		return bad("Transfer-Encoding before HTTP/1.1")
	case body.Length > message.MaxBody:
		return framing.Body{}, &httpError{http.StatusRequestEntityTooLarge, "the body is too large"}
	}
	return body, nil
}

// token reports whether text may name a header.
func token(text string) bool {
	return text != "" && !strings.ContainsFunc(text, func(r rune) bool {
		return r <= ' ' || r > '~' || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, r)
	})
}
