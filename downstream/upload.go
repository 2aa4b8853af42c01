package downstream

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"ryerill/internal/socket"
)

const (
	// A body has this time, and more for each byte of it that is received: half the pace that clients are allowed. But
	// a client that stops in its middle is told after this time without a byte, however much it has sent before.
	bodyGrace             = 2500 * time.Millisecond
	minBodyBytesPerSecond = 32 << 10
)

// errAbandoned ends the reading of a body that nobody wants any more.
var errAbandoned = errors.New("the invocation has ended")

// bodyPacing is how fast a body is received.
type bodyPacing struct {
	began time.Time // zero while no body is read
	bytes int64
}

// deadline is until when more must be received by a read that begins now.
func (p *bodyPacing) deadline() time.Time {
	earned := float64(p.bytes) / minBodyBytesPerSecond * float64(time.Second)
	return earlier(p.began.Add(bodyGrace+time.Duration(earned)), time.Now().Add(bodyGrace))
}

// upload is the remainder of a long body while it is received. Until it has ended only its reader reads the connection.
type upload struct {
	conn      *conn
	body      io.Reader
	remaining int64 // bytes that it may still bring

	// mu guards what follows. The server's mutex may be taken while it is held.
	mu        sync.Mutex
	consumed  bool          // part of it has been read: the request can't be sent again
	reading   bool          // a Read is under way
	abandoned bool          // it is not wanted any more: the Read under way ends it
	err       error         // why it has ended; io.EOF is its end
	ended     chan struct{} // closed once err is set
}

func newUpload(c *conn, body io.Reader, remaining int64) *upload {
	return &upload{conn: c, body: body, remaining: remaining, ended: make(chan struct{})}
}

// Read reads what is received next.
func (u *upload) Read(p []byte) (int, error) {
	if err := u.beginRead(); err != nil {
		return 0, err
	}
	n, err := u.body.Read(p)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reading = false
	u.remaining -= int64(n)
	switch {
	case u.abandoned:
		err = errAbandoned
	case err != nil && !errors.Is(err, io.EOF):
		err = u.conn.readError(err, "body", http.StatusRequestEntityTooLarge)
	case u.remaining < 0:
		err = &requestError{http.StatusRequestEntityTooLarge, "the body is too large"}
	}
	if err != nil {
		u.endLocked(err)
	}
	return n, err
}

// beginRead records that a Read is under way, or returns why the upload has ended.
func (u *upload) beginRead() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err != nil {
		return u.err
	}
	u.consumed = true
	u.reading = true
	return nil
}

// Consumed reports whether any of it has been read.
func (u *upload) Consumed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.consumed
}

// isUnread reports whether no Read is under way, so that the client's leaving would not be noticed.
func (u *upload) isUnread() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.reading && u.err == nil
}

// endLocked ends the upload. u.mu is held.
func (u *upload) endLocked(err error) {
	u.err = err
	close(u.ended)
}

// abandon ends the upload, also while it is read, and reports whether all of it had been received.
func (u *upload) abandon() (whole bool) {
	u.mu.Lock()
	switch {
	case u.err != nil:
	case u.reading:
		u.abandoned = true
		u.conn.abandonUpload()
	default:
		u.endLocked(errAbandoned)
	}
	u.mu.Unlock()
	<-u.ended
	return errors.Is(u.err, io.EOF)
}

// abandonUpload ends the read of a body that is under way.
func (c *conn) abandonUpload() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock() // so that no deadline of the pacing follows
	c.uploadAbandoned = true
	c.nc.SetReadDeadline(socket.PastDeadline)
}
