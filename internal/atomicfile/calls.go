package atomicfile

import (
	"errors"
	"io/fs"
	"os"
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

// MayPass reports whether the fault behind an error of a replacement may pass by itself: a disk that is full or fails,
// a lack of descriptors, another process that replaces the file.
func MayPass(err error) bool {
	for _, fault := range []error{ErrBusy, ErrUnsynced, syscall.ENOSPC, syscall.EDQUOT, syscall.EIO, syscall.EINTR,
		syscall.EMFILE, syscall.ENFILE} {
		if errors.Is(err, fault) {
			return true
		}
	}
	return false
}
