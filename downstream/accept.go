package downstream

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"ryerill/internal/faultlog"
	"ryerill/internal/socket"
)

// acceptAll accepts connections until the shutdown ends it.
func (s *Server) acceptAll() error {
	var backoff socket.Backoff
	for {
		descriptor, err := s.listener.Await()
		lastDescriptor := socket.OutOfDescriptors(err) && s.freeDescriptor()
		if lastDescriptor { // readiness checks must be answered even now, and other requests shed
			descriptor, err = s.listener.Await()
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
		if isClosed(err) {
			return fmt.Errorf("accept clients: %w", err)
		}
		if err != nil { // the client is gone again, or another has taken the descriptor
			s.acceptFailed("accept", err, faultlog.Retried)
			s.descriptors.Fill()
			time.Sleep(backoff.Next())
			continue
		}
		backoff.Reset()
		nc := s.connOf(descriptor, time.Now().Add(newConnectionGrace))
		if nc != nil {
			shed := lastDescriptor && !s.descriptors.Fill() // others may have been closed since
			s.addConn(nc, shed)
		}
	}
}

// acceptBacklog accepts what still waits in the listener's queue, which would be reset with it.
func (s *Server) acceptBacklog() {
	var backoff socket.Backoff
	for end := time.Now().Add(newConnectionGrace); time.Now().Before(end); {
		descriptor, err := s.listener.Next()
		if errors.Is(err, unix.EAGAIN) || isClosed(err) {
			return
		}
		if err != nil { // who waits there has connected: a pause is worth it
			s.acceptFailed("accept", err, faultlog.Retried)
			if socket.OutOfDescriptors(err) {
				s.freeDescriptor()
			}
			time.Sleep(backoff.Next())
			continue
		}
		if nc := s.connOf(descriptor, end); nc != nil {
			backoff.Reset()
			s.addConn(nc, false)
		}
	}
}

func (s *Server) acceptFailed(call string, err error, consequence faultlog.Consequence) {
	s.faults.Failed(s.name, call, err, consequence, "")
}

// connOf makes a connection of a descriptor that was accepted. It needs a second descriptor for a moment, and the
// system has to register it for waiting: it tries until the deadline, as the client has connected. If that can't be it
// answers the client unread and returns nil.
func (s *Server) connOf(descriptor int, deadline time.Time) *net.TCPConn {
	file := os.NewFile(uintptr(descriptor), "client")
	defer file.Close()
	var backoff socket.Backoff
	for {
		nc, err := s.fileConn(file)
		if err == nil {
			return nc.(*net.TCPConn)
		}
		if time.Now().After(deadline) {
			s.acceptFailed("register", err, faultlog.GivenUp)
			refuseDescriptor(descriptor)
			return nil
		}
		s.acceptFailed("register", err, faultlog.Retried)
		if !socket.OutOfDescriptors(err) || !s.freeDescriptor() {
			time.Sleep(backoff.Next())
		}
	}
}

// refusal is the answer to a connection for which there is no room.
func refusal() []byte {
	head := responseHead{status: http.StatusServiceUnavailable, retryAfter: overloadRetryAfter, closes: true}
	return head.encode()
}

// refuseDescriptor sheds a connection that is not registered for waiting. Nothing was written to it before, so that the
// answer fits into its buffer. What waits there unread would have the answer reset. The caller closes it.
func refuseDescriptor(descriptor int) {
	if unix.SetNonblock(descriptor, true) != nil {
		return // its client sees an end
	}
	_, _ = unix.Write(descriptor, refusal()) // a client that is gone needs none
	_ = unix.Shutdown(descriptor, unix.SHUT_WR)
	var block [4 << 10]byte
	for unread := maxHeadBytes; unread > 0; unread -= len(block) {
		n, _, err := unix.Recvfrom(descriptor, block[:], unix.MSG_DONTWAIT)
		if err != nil || n == 0 {
			return
		}
	}
}

// refuseUnread sheds a connection without reading its request, and closes it.
func refuseUnread(nc *net.TCPConn) {
	nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	_ = socket.Write(nc, &net.Buffers{refusal()}, &socket.Retry{Call: "write"}) // a client that is gone needs none
	socket.CloseWrite(nc)
	socket.Discard(nc, maxHeadBytes) // what lies there unread would have the answer reset
	nc.Close()
}
