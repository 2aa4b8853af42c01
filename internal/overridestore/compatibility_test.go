package overridestore

import (
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"ryerill/override"
)

// Processes of other versions find the file of a proxy's overrides by its name, and read what stands in it.
func TestRecordedFileOfAProxy(t *testing.T) {
	dir := t.TempDir()
	path := Path(dir, "n1", "127.0.0.1:7070")
	if want := filepath.Join(dir, "ryerill-7663064818632035.word"); path != want {
		t.Errorf("the file is %s, and was %s", path, want)
	}
	const recorded = `{"format":"ryerill-word-1","version":3,"out":{"s1":1700000000000001},"back":{"s2":1700000000000002},"drain":0}` + "\n"
	if err := os.WriteFile(path, []byte(recorded), 0o600); err != nil {
		t.Fatal(err)
	}
	store := Open(path, slog.New(slog.DiscardHandler), func(override.Set) {})
	if set := store.Current(); set.Version != 3 || !set.IsDown("s1") || len(set.Restored) != 1 {
		t.Errorf("read as %+v", set)
	}
}
