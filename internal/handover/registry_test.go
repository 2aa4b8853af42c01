package handover

import (
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
)

var quiet = slog.New(slog.DiscardHandler)

// Processes see each other while they live, whatever lies in the directory.
func TestProcessesSeeEachOtherWhileTheyLive(t *testing.T) {
	path := filepath.Join(t.TempDir(), "proxy")
	one, err := Register(path, quiet)
	if err != nil {
		t.Fatal(err)
	}
	two, err := Register(path, quiet)
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{"dead": "serving {}\n", "empty": "", "strange": "\x00\x01"} {
		if err := os.WriteFile(path+"-"+name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	one.Publish(Serving, []byte(`{"limit":60}`))
	if got := two.Others(); len(got) != 1 || got[0] != (Process{Serving, `{"limit":60}`}) {
		t.Errorf("the first is seen as %+v", got)
	}
	two.Publish("dancing", make([]byte, maxFile)) // of another version, and more than is allowed
	if got := one.Others(); len(got) != 1 || got[0] != (Process{Starting, ""}) {
		t.Errorf("the second is seen as %+v", got)
	}
	if _, err := os.Stat(path + "-dead"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the file of a dead process: %v", err)
	}
	one.Deregister()
	if got := two.Others(); len(got) != 0 {
		t.Errorf("after its end: %+v", got)
	}
	if none, err := Register(filepath.Join(t.TempDir(), "missing", "x"), quiet); err == nil || len(none.Others()) != 0 {
		t.Error("without a directory")
	}
}
