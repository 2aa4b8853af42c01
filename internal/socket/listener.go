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

// Listener accepts connections as descriptors. A net.TCPListener closes a connection that it has accepted and that the
// system can't register for waiting in that moment.
type Listener struct {
	file    *os.File
	raw     syscall.RawConn
	address net.Addr
	closed  atomic.Bool
}

// Listen opens a listener. Where this machine lacks something for it, it tries again for a while. A shared address may
// be listened at by several processes of one user.
func Listen(address string, shared bool) (*Listener, error) {
	var config net.ListenConfig
	if shared {
		config.Control = sharePort
	}
	opened, err := Persist(func() (net.Listener, error) {
		return config.Listen(context.Background(), "tcp", address)
	})
	if err != nil {
		return nil, err
	}
	defer opened.Close() // the file is another descriptor of it
	return Persist(func() (*Listener, error) { return newListener(opened.(*net.TCPListener)) })
}

// sharePort lets several processes of one user listen at an address. It is the
// Control of a net.ListenConfig.
func sharePort(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	controlErr := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(controlErr, optionErr)
}

// newListener returns a listener at the address of another one, which may be closed then.
func newListener(opened *net.TCPListener) (*Listener, error) {
	file, err := opened.File()
	if err != nil {
		return nil, err
	}
	raw, err := file.SyscallConn()
	if err == nil {
		err = file.SetReadDeadline(time.Time{})
	}
	if errors.Is(err, os.ErrNoDeadline) { // it could not be registered for waiting
		err = os.NewSyscallError("epoll_ctl", unix.ENOMEM)
	}
	if err != nil {
		file.Close()
		return nil, err
	}
	return &Listener{file: file, raw: raw, address: opened.Addr()}, nil
}

// Await accepts the next connection. It returns os.ErrDeadlineExceeded after the deadline, also where connections wait,
// and os.ErrClosed once the listener is closed.
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

// Next accepts a connection that waits, also after the deadline. Where none does it returns EAGAIN.
func (l *Listener) Next() (descriptor int, err error) {
	controlErr := l.raw.Control(func(listener uintptr) { descriptor, err = acceptNow(listener) })
	if controlErr != nil {
		return -1, l.waitError(controlErr)
	}
	return descriptor, err
}

// waitError returns os.ErrClosed once the listener is closed: the os package has an error of its own for that here.
func (l *Listener) waitError(err error) error {
	if l.closed.Load() {
		return os.ErrClosed
	}
	return err
}

// acceptNow accepts a connection without waiting for one. It does not ask for the client's address: unix.Accept4 closes
// what it has accepted if a second call, which the address takes, fails.
func acceptNow(listener uintptr) (descriptor int, err error) {
	accepted, _, errno := unix.Syscall6(unix.SYS_ACCEPT4, listener, 0, 0, unix.SOCK_CLOEXEC, 0, 0)
	if errno != 0 {
		return -1, os.NewSyscallError("accept4", errno)
	}
	return int(accepted), nil
}

// SetDeadline sets when Await ends.
func (l *Listener) SetDeadline(t time.Time) error { return l.file.SetReadDeadline(t) }

// Addr returns the address that it listens at.
func (l *Listener) Addr() net.Addr { return l.address }

// Close ends accepting. Who waits in the queue is reset.
func (l *Listener) Close() {
	l.closed.Store(true)
	_ = l.file.Close()
}

// IsClosed reports whether an error of accept says that the listener accepts nobody any more. Any other says nothing of
// those who wait behind: the system reports faults of one connection there, such as EPROTO or EHOSTUNREACH.
func IsClosed(err error) bool {
	for _, closed := range []error{os.ErrClosed, net.ErrClosed, unix.EBADF, unix.EINVAL} {
		if errors.Is(err, closed) {
			return true
		}
	}
	return false
}
