package handover

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The name and format of a process file stay compatible with other versions.
func TestRecordedProcessFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ryerill-7663064818632035.word")
	own, err := Register(path, quiet)
	if err != nil {
		t.Fatal(err)
	}
	defer own.Deregister()
	own.Publish(Serving, []byte(`{"main":{}}`))
	files, _ := filepath.Glob(path + "-*")
	if len(files) != 1 {
		t.Fatalf("got files %v, want one", files)
	}
	text, err := os.ReadFile(files[0])
	if err != nil || string(text) != "serving         {\"main\":{}}\n" {
		t.Errorf("got contents %q, error %v, want the recorded line", text, err)
	}
	if states := strings.Join([]string{string(Starting), string(Serving), string(Leaving)}, " "); states != "starting serving leaving" {
		t.Errorf("got states %s, want the recorded ones", states)
	}
}
