package overridestore

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"ryerill/internal/atomicfile"
	"ryerill/internal/socket"
	"ryerill/override"
)

// maxFile is the maximum number of bytes read from the file.
const maxFile = 1 << 20

// errUnreadable means that reading the file failed temporarily, so that its contents are unknown.
var errUnreadable = errors.New("the file can't be read now")

// fileMode restricts access to the owner.
const fileMode = 0o600

// fileCalls are the system calls of a store. Tests replace them to inject errors.
type fileCalls struct {
	open func(name string, flag int, mode fs.FileMode) (*os.File, error) // for reading
	file *atomicfile.Calls                                               // for replacing
}

// systemCalls returns the real system calls.
func systemCalls() fileCalls {
	return fileCalls{open: os.OpenFile, file: atomicfile.SystemCalls()}
}

// fileVersion identifies one version of the file, to detect changes.
type fileVersion struct {
	inode    uint64
	size     int64
	modified time.Time
}

func versionOf(info fs.FileInfo) fileVersion {
	version := fileVersion{size: info.Size(), modified: info.ModTime()}
	if sys, ok := info.Sys().(*syscall.Stat_t); ok {
		version.inode = sys.Ino
	}
	return version
}

// Path returns the path of the file shared by the processes of a proxy, which depends on the
// proxy's name and listen address. It is empty if dir is empty.
func Path(dir, name, address string) string {
	if dir == "" {
		return ""
	}
	h := fnv.New64a()
	h.Write([]byte(name + "\x00" + address))
	return filepath.Join(dir, fmt.Sprintf("ryerill-%016x.word", h.Sum64()))
}

// lock acquires the lock shared by the processes, which the system releases when its holder
// ends. After the deadline it fails with [ErrBusy].
func (s *Store) lock(deadline time.Time) (unlock func(), err error) {
	file, err := os.OpenFile(s.path+".lock", os.O_CREATE|os.O_RDWR|syscall.O_NOFOLLOW, 0o600)
	if err != nil {
		return nil, fmt.Errorf("the overrides can't be kept: %w", err)
	}
	for {
		err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return func() { file.Close() }, nil
		}
		if !errors.Is(err, syscall.EWOULDBLOCK) || time.Now().After(deadline) {
			file.Close()
			return nil, ErrBusy
		}
		time.Sleep(retryInterval)
	}
}

// write replaces the file. After an error other than [atomicfile.ErrUnsynced] the file is unchanged.
func (s *Store) write(set override.Set) error {
	return s.calls.file.Replace(s.path, override.Encode(set), fileMode)
}

// isTransient reports whether an error of opening the file may be temporary: no free descriptors, or a disk fault.
func isTransient(err error) bool {
	return socket.OutOfDescriptors(err) || errors.Is(err, syscall.EIO) || errors.Is(err, syscall.EINTR)
}

// unreadable wraps err in [errUnreadable]. It logs the first of consecutive failures.
func (s *Store) unreadable(err error) error {
	if !s.isUnreadable.Swap(true) {
		s.log.Warn("override file temporarily unreadable, retrying", "file", s.path, "err", err)
	}
	return fmt.Errorf("%w: %w", errUnreadable, err)
}

// read returns the overrides in the file and logs failures. The error is [errUnreadable] if a
// later read may succeed.
func (s *Store) read() (override.Set, error) {
	file, err := s.calls.open(s.path, os.O_RDONLY|syscall.O_NOFOLLOW|syscall.O_NONBLOCK, 0)
	if isTransient(err) {
		return override.Set{}, s.unreadable(err)
	}
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			s.log.Warn("override file unreadable, ignored", "file", s.path, "err", err)
		}
		return override.Set{}, err
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, maxFile))
	if err != nil {
		return override.Set{}, s.unreadable(err)
	}
	s.isUnreadable.Store(false)
	set, err := override.Decode(text)
	if err != nil {
		s.log.Warn("override file malformed, ignored", "file", s.path, "err", err)
	}
	return set, err
}
