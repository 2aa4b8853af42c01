package downstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ryerill/balancer"
	"ryerill/internal/buffer"
)

var testClasses = PoolClasses{Classes: []string{"read", "pay", "burn"}, Tenants: []string{"t"},
	Effects:   []balancer.Effect{balancer.Safe, balancer.Keyed, balancer.Unsafe},
	Deadlines: []time.Duration{time.Second, time.Second, time.Second}}

// parseText reads one request from text as a connection does. It returns the status if the request is rejected, -1 if
// it is truncated, and otherwise 0, the body and the text left unread.
func parseText(text string) (status int, body, left string) {
	s := &Server{buffers: new(buffer.Pool)}
	c := &conn{server: s, nc: new(net.TCPConn), readLimit: maxHeadBytes}
	src := strings.NewReader(text)
	c.reader = s.buffers.Reader(src)
	rest := func() string {
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		more, _ := io.ReadAll(src)
		return string(buffered) + string(more)
	}
	var wrong *requestError
	req, frame, err := c.readHead()
	if err == nil {
		b, _, fault := c.readBody(req, frame)
		if err = fault; err == nil {
			for _, block := range b.AppendTo(nil) {
				body += string(block)
			}
			_, err = testClasses.parse(req, b, "")
		}
	}
	if errors.As(err, &wrong) {
		return wrong.status, "", ""
	} else if err != nil {
		return -1, "", ""
	}
	return 0, body, rest()
}

// Requests that an endpoint might parse differently from this proxy must be rejected, because one could hide a second
// request in its body. Each case is followed by the start of another request, which must be left unread.
func TestHeadRejectsAmbiguousRequests(t *testing.T) {
	const post, next = "POST /burn HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\nReq-Kind: burn\r\n", "GET /hidden"
	const get = "GET /read/7 HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\n"
	const chunk = "Transfer-Encoding: chunked\r\n\r\n"
	for _, tc := range []struct {
		name, text string
		status     int
		body       string
	}{
		{"no body", get + "\r\n", 0, ""},
		{"length", post + "Content-Length: 5\r\n\r\nhello", 0, "hello"},
		{"zeros in front", post + "Content-Length: 0005\r\n\r\nhello", 0, "hello"},
		{"chunks", post + chunk + "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n", 0, "hello"},
		{"trailer", post + chunk + "5\r\nhello\r\n0\r\nA: b\r\n\r\n", 0, "hello"},
		{"length and coding", post + "Content-Length: 4\r\n" + chunk + "0\r\n\r\n", 400, ""},
		{"coding and length", post + "Transfer-Encoding: chunked\r\ncontent-length: 4\r\n\r\n0\r\n\r\n", 400, ""},
		{"two lengths", post + "Content-Length: 5\r\nContent-Length: 50\r\n\r\nhello", 400, ""},
		{"one length twice", post + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello", 400, ""},
		{"list of lengths", post + "Content-Length: 5, 5\r\n\r\nhello", 400, ""},
		{"signed length", post + "Content-Length: +5\r\n\r\nhello", 400, ""},
		{"negative length", post + "Content-Length: -5\r\n\r\nhello", 400, ""},
		{"empty length", post + "Content-Length: \r\n\r\nhello", 400, ""},
		{"length beyond numbers", post + "Content-Length: 99999999999999999999\r\n\r\n", 400, ""},
		{"large length", post + "Content-Length: 3000000000\r\n\r\n", 413, ""},
		{"two codings", post + "Transfer-Encoding: chunked\r\n" + chunk, 400, ""},
		{"unknown coding", post + "Transfer-Encoding: gzip, chunked\r\n\r\n", 501, ""},
		{"coding in HTTP/1.0", strings.Replace(post, "1.1", "1.0", 1) + chunk + "0\r\n\r\n", 400, ""},
		{"malformed chunk", post + chunk + "zz\r\n", 400, ""},
		{"malformed trailer", post + chunk + "0\r\nnone\r\n\r\n", 400, ""},
		{"cut off in the body", post + "Content-Length: 9\r\n\r\nhello", -1, ""},
		{"cut off in a chunk", post + chunk + "9\r\nhello", -1, ""},
		{"cut off in the trailer", post + chunk + "0\r\nA: b\r\n", -1, ""},
		{"cut off in the head", get, -1, ""},
		{"bare LF", "GET /read HTTP/1.1\nHost: x\nReq-Id: 1\n\n", 400, ""},
		{"bare CR", get + "A: b\rc\r\n\r\n", 400, ""},
		{"NUL", get + "A: b\x00c\r\n\r\n", 400, ""},
		{"continuation", get + "A: b\r\n c\r\n\r\n", 400, ""},
		{"space before the colon", get + "Content-Length : 0\r\n\r\n", 400, ""},
		{"no colon", get + "Content-Length\r\n\r\n", 400, ""},
		{"empty line first", "\r\n" + get + "\r\n", 400, ""},
		{"bytes beyond ASCII in the target", "GET /read\xff HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\n\r\n", 400, ""},
		{"HTTP/2.0", strings.Replace(get, "1.1", "2.0", 1) + "\r\n", 505, ""},
		{"no host", "GET /read HTTP/1.1\r\nReq-Id: 1\r\n\r\n", 400, ""},
		{"two hosts", get + "Host: y\r\n\r\n", 400, ""},
		{"two ids", get + "Req-Id: 2\r\n\r\n", 400, ""},
		{"id with a space", "GET /read HTTP/1.1\r\nHost: x\r\nReq-Id: 1 2\r\n\r\n", 400, ""},
		{"two keys", post + "Idempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n", 400, ""},
		{"negative deadline", get + "Req-Deadline-Ms: -1\r\n\r\n", 400, ""},
		{"signed deadline", get + "Req-Deadline-Ms: +1\r\n\r\n", 400, ""},
		{"empty deadline", get + "Req-Deadline-Ms:\r\n\r\n", 400, ""},
		{"fraction of a deadline", get + "Req-Deadline-Ms: 1.5\r\n\r\n", 400, ""},
		{"deadline beyond numbers", get + "Req-Deadline-Ms: 99999999999999999999\r\n\r\n", 400, ""},
		{"class of another path", get + "Req-Kind: burn\r\n\r\n", 400, ""},
		{"safe class with POST", strings.Replace(get, "GET", "POST", 1) + "\r\n", 405, ""},
		{"unsafe class with GET", strings.Replace(post, "POST", "GET", 1) + "\r\n", 405, ""},
		{"GET with a body", get + "Content-Length: 5\r\n\r\nhello", 400, ""},
		{"keyed class without a key", strings.ReplaceAll(post, "burn", "pay") + "\r\n", 400, ""},
		{"keyed class with PUT", strings.Replace(strings.ReplaceAll(post, "burn", "pay"), "POST", "PUT", 1) +
			"Idempotency-Key: a\r\n\r\n", 405, ""},
		{"unknown expectation", post + "Expect: more\r\nContent-Length: 5\r\n\r\nhello", 417, ""},
	} {
		status, body, left := parseText(tc.text + next)
		if strings.HasPrefix(tc.name, "cut off") {
			status, body, left = parseText(tc.text)
		}
		if status != tc.status || body != tc.body || status == 0 && left != next {
			t.Errorf("%s: got status %d, body %q, unread text %q", tc.name, status, body, left)
		}
	}
	if status, _, _ := parseText(get + "A: " + strings.Repeat("x", maxHeadBytes)); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("head beyond maxHeadBytes: got status %d, want 431", status)
	}
}
