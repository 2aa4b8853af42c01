// Package socket looks at connections without reading from them.
package socket

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// SharePort lets several processes of one user listen at an address. It is the
// Control of a net.ListenConfig.
func SharePort(_, _ string, raw syscall.RawConn) error {
	var err error
	if e := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }); e != nil {
		return e
	}
	return err
}

// State is what a look at a connection's receiving end shows.
type State uint8

// The states of a connection.
const (
	Quiet   State = iota // open, and nothing has come in
	Waiting              // bytes have come in that nobody has read
	Ended                // closed by the other side
	Broken               // reset, or unreadable for another reason
)

// Peek looks at a connection. It does not wait and takes nothing from it but a
// reset: the system tells that once, and a plain end from then on.
func Peek(c syscall.Conn) State {
	raw, err := c.SyscallConn()
	if err != nil {
		return Broken
	}
	state := Broken
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			state = Quiet
		case err == nil && n > 0:
			state = Waiting
		case err == nil:
			state = Ended
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
	left := false
	err = raw.Control(func(fd uintptr) {
		look := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(look, 0)
		left = err == nil && n > 0 && look[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return left || err != nil
}

// Discard throws away what has come in of a connection, most bytes about, without
// waiting for more.
func Discard(c syscall.Conn, most int) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) {
		var b [4 << 10]byte
		for n := 1; n > 0 && most > 0; most -= n {
			n, _, _ = syscall.Recvfrom(int(fd), b[:], syscall.MSG_DONTWAIT)
		}
	})
}
