package atomicfile

import (
	"errors"
	"os"
	"syscall"
	"time"
)

// A file that can't be read for a fault that may pass is read again for so long, at these intervals.
const (
	readTimeout  = 3 * time.Second
	readInterval = 20 * time.Millisecond
)

// Read reads a whole file. While the disk or the machine fails in a way that may pass, it tries again, for 3 s at most;
// a file that is missing or not permitted is an error at once.
func Read(path string) ([]byte, error) {
	for deadline := time.Now().Add(readTimeout); ; time.Sleep(readInterval) {
		text, err := os.ReadFile(path)
		if err == nil || !mayPassOnRead(err) || time.Now().After(deadline) {
			return text, err
		}
	}
}

// mayPassOnRead reports whether the fault behind an error of opening or reading a file may pass by itself.
func mayPassOnRead(err error) bool {
	for _, fault := range []error{syscall.EIO, syscall.EINTR, syscall.EAGAIN, syscall.EMFILE, syscall.ENFILE,
		syscall.ENOMEM, syscall.ENOBUFS, syscall.ESTALE, syscall.ETIMEDOUT, syscall.EBUSY, syscall.ENOLCK} {
		if errors.Is(err, fault) {
			return true
		}
	}
	return false
}
