package overridestore

import (
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ryerill/override"
)

// Processes of other versions find the files of one proxy by their names, and read what stands in them.
func TestRecordedFilesOfAProxy(t *testing.T) {
	dir := t.TempDir()
	path := Path(dir, "n1", "127.0.0.1:7070")
	if want := filepath.Join(dir, "ryerill-7663064818632035.word"); path != want {
		t.Errorf("the file is %s, and was %s", path, want)
	}
	const orders = `{"format":"ryerill-word-1","version":3,"out":{"s1":1700000000000001},"back":{"s2":1700000000000002},"drain":0}` + "\n"
	if err := os.WriteFile(path, []byte(orders), 0o600); err != nil {
		t.Fatal(err)
	}
	store := Open(path, slog.New(slog.DiscardHandler), func(override.Set) {})
	if w := store.Current(); w.Version != 3 || !w.IsDown("s1") || len(w.Restored) != 1 {
		t.Errorf("read as %+v", w)
	}
	own, err := Register(path, slog.New(slog.DiscardHandler))
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
