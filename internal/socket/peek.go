// Package socket inspects connections without reading from them, ends what waits on them, and keeps descriptors in
// reserve.
package socket

import (
	"errors"
	"io"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is what the receiving end of a connection is at.
type State uint8

// The states of a connection.
const (
	Quiet   State = iota // open, and nothing has come in
	Waiting              // bytes have come in that nobody has read
	Ended                // closed by the other side
	Broken               // reset, or unreadable for another reason
	Unknown              // it could not be inspected: a fault of this machine, which says nothing of the connection
)

// Peek inspects a connection. It does not wait and takes nothing from it but a reset: the system reports that once,
// and a plain end from then on.
func Peek(c syscall.Conn) State {
	raw, err := c.SyscallConn()
	if err != nil {
		return Broken
	}
	state := Broken
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n := 0
		err := repeat(func() (err error) {
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

// PeerClosed reports whether the other side has closed or reset a connection, also behind
// bytes that nobody has read. It does not wait and takes nothing from it.
func PeerClosed(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n := 0
		err := repeat(func() (err error) {
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

// States of a connection in TCP_INFO in which the other side has closed or reset it.
const (
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
)

// hasClosedState asks the state of the connection itself, where it can't be polled.
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

// Discard throws away what has been received on a connection, up to about maxBytes, without waiting for more.
func Discard(c syscall.Conn, maxBytes int) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	// A connection that is closed has nothing to discard.
	_ = raw.Control(func(fd uintptr) { DiscardFrom(int(fd), maxBytes) })
}

// DiscardFrom is Discard on a descriptor.
func DiscardFrom(descriptor, maxBytes int) {
	var block [4 << 10]byte
	for n := 1; n > 0 && maxBytes > 0; maxBytes -= n {
		_ = repeat(func() (err error) { // an error is the end of what can be discarded
			n, _, err = syscall.Recvfrom(descriptor, block[:], syscall.MSG_DONTWAIT)
			return err
		})
	}
}

// Send sends a message on a descriptor without waiting. One that has been sent in part is an error.
func Send(descriptor int, message []byte) error {
	return repeat(func() error {
		n, err := unix.SendmsgN(descriptor, message, nil, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
		if err == nil && n < len(message) {
			err = io.ErrShortWrite
		}
		return err
	})
}
