package socket

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Receive reads received bytes of a connection into p without waiting for more. It returns 0 if there are none or the
// connection can't be read.
func Receive(c syscall.Conn, p []byte) (n int) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	// Errors are ignored: the bytes of a closed connection are lost, and no caller needs them.
	_ = raw.Control(func(fd uintptr) {
		_ = retryImmediately(func() (err error) {
			n, _, err = syscall.Recvfrom(int(fd), p, syscall.MSG_DONTWAIT)
			return err
		})
	})
	return max(n, 0)
}

// SinceLastReceived returns how long ago the last bytes were received on a connection, in whole milliseconds. known is
// false if the system can't report it.
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
