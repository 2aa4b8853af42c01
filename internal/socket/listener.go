package socket

import (
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Listener accepts connections as descriptors. A net.TCPListener instead closes an accepted connection if the system
// momentarily fails to register it for polling.
type Listener struct {
	file    *os.File
	raw     syscall.RawConn
	address net.Addr
	closed  atomic.Bool
}

// Listen returns a listener on a TCP address. It retries local faults for a while, as [RetryFaults] does. If shared is
// set, several processes of one user may listen on the address.
func Listen(address string, shared bool) (*Listener, error) {
	var config net.ListenConfig
	if shared {
		config.Control = sharePort
	}
	opened, err := RetryFaults(func() (net.Listener, error) {
		return config.Listen(context.Background(), "tcp", address)
	})
	if err != nil {
		return nil, err
	}
	defer opened.Close() // the returned listener holds a duplicate of its descriptor
	return RetryFaults(func() (*Listener, error) { return newListener(opened.(*net.TCPListener)) })
}

// sharePort lets several processes of one user listen on the same address. It is the Control function of a
// net.ListenConfig.
func sharePort(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	controlErr := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(controlErr, optionErr)
}

// newListener returns a listener on a duplicate of the descriptor of opened, which the caller may close afterwards.
func newListener(opened *net.TCPListener) (*Listener, error) {
	file, err := opened.File()
	if err != nil {
		return nil, err
	}
	raw, err := file.SyscallConn()
	if err == nil {
		err = file.SetReadDeadline(time.Time{})
	}
	if errors.Is(err, os.ErrNoDeadline) { // the system failed to register it for polling
		err = os.NewSyscallError("epoll_ctl", unix.ENOMEM)
	}
	if err != nil {
		file.Close()
		return nil, err
	}
	return &Listener{file: file, raw: raw, address: opened.Addr()}, nil
}

// Await waits for the next connection and accepts it. It returns os.ErrDeadlineExceeded after the deadline, even if
// connections are queued, and os.ErrClosed once the listener is closed.
func (l *Listener) Await() (descriptor int, err error) {
	waitErr := l.raw.Read(func(listener uintptr) (done bool) {
		descriptor, err = acceptNow(listener)
		return !errors.Is(err, unix.EAGAIN)
	})
	if waitErr != nil {
		return -1, l.waitError(waitErr)
	}
	return descriptor, err
}

// Next accepts a queued connection without waiting, also after the deadline. It returns EAGAIN if none is queued.
func (l *Listener) Next() (descriptor int, err error) {
	controlErr := l.raw.Control(func(listener uintptr) { descriptor, err = acceptNow(listener) })
	if controlErr != nil {
		return -1, l.waitError(controlErr)
	}
	return descriptor, err
}

// waitError returns os.ErrClosed once the listener is closed, and err before. The os package returns an unexported
// error on a closed file here.
func (l *Listener) waitError(err error) error {
	if l.closed.Load() {
		return os.ErrClosed
	}
	return err
}

// acceptNow accepts a connection without waiting. It does not request the client's address: unix.Accept4 converts the
// address in a second step, and closes the accepted connection if that step fails.
func acceptNow(listener uintptr) (descriptor int, err error) {
	accepted, _, errno := unix.Syscall6(unix.SYS_ACCEPT4, listener, 0, 0, unix.SOCK_CLOEXEC, 0, 0)
	if errno != 0 {
		return -1, os.NewSyscallError("accept4", errno)
	}
	return int(accepted), nil
}

// SetDeadline sets the deadline of Await.
func (l *Listener) SetDeadline(t time.Time) error { return l.file.SetReadDeadline(t) }

// Addr returns the address that the listener listens on.
func (l *Listener) Addr() net.Addr { return l.address }

// Close closes the listener. Connections still in its queue are reset.
func (l *Listener) Close() {
	l.closed.Store(true)
	_ = l.file.Close()
}

// IsClosed reports whether an error of accept means that the listener no longer accepts connections. Other errors may
// concern a single connection, such as EPROTO or EHOSTUNREACH, and not the ones queued after it.
func IsClosed(err error) bool {
	for _, closed := range []error{os.ErrClosed, net.ErrClosed, unix.EBADF, unix.EINVAL} {
		if errors.Is(err, closed) {
			return true
		}
	}
	return false
}
