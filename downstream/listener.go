package downstream

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"ryerill/internal/socket"
)

// clientListener is where clients connect. Tests inject system-call errors in its place.
type clientListener interface {
	// Await accepts the next connection. It returns os.ErrDeadlineExceeded after the deadline, also where connections
	// wait, and os.ErrClosed once it is closed.
	Await() (descriptor int, err error)
	// Next accepts a connection that waits, also after the deadline. Where none does it returns EAGAIN.
	Next() (descriptor int, err error)
	SetDeadline(t time.Time) error
	Addr() net.Addr
	Close()
}

// tcpListener accepts connections as descriptors. A net.TCPListener closes a connection that it has accepted and that
// the system can't register for waiting in that moment.
type tcpListener struct {
	file    *os.File
	raw     syscall.RawConn
	address net.Addr
}

// listenTCP opens a listener. Where this machine lacks something for it, it tries again for a while.
func listenTCP(address string, shared bool) (*tcpListener, error) {
	var config net.ListenConfig
	if shared {
		config.Control = socket.SharePort
	}
	opened, err := socket.Persist(func() (net.Listener, error) {
		return config.Listen(context.Background(), "tcp", address)
	})
	if err != nil {
		return nil, err
	}
	defer opened.Close() // the file is another descriptor of it
	return socket.Persist(func() (*tcpListener, error) { return newListener(opened.(*net.TCPListener)) })
}

// newListener returns a listener at the address of another one, which may be closed then.
func newListener(opened *net.TCPListener) (*tcpListener, error) {
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
	return &tcpListener{file: file, raw: raw, address: opened.Addr()}, nil
}

// Await implements clientListener.
func (l *tcpListener) Await() (descriptor int, err error) {
	waitErr := l.raw.Read(func(listener uintptr) (done bool) {
		descriptor, err = acceptNow(listener)
		return !errors.Is(err, unix.EAGAIN)
	})
	if waitErr != nil {
		return -1, waitErr
	}
	return descriptor, err
}

// Next implements clientListener.
func (l *tcpListener) Next() (descriptor int, err error) {
	controlErr := l.raw.Control(func(listener uintptr) { descriptor, err = acceptNow(listener) })
	if controlErr != nil {
		return -1, controlErr
	}
	return descriptor, err
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

// SetDeadline implements clientListener.
func (l *tcpListener) SetDeadline(t time.Time) error { return l.file.SetReadDeadline(t) }

// Addr implements clientListener.
func (l *tcpListener) Addr() net.Addr { return l.address }

// Close implements clientListener.
func (l *tcpListener) Close() { l.file.Close() }

// isClosed reports whether an error of accept says that the listener accepts nobody any more. Any other says nothing of
// those who wait behind: the system reports faults of one connection there, such as EPROTO or EHOSTUNREACH.
func isClosed(err error) bool {
	for _, closed := range []error{os.ErrClosed, net.ErrClosed, unix.EBADF, unix.EINVAL} {
		if errors.Is(err, closed) {
			return true
		}
	}
	return false
}
