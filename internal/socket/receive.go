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

// Unread returns how many received bytes of a connection have not been read. known is false if the system can't report
// it.
func Unread(c syscall.Conn) (bytes int, known bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, false
	}
	controlErr := raw.Control(func(fd uintptr) {
		bytes, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ)
	})
	return bytes, err == nil && controlErr == nil
}

// maxVectors is how many buffers the system takes in one call.
const maxVectors = 1024

// PeekAt copies received bytes of a connection into p, beginning after the first skip unread bytes, without consuming
// any and without waiting. It returns 0 if there are none there or the connection can't be read. The system copies the
// skipped bytes too, so that a call takes time in proportion to skip.
func PeekAt(c syscall.Conn, skip int, p []byte) (n int) {
	raw, err := c.SyscallConn()
	if err != nil || len(p) == 0 || skip/len(p)+2 > maxVectors {
		return 0
	}
	var buffers [][]byte
	for left := skip; left > 0; left -= len(p) {
		buffers = append(buffers, p[:min(left, len(p))]) // overwritten by the bytes that follow
	}
	buffers = append(buffers, p)
	// Errors are ignored: the caller peeks again.
	_ = raw.Control(func(fd uintptr) {
		_ = retryImmediately(func() (err error) {
			n, _, _, _, err = unix.RecvmsgBuffers(int(fd), buffers, nil, unix.MSG_PEEK|unix.MSG_DONTWAIT)
			return err
		})
	})
	return max(n-skip, 0)
}
