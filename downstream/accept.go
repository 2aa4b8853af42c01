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

// clientListener accepts client connections. It is a [socket.Listener], or in tests one that injects system-call
// errors.
type clientListener interface {
	Await() (descriptor int, err error)
	Next() (descriptor int, err error)
	SetDeadline(t time.Time) error
	Addr() net.Addr
	Close()
}

// acceptAll accepts connections until the listener's deadline, which beginShutdown sets.
func (s *Server) acceptAll() error {
	var backoff socket.Backoff
	for {
		descriptor, err := s.listener.Await()
		lastDescriptor := s.outOfDescriptors(err) && s.freeDescriptor()
		if lastDescriptor { // without descriptors, readiness checks must still be answered and other requests shed
			descriptor, err = s.listener.Await()
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
		if socket.IsClosed(err) {
			return fmt.Errorf("accept clients: %w", err)
		}
		if err != nil { // the client has disconnected, or the freed descriptor has been taken by other code
			s.acceptFailed("accept", err, faultlog.Retried)
			s.descriptors.Fill()
			time.Sleep(backoff.Next())
			continue
		}
		backoff.Reset()
		s.admit(descriptor, lastDescriptor, time.Now().Add(newConnectionGrace))
	}
}

// acceptBacklog accepts the connections left in the listener's queue. Closing the listener would reset them.
func (s *Server) acceptBacklog() {
	var backoff socket.Backoff
	for end := s.backlogEnd(); time.Now().Before(end); {
		descriptor, err := s.listener.Next()
		if errors.Is(err, unix.EAGAIN) || socket.IsClosed(err) {
			return
		}
		if err != nil { // retry after a pause: clients in the queue have already connected
			s.acceptFailed("accept", err, faultlog.Retried)
			if s.outOfDescriptors(err) {
				s.freeDescriptor()
			}
			time.Sleep(backoff.Next())
			continue
		}
		backoff.Reset()
		s.admit(descriptor, false, end)
	}
}

// outOfDescriptors reports whether err was caused by a lack of descriptors that persists. A shortage that has already
// passed evicts no connection, because the client of an evicted connection may be about to use it.
func (s *Server) outOfDescriptors(err error) bool {
	return socket.OutOfDescriptors(err) && s.descriptors.Exhausted()
}

func (s *Server) acceptFailed(call string, err error, consequence faultlog.Consequence) {
	s.faults.Failed(s.name, call, err, consequence, "")
}

// admit creates a connection from an accepted descriptor and starts it. This briefly needs a second descriptor, which
// the system must register for polling. If that fails, a goroutine retries until the deadline, because the client has
// already connected; beyond maxPendingAdmissions goroutines, admit itself retries and blocks the accept loop.
// lastDescriptor reports whether the process had no other descriptor.
func (s *Server) admit(descriptor int, lastDescriptor bool, deadline time.Time) {
	file := os.NewFile(uintptr(descriptor), "client")
	err := s.tryAdmit(file, lastDescriptor)
	if err == nil {
		return
	}
	if !s.beginAdmission() {
		s.retryAdmission(file, lastDescriptor, err, deadline)
		return
	}
	go func() {
		defer s.finishAdmission()
		s.retryAdmission(file, lastDescriptor, err, deadline)
	}()
}

// tryAdmit creates a connection from file and starts it, without retrying.
func (s *Server) tryAdmit(file *os.File, lastDescriptor bool) error {
	nc, err := s.fileConn(file)
	if err == nil {
		s.start(file, nc, lastDescriptor)
	}
	return err
}

// start closes the file that nc was created from, and starts serving nc.
func (s *Server) start(file *os.File, nc net.Conn, lastDescriptor bool) {
	file.Close()
	shed := lastDescriptor && !s.descriptors.Fill() // others may have been closed since
	s.addConn(nc.(*net.TCPConn), shed)
}

// retryAdmission retries tryAdmit, which has failed with err, until the deadline. Then it answers the client 503
// without reading its request.
func (s *Server) retryAdmission(file *os.File, lastDescriptor bool, err error, deadline time.Time) {
	backoff := socket.Backoff{Max: maxAdmissionPause}
	for ; err != nil; err = s.tryAdmit(file, lastDescriptor) {
		if time.Now().After(deadline) {
			s.acceptFailed("register", err, faultlog.GivenUp)
			s.faults.Ended(string(endUnread))
			refuseFile(file)
			return
		}
		s.acceptFailed("register", err, faultlog.Retried)
		if !s.outOfDescriptors(err) || !s.freeDescriptor() {
			time.Sleep(backoff.Next())
		}
	}
}

// beginAdmission reserves a slot for an admission that is retried in a goroutine of its own. It reports false if none
// is free.
func (s *Server) beginAdmission() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pendingAdmissions >= maxPendingAdmissions {
		return false
	}
	s.pendingAdmissions++
	return true
}

func (s *Server) finishAdmission() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingAdmissions--
	s.connEnded.Broadcast()
}

// refusal returns the response to a connection beyond the limit.
func refusal() []byte {
	head := responseHead{status: http.StatusServiceUnavailable, retryAfter: overloadRetryAfter, closes: true}
	return head.encode()
}

// refuseFile answers 503 on a connection that is not registered for polling, and closes it. The response fits into the
// send buffer, because nothing has been written before. Received bytes are discarded: closing over unread bytes would
// reset the connection and lose the response.
func refuseFile(file *os.File) {
	defer file.Close()
	descriptor := int(file.Fd())
	_ = socket.Send(descriptor, refusal()) // a client that has disconnected needs no response
	_ = unix.Shutdown(descriptor, unix.SHUT_WR)
	socket.DiscardFrom(descriptor, maxHeadBytes)
}

// refuseUnread answers 503 on a connection without reading its request, and closes it.
func refuseUnread(nc *net.TCPConn) {
	nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	// Errors are ignored: a client that has disconnected needs no response, and Close also ends the sending side.
	_ = socket.Write(nc, &net.Buffers{refusal()}, &socket.Retry{Call: "write"})
	_ = socket.CloseWrite(nc)
	// Closing over unread bytes would reset the connection and lose the response.
	socket.Discard(nc, maxHeadBytes)
	nc.Close()
}
