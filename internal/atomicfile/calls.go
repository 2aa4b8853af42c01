package atomicfile

import (
	"errors"
	"io/fs"
	"os"
	"slices"
	"syscall"
)

// Calls are the calls of the system that a replacement takes. Tests inject errors in their place; nil stands for those
// of the system.
type Calls struct {
	Open          func(name string, flag int, mode fs.FileMode) (*os.File, error)
	Write         func(file *os.File, contents []byte) (int, error)
	Sync          func(file *os.File) error
	Rename        func(from, to string) error
	SyncDirectory func(directory *os.File) error
}

// SystemCalls returns the calls of the system.
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

// refusesSync reports whether an error of a sync means that the file system has no sync of directories.
func refusesSync(err error) bool {
	return errors.Is(err, syscall.EINVAL) || errors.Is(err, syscall.ENOTSUP)
}

// passingFaults are errors of opening, reading and writing files that may pass by themselves: the disk or the machine
// fails or lacks something for a moment.
var passingFaults = []error{
	syscall.EIO, syscall.EINTR, syscall.EAGAIN, syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.ENOBUFS,
	syscall.ESTALE, syscall.ETIMEDOUT, syscall.EBUSY, syscall.ENOLCK,
}

// fullDisk are errors of writing that pass once there is room again, or another process has done with the file.
var fullDisk = []error{syscall.ENOSPC, syscall.EDQUOT, ErrBusy, ErrUnsynced}

// MayPass reports whether the fault behind an error of a replacement may pass by itself: a disk that is full or fails,
// a lack of descriptors, another process that replaces the file.
func MayPass(err error) bool { return isOneOf(err, passingFaults) || isOneOf(err, fullDisk) }

func isOneOf(err error, all []error) bool {
	return slices.ContainsFunc(all, func(one error) bool { return errors.Is(err, one) })
}
