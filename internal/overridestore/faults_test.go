package overridestore

import (
	"bytes"
	"errors"
	"io/fs"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ryerill/override"
)

// logLines collects log output.
type logLines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logLines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logLines) count(message string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), message)
}

// faultyStore is a store with injected faults in one kind of call.
type faultyStore struct {
	*Store
	log    logLines
	faults atomic.Int64 // number of calls still to fail
	failed atomic.Int64 // number of failed calls
}

// openFaulty opens a store on path. While faults is positive, calls of the kind ("open", "read", "write", "sync",
// "rename" or "sync directory") fail with fault; reads fail with EIO. A failing write writes half of the text, like a
// full disk.
func openFaulty(path, kind string, fault syscall.Errno) *faultyStore {
	s := &faultyStore{}
	s.Store = Open(path, slog.New(slog.NewTextHandler(&s.log, nil)), func(override.Set) {})
	due := func(call string) bool {
		if call != kind || s.faults.Load() <= 0 {
			return false
		}
		s.faults.Add(-1)
		s.failed.Add(1)
		return true
	}
	s.calls.open = func(name string, flag int, mode fs.FileMode) (*os.File, error) {
		if due("open") {
			return nil, &fs.PathError{Op: "open", Path: name, Err: fault}
		}
		if due("read") {
			return os.Open("/proc/self/mem") // reads at offset 0 fail with EIO
		}
		return os.OpenFile(name, flag, mode)
	}
	s.calls.file.Write = func(file *os.File, text []byte) (int, error) {
		if due("write") {
			n, err := file.Write(text[:len(text)/2])
			return n, errors.Join(err, &fs.PathError{Op: "write", Path: file.Name(), Err: fault})
		}
		return file.Write(text)
	}
	sync := func(kind string) func(*os.File) error {
		return func(file *os.File) error {
			if due(kind) {
				return &fs.PathError{Op: "sync", Path: file.Name(), Err: fault}
			}
			return file.Sync()
		}
	}
	s.calls.file.Sync, s.calls.file.SyncDirectory = sync("sync"), sync("sync directory")
	s.calls.file.Rename = func(from, to string) error {
		if due("rename") {
			return &os.LinkError{Op: "rename", Old: from, New: to, Err: fault}
		}
		return os.Rename(from, to)
	}
	return s
}

// stored returns the set that another process reads from the file.
func stored(path string) override.Set { return Open(path, quiet, func(override.Set) {}).Current() }

// pathInMemory returns a path on an in-memory file system if available, to avoid faults and delays from other programs'
// writes.
func pathInMemory(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("/dev/shm", "overrides")
	if err != nil {
		dir = t.TempDir()
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return Path(dir, "n1", "127.0.0.1:1")
}

// A short disk fault delays a change, a long one makes it fail. The file has the complete state before or after the
// change, the log reports the fault once, and writes are retried with backoff.
func TestStorageFaultsDelayOrFailChanges(t *testing.T) {
	for _, fault := range []syscall.Errno{syscall.ENOSPC, syscall.EIO, syscall.EDQUOT} {
		for _, kind := range []string{"write", "sync", "rename"} {
			t.Run(kind+" "+fault.Error(), func(t *testing.T) {
				path := pathInMemory(t)
				s := openFaulty(path, kind, fault)
				if err := s.Update(takeDown("a")); err != nil {
					t.Fatal(err)
				}

				s.faults.Store(3)
				if err := s.Update(takeDown("b")); err != nil || !s.Current().IsDown("b") || !stored(path).IsDown("b") {
					t.Errorf("short fault: got error %v, stored set %+v, want b down", err, stored(path))
				}

				s.faults.Store(1 << 30)
				s.failed.Store(0)
				if err := s.Update(takeDown("c")); !errors.Is(err, fault) || s.Current().IsDown("c") {
					t.Errorf("long fault: got error %v, set %+v, want c undone", err, s.Current())
				}
				if n := s.failed.Load(); n < 4 || n > 20 {
					t.Errorf("got %d attempts during a long fault, want 4 to 20", n)
				}
				if set := stored(path); !set.IsDown("a") || !set.IsDown("b") || set.IsDown("c") {
					t.Errorf("long fault: got stored set %+v, want a and b down", set)
				}

				s.faults.Store(0)
				if err := s.Update(takeDown("c")); err != nil || !stored(path).IsDown("c") {
					t.Errorf("after a long fault: got error %v, stored set %+v, want c down", err, stored(path))
				}
				if began, ended := s.log.count("overrides not written"), s.log.count("overrides written again"); began != 2 || ended != 2 {
					t.Errorf("got %d logged faults and %d recoveries, want 2 of each", began, ended)
				}
			})
		}
	}
}

// A change whose caller got ErrNotPersisted stays in force during later disk faults and is written once the disk
// recovers. It does not delay later changes.
func TestUnpersistedChangeStaysInForce(t *testing.T) {
	path := pathInMemory(t)
	s := openFaulty(path, "rename", syscall.EIO)
	s.faults.Store(1 << 30)
	slow := s.calls.file.Write
	s.calls.file.Write = func(file *os.File, text []byte) (int, error) {
		if s.failed.Load() == 0 { // the first write takes longer than its caller waits
			time.Sleep(3 * updateTimeout)
		}
		return slow(file, text)
	}
	if err := s.Update(takeDown("a")); !errors.Is(err, ErrNotPersisted) {
		t.Fatalf("got error %v, want ErrNotPersisted", err)
	}
	for s.failed.Load() < 5 {
		if !s.Current().IsDown("a") {
			t.Fatalf("change undone after %d failed writes", s.failed.Load())
		}
		time.Sleep(time.Millisecond)
	}
	if err := s.Update(takeDown("b")); !errors.Is(err, syscall.EIO) || s.Current().IsDown("b") || !s.Current().IsDown("a") {
		t.Errorf("second change: got error %v, set %+v, want only a down", err, s.Current())
	}
	s.faults.Store(0)
	for end := time.Now().Add(10 * time.Second); !stored(path).IsDown("a"); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("change not written within 10 s of the recovery")
		}
	}
	if stored(path).IsDown("b") || s.log.count("overrides not written") != 1 {
		t.Errorf("got stored set %+v, %d logged faults, want only a down, 1 fault", stored(path), s.log.count("overrides not written"))
	}
}

// A file that can't be opened or read because of a disk fault is neither treated as read nor overwritten, and is read
// after the fault.
func TestUnreadableFileIsKeptAndReadLater(t *testing.T) {
	for _, kind := range []string{"open", "read"} {
		t.Run(kind, func(t *testing.T) { testUnreadableFile(t, kind) })
	}
}

func testUnreadableFile(t *testing.T, kind string) {
	path := Path(t.TempDir(), "n1", "127.0.0.1:1")
	s, other := openFaulty(path, kind, syscall.EIO), Open(path, quiet, func(override.Set) {})
	if err := other.Update(takeDown("a")); err != nil {
		t.Fatal(err)
	}
	s.faults.Store(1 << 30)
	for range 3 {
		s.poll()
	}
	if err := s.Update(takeDown("b")); !errors.Is(err, errUnreadable) {
		t.Errorf("update of an unreadable file: got error %v, want errUnreadable", err)
	}
	if set := stored(path); !set.IsDown("a") || set.IsDown("b") {
		t.Errorf("got stored set %+v, want only a down", set)
	}
	if n := s.log.count("override file temporarily unreadable"); n != 1 {
		t.Errorf("got %d log lines, want 1", n)
	}
	s.faults.Store(0)
	s.poll()
	if !s.Current().IsDown("a") {
		t.Error("file not read after the fault")
	}
}

// A process killed during a write leaves the state before or after the change. Neither its lock nor its partial write
// blocks the next process.
func TestKillDuringWriteKeepsCompleteState(t *testing.T) {
	if point := os.Getenv("RYERILL_KILL_AT"); point != "" {
		killAt(point, os.Getenv("RYERILL_KILL_PATH"))
		return
	}
	for point, isNew := range map[string]bool{"before": false, "half": false, "whole": false, "synced": false, "renamed": true} {
		t.Run(point, func(t *testing.T) {
			path := Path(t.TempDir(), "n1", "127.0.0.1:1")
			if err := Open(path, quiet, func(override.Set) {}).Update(takeDown("a")); err != nil {
				t.Fatal(err)
			}
			cmd := exec.Command(os.Args[0], "-test.run=^"+"TestKillDuringWriteKeepsCompleteState"+"$")
			cmd.Env = append(os.Environ(), "RYERILL_KILL_AT="+point, "RYERILL_KILL_PATH="+path)
			output, err := cmd.CombinedOutput()
			var exit *exec.ExitError
			if !errors.As(err, &exit) || exit.Sys().(syscall.WaitStatus).Signal() != syscall.SIGKILL {
				t.Fatalf("process ended with %v, want SIGKILL\n%s", err, output)
			}
			if set := stored(path); !set.IsDown("a") || set.IsDown("b") != isNew {
				t.Errorf("after the kill: got stored set %+v", set)
			}
			next := Open(path, quiet, func(override.Set) {})
			if err := next.Update(takeDown("c")); err != nil {
				t.Errorf("next change: %v", err)
			}
			if set := stored(path); !set.IsDown("a") || !set.IsDown("c") || set.IsDown("b") != isNew {
				t.Errorf("after the next change: got stored set %+v", set)
			}
			if left, _ := filepath.Glob(path + ".*"); len(left) != 1 { // the lock file
				t.Errorf("got extra files %v, want only the lock file", left)
			}
		})
	}
}

// killAt takes an endpoint down and kills this process at the given point of the write.
func killAt(point, path string) {
	kill := func() { _ = syscall.Kill(os.Getpid(), syscall.SIGKILL); select {} }
	s := Open(path, quiet, func(override.Set) {})
	write, sync, rename := s.calls.file.Write, s.calls.file.Sync, s.calls.file.Rename
	s.calls.file.Write = func(file *os.File, text []byte) (int, error) {
		switch point {
		case "before":
			kill()
		case "half":
			_, _ = write(file, text[:len(text)/2])
			kill()
		}
		return write(file, text)
	}
	s.calls.file.Sync = func(file *os.File) error {
		if point == "whole" {
			kill()
		}
		return sync(file)
	}
	s.calls.file.Rename = func(from, to string) error {
		if point == "renamed" {
			_ = rename(from, to)
		}
		kill()
		return nil
	}
	_ = s.Update(takeDown("b"))
}

// While the disk fails, at most maxPending changes wait. Further changes fail with ErrBusy and have no effect.
func TestPendingChangesAreBounded(t *testing.T) {
	s := openFaulty(filepath.Join(t.TempDir(), "overrides"), "write", syscall.ENOSPC)
	s.faults.Store(1 << 40)
	defer s.faults.Store(0)
	takeDown := func(name string) error {
		return s.start(&change{
			apply: func(set override.Set, now time.Duration) (override.Set, error) {
				return set.TakeDown(name, now)
			},
			at:       time.Duration(time.Now().UnixNano()),
			deadline: time.Now().Add(time.Minute),
			result:   make(chan error, 1),
		})
	}
	for i := range maxPending {
		if err := takeDown(strconv.Itoa(i)); err != nil {
			t.Fatalf("change %d: %v", i, err)
		}
	}
	if err := takeDown("one more"); !errors.Is(err, ErrBusy) || s.Current().IsDown("one more") {
		t.Errorf("change beyond the limit: got error %v, down %v, want ErrBusy, not down", err, s.Current().IsDown("one more"))
	}
}

// A change stays in force if its file was replaced but the directory could not be synced. The store retries the sync,
// because a power loss may revert the change.
func TestChangeWithUnsyncedDirectoryIsRetried(t *testing.T) {
	path := pathInMemory(t)
	s := openFaulty(path, "sync directory", syscall.EIO)
	s.faults.Store(3)
	if err := s.Update(takeDown("a")); err != nil || !s.Current().IsDown("a") {
		t.Errorf("short fault: got error %v, set %+v, want a down", err, s.Current())
	}

	s.faults.Store(1 << 30)
	s.failed.Store(0)
	if err := s.Update(takeDown("b")); !errors.Is(err, ErrNotPersisted) || !s.Current().IsDown("b") || !stored(path).IsDown("b") {
		t.Errorf("long fault: got error %v, set %+v, stored set %+v, want ErrNotPersisted and b down", err, s.Current(), stored(path))
	}
	if n := s.failed.Load(); n < 4 || n > 100 {
		t.Errorf("got %d attempts during a long fault, want 4 to 100", n)
	}
	other := Open(path, quiet, func(override.Set) {})
	if err := other.Update(takeDown("c")); err != nil {
		t.Errorf("change by another process: %v", err)
	}

	s.faults.Store(0)
	for end := time.Now().Add(10 * time.Second); s.log.count("overrides written again") != 2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("directory not synced within 10 s of the recovery")
		}
	}
	for _, name := range []string{"a", "b", "c"} {
		if !s.Current().IsDown(name) || !stored(path).IsDown(name) {
			t.Errorf("%s not down: set in force %+v, stored set %+v", name, s.Current(), stored(path))
		}
	}
}
