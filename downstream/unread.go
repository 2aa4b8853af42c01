package downstream

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"ryerill/internal/socket"
)

// unreadInterval is the time between inspections of idle connections for unread bytes.
const unreadInterval = 250 * time.Millisecond

// unreadWatch finds idle connections with received bytes of which the reader was not notified. If the system reports a
// socket as not ready although bytes wait, the read blocks until a readiness event that may never follow. An
// unreadWatch is used by a single goroutine.
type unreadWatch struct {
	server  *Server
	flagged map[*conn]time.Time // had unread bytes at the last inspection; the value is when they became idle
	polled  []unix.PollFd
}

// watchUnread inspects the idle connections until done is closed.
func (s *Server) watchUnread(done <-chan struct{}) {
	watch := &unreadWatch{server: s}
	ticker := time.NewTicker(unreadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			watch.inspect()
		}
	}
}

// inspect wakes the readers of connections that have unread bytes now and had them at the previous inspection.
func (w *unreadWatch) inspect() {
	idle := w.server.idleConnections()
	before := w.flagged
	w.flagged = make(map[*conn]time.Time)
	for _, i := range w.readable(idle) {
		c := idle[i].conn
		since := idle[i].idleSince
		// The polled descriptor may belong to another connection by now, so the connection itself is inspected.
		if socket.Peek(c.nc) != socket.Waiting {
			continue
		}
		if before[c].Equal(since) {
			c.wake(since)
		} else {
			w.flagged[c] = since
		}
	}
}

// readable returns the indexes of the connections whose descriptors are readable. It makes one system call for all.
func (w *unreadWatch) readable(idle []idleConnection) (indexes []int) {
	if len(idle) == 0 {
		return nil
	}
	w.polled = w.polled[:0]
	for _, entry := range idle {
		w.polled = append(w.polled, unix.PollFd{Fd: entry.conn.descriptor, Events: unix.POLLIN})
	}
	if _, err := unix.Poll(w.polled, 0); err != nil {
		return nil // the next inspection tries again
	}
	for i := range w.polled {
		if w.polled[i].Revents&unix.POLLIN != 0 {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// idleConnection is a connection that was idle when it was listed.
type idleConnection struct {
	conn      *conn
	idleSince time.Time
}

func (s *Server) idleConnections() (all []idleConnection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.state == stateIdle && !c.evicted {
			all = append(all, idleConnection{c, c.stateSince})
		}
	}
	return all
}

// wake makes the reader read the waiting bytes, unless the connection has left the idle period that began at since.
func (c *conn) wake(since time.Time) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.state == stateIdle && !c.evicted && c.stateSince.Equal(since) {
		c.nc.SetReadDeadline(socket.PastDeadline) // conn.Read reads waiting bytes after the deadline
	}
}

// descriptorOf returns the descriptor of a connection, or -1 if it is closed. A poll ignores -1.
func descriptorOf(c syscall.Conn) int32 {
	descriptor := int32(-1)
	raw, err := c.SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { descriptor = int32(fd) }) // fails only on a closed connection
	}
	return descriptor
}
