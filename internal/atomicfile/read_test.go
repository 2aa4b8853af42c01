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

// Permanent errors are returned without retries, so that they do not delay a start.
func TestReadReturnsPermanentErrorsImmediately(t *testing.T) {
	began := time.Now()
	if _, err := Read(filepath.Join(t.TempDir(), "none")); !errors.Is(err, fs.ErrNotExist) {
		t.Error(err)
	}
	if _, err := Read(t.TempDir()); !errors.Is(err, syscall.EISDIR) {
		t.Error(err)
	}
	if took := time.Since(began); took > readTimeout/2 {
		t.Errorf("two reads took %v, want at most half of readTimeout", took)
	}
}

// Temporary shortages and disk faults are classified as transient, and a readable file is read completely.
func TestReadClassifiesTransientErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	if err := os.WriteFile(path, []byte("text"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, fault := range []syscall.Errno{syscall.EMFILE, syscall.EIO, syscall.ESTALE} {
		if !isAnyOf(&fs.PathError{Op: "open", Path: path, Err: fault}, transientErrors) {
			t.Errorf("%v not classified as transient", fault)
		}
	}
	if text, err := Read(path); err != nil || string(text) != "text" {
		t.Errorf("got contents %q, error %v, want \"text\"", text, err)
	}
}
