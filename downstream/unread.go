package downstream

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"ryerill/internal/socket"
)

// unreadInterval is how often idle connections are inspected for bytes that nobody reads.
const unreadInterval = 250 * time.Millisecond

// unreadWatch finds idle connections on which bytes have come in without their reader's having been told: a read that
// the system has refused as not ready, though bytes waited, waits for an event that need not follow. One goroutine uses
// it.
type unreadWatch struct {
	server  *Server
	flagged map[*conn]time.Time // had bytes at the last inspection: since when they are in their state
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

// inspect wakes the readers of connections that had unread bytes the last time too.
func (w *unreadWatch) inspect() {
	idle := w.server.idleConnections()
	before := w.flagged
	w.flagged = make(map[*conn]time.Time)
	for _, i := range w.readable(idle) {
		c := idle[i].conn
		since := idle[i].since
		// The descriptor may be another connection's by now: this one is asked itself.
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

// readable returns the indexes of the connections whose descriptors can be read, by one call of the system.
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

// idleConnection is a connection that was between requests when it was inspected.
type idleConnection struct {
	conn  *conn
	since time.Time
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

// wake has the reader read what waits, unless the connection has left the state that it was in since then.
func (c *conn) wake(since time.Time) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.state == stateIdle && !c.evicted && c.stateSince.Equal(since) {
		c.nc.SetReadDeadline(socket.PastDeadline) // behind which waiting bytes are read
	}
}

// descriptorOf returns the descriptor of a connection, or -1, which a poll passes over.
func descriptorOf(c syscall.Conn) int32 {
	descriptor := int32(-1)
	raw, err := c.SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { descriptor = int32(fd) }) // one that is closed has none
	}
	return descriptor
}
