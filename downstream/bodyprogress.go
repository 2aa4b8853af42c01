package downstream

import (
	"bufio"
	"sync"
	"syscall"

	"ryerill/internal/framing"
	"ryerill/internal/socket"
)

// lookaheadWindow is how many unread bytes are inspected at once. Each call of the system also copies the unread bytes
// before the window, so a short window would copy them often.
const lookaheadWindow = 256 << 10

// lookaheadBlocks holds blocks of lookaheadWindow bytes.
var lookaheadBlocks = sync.Pool{New: func() any { return new([lookaheadWindow]byte) }}

// bodyProgress is how much of a body has been received. While the endpoint of an upload takes no bytes, the proxy reads
// none, and the rest of the body, up to its last byte, may wait on the connection unread. The client's time counts from
// that byte.
type bodyProgress struct {
	tracker framing.Tracker // of the bytes that were read
	ahead   lookahead
}

// lookahead is what an inspection of the unread bytes has found. The next one goes on behind it.
type lookahead struct {
	bytes   int64 // of the body: those read from the connection, and the unread ones that were inspected
	tracker framing.Tracker
}

// newBodyProgress returns the progress of a body whose first bytes may wait in reader.
func newBodyProgress(framed framing.Body, reader *bufio.Reader) bodyProgress {
	p := bodyProgress{tracker: framed.Tracker()}
	buffered, _ := reader.Peek(reader.Buffered()) // never fails: the bytes are there
	p.tracker.Track(buffered)
	return p
}

// received reports whether the last byte of the body has been received, read or unread. read is the number of bytes
// read from the connection since the body began. It must not be called while a read from the connection is in progress.
func (p *bodyProgress) received(connection syscall.Conn, read int64) bool {
	if p.tracker.Ended() {
		return true
	}
	unread, known := socket.Unread(connection)
	if !known {
		return false
	}
	if p.ahead.bytes < read {
		p.ahead = lookahead{read, p.tracker}
	}
	return p.ahead.advance(connection, read, read+int64(unread))
}

// advance inspects the unread bytes up to end, and later ones that it comes across, and reports whether the body ends
// there. The first unread byte stands at read.
func (l *lookahead) advance(connection syscall.Conn, read, end int64) (ended bool) {
	for !l.tracker.Ended() && l.bytes < end {
		l.bytes += l.tracker.Skip(end - l.bytes)
		if l.bytes == end || !l.inspect(connection, read) {
			break
		}
	}
	return l.tracker.Ended()
}

// inspect inspects the next unread bytes and reports whether there are any. The first unread byte stands at read.
func (l *lookahead) inspect(connection syscall.Conn, read int64) bool {
	block := lookaheadBlocks.Get().(*[lookaheadWindow]byte)
	defer lookaheadBlocks.Put(block)
	n := socket.PeekAt(connection, int(l.bytes-read), block[:])
	l.tracker.Track(block[:n])
	l.bytes += int64(n)
	return n > 0
}
