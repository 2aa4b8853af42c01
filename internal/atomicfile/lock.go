package atomicfile

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"syscall"
	"time"
)

const (
	lockTimeout  = 400 * time.Millisecond // maximum wait for another process's replacement
	lockInterval = 5 * time.Millisecond   // between attempts
)

// ErrBusy means that another process held the lock on the temporary file for too long. Nothing has changed.
var ErrBusy = errors.New("another process is replacing the file")

// openLocked opens and locks a temporary file, which a killed process may have left. The system releases the lock when
// its holder ends.
func (c *Calls) openLocked(name string, mode fs.FileMode) (*os.File, error) {
	for deadline := time.Now().Add(lockTimeout); ; time.Sleep(lockInterval) {
		file, err := c.Open(name, os.O_CREATE|os.O_WRONLY|syscall.O_NOFOLLOW, mode)
		if err != nil {
			return nil, err
		}
		err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil && hasName(file, name) {
			return file, nil
		}
		file.Close()
		switch {
		case err != nil && !errors.Is(err, syscall.EWOULDBLOCK) && !errors.Is(err, syscall.EINTR):
			return nil, fmt.Errorf("lock %s: %w", name, err)
		case time.Now().After(deadline):
			return nil, fmt.Errorf("%s: %w", name, ErrBusy)
		}
	}
}

// hasName reports whether an open file still has its name: the previous holder of the lock may have renamed or removed
// it.
func hasName(file *os.File, name string) bool {
	opened, err := file.Stat()
	if err != nil {
		return false
	}
	named, err := os.Lstat(name)
	return err == nil && os.SameFile(opened, named)
}
