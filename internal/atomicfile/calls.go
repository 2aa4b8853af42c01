package atomicfile

import (
	"errors"
	"io/fs"
	"os"
	"slices"
	"syscall"
)

// Calls are the system calls of a replacement. Tests replace them to inject errors; a nil *Calls means the real system
// calls.
type Calls struct {
	Open          func(name string, flag int, mode fs.FileMode) (*os.File, error)
	Write         func(file *os.File, contents []byte) (int, error)
	Sync          func(file *os.File) error
	Rename        func(from, to string) error
	SyncDirectory func(directory *os.File) error
}

// SystemCalls returns the real system calls.
func SystemCalls() *Calls {
	return &Calls{
		Open:          os.OpenFile,
		Write:         (*os.File).Write,
		Sync:          (*os.File).Sync,
		Rename:        os.Rename,
		SyncDirectory: (*os.File).Sync,
	}
}

func (c *Calls) orSystem() *Calls {
	if c == nil {
		return SystemCalls()
	}
	return c
}

// isSyncUnsupported reports whether a sync failed because the file system does not support syncing directories.
func isSyncUnsupported(err error) bool {
	return errors.Is(err, syscall.EINVAL) || errors.Is(err, syscall.ENOTSUP)
}

// transientErrors are errors of opening, reading and writing files that may disappear without intervention: a temporary
// fault of the disk or shortage of resources.
var transientErrors = []error{
	syscall.EIO, syscall.EINTR, syscall.EAGAIN, syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.ENOBUFS,
	syscall.ESTALE, syscall.ETIMEDOUT, syscall.EBUSY, syscall.ENOLCK,
}

// retryableWriteErrors are errors of writing that disappear once there is disk space, another process has finished with
// the file, or the directory can be synced.
var retryableWriteErrors = []error{syscall.ENOSPC, syscall.EDQUOT, ErrBusy, ErrUnsynced}

// IsTransient reports whether an error of a replacement may be temporary: a full or failing disk, no free descriptors,
// or another process that is replacing the file.
func IsTransient(err error) bool {
	return isAnyOf(err, transientErrors) || isAnyOf(err, retryableWriteErrors)
}

func isAnyOf(err error, targets []error) bool {
	return slices.ContainsFunc(targets, func(target error) bool { return errors.Is(err, target) })
}
