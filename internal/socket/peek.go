// Package socket provides system-level operations on TCP sockets: it inspects connections without reading from them,
// retries calls that fail because of local faults, accepts connections, and keeps descriptors in reserve.
//
// A local fault is an error that this machine causes and that may pass by itself, such as a lack of buffers (see
// [MayPass]).
package socket

import (
	"errors"
	"io"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is the state of the receiving side of a connection.
type State uint8

// The states of a connection.
const (
	Quiet   State = iota // open, no unread bytes
	Waiting              // unread bytes have been received
	Ended                // closed by the peer, no unread bytes
	Broken               // reset, or unreadable for another reason
	Unknown              // a local fault prevented the inspection; the connection may be in any state
)

// Peek returns the state of a connection. It does not wait and consumes no bytes. It does consume a reset: the system
// reports a reset once and an orderly end from then on.
func Peek(c syscall.Conn) State {
	raw, err := c.SyscallConn()
	if err != nil {
		return Broken
	}
	state := Broken
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n := 0
		err := retryImmediately(func() (err error) {
			n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			return err
		})
		switch {
		case errors.Is(err, syscall.EAGAIN):
			state = Quiet
		case err == nil && n > 0:
			state = Waiting
		case err == nil:
			state = Ended
		case MayPass(err):
			state = Unknown
		}
	})
	if err != nil {
		return Broken
	}
	return state
}

// PeerClosed reports whether the peer has closed or reset a connection, even if unread bytes precede the close. It does
// not wait and consumes nothing.
func PeerClosed(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n := 0
		err := retryImmediately(func() (err error) {
			n, err = unix.Poll(polled, 0)
			return err
		})
		if err != nil {
			closed = hasClosedState(int(fd))
			return
		}
		closed = n > 0 && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return closed || err != nil
}

// TCP_INFO states of a connection that the peer has closed or reset.
const (
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
)

// hasClosedState reports whether the TCP state of a connection shows that the peer has closed or reset it. It is the
// fallback for a failed poll.
func hasClosedState(descriptor int) bool {
	info, err := unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return false
	}
	switch info.State {
	case tcpClose, tcpCloseWait, tcpLastAck, tcpClosing:
		return true
	}
	return false
}

// Discard reads and drops up to about maxBytes received bytes of a connection, without waiting for more.
func Discard(c syscall.Conn, maxBytes int) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	// Control fails only on a closed connection, which has nothing to discard.
	_ = raw.Control(func(fd uintptr) { DiscardFrom(int(fd), maxBytes) })
}

// DiscardFrom is like [Discard] for a descriptor.
func DiscardFrom(descriptor, maxBytes int) {
	var block [4 << 10]byte
	for n := 1; n > 0 && maxBytes > 0; maxBytes -= n {
		_ = retryImmediately(func() (err error) { // on an error n is not positive, which ends the loop
			n, _, err = syscall.Recvfrom(descriptor, block[:], syscall.MSG_DONTWAIT)
			return err
		})
	}
}

// Send sends a message on a descriptor without waiting. A partial send returns [io.ErrShortWrite].
func Send(descriptor int, message []byte) error {
	return retryImmediately(func() error {
		n, err := unix.SendmsgN(descriptor, message, nil, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
		if err == nil && n < len(message) {
			err = io.ErrShortWrite
		}
		return err
	})
}
