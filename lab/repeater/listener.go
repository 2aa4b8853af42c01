package repeater

import (
	"bytes"
	"net"
	"sync"

	"ryerill/internal/framing"
)

// Listen returns a listener whose connections send what the fault says after the short responses that a server writes
// to them. Responses must state their length.
func (f *Fault) Listen(listener net.Listener) net.Listener { return &repeatingListener{listener, f} }

type repeatingListener struct {
	net.Listener
	fault *Fault
}

// Accept implements [net.Listener].
func (l *repeatingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &repeatingConn{Conn: accepted, fault: l.fault}, nil
}

// repeatingConn sends more than is written to it.
type repeatingConn struct {
	net.Conn
	fault *Fault

	// mu guards what follows.
	mu        sync.Mutex
	remaining int64        // bytes of a response that have not been written yet
	pending   *unsolicited // what is sent at the next request; nil is nothing
}

// Read implements [net.Conn].
func (c *repeatingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		what := c.pending
		c.pending = nil
		c.mu.Unlock()
		c.sendLater(what)
	}
	return n, err
}

// Write implements [net.Conn].
func (c *repeatingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if c.remaining > 0 {
		c.remaining -= int64(n)
		return n, err
	}
	c.remaining = missing(p)
	if err != nil || c.remaining > 0 {
		return n, err
	}
	what := c.fault.draw(bytes.Clone(p))
	if c.fault.AtNextRequest {
		c.pending = what
	} else {
		c.sendLater(what)
	}
	return n, err
}

// missing returns how many bytes of a response follow its beginning.
func missing(response []byte) int64 {
	end := bytes.Index(response, []byte("\r\n\r\n"))
	if end < 0 {
		return 0
	}
	head := response[:end+len("\r\n\r\n")]
	body, err := framing.ParseLength(head)
	if err != nil {
		return 0
	}
	return int64(len(head)) + body.Length - int64(len(response))
}

// sendLater sends what nobody has asked for, unless a response is being written then; nil is nothing.
func (c *repeatingConn) sendLater(what *unsolicited) {
	what.sendLater(func(_ int, piece []byte) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.remaining <= 0 {
			_, _ = c.Conn.Write(piece) // a proxy that has closed the connection gets nothing
		}
	})
}
