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
	"strings"
	"time"

	"ryerill/balancer"
	"ryerill/internal/buffer"
	"ryerill/internal/framing"
	"ryerill/internal/http1"
	"ryerill/internal/socket"
	"ryerill/message"
	"ryerill/route"
)

const (
	maxHeadBytes = 32 << 10  // of a request
	maxIDBytes   = 256       // of a Req-Id
	maxRemaining = time.Hour // longer deadlines are cut to this

	// Bytes of a chunked body including its framing. One chunk per body byte takes six bytes for each.
	maxChunkedBytes = 8 * message.MaxBody

	// Query parameter that names the resource of a request, for endpoint affinity.
	keyParameter = "k"
)

// unsafeMethods are the methods of requests that are not safe to repeat.
var unsafeMethods = []string{http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}

// requestError rejects a request with a status.
type requestError struct {
	status int
	text   string
}

// Error returns the reason for the rejection.
func (e *requestError) Error() string { return e.text }

// retryAfter returns the value of Retry-After: 0, which omits the header, unless the status is 503.
func (e *requestError) retryAfter() time.Duration {
	if e.status == http.StatusServiceUnavailable {
		return overloadRetryAfter
	}
	return 0
}

// badRequest returns a requestError with status 400.
func badRequest(text string) error { return &requestError{http.StatusBadRequest, text} }

// readHead reads the head of the next request and returns it with the framing of its body. An error that is not a
// requestError means that the connection ended within the head.
func (c *conn) readHead() (*http.Request, framing.Body, error) {
	c.readLimit = maxHeadBytes
	text, err := framing.ReadHead(c.reader, maxHeadBytes)
	if err != nil {
		return nil, framing.Body{}, c.readError(err, "head", http.StatusRequestHeaderFieldsTooLarge)
	}
	body, err := checkHead(text)
	if err != nil {
		return nil, body, err
	}
	reader := c.server.buffers.Reader(bytes.NewReader(text))
	req, err := http.ReadRequest(reader)
	c.server.buffers.PutReader(reader)
	if err != nil {
		return nil, body, badRequest("malformed head")
	}
	return req, body, nil
}

// readBody reads the body of a request after its head. A body longer than message.MaxBufferedBody is buffered only in
// part; the upload reads the remainder.
func (c *conn) readBody(req *http.Request, framed framing.Body) (*buffer.Body, *upload, error) {
	if framed.Length == 0 && !framed.Chunked {
		return nil, nil, nil
	}
	if err := c.answerExpectation(req.Header.Get("Expect")); err != nil {
		return nil, nil, err
	}
	c.readLimit = math.MaxInt64
	if framed.Chunked {
		c.readLimit = maxChunkedBytes
	}
	c.beginBody(framed)
	source := framed.Reader(c.reader)
	body, whole, err := c.server.buffers.ReadPart(source, message.MaxBufferedBody+1, nil)
	if err != nil {
		body.Free()
		return nil, nil, c.readError(err, "body", http.StatusRequestEntityTooLarge)
	}
	if whole {
		c.pacing = bodyPacing{}
		return body, nil, nil
	}
	return body, newUpload(c, source, message.MaxBody-int64(body.Len())), nil
}

// answerExpectation writes 100 Continue to a client that expects it before it sends the body.
func (c *conn) answerExpectation(expectation string) error {
	switch {
	case expectation == "":
		return nil
	case !strings.EqualFold(expectation, "100-continue"):
		return &requestError{http.StatusExpectationFailed, "unknown expectation"}
	case !c.writeMessage([]byte("HTTP/1.1 100 Continue\r\n\r\n"), nil):
		return io.ErrClosedPipe
	}
	return nil
}

// readError converts an error from reading a part of a request, "head" or "body", to a requestError if the client can
// still be answered.
func (c *conn) readError(err error, part string, tooLargeStatus int) error {
	tooLarge := errors.Is(err, framing.ErrHeadTooLarge) || errors.Is(err, buffer.ErrTooLarge) || c.readLimit <= 0
	switch {
	case tooLarge:
		return &requestError{tooLargeStatus, "the " + part + " is too large"}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &requestError{http.StatusRequestTimeout, "the " + part + " was not received in time"}
	case socket.MayPass(err):
		return &requestError{http.StatusServiceUnavailable, "the " + part + " can't be read because of a local fault"}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), c.broken:
		return err
	}
	return badRequest("malformed " + part)
}

// readRequest finds the route of a request whose head has been read, and reads and parses the rest of the request.
func (c *conn) readRequest(req *http.Request, framed framing.Body) (Route, *message.Request, error) {
	route, err := c.server.findRoute(req)
	if err != nil {
		return route, nil, err
	}
	c.requestClass = statedClass(req)
	if route.Class != "" && req.Header.Get(http1.HeaderKind) == "" {
		c.requestClass = route.Class
	}
	release, err := reserveBody(route.Service, framed)
	if err != nil {
		return route, nil, err
	}
	request, err := c.readParsed(req, framed, &route)
	if err != nil {
		release()
		return route, nil, err
	}
	request.Outgoing.OnFree = release
	return route, request, nil
}

// reserveBody reserves memory for the part of a body that is buffered, and returns the function that releases it.
func reserveBody(service Service, framed framing.Body) (release func(), err error) {
	if framed.Length == 0 && !framed.Chunked {
		return func() {}, nil
	}
	size := min(framed.Length, message.MaxBufferedBody)
	if framed.Chunked {
		size = message.MaxBufferedBody
	}
	release, ok := service.ReserveBody(int(size))
	if !ok {
		return nil, &requestError{http.StatusServiceUnavailable, "no memory for the body"}
	}
	return release, nil
}

// readParsed reads the body of a request and parses the request. If the body is not buffered completely, the outgoing
// request gets a stream of the remainder.
func (c *conn) readParsed(req *http.Request, framed framing.Body, route *Route) (*message.Request, error) {
	body, stream, err := c.readBody(req, framed)
	if err != nil {
		return nil, err
	}
	c.requestReceived()
	request, err := route.Service.Classes().parse(req, body, route.Class)
	if err != nil {
		body.Free()
		return nil, err
	}
	request.Outgoing = &message.OutgoingRequest{
		Method: req.Method,
		Target: route.Target,
		Host:   req.Host,
		Header: req.Header,
		Body:   body,
		Length: framed.Length,
	}
	if framed.Chunked {
		request.Outgoing.Length = message.UnknownLength
	}
	if stream != nil {
		request.Outgoing.Stream = stream
	}
	return request, nil
}

// findRoute returns the route of a request.
func (s *Server) findRoute(req *http.Request) (Route, error) {
	found, err := s.router.Find(req, statedClass(req))
	switch {
	case errors.Is(err, route.ErrPath):
		return found, badRequest(err.Error())
	case err != nil:
		return found, &requestError{http.StatusNotFound, err.Error()}
	}
	return found, nil
}

// statedClass returns the class that a request states: the Req-Kind header or, without it, the first segment of the
// path.
func statedClass(req *http.Request) string {
	if kind := req.Header.Get(http1.HeaderKind); kind != "" {
		return kind
	}
	return firstSegment(req)
}

// firstSegment returns the first segment of a request's path.
func firstSegment(req *http.Request) string {
	first, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	return first
}

// parse checks the headers of a request against the classes of its pool and converts it to a message.Request.
// routeClass is the class of requests that state none; if it is empty, the first segment of the path is used.
func (p *PoolClasses) parse(req *http.Request, body *buffer.Body, routeClass string) (*message.Request, error) {
	receivedAt := time.Now()
	if err := checkRequestLine(req); err != nil {
		return nil, err
	}
	class, err := p.classOf(req, routeClass)
	if err != nil {
		return nil, err
	}
	if err := checkEffect(p.Effects[class], req, body); err != nil {
		return nil, err
	}
	request := &message.Request{
		Class:       class,
		Tenant:      slices.Index(p.Tenants, req.Header.Get(http1.HeaderOwner)),
		ClientRetry: req.Header.Get(http1.HeaderRetry) == "1",
		Write:       req.Method != http.MethodGet,
		ReceivedAt:  receivedAt,
		Remaining:   p.Deadlines[class],
		Key:         affinityKey(req),
	}
	if text, stated := req.Header[http1.HeaderDeadline]; stated {
		milliseconds, ok := framing.Digits(text[0])
		if !ok {
			return nil, badRequest("malformed " + http1.HeaderDeadline)
		}
		request.Remaining = time.Duration(min(milliseconds, maxRemaining.Milliseconds())) * time.Millisecond
	}
	return request, nil
}

// checkRequestLine checks the HTTP version, the target and the Host and Req-Id headers.
func checkRequestLine(req *http.Request) error {
	id := req.Header.Get(http1.HeaderID)
	unprintable := func(r rune) bool { return r <= ' ' || r > '~' }
	switch {
	case req.ProtoMajor != 1:
		return &requestError{http.StatusHTTPVersionNotSupported, "not HTTP/1"}
	case req.Host == "" && req.ProtoAtLeast(1, 1), !strings.HasPrefix(req.RequestURI, "/"):
		return badRequest("malformed request")
	case id == "" || len(id) > maxIDBytes || strings.ContainsFunc(id, unprintable):
		return badRequest(http1.HeaderID + " is missing or malformed")
	}
	return nil
}

// classOf returns the index of a request's class.
func (p *PoolClasses) classOf(req *http.Request, routeClass string) (int, error) {
	first := firstSegment(req)
	name := req.Header.Get(http1.HeaderKind)
	if name == "" {
		name = routeClass
	}
	if name == "" {
		name = first
	}
	class := slices.Index(p.Classes, name)
	switch {
	case class < 0:
		return 0, &requestError{http.StatusNotFound, "unknown " + http1.HeaderKind}
	case name != first && !p.AnyPath:
		return 0, badRequest(http1.HeaderKind + " is not the first part of the path")
	}
	return class, nil
}

// checkEffect checks that the method, body and idempotency key of a request fit the effect of its class. The effect
// decides how often the request may be executed, so a method that contradicts it is rejected as a client error.
func checkEffect(effect balancer.Effect, req *http.Request, body *buffer.Body) error {
	methodFits := false
	switch effect {
	case balancer.Safe:
		methodFits = req.Method == http.MethodGet
	case balancer.Keyed:
		methodFits = req.Method == http.MethodPost
	default:
		methodFits = slices.Contains(unsafeMethods, req.Method)
	}
	switch {
	case !methodFits:
		return &requestError{http.StatusMethodNotAllowed, "method does not fit " + http1.HeaderKind}
	case effect == balancer.Safe && body.Len() > 0:
		return badRequest("unexpected body in a safe request")
	case effect == balancer.Keyed && req.Header.Get(http1.HeaderKey) == "":
		return badRequest(http1.HeaderKey + " is missing")
	}
	return nil
}

// affinityKey returns the hash of the query parameter keyParameter, or 0 if the request has none.
func affinityKey(req *http.Request) uint64 {
	if req.URL.RawQuery == "" {
		return 0
	}
	key := req.URL.Query().Get(keyParameter)
	if key == "" {
		return 0
	}
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, key) // a hash.Hash never returns an error
	return hash.Sum64()
}
