package overridestore

import (
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"ryerill/override"
)

// The path and format of the override file stay compatible with other versions of the proxy.
func TestRecordedOverrideFile(t *testing.T) {
	dir := t.TempDir()
	path := Path(dir, "n1", "127.0.0.1:7070")
	if want := filepath.Join(dir, "ryerill-7663064818632035.word"); path != want {
		t.Errorf("got path %s, want %s", path, want)
	}
	const recorded = `{"format":"ryerill-word-1","version":3,"out":{"s1":1700000000000001},"back":{"s2":1700000000000002},"drain":0}` + "\n"
	if err := os.WriteFile(path, []byte(recorded), 0o600); err != nil {
		t.Fatal(err)
	}
	store := Open(path, slog.New(slog.DiscardHandler), func(override.Set) {})
	if set := store.Current(); set.Version != 3 || !set.IsDown("s1") || len(set.Restored) != 1 {
		t.Errorf("got set %+v, want the recorded one", set)
	}
}
