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

// failing returns the calls of the system, of which one fails with a fault. A write fails after half of the contents.
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
		t.Errorf("the file holds %q, want %q (%v)", text, want, err)
	}
}

// An error at any step leaves the contents before or, where only the directory could not be synced, those after, and
// nothing beside them. The next replacement succeeds.
func TestFaultsAtEachStep(t *testing.T) {
	for _, fault := range []syscall.Errno{syscall.ENOSPC, syscall.EIO, syscall.EDQUOT, syscall.EMFILE} {
		for _, step := range []string{"open directory", "open", "write", "sync", "rename", "sync directory"} {
			for _, before := range []string{"", "before"} { // "": there is no file yet
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
						t.Errorf("%v", err)
					}
					want := before
					if unsynced {
						want = "the contents after"
					}
					checkContents(t, path, want)
					if _, err := os.Lstat(path + TemporarySuffix); !errors.Is(err, fs.ErrNotExist) {
						t.Errorf("left beside it: %v", err)
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

// A file system that has no sync of directories is no fault.
func TestDirectoriesThatCanNotBeSynced(t *testing.T) {
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

// The steps come in the order in which a loss of power between any two leaves one of both contents.
func TestOrderOfTheSteps(t *testing.T) {
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
		t.Errorf("%s, want %s", got, want)
	}
}

// A file keeps its permissions, whatever those of a temporary file that a kill has left.
func TestPermissionsAreKept(t *testing.T) {
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
		t.Errorf("%v, %v", info.Mode(), err)
	}
}

// Whoever replaces a file at the same time follows or gives up: no contents are mixed.
func TestConcurrentReplacements(t *testing.T) {
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
					t.Errorf("%d bytes, %v", len(text), err)
				}
			}
		})
	}
	writers.Wait()
}

// One that holds up the others for too long, as a stopped process does, has them fail and is not disturbed.
func TestAReplacementThatHangs(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	began, goOn, done := make(chan struct{}), make(chan struct{}), make(chan error, 1)
	hanging := SystemCalls()
	hanging.Sync = func(file *os.File) error { close(began); <-goOn; return file.Sync() }
	go func() { done <- hanging.Replace(path, []byte("slow"), mode) }()
	<-began
	var calls *Calls
	if err := calls.Replace(path, []byte("other"), mode); !errors.Is(err, ErrBusy) {
		t.Errorf("%v", err)
	}
	close(goOn)
	if err := <-done; err != nil {
		t.Error(err)
	}
	checkContents(t, path, "slow")
}

// killPathVariable names the file in the environment of a process that replaces it until it is killed.
const killPathVariable = "RYERILL_REPLACED_FILE"

// numbered are contents whose length and every line tell their number.
func numbered(n int) []byte { return bytes.Repeat([]byte(strconv.Itoa(n)+"\n"), 1000+n%500) }

// A process that is killed wherever it stands leaves whole contents, and at most one file beside them, which the next
// replacement takes over.
func TestKillsInTheMiddleOfReplacements(t *testing.T) {
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
			t.Fatalf("kill %d: %d bytes that begin with %q: %v", kill, len(text), line, err)
		}
		entries, err := os.ReadDir(filepath.Dir(path))
		if err != nil || len(entries) > 2 {
			t.Fatalf("kill %d: %v, %v", kill, entries, err)
		}
		left += len(entries) - 1
	}
	if err := calls.Replace(path, []byte("new"), mode); err != nil {
		t.Error(err)
	}
	if entries, err := os.ReadDir(filepath.Dir(path)); err != nil || len(entries) != 1 {
		t.Errorf("left in the end: %v, %v", entries, err)
	}
	t.Logf("%d of 40 kills left a temporary file", left)
}
