// Package framing finds where the parts of an HTTP/1.1 message end. It looks at
// the very bytes of a head: what parses it afterwards repairs what it can, and
// so hides what another reader would read otherwise.
package framing

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http/httputil"
	"strconv"
	"strings"
)

// Faults of a message.
var (
	ErrHeadTooLarge = errors.New("the head is too large")
	ErrLength       = errors.New("lengths that can be read in two ways")
	ErrCoding       = errors.New("unknown Transfer-Encoding")
	errTrailer      = errors.New("malformed trailer")
)

// ReadHead reads a message's head as it stands, up to and with its empty line.
func ReadHead(r *bufio.Reader, limit int) ([]byte, error) {
	var head []byte
	for start := 0; ; {
		part, err := r.ReadSlice('\n')
		head = append(head, part...)
		switch line := string(head[start:]); {
		case len(head) > limit:
			return nil, ErrHeadTooLarge
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return nil, err
		case line == "\r\n" || line == "\n":
			return head, nil
		}
		start = len(head)
	}
}

// Body is how a message's body is delimited.
type Body struct {
	HasLength bool // by a length or by chunks
	Length    int64
	Chunked   bool
}

// ParseLength says how the body behind a head is delimited. A length and a transfer
// coding together, and a length that is not one plain number, are an error.
func ParseLength(head []byte) (Body, error) {
	var b Body
	for line := range bytes.Lines(head) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		text := string(bytes.Trim(value, " \t\r\n"))
		switch {
		case strings.EqualFold(string(name), "Content-Length"):
			n, ok := Digits(text)
			if b.HasLength || !ok {
				return Body{}, ErrLength
			}
			b = Body{HasLength: true, Length: n}
		case strings.EqualFold(string(name), "Transfer-Encoding"):
			if b.HasLength {
				return Body{}, ErrLength
			}
			if !strings.EqualFold(text, "chunked") {
				return Body{}, ErrCoding
			}
			b = Body{HasLength: true, Chunked: true}
		}
	}
	return b, nil
}

// LastChunk ends a body in chunks, without a trailer.
const LastChunk = "0\r\n\r\n"

// AppendChunk appends a part of a body as a chunk; of nothing, which would end the
// body, it makes none.
func AppendChunk(to, part net.Buffers) net.Buffers {
	size := 0
	for _, b := range part {
		size += len(b)
	}
	if size == 0 {
		return to
	}
	to = append(to, append(strconv.AppendInt(make([]byte, 0, 16), int64(size), 16), "\r\n"...))
	return append(append(to, part...), []byte("\r\n"))
}

// Digits reads a number that is written in digits alone: no sign, no spaces.
func Digits(text string) (int64, bool) {
	if strings.ContainsFunc(text, func(r rune) bool { return r < '0' || r > '9' }) {
		return 0, false
	}
	n, err := strconv.ParseInt(text, 10, 64)
	return n, err == nil
}

// Reader returns a reader of the body, which leaves alone what follows. One that
// nothing delimits ends with its connection.
func (b Body) Reader(r *bufio.Reader) io.Reader {
	if !b.HasLength {
		return r
	}
	if b.Chunked {
		return &chunks{Reader: httputil.NewChunkedReader(r), r: r}
	}
	return &sized{r: r, left: b.Length}
}

// sized reads a body of a known length and returns io.EOF with its last bytes, so that who passes them on knows at once
// that the body is whole. An end before it is an error.
type sized struct {
	r    io.Reader
	left int64
}

// Read implements [io.Reader].
func (s *sized) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	n, err := s.r.Read(p[:min(int64(len(p)), s.left)])
	s.left -= int64(n)
	switch {
	case s.left == 0:
		return n, io.EOF
	case errors.Is(err, io.EOF):
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// chunks reads a body in chunks and then the trailer, which is not passed on.
type chunks struct {
	io.Reader
	r    *bufio.Reader
	over bool
}

// Read implements [io.Reader].
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
			return n, errTrailer
		}
	}
}
