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

// maxFile bounds the bytes of the file that are read.
const maxFile = 1 << 20

// errUnreadable means that the file can't be read now, and may be later: what it holds is unknown.
var errUnreadable = errors.New("the file can't be read now")

// fileMode has the file readable by its owner alone.
const fileMode = 0o600

// fileCalls are the calls of the system that storing takes. Tests inject errors in their place.
type fileCalls struct {
	open func(name string, flag int, mode fs.FileMode) (*os.File, error) // for reading
	file *atomicfile.Calls                                               // for replacing
}

// systemCalls are the calls of every store outside of tests.
func systemCalls() fileCalls {
	return fileCalls{open: os.OpenFile, file: atomicfile.SystemCalls()}
}

// fileVersion identifies one write of a file among others.
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

// Path is the file that the processes of a proxy share, by the proxy's
// name and the address that it serves at. It is empty if there is no directory.
func Path(dir, name, address string) string {
	if dir == "" {
		return ""
	}
	h := fnv.New64a()
	h.Write([]byte(name + "\x00" + address))
	return filepath.Join(dir, fmt.Sprintf("ryerill-%016x.word", h.Sum64()))
}

// lock takes the lock that the processes share, which ends with its holder. After
// the deadline it fails with [ErrBusy].
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

// write replaces the file. After an error other than [atomicfile.ErrUnsynced] it is as it was.
func (s *Store) write(set override.Set) error {
	return s.calls.file.Replace(s.path, override.Encode(set), fileMode)
}

// mayPass reports whether an error of opening the file may be over soon: a lack of descriptors, or a fault of the disk
// under it.
func mayPass(err error) bool {
	return socket.OutOfDescriptors(err) || errors.Is(err, syscall.EIO) || errors.Is(err, syscall.EINTR)
}

// unreadable returns an [errUnreadable], and logs the first of several in a row.
func (s *Store) unreadable(err error) error {
	if !s.isUnreadable.Swap(true) {
		s.log.Warn("override file not readable now, retrying", "file", s.path, "err", err)
	}
	return fmt.Errorf("%w: %w", errUnreadable, err)
}

// read returns what the file holds, and logs if that is malformed. The error is
// [errUnreadable] if the file may hold overrides that can't be read now.
func (s *Store) read() (override.Set, error) {
	file, err := s.calls.open(s.path, os.O_RDONLY|syscall.O_NOFOLLOW|syscall.O_NONBLOCK, 0)
	if mayPass(err) {
		return override.Set{}, s.unreadable(err)
	}
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			s.log.Warn("override file not readable, passed over", "file", s.path, "err", err)
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
		s.log.Warn("override file malformed, passed over", "file", s.path, "err", err)
	}
	return set, err
}
