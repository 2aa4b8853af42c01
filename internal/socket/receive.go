package socket

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Receive reads what has come in on a connection, without waiting for more. It returns 0 if there is nothing, or if it
// can't be read.
func Receive(c syscall.Conn, p []byte) (n int) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	// What a closed connection has brought is lost, and nobody needs it.
	_ = raw.Control(func(fd uintptr) {
		_ = repeat(func() (err error) {
			n, _, err = syscall.Recvfrom(int(fd), p, syscall.MSG_DONTWAIT)
			return err
		})
	})
	return max(n, 0)
}

// SinceLastReceived returns how long ago the last bytes came in on a connection, in whole milliseconds, if the system
// says so.
func SinceLastReceived(c syscall.Conn) (ago time.Duration, known bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, false
	}
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			ago = time.Duration(info.Last_data_recv) * time.Millisecond
			known = true
		}
	})
	return ago, known && err == nil
}
