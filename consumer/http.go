package consumer

import (
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"ryerill/internal/buffer"
	"ryerill/provider"
)

// Names of the headers between consumer and proxy.
const (
	headerID    = "Req-Id"
	headerKind  = "Req-Kind"
	headerOwner = "Req-Owner"
	headerRetry = "Req-Retry"
	keyQuery    = "k" // names what the request concerns
)

const (
	readyPath = "/ready"
	maxHead   = 32 << 10  // bytes of a request's head
	maxLeft   = time.Hour // no consumer is believed to wait longer
)

// httpError is an answer to what is not an invocation that can be taken in.
type httpError struct {
	status int
	text   string
}

func (e *httpError) Error() string { return e.text }

// readRequest reads the next request with its body. An error that is not an
// httpError means that the consumer broke off.
func (c *conn) readRequest() (*http.Request, *buffer.Body, error) {
	c.limit.N = maxHead
	req, err := http.ReadRequest(c.r)
	if err != nil {
		return nil, nil, c.fault(err, "head", http.StatusRequestHeaderFieldsTooLarge)
	}
	if req.ContentLength > provider.MaxBody {
		return nil, nil, &httpError{http.StatusRequestEntityTooLarge, "the body is too large"}
	}
	if req.ContentLength == 0 {
		return req, nil, nil
	}
	if strings.EqualFold(req.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil, err
		}
	}
	c.limit.N = 3 * provider.MaxBody // with the framing of its chunks
	body, err := c.server.buffers.ReadBody(req.Body, provider.MaxBody)
	if err != nil {
		return nil, nil, c.fault(err, "body", http.StatusRequestEntityTooLarge)
	}
	return req, body, nil
}

// fault tells why a part of a request could not be read.
func (c *conn) fault(err error, part string, tooLarge int) error {
	switch {
	case errors.Is(err, buffer.ErrTooLarge), c.limit.N <= 0:
		return &httpError{tooLarge, "the " + part + " is too large"}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &httpError{http.StatusRequestTimeout, "the " + part + " did not come in time"}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), c.limit.failed:
		return err
	}
	return &httpError{http.StatusBadRequest, "malformed " + part}
}

// parse turns a request into an invocation. It takes over the body.
func (n *Names) parse(req *http.Request, body *buffer.Body, taken time.Time) (*Invocation, error) {
	inv, err := n.invocation(req, taken)
	if err != nil {
		body.Free()
		return nil, err
	}
	inv.Request = provider.NewRequest(req.Method, req.RequestURI, req.Host, req.Header, body)
	return inv, nil
}

func (n *Names) invocation(req *http.Request, taken time.Time) (*Invocation, error) {
	switch {
	case req.Method == http.MethodHead || req.Method == http.MethodConnect:
		return nil, &httpError{http.StatusMethodNotAllowed, "method not allowed"}
	case !strings.HasPrefix(req.RequestURI, "/") || !clean(req):
		return nil, &httpError{http.StatusBadRequest, "malformed request"}
	case req.Header.Get(headerID) == "":
		return nil, &httpError{http.StatusBadRequest, headerID + " is missing"}
	}
	kind := req.Header.Get(headerKind)
	if kind == "" {
		kind, _, _ = strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	}
	inv := &Invocation{Class: slices.Index(n.Classes, kind), Tenant: slices.Index(n.Tenants, req.Header.Get(headerOwner)),
		Repeat: req.Header.Get(headerRetry) == "1", Write: req.Method != http.MethodGet, Taken: taken}
	if inv.Class < 0 {
		return nil, &httpError{http.StatusNotFound, "unknown " + headerKind}
	}
	inv.Left = n.Deadlines[inv.Class]
	if text := req.Header.Get(provider.HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return nil, &httpError{http.StatusBadRequest, "malformed " + provider.HeaderDeadline}
		}
		inv.Left = time.Duration(min(max(ms, 0), maxLeft.Milliseconds())) * time.Millisecond
	}
	if key := req.URL.Query().Get(keyQuery); req.URL.RawQuery != "" && key != "" {
		h := fnv.New64a()
		io.WriteString(h, key)
		inv.Key = h.Sum64()
	}
	return inv, nil
}

// clean reports whether no text that is passed on could be read as more than
// one line by a provider.
func clean(req *http.Request) bool {
	if !provider.Clean(req.Host) || !provider.Clean(req.RequestURI) {
		return false
	}
	for _, values := range req.Header {
		for _, value := range values {
			if !provider.Clean(value) {
				return false
			}
		}
	}
	return true
}

// head returns the head of an answer.
func head(status, length int, header http.Header, retryAfter time.Duration, closes bool) []byte {
	b := make([]byte, 0, 256)
	b = append(strconv.AppendInt(append(b, "HTTP/1.1 "...), int64(status), 10), ' ')
	b = append(append(b, http.StatusText(status)...), "\r\nContent-Length: "...)
	b = append(strconv.AppendInt(b, int64(length), 10), "\r\n"...)
	b = provider.AppendHeader(b, header)
	if retryAfter > 0 {
		b = strconv.AppendFloat(append(b, "Retry-After: "...), retryAfter.Seconds(), 'f', 3, 64)
		b = append(b, "\r\n"...)
	}
	if closes {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(b, "\r\n"...)
}

// status is the status code of a verdict.
func (v Verdict) status() int {
	switch v {
	case Served:
		return http.StatusOK
	case Refused:
		return http.StatusServiceUnavailable
	case Overdue:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
