package framing

// Tracker follows the framing of a body through the raw bytes of its connection, without decoding the body, to find
// where the body ends. It is a value: a copy follows the same body on its own. The zero Tracker is that of an empty
// body.
type Tracker struct {
	part    trackedPart
	chunked bool
	left    int64 // in partContent: bytes left of the body, or of the chunk and the line end behind it
	size    int64 // in partSize: the chunk's size, as far as its digits have come
	digits  int   // in partSize: how many digits have come
	line    int   // in partTrailer: bytes of the current line, without its end
}

// trackedPart is the part of a body that the next byte belongs to.
type trackedPart uint8

const (
	partEnd       trackedPart = iota // behind the body
	partContent                      // bytes that delimit nothing
	partSize                         // the digits of a chunk's size
	partExtension                    // the rest of the line that states a chunk's size
	partTrailer                      // the lines behind the last chunk
	partMalformed                    // the reader of the body reports the error
)

const (
	maxSizeDigits  = 15 // of a chunk; more overflow int64
	hexadecimal    = 16
	chunkEndLength = 2 // bytes of the line end behind a chunk's content
)

// Tracker returns a Tracker at the first byte of the body. A body that only the end of its connection delimits has no
// end that a Tracker finds.
func (b Body) Tracker() Tracker {
	switch {
	case !b.HasLength:
		return Tracker{part: partMalformed}
	case b.Chunked:
		return Tracker{part: partSize, chunked: true}
	case b.Length == 0:
		return Tracker{}
	}
	return Tracker{part: partContent, left: b.Length}
}

// Ended reports whether the last byte of the body has been tracked.
func (t *Tracker) Ended() bool { return t.part == partEnd }

// Track takes the next bytes of the connection. Bytes behind the body are ignored.
func (t *Tracker) Track(p []byte) {
	for len(p) > 0 && t.part != partEnd && t.part != partMalformed {
		if t.part == partContent {
			p = p[t.Skip(int64(len(p))):]
			continue
		}
		t.trackByte(p[0])
		p = p[1:]
	}
}

// Skip takes up to n bytes that delimit nothing, whatever their values, and returns how many it took.
func (t *Tracker) Skip(n int64) (taken int64) {
	if t.part != partContent {
		return 0
	}
	taken = min(n, t.left)
	t.left -= taken
	if t.left == 0 {
		t.part = partEnd
		if t.chunked {
			t.beginSize()
		}
	}
	return taken
}

// trackByte takes one byte of a line that delimits a chunk or the body.
func (t *Tracker) trackByte(b byte) {
	switch {
	case t.part == partTrailer:
		t.trackTrailer(b)
	case b == '\n':
		t.endSize()
	case t.part == partSize:
		t.trackSize(b)
	}
}

func (t *Tracker) beginSize() {
	t.part = partSize
	t.size = 0
	t.digits = 0
}

// trackSize takes one byte of a chunk's size, or the first byte behind it.
func (t *Tracker) trackSize(b byte) {
	digit, ok := hexDigit(b)
	switch {
	case !ok:
		t.part = partExtension
	case t.digits == maxSizeDigits:
		t.part = partMalformed
	default:
		t.size = t.size*hexadecimal + digit
		t.digits++
	}
}

// endSize takes the end of the line that states a chunk's size. The last chunk has the size 0.
func (t *Tracker) endSize() {
	switch {
	case t.digits == 0:
		t.part = partMalformed
	case t.size == 0:
		t.part = partTrailer
		t.line = 0
	default:
		t.part = partContent
		t.left = t.size + chunkEndLength
	}
}

// trackTrailer takes one byte of the lines behind the last chunk. An empty line ends the body.
func (t *Tracker) trackTrailer(b byte) {
	switch {
	case b == '\n' && t.line == 0:
		t.part = partEnd
	case b == '\n':
		t.line = 0
	case b != '\r':
		t.line++
	}
}

// hexDigit returns the value of a hexadecimal digit.
func hexDigit(b byte) (value int64, ok bool) {
	switch {
	case '0' <= b && b <= '9':
		return int64(b - '0'), true
	case 'a' <= b && b <= 'f':
		return int64(b-'a') + 10, true
	case 'A' <= b && b <= 'F':
		return int64(b-'A') + 10, true
	}
	return 0, false
}
