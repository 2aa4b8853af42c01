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

// logLines is a log that tests read.
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

// faultyStore is a store whose next calls of one kind fail.
type faultyStore struct {
	*Store
	log    logLines
	faults atomic.Int64 // calls that are still to fail
	failed atomic.Int64 // calls that have failed
}

// openFaulty opens a store on path. While faults are due, its calls of a kind ("open", "read", "write", "sync", "rename" or
// "sync directory") fail with fault, and reads with EIO; a failing write leaves half of the text behind, as a full disk
// does.
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
			return os.Open("/proc/self/mem") // whose beginning can't be read, with EIO
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

// stored is what another process finds in the file.
func stored(path string) override.Set { return Open(path, quiet, func(override.Set) {}).Current() }

// pathInMemory is a path on a file system in memory, where there is one: its only faults are those of the test, and no
// other program's writes hold it up.
func pathInMemory(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("/dev/shm", "overrides")
	if err != nil {
		dir = t.TempDir()
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return Path(dir, "n1", "127.0.0.1:1")
}

// A disk that fails for a moment delays a change, one that fails for longer has it refused. The file holds the state
// before or after it, never half of one, the log tells of the fault once, and the calls are not repeated without pause.
func TestOverridesUnderStorageFaults(t *testing.T) {
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
					t.Errorf("after a short fault: %v, %+v", err, stored(path))
				}

				s.faults.Store(1 << 30)
				s.failed.Store(0)
				if err := s.Update(takeDown("c")); !errors.Is(err, fault) || s.Current().IsDown("c") {
					t.Errorf("during a long fault: %v, %+v", err, s.Current())
				}
				if n := s.failed.Load(); n < 4 || n > 20 {
					t.Errorf("%d tries during a long fault", n)
				}
				if set := stored(path); !set.IsDown("a") || !set.IsDown("b") || set.IsDown("c") {
					t.Errorf("stored during a long fault: %+v", set)
				}

				s.faults.Store(0)
				if err := s.Update(takeDown("c")); err != nil || !stored(path).IsDown("c") {
					t.Errorf("after a long fault: %v, %+v", err, stored(path))
				}
				if began, ended := s.log.count("overrides not written"), s.log.count("overrides written again"); began != 2 || ended != 2 {
					t.Errorf("the log tells of %d faults and %d ends", began, ended)
				}
			})
		}
	}
}

// A change whose caller was told that it is in force stays so, whatever the disk does afterwards, and is written once
// the disk takes it. Changes after it don't have to wait for that.
func TestAChangeThatIsInForceIsOwed(t *testing.T) {
	path := pathInMemory(t)
	s := openFaulty(path, "rename", syscall.EIO)
	s.faults.Store(1 << 30)
	slow := s.calls.file.Write
	s.calls.file.Write = func(file *os.File, text []byte) (int, error) {
		if s.failed.Load() == 0 { // the first write outlasts the wait of its caller
			time.Sleep(3 * updateTimeout)
		}
		return slow(file, text)
	}
	if err := s.Update(takeDown("a")); !errors.Is(err, ErrNotPersisted) {
		t.Fatalf("answered %v", err)
	}
	for s.failed.Load() < 5 {
		if !s.Current().IsDown("a") {
			t.Fatalf("undone after %d failed writes", s.failed.Load())
		}
		time.Sleep(time.Millisecond)
	}
	if err := s.Update(takeDown("b")); !errors.Is(err, syscall.EIO) || s.Current().IsDown("b") || !s.Current().IsDown("a") {
		t.Errorf("a second change: %v, %+v", err, s.Current())
	}
	s.faults.Store(0)
	for end := time.Now().Add(10 * time.Second); !stored(path).IsDown("a"); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never written")
		}
	}
	if stored(path).IsDown("b") || s.log.count("overrides not written") != 1 {
		t.Errorf("stored %+v, told %d times", stored(path), s.log.count("overrides not written"))
	}
}

// A file that can't be opened or read for a fault of the disk does not count as read, and is not written over: it is
// read once the fault is over.
func TestOverridesThatCannotBeReadNow(t *testing.T) {
	for _, kind := range []string{"open", "read"} {
		t.Run(kind, func(t *testing.T) { failToRead(t, kind) })
	}
}

func failToRead(t *testing.T, kind string) {
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
		t.Errorf("a change of what can't be read: %v", err)
	}
	if set := stored(path); !set.IsDown("a") || set.IsDown("b") {
		t.Errorf("stored: %+v", set)
	}
	if n := s.log.count("override file not readable now"); n != 1 {
		t.Errorf("the log tells of it %d times", n)
	}
	s.faults.Store(0)
	s.poll()
	if !s.Current().IsDown("a") {
		t.Error("not read once the fault is over")
	}
}

// A process that is killed in the middle of a write leaves the state before or after it. Neither its lock nor what it
// has begun to write holds up the next process.
func TestKilledDuringAWrite(t *testing.T) {
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
			cmd := exec.Command(os.Args[0], "-test.run=^"+"TestKilledDuringAWrite"+"$")
			cmd.Env = append(os.Environ(), "RYERILL_KILL_AT="+point, "RYERILL_KILL_PATH="+path)
			output, err := cmd.CombinedOutput()
			var exit *exec.ExitError
			if !errors.As(err, &exit) || exit.Sys().(syscall.WaitStatus).Signal() != syscall.SIGKILL {
				t.Fatalf("ended by %v\n%s", err, output)
			}
			if set := stored(path); !set.IsDown("a") || set.IsDown("b") != isNew {
				t.Errorf("stored: %+v", set)
			}
			next := Open(path, quiet, func(override.Set) {})
			if err := next.Update(takeDown("c")); err != nil {
				t.Errorf("the next change: %v", err)
			}
			if set := stored(path); !set.IsDown("a") || !set.IsDown("c") || set.IsDown("b") != isNew {
				t.Errorf("stored then: %+v", set)
			}
			if left, _ := filepath.Glob(path + ".*"); len(left) != 1 { // the lock
				t.Errorf("left beside it: %v", left)
			}
		})
	}
}

// killAt takes an endpoint down and kills this process at a point of the write.
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

// While the disk takes nothing, changes wait up to a bound; beyond it they are refused and change nothing.
func TestChangesThatWaitForTheDiskAreBounded(t *testing.T) {
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
		t.Errorf("beyond the bound: %v, down %v", err, s.Current().IsDown("one more"))
	}
}

// A change whose file has been replaced, and whose directory can't be synced, is in force: after a loss of power it may
// be gone, so that it is owed until the disk takes it.
func TestAChangeWhoseDirectoryIsNotSyncedIsOwed(t *testing.T) {
	path := pathInMemory(t)
	s := openFaulty(path, "sync directory", syscall.EIO)
	s.faults.Store(3)
	if err := s.Update(takeDown("a")); err != nil || !s.Current().IsDown("a") {
		t.Errorf("after a short fault: %v, %+v", err, s.Current())
	}

	s.faults.Store(1 << 30)
	s.failed.Store(0)
	if err := s.Update(takeDown("b")); !errors.Is(err, ErrNotPersisted) || !s.Current().IsDown("b") || !stored(path).IsDown("b") {
		t.Errorf("during a long fault: %v, %+v, stored %+v", err, s.Current(), stored(path))
	}
	if n := s.failed.Load(); n < 4 || n > 100 {
		t.Errorf("%d tries during a long fault", n)
	}
	other := Open(path, quiet, func(override.Set) {})
	if err := other.Update(takeDown("c")); err != nil {
		t.Errorf("a change of another process: %v", err)
	}

	s.faults.Store(0)
	for end := time.Now().Add(10 * time.Second); s.log.count("overrides written again") != 2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never synced")
		}
	}
	for _, name := range []string{"a", "b", "c"} {
		if !s.Current().IsDown(name) || !stored(path).IsDown(name) {
			t.Errorf("%s: in force %+v, stored %+v", name, s.Current(), stored(path))
		}
	}
}
