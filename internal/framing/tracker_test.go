package framing

import (
	"bufio"
	"bytes"
	"io"
	"testing"
)

// A Tracker that finds a body's end late leaves its client waiting, one that finds it early fails a sound upload: in
// every message that Body.Reader reads whole, it finds the very byte that the reader stops at.
func FuzzTrackerEndsWithReader(f *testing.F) {
	for _, text := range []string{
		"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcnext",
		"POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\nnext",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=\"y\"\r\nabc\r\n0\r\nX: y\r\n\r\nnext",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0A\r\n0\r\n\r\n0\r\n\r\n\r\n00\r\nA: b\r\nC: d\r\n\r\nGET",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3 \r\nabc\r\n0 ;x\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\r\n0\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		r := bufio.NewReader(bytes.NewReader(text))
		head, err := ReadHead(r, 1<<10)
		if err != nil {
			return
		}
		frame, err := ParseLength(head)
		if err != nil || !frame.HasLength {
			return
		}
		behindHead, err := r.Peek(len(text) - len(head))
		if err != nil {
			return // more than the reader holds
		}
		raw := bytes.Clone(behindHead)
		_, err = io.Copy(io.Discard, frame.Reader(r))
		if err != nil {
			return
		}
		length := len(raw) - r.Buffered()
		inPiece, inBytes := frame.Tracker(), frame.Tracker()
		for i, b := range raw[:length] {
			if inBytes.Ended() {
				t.Fatalf("%q: ended at byte %d, want %d", text, i, length)
			}
			inBytes.Track([]byte{b})
		}
		inPiece.Track(raw)
		if !inBytes.Ended() || !inPiece.Ended() {
			t.Errorf("%q: got ended %v in single bytes and %v in one piece, want both", text, inBytes.Ended(), inPiece.Ended())
		}
	})
}

// Skip takes content alone, and no byte of what delimits it.
func TestTrackerSkip(t *testing.T) {
	tracker := Body{HasLength: true, Chunked: true}.Tracker()
	if n := tracker.Skip(5); n != 0 {
		t.Errorf("in a chunk's size: took %d bytes, want 0", n)
	}
	tracker.Track([]byte("3\r\n"))
	if n := tracker.Skip(9); n != 5 {
		t.Errorf("in a chunk of 3 bytes: took %d bytes, want them and the line end", n)
	}
	tracker.Track([]byte("0\r\n\r\n"))
	if !tracker.Ended() {
		t.Error("after the last chunk: got not ended, want ended")
	}
}
