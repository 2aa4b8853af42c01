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
	// A body must be received within bodyGrace plus the time that its received bytes take at minBodyBytesPerSecond,
	// which is half the pace that clients are allowed. A client that stalls is answered after bodyGrace without a byte,
	// however much it has sent before.
	bodyGrace             = 2500 * time.Millisecond
	minBodyBytesPerSecond = 32 << 10
)

// errAbandoned ends the upload of a request that has ended before its body was received.
var errAbandoned = errors.New("upload abandoned: the request has ended")

// bodyPacing measures the pace at which a body is received.
type bodyPacing struct {
	began time.Time // zero while no body is being read
	bytes int64
}

// deadline returns the deadline of a read that begins now.
func (p *bodyPacing) deadline() time.Time {
	earned := float64(p.bytes) / minBodyBytesPerSecond * float64(time.Second)
	return earlier(p.began.Add(bodyGrace+time.Duration(earned)), time.Now().Add(bodyGrace))
}

// upload streams the part of a long body that was not buffered when the request was accepted. Until it has ended, only
// its reader reads from the connection.
type upload struct {
	conn      *conn
	body      io.Reader
	remaining int64 // bytes that it may still receive

	// mu guards the following fields. Lock order: mu, then server.mu.
	mu        sync.Mutex
	consumed  bool          // part of it has been read: the request can't be sent again
	reading   bool          // a Read is in progress
	abandoned bool          // no longer needed: the Read in progress ends the upload
	err       error         // why the upload ended; io.EOF if it was received completely
	ended     chan struct{} // closed once err is set
}

func newUpload(c *conn, body io.Reader, remaining int64) *upload {
	return &upload{conn: c, body: body, remaining: remaining, ended: make(chan struct{})}
}

// Read implements [io.Reader]. Its first error ends the upload.
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

// beginRead records that a Read is in progress, or returns why the upload has ended.
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

// Consumed reports whether Read has been called.
func (u *upload) Consumed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.consumed
}

// isUnread reports whether the upload is open and no Read is in progress, so that no read detects a disconnect.
func (u *upload) isUnread() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.reading && u.err == nil
}

// isReceived reports whether the last byte of the body has been received, although it may not have been read. While a
// Read is in progress it reports false: what has been received is being read.
func (u *upload) isReceived() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.reading && u.err == nil && u.conn.body.received(u.conn.nc, u.conn.pacing.bytes)
}

// endLocked ends the upload with err. Callers must hold u.mu.
func (u *upload) endLocked(err error) {
	u.err = err
	close(u.ended)
}

// abandon ends the upload, interrupting a Read in progress, and reports whether the body was received completely.
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

// abandonUpload interrupts the read of a body that is in progress.
func (c *conn) abandonUpload() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock() // extendBodyDeadline must not set a later deadline
	c.uploadAbandoned = true
	c.nc.SetReadDeadline(socket.PastDeadline)
}
