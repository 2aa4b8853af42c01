package downstream

import (
	"bytes"
	"errors"
	"hash/fnv"
	"io"
	"math"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"ryerill/balancer"
	"ryerill/internal/buffer"
	"ryerill/internal/framing"
	"ryerill/internal/http1"
	"ryerill/message"
	"ryerill/route"
)

// keyQuery names what the request concerns.
const keyQuery = "k"

const (
	readyPath = "/ready"
	maxHead   = 32 << 10  // bytes of a request's head
	maxID     = 256       // bytes of a Req-Id
	maxLeft   = time.Hour // no consumer is believed to wait longer

	chunkedMost = 8 * message.MaxBody // bytes of a body in chunks, with their framing: one for each byte is six
)

// httpError is an answer to what is not an invocation that can be taken in.
type httpError struct {
	status int
	text   string
}

func (e *httpError) Error() string { return e.text }

// retryAfter is when to come back, where that helps.
func (e *httpError) retryAfter() time.Duration {
	if e.status == http.StatusServiceUnavailable {
		return time.Second
	}
	return 0
}

// readHead reads the head of the next request and says how its body is
// delimited. An error that is not an httpError means that the consumer broke off.
func (c *conn) readHead() (*http.Request, framing.Body, error) {
	c.N = maxHead
	text, err := framing.ReadHead(c.r, maxHead)
	if err != nil {
		return nil, framing.Body{}, c.fault(err, "head", http.StatusRequestHeaderFieldsTooLarge)
	}
	f, err := judge(text)
	if err != nil {
		return nil, f, err
	}
	r := c.server.buffers.Reader(bytes.NewReader(text))
	req, err := http.ReadRequest(r)
	c.server.buffers.PutReader(r)
	if err != nil {
		return nil, f, &httpError{http.StatusBadRequest, "malformed head"}
	}
	return req, f, nil
}

// readBody reads the body of a request whose head is in, as far as it is held.
// What is still to come of it then is returned too.
func (c *conn) readBody(req *http.Request, f framing.Body) (*buffer.Body, *upload, error) {
	if f.Length == 0 && !f.Chunked {
		return nil, nil, nil
	}
	switch expect := req.Header.Get("Expect"); {
	case expect == "":
	case !strings.EqualFold(expect, "100-continue"):
		return nil, nil, &httpError{http.StatusExpectationFailed, "unknown expectation"}
	case !c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"), nil):
		return nil, nil, io.ErrClosedPipe
	}
	c.N = math.MaxInt64
	if f.Chunked {
		c.N = chunkedMost
	}
	c.comesIn()
	src := f.Reader(c.r)
	body, whole, err := c.server.buffers.ReadPart(src, message.MaxBufferedBody+1, nil)
	switch {
	case err != nil:
		body.Free()
		return nil, nil, c.fault(err, "body", http.StatusRequestEntityTooLarge)
	case whole:
		c.pace = pace{}
		return body, nil, nil
	}
	return body, newUpload(c, src, message.MaxBody-int64(body.Len())), nil
}

// find returns the way of a request.
func (s *Server) find(req *http.Request) (Route, error) {
	way, err := s.services.Find(req, stated(req))
	switch {
	case errors.Is(err, route.ErrPath):
		return way, &httpError{http.StatusBadRequest, err.Error()}
	case err != nil:
		return way, &httpError{http.StatusNotFound, err.Error()}
	}
	return way, nil
}

// stated is the class that a request names.
func stated(req *http.Request) string {
	if kind := req.Header.Get(http1.HeaderKind); kind != "" {
		return kind
	}
	return firstPart(req)
}

func firstPart(req *http.Request) string {
	first, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	return first
}

// fault tells why a part of a request could not be read.
func (c *conn) fault(err error, part string, tooLarge int) error {
	switch {
	case errors.Is(err, framing.ErrHeadTooLarge), errors.Is(err, buffer.ErrTooLarge), c.N <= 0:
		return &httpError{tooLarge, "the " + part + " is too large"}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &httpError{http.StatusRequestTimeout, "the " + part + " did not come in time"}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), c.failed:
		return err
	}
	return &httpError{http.StatusBadRequest, "malformed " + part}
}

// parse turns a request into an invocation. Where it can't, what it was given
// is still the caller's.
func (w *Route) parse(req *http.Request, body *buffer.Body, rest *upload, length int64, taken time.Time) (*message.Request, error) {
	inv, err := w.Service.Classes().read(req, body, taken, w.Class)
	if err != nil {
		return nil, err
	}
	inv.Outgoing = &message.OutgoingRequest{Method: req.Method, Target: w.Target, Host: req.Host, Header: req.Header, Body: body, Length: length}
	if rest != nil {
		inv.Outgoing.Stream = rest
	}
	return inv, nil
}

func (n *PoolClasses) read(req *http.Request, body *buffer.Body, taken time.Time, class string) (*message.Request, error) {
	bad := func(text string) (*message.Request, error) { return nil, &httpError{http.StatusBadRequest, text} }
	id := req.Header.Get(http1.HeaderID)
	switch {
	case req.ProtoMajor != 1:
		return nil, &httpError{http.StatusHTTPVersionNotSupported, "not HTTP/1"}
	case req.Host == "" && req.ProtoAtLeast(1, 1), !strings.HasPrefix(req.RequestURI, "/"):
		return bad("malformed request")
	case id == "" || len(id) > maxID || strings.ContainsFunc(id, func(r rune) bool { return r <= ' ' || r > '~' }):
		return bad(http1.HeaderID + " is missing or malformed")
	}
	first, kind := firstPart(req), req.Header.Get(http1.HeaderKind)
	if kind == "" {
		if kind = class; kind == "" {
			kind = first
		}
	}
	inv := &message.Request{Class: slices.Index(n.Classes, kind), Tenant: slices.Index(n.Tenants, req.Header.Get(http1.HeaderOwner)),
		ClientRetry: req.Header.Get(http1.HeaderRetry) == "1", Write: req.Method != http.MethodGet, ReceivedAt: taken}
	switch {
	case inv.Class < 0:
		return nil, &httpError{http.StatusNotFound, "unknown " + http1.HeaderKind}
	case kind != first && !n.AnyPath:
		return bad(http1.HeaderKind + " is not the first part of the path")
	}
	// What the class allows is decided by its effect; a method that says otherwise cannot be meant.
	switch effect := n.Effects[inv.Class]; {
	case effect == balancer.Safe && req.Method != http.MethodGet,
		effect != balancer.Safe && !slices.Contains(writes, req.Method),
		effect == balancer.Keyed && req.Method != http.MethodPost:
		return nil, &httpError{http.StatusMethodNotAllowed, "method does not fit " + http1.HeaderKind}
	case effect == balancer.Safe && body.Len() > 0:
		return bad("a body where none belongs")
	case effect == balancer.Keyed && req.Header.Get(http1.HeaderKey) == "":
		return bad(http1.HeaderKey + " is missing")
	}
	inv.Remaining = n.Deadlines[inv.Class]
	if text, stated := req.Header[http1.HeaderDeadline]; stated {
		ms, ok := framing.Digits(text[0])
		if !ok {
			return bad("malformed " + http1.HeaderDeadline)
		}
		inv.Remaining = time.Duration(min(ms, maxLeft.Milliseconds())) * time.Millisecond
	}
	if key := req.URL.Query().Get(keyQuery); req.URL.RawQuery != "" && key != "" {
		h := fnv.New64a()
		io.WriteString(h, key)
		inv.Key = h.Sum64()
	}
	return inv, nil
}

// writes are the methods of requests that are not safe to repeat.
var writes = []string{http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}

// head returns the head of an answer. One of unknown length goes in chunks, to an
// old consumer until the connection ends.
func head(code int, length int64, old bool, header http.Header, retryAfter time.Duration, closes bool) []byte {
	b := make([]byte, 0, 256)
	b = append(strconv.AppendInt(append(b, "HTTP/1.1 "...), int64(code), 10), ' ')
	b = append(append(b, http.StatusText(code)...), "\r\n"...)
	switch {
	case length != message.UnknownLength:
		b = append(strconv.AppendInt(append(b, "Content-Length: "...), length, 10), "\r\n"...)
	case !old:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	}
	b = http1.AppendHeader(b, header)
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
func status(v message.ResultKind) int {
	switch v {
	case message.Served:
		return http.StatusOK
	case message.Shed:
		return http.StatusServiceUnavailable
	case message.TimedOut:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
