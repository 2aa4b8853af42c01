package consumer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"

	"ryerill/provider"
)

// framing is how a request's body is delimited.
type framing struct {
	length  int64
	chunked bool
}

// once are the headers that a request may carry once at most: of two, a
// provider might read another one than this proxy.
var once = [...]string{"Host", "Content-Length", "Transfer-Encoding", headerID, headerKind, headerOwner, headerRetry,
	headerKey, provider.HeaderDeadline}

// readHead reads a request's head as it stands, up to and with its empty line.
func (c *conn) readHead() ([]byte, error) {
	var head []byte
	for start := 0; ; {
		part, err := c.r.ReadSlice('\n')
		head = append(head, part...)
		switch {
		case len(head) > maxHead:
			return nil, &httpError{http.StatusRequestHeaderFieldsTooLarge, "the head is too large"}
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return nil, err
		case string(head[start:]) == "\r\n":
			return head, nil
		case !bytes.HasSuffix(head, []byte("\r\n")):
			return nil, &httpError{http.StatusBadRequest, "a line of the head does not end in CRLF"}
		}
		start = len(head)
	}
}

// judge checks a head by its very bytes. [http.ReadRequest] repairs what it can
// and drops a length beside a transfer coding: a provider that reads the same
// bytes otherwise would find a second request in the body of the first.
func judge(head []byte) (framing, error) {
	bad := func(text string) (framing, error) {
		return framing{}, &httpError{http.StatusBadRequest, text}
	}
	lines := strings.Split(string(head), "\r\n")
	lines = lines[:len(lines)-2] // the empty line and what follows its end
	if len(lines) == 0 || strings.ContainsFunc(lines[0], func(r rune) bool { return r > '~' }) {
		return bad("malformed request line")
	}
	seen := make(map[string]string, len(once))
	for i, line := range lines {
		if !provider.Clean(line) { // bare CR or LF among others
			return bad("control character in the head")
		}
		if i == 0 {
			continue
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !token(name) { // continuation lines too, and space before the colon
			return bad("malformed header")
		}
		for _, key := range once {
			if !strings.EqualFold(name, key) {
				continue
			}
			if _, twice := seen[key]; twice {
				return bad(key + " is there twice")
			}
			seen[key] = strings.Trim(value, " \t")
		}
	}
	length, sized := seen["Content-Length"]
	coding, coded := seen["Transfer-Encoding"]
	switch {
	case sized && coded:
		return bad("both Content-Length and Transfer-Encoding")
	case coded && !strings.HasSuffix(lines[0], " HTTP/1.1"):
		return bad("Transfer-Encoding before HTTP/1.1")
	case coded && !strings.EqualFold(coding, "chunked"):
		return framing{}, &httpError{http.StatusNotImplemented, "unknown Transfer-Encoding"}
	case coded:
		return framing{chunked: true}, nil
	case !sized:
		return framing{}, nil
	}
	n, ok := digits(length)
	if !ok {
		return bad("malformed Content-Length")
	}
	if n > provider.MaxBody {
		return framing{}, &httpError{http.StatusRequestEntityTooLarge, "the body is too large"}
	}
	return framing{length: n}, nil
}

// token reports whether text may name a header.
func token(text string) bool {
	return text != "" && !strings.ContainsFunc(text, func(r rune) bool {
		return r <= ' ' || r > '~' || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, r)
	})
}

// digits reads a number that is written in digits alone: no sign, no spaces.
func digits(text string) (int64, bool) {
	if strings.ContainsFunc(text, func(r rune) bool { return r < '0' || r > '9' }) {
		return 0, false
	}
	n, err := strconv.ParseInt(text, 10, 64)
	return n, err == nil
}

// body returns a reader of a request's body, which leaves alone what follows.
func (f framing) body(r *bufio.Reader) io.Reader {
	if f.chunked {
		return &chunks{Reader: httputil.NewChunkedReader(r), r: r}
	}
	return &sized{r: r, left: f.length}
}

// sized reads a body of a known length. An end before it is an error.
type sized struct {
	r    io.Reader
	left int64
}

func (s *sized) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	n, err := s.r.Read(p[:min(int64(len(p)), s.left)])
	if s.left -= int64(n); errors.Is(err, io.EOF) && s.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunks reads a body in chunks and then the trailer, which is not passed on.
type chunks struct {
	io.Reader
	r    *bufio.Reader
	over bool
}

func (c *chunks) Read(p []byte) (int, error) {
	if c.over {
		return 0, io.EOF
	}
	n, err := c.Reader.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	for {
		line, err := c.r.ReadSlice('\n')
		switch {
		case errors.Is(err, io.EOF):
			return n, io.ErrUnexpectedEOF
		case err != nil:
			return n, err
		case bytes.Equal(line, []byte("\r\n")):
			c.over = true
			return n, io.EOF
		case !bytes.HasSuffix(line, []byte("\r\n")) || !bytes.Contains(line, []byte(":")):
			return n, errors.New("malformed trailer")
		}
	}
}
