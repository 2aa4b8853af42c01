package socket

import (
	"errors"
	"slices"
	"syscall"
)

// connectionErrors are the errors by which the system reports that a connection has ended, can't be made, or is none.
// It reports most of them once: the next call sees a plain end.
var connectionErrors = []syscall.Errno{
	syscall.ECONNRESET, syscall.EPIPE, syscall.ECONNABORTED, syscall.ETIMEDOUT, syscall.ECONNREFUSED, syscall.ENOTCONN,
	syscall.ESHUTDOWN, syscall.EHOSTUNREACH, syscall.EHOSTDOWN, syscall.ENETUNREACH, syscall.ENETDOWN,
	syscall.ENETRESET, syscall.EPROTO, syscall.EBADF, syscall.ENOTSOCK, syscall.EINVAL, syscall.EACCES, syscall.EPERM,
}

// MayPass reports whether err is a fault of this machine that may pass by itself, such as a lack of buffers. It says
// nothing of the other side, and the connection goes on: the call can be made again. A deadline, an orderly end and
// what says that the connection has ended do not pass.
func MayPass(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && !slices.Contains(connectionErrors, number)
}
