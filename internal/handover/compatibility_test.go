package handover

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Processes of other versions find each other's files by their names, and read what stands in them.
func TestRecordedFileOfAProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ryerill-7663064818632035.word")
	own, err := Register(path, quiet)
	if err != nil {
		t.Fatal(err)
	}
	defer own.Deregister()
	own.Publish(Serving, []byte(`{"main":{}}`))
	files, _ := filepath.Glob(path + "-*")
	if len(files) != 1 {
		t.Fatalf("files %v", files)
	}
	text, err := os.ReadFile(files[0])
	if err != nil || string(text) != "serving         {\"main\":{}}\n" {
		t.Errorf("%q, %v", text, err)
	}
	if states := strings.Join([]string{string(Starting), string(Serving), string(Leaving)}, " "); states != "starting serving leaving" {
		t.Errorf("states %s", states)
	}
}
