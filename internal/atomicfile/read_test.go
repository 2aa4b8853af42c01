package atomicfile

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// A file that is missing or not permitted is no passing fault: whoever starts with it must not wait.
func TestReadFailsAtOnceWhereNothingWillPass(t *testing.T) {
	began := time.Now()
	if _, err := Read(filepath.Join(t.TempDir(), "none")); !errors.Is(err, fs.ErrNotExist) {
		t.Error(err)
	}
	if _, err := Read(t.TempDir()); !errors.Is(err, syscall.EISDIR) {
		t.Error(err)
	}
	if took := time.Since(began); took > readTimeout/2 {
		t.Errorf("took %v", took)
	}
}

// What the machine lacks for a moment is held to pass, and a sound file is read whole.
func TestReadKnowsWhatMayPass(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	if err := os.WriteFile(path, []byte("text"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, fault := range []syscall.Errno{syscall.EMFILE, syscall.EIO, syscall.ESTALE} {
		if !isOneOf(&fs.PathError{Op: "open", Path: path, Err: fault}, passingFaults) {
			t.Errorf("%v is not held to pass", fault)
		}
	}
	if text, err := Read(path); err != nil || string(text) != "text" {
		t.Errorf("%q, %v", text, err)
	}
}
