package framing

import (
	"bufio"
	"bytes"
	"io"
	"testing"
	"testing/iotest"
)

// Whatever comes, reading a message ends without a panic; and in single bytes it
// reads the same as in one piece, and leaves the same unread.
func FuzzMessage(f *testing.F) {
	for _, text := range []string{
		"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcnext",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=\"y\"\r\nabc\r\n0\r\nX: y\r\n\r\nnext",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
		"HTTP/1.1 200 OK\r\n\r\nto the end",
		"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
		"\n\n", "",
	} {
		f.Add([]byte(text))
	}
	read := func(src io.Reader) (body, left []byte, failed bool) {
		r := bufio.NewReader(src)
		head, err := ReadHead(r, 1<<10)
		if err != nil {
			return nil, nil, true
		}
		frame, err := ParseLength(head)
		if err != nil {
			return nil, nil, true
		}
		body, err = io.ReadAll(frame.Reader(r))
		if err != nil {
			return body, nil, true
		}
		left, _ = io.ReadAll(r)
		return body, left, false
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		body, left, failed := read(bytes.NewReader(text))
		inBytes, leftThen, failedThen := read(iotest.OneByteReader(bytes.NewReader(text)))
		if failed != failedThen || !failed && (!bytes.Equal(body, inBytes) || !bytes.Equal(left, leftThen)) {
			t.Errorf("%q: %q and %q, %v; in single bytes %q and %q, %v", text, body, left, failed, inBytes, leftThen, failedThen)
		}
	})
}

// The last bytes of a body of a known length come with io.EOF. When it came after them, an endpoint that answered between
// the two was taken for one that answers before the body is whole, and the client's connection was closed.
func TestKnownLengthEndsWithLastBytes(t *testing.T) {
	body := Body{HasLength: true, Length: 3}.Reader(bufio.NewReader(bytes.NewReader([]byte("abcnext"))))
	block := make([]byte, 2)
	if n, err := body.Read(block); n != 2 || err != nil {
		t.Errorf("first bytes: got %d, error %v, want 2 and none", n, err)
	}
	if n, err := body.Read(block); n != 1 || err != io.EOF {
		t.Errorf("last byte: got %d, error %v, want 1 and EOF", n, err)
	}
	if n, err := body.Read(block); n != 0 || err != io.EOF {
		t.Errorf("after the last byte: got %d, error %v, want 0 and EOF", n, err)
	}
}
