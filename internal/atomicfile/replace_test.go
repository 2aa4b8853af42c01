package atomicfile

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const mode = 0o600

// failing returns system calls in which one step fails with a fault. A write fails after half of the contents.
func failing(step string, fault error) *Calls {
	calls := SystemCalls()
	switch step {
	case "open directory", "open":
		calls.Open = func(name string, flag int, mode fs.FileMode) (*os.File, error) {
			if strings.HasSuffix(name, TemporarySuffix) == (step == "open") {
				return nil, fault
			}
			return os.OpenFile(name, flag, mode)
		}
	case "write":
		calls.Write = func(file *os.File, contents []byte) (int, error) {
			n, err := file.Write(contents[:len(contents)/2])
			return n, errors.Join(err, fault)
		}
	case "sync":
		calls.Sync = func(*os.File) error { return fault }
	case "rename":
		calls.Rename = func(string, string) error { return fault }
	case "sync directory":
		calls.SyncDirectory = func(*os.File) error { return fault }
	}
	return calls
}

func checkContents(t *testing.T, path, want string) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) || string(text) != want {
		t.Errorf("got file contents %q, want %q (error %v)", text, want, err)
	}
}

// After an error at any step the file has its previous contents, or the new ones if only the sync of the directory
// failed, and no temporary file is left. The next replacement succeeds.
func TestReplaceHandlesFaultAtEachStep(t *testing.T) {
	for _, fault := range []syscall.Errno{syscall.ENOSPC, syscall.EIO, syscall.EDQUOT, syscall.EMFILE} {
		for _, step := range []string{"open directory", "open", "write", "sync", "rename", "sync directory"} {
			for _, before := range []string{"", "before"} { // "": no file exists
				t.Run(fmt.Sprintf("%s %s %q", fault, step, before), func(t *testing.T) {
					path := filepath.Join(t.TempDir(), "file")
					if before != "" {
						if err := os.WriteFile(path, []byte(before), mode); err != nil {
							t.Fatal(err)
						}
					}
					err := failing(step, fault).Replace(path, []byte("the contents after"), mode)
					unsynced := step == "sync directory"
					if !errors.Is(err, fault) || errors.Is(err, ErrUnsynced) != unsynced {
						t.Errorf("got error %v, want the injected fault", err)
					}
					want := before
					if unsynced {
						want = "the contents after"
					}
					checkContents(t, path, want)
					if _, err := os.Lstat(path + TemporarySuffix); !errors.Is(err, fs.ErrNotExist) {
						t.Errorf("temporary file: got error %v, want ErrNotExist", err)
					}
					var system *Calls
					if err := system.Replace(path, []byte("the next"), mode); err != nil {
						t.Error(err)
					}
					checkContents(t, path, "the next")
				})
			}
		}
	}
}

// A file system that does not support syncing directories is not an error.
func TestReplaceAcceptsUnsyncableDirectories(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	for _, calls := range []*Calls{
		failing("sync directory", syscall.EINVAL), failing("sync directory", syscall.ENOTSUP),
		failing("open directory", syscall.EACCES),
	} {
		if err := calls.Replace(path, []byte("new"), mode); err != nil {
			t.Error(err)
		}
	}
}

// The order of the steps ensures that a power loss between any two leaves the old or the new contents.
func TestReplaceStepOrder(t *testing.T) {
	var steps []string
	calls := &Calls{
		Open:   os.OpenFile,
		Write:  func(f *os.File, b []byte) (int, error) { steps = append(steps, "write"); return f.Write(b) },
		Sync:   func(f *os.File) error { steps = append(steps, "sync"); return f.Sync() },
		Rename: func(from, to string) error { steps = append(steps, "rename"); return os.Rename(from, to) },
	}
	dir := t.TempDir()
	calls.SyncDirectory = func(f *os.File) error { steps = append(steps, "sync "+f.Name()); return f.Sync() }
	if err := calls.Replace(filepath.Join(dir, "file"), []byte("new"), mode); err != nil {
		t.Fatal(err)
	}
	if got, want := strings.Join(steps, ", "), "write, sync, rename, sync "+dir; got != want {
		t.Errorf("got steps %s, want %s", got, want)
	}
}

// A file keeps its permissions, whatever the permissions of a temporary file left by a killed process.
func TestReplaceKeepsPermissions(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	for name, permissions := range map[string]fs.FileMode{path: 0o640, path + TemporarySuffix: 0o604} {
		if err := errors.Join(os.WriteFile(name, []byte(strings.Repeat("long ago", 100)), mode), os.Chmod(name, permissions)); err != nil {
			t.Fatal(err)
		}
	}
	var calls *Calls
	if err := calls.Replace(path, []byte("new"), mode); err != nil {
		t.Fatal(err)
	}
	checkContents(t, path, "new")
	if info, err := os.Stat(path); err != nil || info.Mode() != 0o640 {
		t.Errorf("got mode %v, error %v, want 0640", info.Mode(), err)
	}
}

// Concurrent replacements are serialized or fail with ErrBusy, and never mix contents.
func TestConcurrentReplacementsDoNotMix(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	var writers sync.WaitGroup
	for writer := range 8 {
		writers.Go(func() {
			var calls *Calls
			contents := bytes.Repeat([]byte{'a' + byte(writer)}, 10_000*(writer+1))
			for range 20 {
				if err := calls.Replace(path, contents, mode); err != nil && !errors.Is(err, ErrBusy) {
					t.Error(err)
				}
				text, err := os.ReadFile(path)
				if err != nil || len(text) != 10_000*int(text[0]-'a'+1) || bytes.Count(text, text[:1]) != len(text) {
					t.Errorf("got %d bytes, error %v, want the contents of one writer", len(text), err)
				}
			}
		})
	}
	writers.Wait()
}

// A replacement that blocks for too long, like one in a stopped process, makes others fail with ErrBusy and can still
// complete.
func TestHangingReplacementMakesOthersFail(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	began, resume, done := make(chan struct{}), make(chan struct{}), make(chan error, 1)
	hanging := SystemCalls()
	hanging.Sync = func(file *os.File) error { close(began); <-resume; return file.Sync() }
	go func() { done <- hanging.Replace(path, []byte("slow"), mode) }()
	<-began
	var calls *Calls
	if err := calls.Replace(path, []byte("other"), mode); !errors.Is(err, ErrBusy) {
		t.Errorf("got error %v, want ErrBusy", err)
	}
	close(resume)
	if err := <-done; err != nil {
		t.Error(err)
	}
	checkContents(t, path, "slow")
}

// killPathVariable is the environment variable with the path of the file that a child process replaces until it is
// killed.
const killPathVariable = "RYERILL_REPLACED_FILE"

// numbered returns contents that identify n by their length and in each line.
func numbered(n int) []byte { return bytes.Repeat([]byte(strconv.Itoa(n)+"\n"), 1000+n%500) }

// A process killed at any point leaves complete contents and at most one temporary file, which the next replacement
// reuses.
func TestKillsLeaveCompleteContents(t *testing.T) {
	var calls *Calls
	if path := os.Getenv(killPathVariable); path != "" {
		for n := 1; ; n++ {
			if err := calls.Replace(path, numbered(n), mode); err != nil {
				panic(err)
			}
		}
	}
	path := filepath.Join(t.TempDir(), "file")
	left := 0
	for kill := range 40 {
		if err := calls.Replace(path, numbered(0), mode); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
		cmd.Env = append(os.Environ(), killPathVariable+"="+path)
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if text, err := os.ReadFile(path); err == nil && text[0] != '0' {
				break
			}
		}
		time.Sleep(time.Duration(kill*100) * time.Microsecond)
		cmd.Process.Kill()
		cmd.Wait()
		text, err := os.ReadFile(path)
		line, _, _ := strings.Cut(string(text), "\n")
		if n, parse := strconv.Atoi(line); err != nil || parse != nil || n == 0 || !bytes.Equal(text, numbered(n)) {
			t.Fatalf("kill %d: got %d bytes with first line %q, error %v", kill, len(text), line, err)
		}
		entries, err := os.ReadDir(filepath.Dir(path))
		if err != nil || len(entries) > 2 {
			t.Fatalf("kill %d: got directory entries %v, error %v, want at most 2 entries", kill, entries, err)
		}
		left += len(entries) - 1
	}
	if err := calls.Replace(path, []byte("new"), mode); err != nil {
		t.Error(err)
	}
	if entries, err := os.ReadDir(filepath.Dir(path)); err != nil || len(entries) != 1 {
		t.Errorf("after the last replacement: got directory entries %v, error %v, want 1 entry", entries, err)
	}
	t.Logf("%d of 40 kills left a temporary file", left)
}
