package proxy

import (
	"errors"
	"io"
	"time"

	"ryerill/config"
	"ryerill/message"
)

// relay gives an invocation its final answer, unless it has had one or nobody
// waits for it. It reports whether it did.
func (c *core) relay(e *entry, a message.Result) bool {
	if e == nil || e.done {
		return false
	}
	e.done = true
	if a.Kind == message.Failed && !time.Now().Before(e.until) {
		a.Kind = message.TimedOut
	}
	if a.Response != nil && a.Response.Stream != nil {
		c.follow(e, a.Response)
	} else {
		c.counted(e, a.Kind)
	}
	e.inv.Reply(a)
	c.release(e)
	return true
}

// followed is the rest of an answer as it goes on.
type followed struct {
	io.ReadCloser
	bytes int
	whole bool // its end has been passed on
}

func (f *followed) Read(p []byte) (int, error) {
	n, err := f.ReadCloser.Read(p)
	f.bytes, f.whole = f.bytes+n, errors.Is(err, io.EOF)
	return n, err
}

// follow books an invocation whose answer has begun to go on at the answer's end.
func (c *core) follow(e *entry, r *message.Response) {
	f, before := &followed{ReadCloser: r.Stream}, r.OnFree
	r.Stream = f
	r.OnFree = func() {
		if before != nil {
			before()
		}
		c.rooms.work.used.Add(int64(config.Cost(f.bytes)))
		if f.whole {
			c.counted(e, message.Served)
		} else {
			c.counted(e, message.Failed)
		}
	}
}
