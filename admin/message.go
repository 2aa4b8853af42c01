package admin

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"ryerill/internal/framing"
)

const (
	maxHead = 8 << 10   // bytes of a request's head
	maxBody = 1 << 10   // bytes of its body, without chunk framing
	maxPlan = 256 << 10 // bytes of a body that is a rollout plan
)

// request is a complete request.
type request struct{ method, path, body string }

// argument returns the body without trailing line ends.
func (r request) argument() string { return strings.TrimRight(r.body, "\r\n") }

// response is the response to a request.
type response struct {
	status int
	text   string // plain text, or JSON
	json   bool
	allow  string // the methods of the path, if the request has another one
}

// statusError is an error with a status of its own.
type statusError struct {
	status int
	text   string
	allow  string // see response
}

// Error returns the text of the response.
func (e *statusError) Error() string { return e.text }

func (e *statusError) response() response {
	return response{status: e.status, text: e.text, allow: e.allow}
}

func failf(status int, format string, args ...any) *statusError {
	return &statusError{status: status, text: fmt.Sprintf(format, args...)}
}

// encode returns the response in its form on the wire.
func (r response) encode() []byte {
	contentType, text := "text/plain; charset=utf-8", r.text+"\n"
	if r.json {
		contentType = "application/json"
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", r.status, http.StatusText(r.status))
	fmt.Fprintf(&b, "Content-Type: %s\r\nContent-Length: %d\r\n", contentType, len(text))
	b.WriteString("Cache-Control: no-store\r\nConnection: close\r\n")
	if r.allow != "" {
		fmt.Fprintf(&b, "Allow: %s\r\n", r.allow)
	}
	b.WriteString("\r\n" + text)
	return b.Bytes()
}

// readRequest reads one request and checks everything that does not depend on its path. It writes the interim response
// to w if the client waits for one before it sends the body. The error is a *statusError if the client gets a response
// to the request.
func readRequest(r *bufio.Reader, w io.Writer) (request, error) {
	head, err := framing.ReadHead(r, maxHead)
	if errors.Is(err, framing.ErrHeadTooLarge) {
		return request{}, failf(http.StatusRequestHeaderFieldsTooLarge,
			"the head is over %d bytes: send only what HTTP needs", maxHead)
	}
	if err != nil {
		return request{}, err
	}
	frame, err := framing.ParseLength(head)
	if err != nil {
		return request{}, failf(http.StatusBadRequest, "%v: state one Content-Length, or chunks", err)
	}
	parsed, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil || !supported(parsed) {
		return request{}, failf(http.StatusBadRequest,
			"malformed head: send a call of HTTP/1.1, as in GET /ops/stats HTTP/1.1")
	}
	req := request{method: parsed.Method, path: parsed.RequestURI}
	limit := bodyLimit(req.path)
	if frame.Length > limit {
		return request{}, bodyTooLarge(limit)
	}
	if frame.Length > 0 || frame.Chunked {
		if strings.EqualFold(parsed.Header.Get("Expect"), "100-continue") {
			if _, err := io.WriteString(w, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
				return request{}, err
			}
		}
		if req.body, err = readBody(frame.Reader(r), limit); err != nil {
			return request{}, err
		}
	}
	if r.Buffered() > 0 {
		return request{}, failf(http.StatusBadRequest, "more follows the call: send one call to a connection")
	}
	return req, nil
}

// supported reports whether a head is of HTTP/1.x and has the fields that its version requires.
func supported(req *http.Request) bool {
	if req.Host == "" && req.ProtoAtLeast(1, 1) {
		return false
	}
	return req.ProtoMajor == 1 && strings.HasPrefix(req.RequestURI, "/")
}

func readBody(r io.Reader, limit int64) (string, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	switch {
	case int64(len(body)) > limit:
		return "", bodyTooLarge(limit)
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "", err
	case err != nil:
		return "", failf(http.StatusBadRequest, "malformed body: send the id of a backend with a Content-Length")
	}
	return string(body), nil
}

func bodyTooLarge(limit int64) error {
	return failf(http.StatusRequestEntityTooLarge, "the body is over %d bytes: send the id of a backend alone", limit)
}
